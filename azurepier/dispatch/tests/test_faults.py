"""Faults of processes, connections and workers, on virtual time."""

import random

import attrs

from azurepier import dispatch
from azurepier.dispatch import bounds
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier import testing


def note_names(fleet):
    return [note.event for _, _, note in fleet.driver.notes]


def endpoints_running(fleet):
    """Return the names of the workers that run something."""
    return [name for name, each in fleet.workers.items() if each.runs]


def busiest(fleet):
    """Return the name of the worker that runs most."""
    return max(fleet.workers, key=lambda name: len(fleet.workers[name].runs))


class TestBounds:
    def test_nothing_runs_when_callers_send_again(self):
        """Guards against bounds that let two submissions overlap."""
        resend_s = 1.3
        stop_s = 0.05
        over = bounds.SILENCE_S + bounds.LEASE_S * 1.02 + stop_s
        assert over < resend_s
        assert bounds.RUNS_OVER_S >= bounds.SILENCE_S + bounds.LEASE_S

    def test_a_pause_is_noticed_before_a_connection_is_given_up(self):
        """Guards against messages that a paused process sends late."""
        assert bounds.BEAT_S < bounds.STALL_S < bounds.SILENCE_S


class TestEntry:
    def test_killed(self):
        """Guards against runs that go on beside the second submission."""
        fleet = testing.make_pool()
        call = fleet.submit(3.0, count=6, entry='e0')
        fleet.run_for(0.5)
        fleet.kill_entry('e0')
        fleet.run_for(8.0)
        assert call.body == dispatch.Finished(True)
        assert call.tries == 2
        assert fleet.ledger.overlaps == []

    def test_killed_while_its_callers_find_the_same_workers(self):
        """Guards against a task refused for good where it ran before."""
        fleet = testing.make_pool(speeds=(1.0,))
        call = fleet.submit(0.5, count=8, entry='e0')
        fleet.run_for(0.2)
        fleet.kill_entry('e0')
        fleet.run_for(4.0)
        assert call.body == dispatch.Finished(True)
        assert fleet.ledger.overlaps == []

    def test_frozen_while_its_callers_go_elsewhere(self):
        """Guards against starts of a process that has just woken up."""
        fleet = testing.make_pool()
        calls = [fleet.submit(2.0, count=6, entry='e0') for _ in range(6)]
        fleet.run_for(0.1)
        process = fleet.entries['e0']
        fleet.driver.freeze(process)
        for call in calls:
            fleet.break_off(call)
        fleet.run_for(4.0)
        fleet.driver.thaw(process)
        fleet.run_for(12.0)
        assert all(call.body is not None for call in calls)
        assert fleet.ledger.overlaps == []
        assert 'paused' in note_names(fleet)

    def test_silent_connection(self):
        """Guards against a run that is started twice for lack of news."""
        fleet = testing.make_pool()
        call = fleet.submit(1.5, count=6, entry='e0')
        fleet.run_for(0.2)
        for name in endpoints_running(fleet):
            fleet.driver.silence(fleet.entries['e0'], fleet.endpoints[name])
        fleet.run_for(6.0)
        assert call.body == dispatch.Finished(True)
        assert fleet.ledger.overlaps == []

    def test_reset_connections_resume(self):
        """Guards against runs that are lost with their connection."""
        fleet = testing.make_pool()
        call = fleet.submit(1.0, count=6, entry='e0')
        fleet.run_for(0.3)
        entry = fleet.entries['e0']
        for link in list(entry.connections.values()):
            fleet.driver._close(link)
        fleet.run_for(1.0)
        assert call.body == dispatch.Finished(True)
        assert call.answered_at - call.sent_at < 1.1
        assert sum(fleet.ledger.started.values()) == 6

    def test_cut_from_a_worker_for_long(self):
        """Guards against jobs that wait for a worker that is cut off."""
        fleet = testing.make_pool()
        call = fleet.submit(1.0, count=6, entry='e0')
        fleet.run_for(0.3)
        name = busiest(fleet)
        fleet.driver.cut(fleet.entries['e0'], fleet.endpoints[name])
        fleet.run_for(6.0)
        assert call.body == dispatch.Finished(True)
        assert fleet.ledger.overlaps == []

    def test_cut_from_all_workers(self):
        """Guards against callers kept by an entry that reaches nobody."""
        fleet = testing.make_pool()
        call = fleet.submit(1.0, count=6, entry='e0')
        fleet.run_for(0.3)
        entry = fleet.entries['e0']
        for endpoint in fleet.endpoints.values():
            fleet.driver.cut(entry, endpoint)
        fleet.run_for(1.0)
        assert not dispatch.is_ready(entry.node, fleet.driver.now)
        fleet.run_for(6.0)
        assert call.body == dispatch.Finished(True)
        assert call.tries == 2
        assert fleet.ledger.overlaps == []

    def test_restarted_just_now(self):
        """Guards against jobs refused before endpoints could connect."""
        fleet = testing.make_pool(entries=1)
        fleet.kill_entry('e0')
        fleet.run_for(1.0)
        fleet.start_entry('e0')
        call = fleet.submit(0.5, count=2, entry='e0')
        fleet.run_for(1.0)
        assert call.body == dispatch.Finished(True)

    def test_endpoints_connect_one_by_one(self):
        """Guards against jobs refused for what the first endpoint offers."""
        fleet = testing.make_pool(entries=1, speeds=(1.0,))
        hello = fleet.endpoints['w0'].node.hello(1)
        options = fleet.entries['e0'].node.options
        node = dispatch.create(options, random.Random(1), 0.0)
        state = messages.PoolState(
            pool='pool',
            labels=[],
            cpu=8000,
            mem_mb=1000,
            gpu=0,
            free_cpu=8000,
            free_mem_mb=1000,
            free_gpu=0,
            accepting=True,
            seen=0,
            speed=1.0,
            failures=0,
            wanted=0.0,
            entries=1,
        )
        known = messages.RunsKnown(running=[], ends=[], state=state)
        # The last job has to wait for 1.5 s on this endpoint.
        jobs = [
            dispatch.JobRequest(f'{n}', 's', 8, 500, dispatch.Needs(1000))
            for n in range(4)
        ]
        found = []
        for event in (
            events.ConnectionOpened(1, hello),
            events.Received(1, known),
            *(dispatch.Submit(n, testing.queue(), jobs[n]) for n in range(4)),
        ):
            found += dispatch.handle(node, event, 10.0)
        for at in (10.0, 10.2):
            found += dispatch.handle(node, events.Tick(), at)
        assert not any(isinstance(each, effects.Answer) for each in found)
        found = dispatch.handle(node, events.Tick(), 10.45)
        found += dispatch.handle(node, events.Tick(), 10.45)
        assert any(isinstance(each, effects.Answer) for each in found)

    def test_asked_to_stop(self):
        """Guards against work in hand that is dropped."""
        fleet = testing.make_pool()
        call = fleet.submit(3.0, count=6, entry='e0')
        fleet.run_for(0.2)
        process = fleet.entries['e0']
        fleet.driver.feed(process, events.Drain())
        fleet.run_for(3.5)
        assert call.body == dispatch.Finished(True)
        assert call.tries == 1
        fleet.run_for(1.0)
        assert process.stopped

    def test_asked_to_stop_with_work_that_is_too_long(self):
        """Guards against "not run" for a job whose tasks have started."""
        fleet = testing.make_pool()
        call = fleet.submit(9.0, count=2, entry='e0')
        fleet.run_for(0.2)
        fleet.driver.feed(fleet.entries['e0'], events.Drain())
        fleet.run_for(6.0)
        assert fleet.entries['e0'].stopped
        assert fleet.wrong_answers == []
        fleet.run_for(12.0)
        assert call.tries == 2
        assert call.body == dispatch.Finished(True)
        assert fleet.ledger.overlaps == []

    def test_submission_after_the_last_work_has_ended(self):
        """Guards against jobs that begin while the process ends."""
        fleet = testing.make_pool()
        process = fleet.entries['e0']
        fleet.driver.feed(process, events.Drain())
        fleet.run_for(5.0)
        assert process.stopped
        job = dispatch.JobRequest('f' * 16, 's', 1, 10, dispatch.Needs(1000))
        event = dispatch.Submit(999, testing.queue(), job)
        found = dispatch.handle(process.node, event, fleet.driver.now)
        answer = [each for each in found if isinstance(each, effects.Answer)]
        assert [each.body.verdict for each in answer] == [
            dispatch.Verdict.NOT_RUN
        ]

    def test_work_too_long_for_what_is_left_is_refused_at_once(self):
        """Guards against accepting what can't be finished."""
        fleet = testing.make_pool()
        fleet.submit(1.0, entry='e0')
        fleet.driver.feed(fleet.entries['e0'], events.Drain())
        job = fleet.calls[0].job
        event = dispatch.Submit(
            999,
            fleet.calls[0].queue,
            dispatch.JobRequest('f' * 16, 'job-0', 1, 8000, job.needs),
        )
        fleet.driver.feed(fleet.entries['e0'], event)
        _, body = fleet.driver.answers[('e0', 999)]
        assert body.reason == 'draining'
        assert body.verdict is dispatch.Verdict.NOT_RUN


