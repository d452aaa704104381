"""Tests of invariants under single faults and pairs of faults."""

import pytest

from azurepier import kernel
from azurepier.kernel import events
from azurepier import testing

Verdict = kernel.Verdict


def _kill_owner(fleet):
    fleet.driver.kill(fleet.entries[0])


def _freeze_owner(fleet):
    owner = fleet.entries[0]
    fleet.driver.freeze(owner)
    fleet.driver.after(20.0, fleet.driver.thaw, owner)


def _freeze_owner_briefly(fleet):
    owner = fleet.entries[0]
    fleet.driver.freeze(owner)
    fleet.driver.after(2.5, fleet.driver.thaw, owner)


def _kill_endpoint(fleet):
    fleet.driver.kill(fleet.endpoints[2])


def _freeze_endpoint(fleet):
    frozen = fleet.endpoints[2]
    fleet.driver.freeze(frozen)
    fleet.driver.after(8.0, fleet.driver.thaw, frozen)


def _freeze_endpoint_briefly(fleet):
    frozen = fleet.endpoints[2]
    fleet.driver.freeze(frozen)
    fleet.driver.after(2.0, fleet.driver.thaw, frozen)


def _silence_endpoint(fleet):
    fleet.driver.silence(fleet.entries[0], fleet.endpoints[2])


def _silence_entries(fleet):
    fleet.driver.silence(fleet.entries[0], fleet.entries[1])


def _silence_all(fleet):
    for process in fleet.endpoints:
        fleet.driver.silence(fleet.entries[0], process)


def _drain_endpoint(fleet):
    fleet.driver.feed(fleet.endpoints[2], events.Drain())


FAULTS = {
    'owner dies': _kill_owner,
    'owner freezes longer than every lease': _freeze_owner,
    'owner freezes briefly': _freeze_owner_briefly,
    'endpoint dies': _kill_endpoint,
    'endpoint freezes longer than every lease': _freeze_endpoint,
    'endpoint freezes briefly': _freeze_endpoint_briefly,
    'connection to an endpoint goes silent': _silence_endpoint,
    'connection between entries goes silent': _silence_entries,
    'all connections of the owner go silent': _silence_all,
    'endpoint leaves': _drain_endpoint,
}
FAULT_PAIRS = [
    ('owner dies', 'endpoint dies'),
    ('owner dies', 'endpoint freezes longer than every lease'),
    ('owner freezes briefly', 'connection to an endpoint goes silent'),
    ('owner freezes longer than every lease', 'endpoint dies'),
    ('connection between entries goes silent', 'endpoint freezes briefly'),
    ('all connections of the owner go silent', 'endpoint leaves'),
    ('owner dies', 'all connections of the owner go silent'),
]
CASES = [(name,) for name in FAULTS] + FAULT_PAIRS


def _run_with_faults(names, at_s, resubmit_after_s):
    """Submit, inject faults, resubmit through the other entry."""
    fleet = testing.make_fleet(entries=2, slots=4)
    start = fleet.driver.now
    jobs = []
    for number in range(12):
        spec = testing.spec(
            [150 + 100 * (number % 5)] * (1 + 2 * number),
            urgent=number % 3 == 0,
            deadline_ms=30_000,
        )
        job_id = fleet.new_id(0)
        jobs.append((job_id, spec, fleet.submit(0, spec, job_id)))
    fleet.driver.run_until(start + at_s)
    for name in names:
        FAULTS[name](fleet)
    fleet.driver.run_until(start + at_s + resubmit_after_s)
    resubmissions = [fleet.submit(1, spec, job_id) for job_id, spec, _ in jobs]
    fleet.driver.run_until(start + 60.0)
    return fleet, jobs, resubmissions


@pytest.mark.parametrize('names', CASES, ids=' and '.join)
@pytest.mark.parametrize('at_s', [0.0002, 0.05, 0.4])
@pytest.mark.parametrize('resubmit_after_s', [0.01, 3.0])
class TestAtMostOnce:
    """Resubmissions through another entry during each fault."""

    def test_invariants_hold(self, names, at_s, resubmit_after_s):
        # No task starts twice, and neither the original nor the resubmitting
        # caller gets a partial or wrong answer or a false `not_run`.
        fleet, jobs, resubmissions = _run_with_faults(
            names, at_s, resubmit_after_s
        )
        testing.check_no_double_start(fleet)
        for (job_id, spec, first), second in zip(jobs, resubmissions):
            answer = fleet.answer(1, second)
            assert answer is not None, 'a caller received no answer'
            testing.check_job(fleet, spec, answer, job_id)
            testing.check_job(fleet, spec, fleet.answer(0, first), job_id)

    def test_start_messages_stay_within_budget(
        self, names, at_s, resubmit_after_s
    ):
        # Guards against excessive resending of starts during a fault.
        fleet, jobs, _ = _run_with_faults(names, at_s, resubmit_after_s)
        sent = sum(
            p.node.counters.get('starts_sent', 0) for p in fleet.entries
        )
        tasks = sum(len(spec.tasks) for _, spec, _ in jobs)
        assert sent <= 1.1 * tasks


