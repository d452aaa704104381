"""Tests of the leader, its credits, the urgent reserve and overload."""

import json

from azurepier import kernel
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier import testing


def _run(fleet, seconds):
    fleet.driver.run_until(fleet.driver.now + seconds)


def _leader_names(fleet):
    return [p.name for p in fleet.entries if p.alive and p.node.leads]


class TestLeader:
    def test_entries_agree_on_one(self):
        # Guards against several leaders with queues for the same slots.
        fleet = testing.make_fleet(entries=5)
        assert len(_leader_names(fleet)) == 1

    def test_another_takes_over(self):
        # Guards against a fleet that stops working when its leader dies.
        fleet = testing.make_fleet(entries=3)
        before = _leader_names(fleet)
        fleet.driver.kill(fleet.entries[0])
        _run(fleet, 2.0)
        assert len(_leader_names(fleet)) == 1
        assert _leader_names(fleet) != before
        _run(fleet, 10.0)
        req = fleet.submit(2, testing.spec([100] * 30))
        _run(fleet, 5.0)
        assert isinstance(fleet.answer(2, req), kernel.Complete)

    def test_leads_again_after_its_restart_only_when_ready(self):
        # Guards against electing an entry that may not start tasks yet.
        fleet = testing.make_fleet(entries=3)
        name = fleet.entries[0].name
        fleet.driver.kill(fleet.entries[0])
        _run(fleet, 2.0)
        fleet.add_entry(name)
        _run(fleet, 3.0)
        assert name not in _leader_names(fleet)
        _run(fleet, 10.0)
        assert _leader_names(fleet) == [name]

    def test_new_jobs_belong_to_the_leader(self):
        # Guards against new jobs that are owned by an entry without credits.
        fleet = testing.make_fleet(entries=3)
        req = fleet.request(2, lambda req: events.NewIds(req, 3))
        _run(fleet, 0.1)
        leader = fleet.entries[0].node.incarnation
        ids = fleet.answer(2, req).ids
        owners = {kernel.ids.parse(job_id).incarnation for job_id in ids}
        assert owners == {leader}

    def test_credits_go_to_the_leader(self):
        # Slots stay idle while entries without work hold their credits.
        fleet = testing.make_fleet(entries=3)
        for process in fleet.endpoints:
            credits = {
                link.name: link.credit for link in process.node.links.values()
            }
            assert credits.pop(fleet.entries[0].name) == 8
            assert set(credits.values()) == {0}


class TestSlotRequests:
    def test_requested_again_after_an_empty_queue(self):
        # An endpoint process discards an entry's request for slots when a
        # heartbeat reports an empty queue. If the entry still considered the
        # request pending, its tasks would wait forever while slots are free.
        fleet = testing.make_fleet(entries=2)
        process = fleet.entries[1]
        assert not process.node.leads
        for view in process.node.by_conn.values():
            view.slots_requested = 3
        _run(fleet, 1.0)
        wanted = [
            view.slots_requested for view in process.node.by_conn.values()
        ]
        assert wanted == [0, 0, 0]


class TestUrgentReserve:
    def test_urgent_task_starts_at_once_behind_long_work(self):
        # Guards against a short urgent task that waits behind long tasks.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,) * 5)
        for _ in range(30):
            spec = testing.spec([500] * 20, deadline_ms=900_000)
            fleet.submit(0, spec)
        _run(fleet, 3.0)
        node = fleet.entries[0].node
        assert node.waiting_tasks > 100
        spec = testing.spec([50], urgent=True, kind='quick')
        submitted_at = fleet.driver.now
        req = fleet.submit(0, spec)
        _run(fleet, 1.0)
        at, answer = fleet.driver.answers[(fleet.entries[0].name, req)]
        assert isinstance(answer, kernel.Complete)
        assert at - submitted_at < 0.06

    def test_urgent_beyond_the_plan_is_ordinary(self):
        # Guards against a customer that marks all its jobs as urgent.
        cfg = testing.configuration(urgent_share=0.0)
        fleet = testing.make_fleet(entries=1, cfg=cfg)
        for _ in range(200):
            fleet.submit(0, testing.spec([400] * 2, urgent=True))
        node = fleet.entries[0].node
        assert node.counters['urgent_demoted'] > 100