class TestEndpointProcess:
    def test_killed_beside_a_living_worker(self):
        """Guards against a second start while the lease still runs."""
        fleet = testing.make_pool()
        call = fleet.submit(2.0, count=6, entry='e0')
        fleet.run_for(0.3)
        name = busiest(fleet)
        fleet.driver.kill(fleet.endpoints[name])
        fleet.run_for(0.4)
        fleet.start_endpoint(name)
        fleet.run_for(6.0)
        assert call.body == dispatch.Finished(True)
        assert fleet.ledger.overlaps == []

    def test_killed_and_never_started_again(self):
        """Guards against runs that nobody stops beside their next start."""
        fleet = testing.make_pool()
        call = fleet.submit(3.0, count=6, entry='e0')
        fleet.run_for(0.3)
        fleet.driver.kill(fleet.endpoints[busiest(fleet)])
        fleet.run_for(9.0)
        assert call.body == dispatch.Finished(True)
        assert fleet.ledger.overlaps == []

    def test_frozen(self):
        """Guards against orders that a woken process still hands on."""
        fleet = testing.make_pool()
        call = fleet.submit(1.0, count=6, entry='e0')
        fleet.run_for(0.3)
        name = busiest(fleet)
        process = fleet.endpoints[name]
        fleet.driver.freeze(process)
        fleet.run_for(3.0)
        fleet.driver.thaw(process)
        fleet.run_for(3.0)
        assert call.body == dispatch.Finished(True)
        assert fleet.ledger.overlaps == []

    def test_asked_to_stop(self):
        """Guards against new runs on a worker whose process will end."""
        fleet = testing.make_pool(speeds=(1.0, 0.9))
        fleet.driver.feed(fleet.endpoints['w0'], events.Drain())
        call = fleet.submit(0.5, count=4, entry='e0')
        fleet.run_for(1.0)
        assert call.body == dispatch.Finished(True)
        assert fleet.endpoints['w0'].stopped
        assert fleet.workers['w0'].highest == {}