class TestProofOfNotRun:
    def test_start_lost_on_a_silent_connection_is_sent_again(self):
        # Guards against failing a job although the endpoint proves that it
        # never received the start.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,))
        _silence_endpoint_at(fleet, 0)
        req = fleet.submit(0, testing.spec([100]))
        fleet.driver.run_until(fleet.driver.now + 5.0)
        assert isinstance(fleet.answer(0, req), kernel.Complete)
        testing.check_no_double_start(fleet)

    def test_lost_outcome_is_sent_again_in_the_next_session(self):
        # Guards against losing an outcome when the connection is lost.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,))
        req = fleet.submit(0, testing.spec([100]))
        fleet.driver.run_until(fleet.driver.now + 0.05)
        _silence_endpoint_at(fleet, 0)
        fleet.driver.run_until(fleet.driver.now + 5.0)
        assert isinstance(fleet.answer(0, req), kernel.Complete)
        testing.check_no_double_start(fleet)

    def test_dead_endpoint_may_have_run(self):
        # Guards against sending a task again that a dead process may have
        # started.
        fleet = testing.make_fleet(entries=1, speeds=(1.0, 1.0))
        req = fleet.submit(0, testing.spec([1000] * 8))
        fleet.driver.run_until(fleet.driver.now + 0.1)
        fleet.driver.kill(fleet.endpoints[0])
        fleet.driver.run_until(fleet.driver.now + 8.0)
        answer = fleet.answer(0, req)
        assert _answer_type(answer) == 'task-lost'
        assert answer.verdict is Verdict.MAY_HAVE_RUN
        testing.check_no_double_start(fleet)


def _silence_endpoint_at(fleet, index):
    fleet.driver.silence(fleet.entries[0], fleet.endpoints[index])


def _answer_type(answer):
    return getattr(answer, 'type', 'complete')


class TestSubmission:
    def test_same_submission_joins_through_any_entry(self):
        # Guards against running a job a second time when a client resubmits
        # it.
        fleet = testing.make_fleet()
        spec = testing.spec([100, 200])
        job_id = fleet.new_id(0)
        requests = [
            (index, fleet.submit(index, spec, job_id))
            for index in (0, 1, 0, 1)
        ]
        fleet.driver.run_until(fleet.driver.now + 2.0)
        late = fleet.submit(1, spec, job_id)
        fleet.driver.run_until(fleet.driver.now + 1.0)
        answers = {fleet.answer(*request) for request in requests}
        assert answers == {fleet.answer(1, late)}
        testing.check_job(fleet, spec, answers.pop())

    def test_other_content_is_refused(self):
        # Guards against answering a submission with another job's result.
        fleet = testing.make_fleet()
        job_id = fleet.new_id(0)
        fleet.submit(0, testing.spec([100]), job_id)
        req = fleet.submit(1, testing.spec([101]), job_id)
        fleet.driver.run_until(fleet.driver.now + 1.0)
        assert _answer_type(fleet.answer(1, req)) == 'content-differs'

    def test_nothing_starts_after_retention(self):
        # Guards against a second start under an id whose job is no longer
        # retained.
        fleet = testing.make_fleet()
        job_id = fleet.new_id(0)
        fleet.submit(0, testing.spec([100]), job_id)
        for wait_s in (70.0, 600.0, 700.0):
            fleet.driver.run_until(fleet.driver.now + wait_s)
            req = fleet.submit(0, testing.spec([100]), job_id)
            assert _answer_type(fleet.answer(0, req)) == 'expired'
        assert fleet.starts == {(job_id, 0): 1}

    def test_refused_id_stays_refused(self):
        # A job must not start after its caller was told `not_run`.
        cfg = testing.configuration(queue=4, concurrent=1)
        fleet = testing.make_fleet(entries=1, cfg=cfg)
        fleet.submit(0, testing.spec([500] * 4))
        job_id = fleet.new_id(0)
        first = fleet.submit(0, testing.spec([50] * 4), job_id)
        assert fleet.answer(0, first).type == 'queue-full'
        fleet.driver.run_until(fleet.driver.now + 30.0)
        second = fleet.submit(0, testing.spec([50] * 4), job_id)
        assert _answer_type(fleet.answer(0, second)) == 'queue-full'
        fleet.driver.run_until(fleet.driver.now + 5.0)
        assert (job_id, 0) not in fleet.starts

    def test_id_of_an_unknown_incarnation_starts_nothing(self):
        # Guards against starting a job whose owner is unknown.
        fleet = testing.make_fleet()
        job_id = kernel.ids.make('feedfeedfeedfeed', 600, 1, b'x')
        req = fleet.submit(0, testing.spec([100]), job_id)
        fleet.driver.run_until(fleet.driver.now + 5.0)
        assert fleet.answer(0, req).verdict is Verdict.MAY_HAVE_RUN
        assert not fleet.starts