class TestOverload:
    def test_refuses_immediately_with_a_retry_time(self):
        # Guards against accepting jobs that will miss their deadlines.
        fleet = testing.make_fleet(entries=1, slots=2)
        requests = [
            fleet.submit(0, testing.spec([500] * 20)) for _ in range(100)
        ]
        answers = [fleet.answer(0, req) for req in requests]
        refused = [a for a in answers if a is not None]
        assert refused
        assert {a.type for a in refused} == {'overloaded'}
        assert all(a.retry_after_s > 0 for a in refused)
        _run(fleet, 30.0)
        done = [fleet.answer(0, req) for req in requests]
        assert sum(isinstance(a, kernel.Complete) for a in done) > 0

    def test_light_customer_is_served_in_anothers_overload(self):
        # Guards against refusing other customers' jobs because one customer
        # submits too many.
        cfg = testing.configuration(customers=('ash', 'light'))
        fleet = testing.make_fleet(entries=1, cfg=cfg)
        for _ in range(200):
            fleet.submit(0, testing.spec([300] * 20))
        _run(fleet, 0.5)
        req = fleet.submit(0, testing.spec([50, 50], customer='light'))
        _run(fleet, 2.0)
        assert isinstance(fleet.answer(0, req), kernel.Complete)


class TestMessageSizes:
    def _large_job(self, count, size):
        payload = json.dumps({'ms': 300, 'x': 'y' * size}).encode()
        task = kernel.TaskSpec('sleep', payload, 300.0)
        return kernel.JobSpec('ash', (task,) * count, 20_000, digest='large')

    def test_starts_are_split(self, monkeypatch):
        # Guards against a batch that exceeds the maximum frame size.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,), slots=16)
        sizes = []
        original_deliver = fleet.driver._deliver

        def deliver(link, receiver, msg):
            if isinstance(msg, messages.StartBatch):
                sizes.append(sum(len(s.payload) for s in msg.starts))
            original_deliver(link, receiver, msg)

        monkeypatch.setattr(
            type(fleet.driver), '_deliver', _as_method(deliver)
        )
        for _ in range(2):
            fleet.submit(0, self._large_job(5, 200_000))
        _run(fleet, 5.0)
        assert len(sizes) == 2
        assert max(sizes) <= kernel.BATCH_BYTES

    def test_retained_outcomes_are_split(self):
        # Guards against a session that can't resume because its retained
        # outcomes exceed the maximum frame size.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,), slots=16)
        requests = [
            fleet.submit(0, self._large_job(5, 200_000)) for _ in range(3)
        ]
        _run(fleet, 0.1)
        fleet.driver.silence(fleet.entries[0], fleet.endpoints[0])
        _run(fleet, 8.0)
        answers = [fleet.answer(0, req) for req in requests]
        assert all(isinstance(a, kernel.Complete) for a in answers)
        testing.check_no_double_start(fleet)

    def test_outputs_beyond_the_limit_fail_the_job(self):
        # Guards against an answer that is too large to be forwarded.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,), slots=16)
        req = fleet.submit(0, self._large_job(6, 250_000))
        _run(fleet, 5.0)
        assert fleet.answer(0, req).type == 'answer-too-large'
        assert fleet.answer(0, req).verdict is kernel.Verdict.RAN


def _as_method(function):
    return lambda driver, *args: function(*args)


class TestLostLeader:
    def _kill_leader(self):
        """Return a fleet whose leader has died, and one of its job ids."""
        fleet = testing.make_fleet(entries=2)
        job_id = fleet.new_id(0)
        fleet.driver.kill(fleet.entries[0])
        _run(fleet, 0.1)
        return fleet, job_id

    def test_unused_id_is_distinguished_from_a_lost_job(self):
        # A job that its owner never received is not reported as lost.
        fleet, job_id = self._kill_leader()
        req = fleet.submit(1, testing.spec([50]), job_id)
        _run(fleet, 8.0)
        answer = fleet.answer(1, req)
        assert answer.type == 'owner-unreachable'
        assert not fleet.starts

    def test_another_entry_issues_ids(self):
        # Guards against callers that can't get job ids while the leader is
        # lost.
        fleet = testing.make_fleet(entries=2)
        fleet.driver.freeze(fleet.entries[0])
        req = fleet.request(1, lambda req: events.NewIds(req, 2))
        _run(fleet, 8.0)
        assert len(fleet.answer(1, req).ids) == 2