class TestWorker:
    def test_orders_carried_out_late(self):
        """Guards against a start that is carried out after its caller."""
        fleet = testing.make_pool(speeds=(1.0,) * 6)
        for worker in fleet.workers.values():
            worker.late_share = 0.3
        calls = [fleet.submit(0.3, count=4) for _ in range(20)]
        fleet.run_for(20.0)
        assert all(call.body is not None for call in calls)
        assert fleet.ledger.overlaps == []
        assert fleet.wrong_answers == []

    def test_lost_answers(self):
        """Guards against a run whose answer was lost being run again."""
        fleet = testing.make_pool()
        for worker in fleet.workers.values():
            worker.lost_share = 1.0
        call = fleet.submit(0.5, count=6)
        fleet.run_for(2.0)
        assert call.body == dispatch.Finished(True)
        assert sum(fleet.ledger.started.values()) == 6

    def test_fails_everything(self):
        """Guards against a failing worker that attracts work."""
        fleet = testing.make_pool()
        fleet.workers['w0'].failing = True
        calls = []
        for _ in range(100):
            calls.append(fleet.submit(0.1, count=2))
            fleet.run_for(0.05)
        fleet.run_for(2.0)
        done = [each.body == dispatch.Finished(True) for each in calls]
        assert all(done)
        # Two jobs of two tasks make it suspect, of which others are on their
        # way; then five single trials follow in seven seconds.
        assert fleet.workers['w0'].count <= 12

    def test_fails_beside_a_long_task_that_succeeds(self):
        """Guards against failures that an old task's success clears."""
        fleet = testing.make_pool(speeds=(1.0, 1.0))
        for _ in range(3):
            fleet.submit(1.0, count=4, cpu=2000)
        fleet.run_for(0.2)
        for worker in fleet.workers.values():
            assert worker.runs
        fleet.workers['w0'].failing = True
        for _ in range(40):
            fleet.submit(0.05, count=1, cpu=100)
            fleet.run_for(0.05)
        assert fleet.workers['w0'].count < 20

    def test_works_again(self):
        """Guards against a worker that is avoided for good."""
        fleet = testing.make_pool()
        fleet.workers['w0'].failing = True
        for _ in range(20):
            fleet.submit(0.1, count=2)
            fleet.run_for(0.05)
        fleet.workers['w0'].failing = False
        before = fleet.workers['w0'].count
        for _ in range(60):
            fleet.submit(0.1, count=8, cpu=1000)
            fleet.run_for(0.05)
        assert fleet.workers['w0'].count > before + 50

    def test_stands_still(self):
        """Guards against jobs that wait for tasks that don't get on."""
        fleet = testing.make_pool()
        call = fleet.submit(1.0, count=4)
        fleet.run_for(0.3)
        name = busiest(fleet)
        fleet.workers[name].set_factor(float('inf'))
        fleet.run_for(2.5)
        assert call.body == dispatch.Finished(True)
        assert call.answered_at - call.sent_at < 2.0

    def test_turns_slow(self):
        """Guards against tasks left on a worker that has turned slow."""
        fleet = testing.make_pool()
        for _ in range(20):
            fleet.submit(0.2, count=2)
            fleet.run_for(0.1)
        call = fleet.submit(1.0, count=4)
        fleet.run_for(0.2)
        name = busiest(fleet)
        fleet.workers[name].set_factor(8.0)
        fleet.run_for(4.0)
        assert call.body == dispatch.Finished(True)
        assert call.answered_at - call.sent_at < 2.2

    def test_crashes(self):
        """Guards against jobs that wait for what a crash has ended."""
        fleet = testing.make_pool()
        call = fleet.submit(1.0, count=4)
        fleet.run_for(0.3)
        name = busiest(fleet)
        fleet.workers[name].crash()
        fleet.run_for(2.0)
        assert call.body == dispatch.Finished(True)
        assert call.answered_at - call.sent_at < 1.6

    def test_goes_dark(self):
        """Guards against jobs that wait for a worker without an answer."""
        fleet = testing.make_pool()
        call = fleet.submit(1.0, count=4)
        fleet.run_for(0.3)
        name = busiest(fleet)
        fleet.workers[name].dark = True
        fleet.run_for(4.0)
        assert call.body == dispatch.Finished(True)
        assert fleet.ledger.overlaps == []

    def test_leaves(self):
        """Guards against new work on a worker that is leaving."""
        fleet = testing.make_pool(speeds=(1.0, 0.9))
        fleet.workers['w0'].leaving = True
        fleet.run_for(1.6)
        fleet.submit(0.5, count=4)
        fleet.run_for(0.2)
        assert endpoints_running(fleet) == ['w1']

    def test_room_is_never_exceeded(self):
        """Guards against more tasks than a worker has processors."""
        fleet = testing.make_pool(speeds=(1.0, 1.0))
        for _ in range(30):
            fleet.submit(0.1, count=8, cpu=3000)
        fleet.run_for(5.0)
        for worker in fleet.workers.values():
            assert worker.most_used <= worker.cpu