class TestDeadline:
    @pytest.mark.parametrize(
        ('tasks', 'verdict'),
        [([5000], Verdict.MAY_HAVE_RUN), ([50], Verdict.NOT_RUN)],
    )
    def test_answer_comes_at_the_deadline(self, tasks, verdict):
        # Guards against an answer after the deadline and a false verdict.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,))
        if verdict is Verdict.NOT_RUN:
            fleet.submit(0, testing.spec([3000] * 64, deadline_ms=60_000))
            fleet.driver.run_until(fleet.driver.now + 0.01)
        spec = testing.spec(tasks, deadline_ms=1000, kind='other')
        req = fleet.submit(0, spec)
        submitted_at = fleet.driver.now
        fleet.driver.run_until(submitted_at + 3.0)
        at, answer = fleet.driver.answers[(fleet.entries[0].name, req)]
        assert at - submitted_at <= 1.001
        assert answer.verdict is verdict
        assert answer.retry_after_s > 0
        testing.check_job(fleet, spec, answer)


class TestRecovery:
    """Recovery of jobs whose owner is lost."""

    def _submit_and_run(self, times_ms, wait_s):
        fleet = testing.make_fleet(speeds=(1.0,), slots=3)
        spec = testing.spec(times_ms, deadline_ms=20_000)
        job_id = fleet.new_id(0)
        fleet.submit(0, spec, job_id)
        fleet.driver.run_until(fleet.driver.now + wait_s)
        return fleet, spec, job_id

    def _resubmit(self, fleet, spec, job_id, wait_s=10.0):
        req = fleet.submit(1, spec, job_id)
        fleet.driver.run_until(fleet.driver.now + wait_s)
        return fleet.answer(1, req)

    def test_complete_if_every_result_is_found(self):
        # Guards against failing a job whose results are all available.
        fleet, spec, job_id = self._submit_and_run([100, 300], 0.05)
        fleet.driver.kill(fleet.entries[0])
        answer = self._resubmit(fleet, spec, job_id)
        assert isinstance(answer, kernel.Complete)
        testing.check_job(fleet, spec, answer)

    def test_partial_results_fail(self):
        # Guards against answering with partial results.
        fleet, spec, job_id = self._submit_and_run([500] * 6, 0.05)
        fleet.driver.kill(fleet.entries[0])
        answer = self._resubmit(fleet, spec, job_id)
        assert answer.type == 'owner-lost'
        assert answer.verdict is Verdict.MAY_HAVE_RUN
        assert len(fleet.starts) < 6

    def test_other_content_is_refused(self):
        # Guards against answering a submission with another job's results.
        fleet, spec, job_id = self._submit_and_run([100, 300], 0.05)
        fleet.driver.kill(fleet.entries[0])
        answer = self._resubmit(fleet, testing.spec([100, 301]), job_id)
        assert _answer_type(answer) == 'content-differs'

    def test_other_customer_learns_nothing(self):
        # Guards against disclosing results to another customer.
        fleet, spec, job_id = self._submit_and_run([100, 300], 0.05)
        fleet.driver.kill(fleet.entries[0])
        other_spec = testing.spec([100, 300], customer='stranger')
        answer = self._resubmit(fleet, other_spec, job_id)
        assert answer.type == 'owner-lost'

    def test_nothing_starts_after_the_recovered_answer(self):
        # Guards against an owner that continues a job after another entry
        # has recovered and answered it.
        fleet, spec, job_id = self._submit_and_run([2500] * 6, 0.05)
        fleet.driver.partition(fleet.entries[0], fleet.entries[1])
        answer = self._resubmit(fleet, spec, job_id, 4.2)
        assert answer is not None
        before = dict(fleet.starts)
        fleet.driver.run_until(fleet.driver.now + 20.0)
        assert fleet.starts == before

    def test_later_submission_improves_the_answer(self):
        # A failure that was found without the job's spec is replaced when a
        # submission brings the spec.
        fleet, spec, job_id = self._submit_and_run([100, 300], 0.05)
        fleet.driver.kill(fleet.entries[0])
        fleet.request(1, lambda req: events.Fetch(req, job_id, 'ash', 5.0))
        fleet.driver.run_until(fleet.driver.now + 6.0)
        answer = self._resubmit(fleet, spec, job_id)
        assert isinstance(answer, kernel.Complete)
