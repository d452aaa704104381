"""Tests of failing workers, infeasible jobs, drains and configuration."""

from azurepier import config
from azurepier.entry import _acceptance
from azurepier.jobs import _table
from azurepier import kernel
from azurepier.kernel import events
from azurepier import testing

Verdict = kernel.Verdict


def _run(fleet, seconds):
    fleet.driver.run_until(fleet.driver.now + seconds)


class TestFailingWorker:
    def _steady_load(self, fleet, seconds):
        requests = []
        for _ in range(int(seconds / 0.05)):
            requests.append(fleet.submit(0, testing.spec([100, 100])))
            _run(fleet, 0.05)
        return requests

    def _failures(self, fleet, requests):
        answers = [fleet.answer(0, req) for req in requests]
        return sum(isinstance(a, kernel.Refused) for a in answers)

    def test_attracts_no_more_work_within_20_failures(self):
        # Guards against a failing worker that attracts most of the work
        # because its tasks end quickly.
        fleet = testing.make_fleet(entries=1)
        self._steady_load(fleet, 2.0)
        fleet.failing.add('endpoint-2')
        before = sum(fleet.starts.values())
        requests = self._steady_load(fleet, 10.0)
        _run(fleet, 2.0)
        assert sum(fleet.starts.values()) > before
        assert self._failures(fleet, requests) <= 20

    def test_gets_work_again_after_it_recovers(self):
        # Guards against a circuit breaker that never closes.
        fleet = testing.make_fleet(entries=1)
        self._steady_load(fleet, 2.0)
        fleet.failing.add('endpoint-2')
        self._steady_load(fleet, 3.0)
        fleet.failing.clear()
        self._steady_load(fleet, 10.0)
        node = fleet.endpoints[2].node
        before = node.counters['starts']
        self._steady_load(fleet, 2.0)
        assert node.counters['starts'] > before

    def test_failing_kind_opens_no_breaker(self):
        # Guards against faulty jobs of one customer that open the breakers
        # of all endpoints.
        fleet = testing.make_fleet(entries=1)
        for _ in range(200):
            fleet.submit(0, testing.spec([10], kind='fail'))
            _run(fleet, 0.02)
        req = fleet.submit(0, testing.spec([100] * 20))
        _run(fleet, 5.0)
        assert isinstance(fleet.answer(0, req), kernel.Complete)


class TestImpossibleJob:
    def _fleet(self, settled=False):
        """Return a fleet whose entry 1 has just started."""
        fleet = testing.make_fleet(entries=1, speeds=())
        fleet.driver.kill(fleet.entries[0])
        fleet.add_entry('new')
        fleet.configure(testing.configuration())
        fleet.add_endpoint('only', kinds=('sleep',), largest_size=10)
        _run(fleet, 10.0 if settled else 1.0)
        return fleet

    def test_is_refused_at_once(self):
        # A job that no endpoint can run must not stay queued until its
        # deadline.
        fleet = self._fleet(settled=True)
        req = fleet.submit(1, testing.spec([50], kind='paint'))
        answer = fleet.answer(1, req)
        assert answer.type == 'impossible'
        assert answer.verdict is Verdict.NOT_RUN

    def test_is_not_refused_by_an_entry_that_has_just_started(self):
        # Guards against refusing jobs before the endpoints are known.
        fleet = self._fleet()
        req = fleet.submit(1, testing.spec([50], kind='paint'))
        assert fleet.answer(1, req) is None
        fleet.add_endpoint('painter', kinds=('paint',))
        _run(fleet, 8.0)
        assert isinstance(fleet.answer(1, req), kernel.Complete)

    def test_waiting_job_is_refused_after_endpoint_discovery(self):
        # Guards against keeping infeasible jobs that were queued during the
        # start of the entry.
        fleet = self._fleet()
        req = fleet.submit(1, testing.spec([50], kind='paint'))
        assert fleet.answer(1, req) is None
        _run(fleet, _acceptance.ENDPOINT_DISCOVERY_S)
        assert fleet.answer(1, req).type == 'impossible'


class TestCancellation:
    def test_mass_cancellation_frees_slots_with_few_messages(self):
        # Guards against cancelled tasks that keep occupying slots, and
        # against one message per cancelled task.
        fleet = testing.make_fleet(entries=1)
        times = [5000] * 20
        specs = [testing.spec(times, deadline_ms=900_000)] * 50
        ids = [fleet.new_id(0) for _ in specs]
        requests = [
            fleet.submit(0, spec, job_id) for spec, job_id in zip(specs, ids)
        ]
        _run(fleet, 0.5)
        for job_id in ids:
            fleet.request(
                0,
                lambda req, job_id=job_id: events.CancelJob(
                    req, job_id, 'ash'
                ),
            )
        _run(fleet, 0.1)
        for spec, job_id, req in zip(specs, ids, requests):
            answer = fleet.answer(0, req)
            assert answer.type == 'cancelled'
            testing.check_job(fleet, spec, answer, job_id)
        assert not any(p.node.running for p in fleet.endpoints)
        assert fleet.driver.sent['CancelTasks'] <= 24
        req = fleet.submit(0, testing.spec([50] * 20))
        _run(fleet, 1.0)
        assert isinstance(fleet.answer(0, req), kernel.Complete)

    def test_cancellation_before_submission_holds(self):
        # Guards against starting a job whose cancellation arrived before its
        # submission.
        fleet = testing.make_fleet(entries=1)
        job_id = fleet.new_id(0)
        fleet.request(0, lambda req: events.CancelJob(req, job_id, 'ash'))
        fleet.submit(0, testing.spec([50]), job_id)
        _run(fleet, 1.0)
        assert not fleet.starts