class TestJobs:
    def test_a_task_that_always_fails(self):
        """Guards against a job that is tried for ever."""
        fleet = testing.make_pool()
        call = fleet.submit(0.2, count=2, fails=True)
        fleet.run_for(2.0)
        assert call.body == dispatch.Finished(False)

    def test_too_large_for_every_worker(self):
        """Guards against a job that waits for room that never comes."""
        fleet = testing.make_pool()
        call = fleet.submit(0.2, cpu=9000)
        assert call.body.reason == 'impossible'

    def test_caller_leaves(self):
        """Guards against work for a caller that has gone."""
        fleet = testing.make_pool()
        call = fleet.submit(2.0, count=4, entry='e0')
        fleet.run_for(0.2)
        call.left = True
        fleet.break_off(call)
        fleet.run_for(0.1)
        assert endpoints_running(fleet) == []

    def test_same_job_again(self):
        """Guards against a second run of a job that is submitted again."""
        fleet = testing.make_pool()
        call = fleet.submit(0.5, count=4, entry='e0')
        fleet.run_for(0.2)
        entry = fleet.entries['e0']
        again = dispatch.Submit(777, call.queue, call.job)
        fleet.driver.feed(entry, again)
        fleet.run_for(1.0)
        fleet.driver.feed(entry, attrs.evolve(again, req=778))
        for req in (777, 778):
            _, body = fleet.driver.answers[('e0', req)]
            assert body == dispatch.Finished(True)
        assert sum(fleet.ledger.started.values()) == 4

    def test_one_of_two_callers_leaves(self):
        """Guards against a caller that loses its job to another's leave."""
        fleet = testing.make_pool()
        call = fleet.submit(0.5, count=4, entry='e0')
        entry = fleet.entries['e0']
        again = dispatch.Submit(777, call.queue, call.job)
        fleet.driver.feed(entry, again)
        fleet.run_for(0.2)
        call.left = True
        fleet.break_off(call)
        fleet.run_for(0.5)
        _, body = fleet.driver.answers[('e0', 777)]
        assert body == dispatch.Finished(True)