class TestDrain:
    def test_leaving_endpoint_finishes_without_new_starts(self):
        # Guards against new starts on a leaving endpoint and against losing
        # the tasks that it runs.
        fleet = testing.make_fleet(entries=2, slots=4)
        requests = [
            (n % 2, fleet.submit(n % 2, testing.spec([400] * 6)))
            for n in range(20)
        ]
        _run(fleet, 0.1)
        leaving = fleet.endpoints[2]
        before = leaving.node.counters['starts']
        fleet.driver.feed(leaving, events.Drain())
        _run(fleet, 0.01)
        admitted = leaving.node.counters['starts']
        _run(fleet, 20.0)
        assert admitted == before == leaving.node.counters['starts']
        assert leaving.stopped
        answers = [fleet.answer(*request) for request in requests]
        assert all(isinstance(a, kernel.Complete) for a in answers)

    def test_draining_entry_answers_its_jobs(self):
        # Guards against a shutdown that drops requests in flight.
        fleet = testing.make_fleet(entries=2)
        spec = testing.spec([300] * 30)
        req = fleet.submit(0, spec)
        _run(fleet, 0.05)
        fleet.driver.feed(fleet.entries[0], events.Drain())
        refused = fleet.submit(0, testing.spec([50]))
        answer = fleet.answer(0, refused)
        assert answer.verdict is Verdict.NOT_RUN
        assert answer.location == f'http://{fleet.entries[1].name}'
        assert not fleet.entries[0].stopped
        _run(fleet, 10.0)
        testing.check_job(fleet, spec, fleet.answer(0, req))
        assert isinstance(fleet.answer(0, req), kernel.Complete)
        assert fleet.entries[0].stopped


class TestMemory:
    def test_refusal_when_answers_fill_the_memory(self, monkeypatch):
        # Guards against unbounded memory for retained answers, and against
        # a refusal of a job that has run.
        monkeypatch.setattr(_table, 'BYTES_MAX', 60_000)
        fleet = testing.make_fleet(entries=1)
        requests = []
        for _ in range(200):
            requests.append(fleet.submit(0, testing.spec([10])))
            _run(fleet, 0.05)
        answers = [fleet.answer(0, req) for req in requests]
        full = [a for a in answers if isinstance(a, kernel.Refused)]
        assert full
        assert {a.type for a in full} == {'answers-full'}
        assert {a.verdict for a in full} == {Verdict.NOT_RUN}
        assert fleet.entries[0].node.table.bytes <= 60_000
        _run(fleet, 70.0)
        req = fleet.submit(0, testing.spec([10]))
        _run(fleet, 1.0)
        assert isinstance(fleet.answer(0, req), kernel.Complete)


class TestConfiguration:
    def _versions(self, fleet):
        nodes = [p.node for p in fleet.entries + fleet.endpoints if p.alive]
        return {
            node.adoption.current.version if node.adoption.current else 0
            for node in nodes
        }

    def test_spreads_from_one_entry_within_5_s(self):
        # Guards against processes that receive a configuration only from the
        # platform.
        fleet = testing.make_fleet()
        body = config.to_json(testing.configuration(version=2))
        fleet.driver.feed(fleet.entries[1], events.ConfigSeen(body))
        _run(fleet, 5.0)
        assert self._versions(fleet) == {2}

    def test_never_reverts(self):
        # Guards against adopting an older configuration from a stale watch, a
        # platform restored from a backup, or a peer that was suspended.
        fleet = testing.make_fleet()
        frozen = fleet.entries[0]
        fleet.driver.freeze(frozen)
        body = config.to_json(testing.configuration(version=3))
        fleet.driver.feed(fleet.entries[1], events.ConfigSeen(body))
        old = config.to_json(testing.configuration(version=2))
        fleet.driver.feed(fleet.entries[1], events.ConfigSeen(old))
        fleet.driver.feed(frozen, events.ConfigSeen(old))
        _run(fleet, 10.0)
        fleet.driver.thaw(frozen)
        _run(fleet, 5.0)
        assert self._versions(fleet) == {3}

    def test_process_that_starts_in_an_outage_learns_from_peers(self):
        # Guards against losing the newest configuration in a restart while
        # the platform is unavailable.
        fleet = testing.make_fleet()
        body = config.to_json(testing.configuration(version=4))
        fleet.driver.feed(fleet.entries[0], events.ConfigSeen(body))
        _run(fleet, 2.0)
        for process in list(fleet.entries):
            fleet.driver.kill(process)
        fleet.add_entry('entry-2')
        _run(fleet, 0.1)
        fleet.add_endpoint('late')
        _run(fleet, 5.0)
        assert fleet.entries[2].node.adoption.current is None
        fleet.driver.kill(fleet.entries[2])
        fleet.add_entry('entry-0')
        _run(fleet, 6.0)
        assert self._versions(fleet) - {0} == {4}

    def test_invalid_value_is_ignored_and_reported(self):
        # Guards against adopting a malformed value from the platform.
        fleet = testing.make_fleet()
        for body in (b'', b'{}', b'[1]', b'{"version": 9}', b'\xff'):
            fleet.driver.feed(fleet.entries[0], events.ConfigSeen(body))
        assert fleet.entries[0].node.adoption.rejected
        assert self._versions(fleet) == {1}

    def test_removed_customer_is_refused_everywhere(self):
        # Guards against a configuration that is stored but not applied.
        fleet = testing.make_fleet()
        cfg = testing.configuration(version=2, customers=('other',))
        fleet.configure(cfg)
        _run(fleet, 1.0)
        for index in (0, 1):
            req = fleet.submit(index, testing.spec([50]))
            _run(fleet, 0.1)
            answer = fleet.answer(index, req)
            assert answer.type == 'unknown-customer'
