"""Contract tests of all registered queue disciplines."""

import random

import pytest

from azurepier.kernel import registry
from azurepier import queueing
from azurepier.queueing import DispatchResult


def _waiting(number, customer='ash', work_by_task=(1.0,), **options):
    fields = {
        'urgent': False,
        'weight': 1.0,
        'queued_at': float(number),
        'deadline_at': 1e6,
        **options,
    }
    waiting = queueing.WaitingJob(
        job_id=str(number), customer=customer, tasks=[], work=[], **fields
    )
    queueing.set_tasks(waiting, list(work_by_task))
    return waiting


def _serve(discipline, count):
    """Start up to `count` tasks and return the ids of their jobs."""
    served = []
    candidates = discipline.candidates()
    try:
        waiting = next(candidates)
        while len(served) < count:
            queueing.pop_task(waiting)
            served.append(waiting.job_id)
            waiting = candidates.send(DispatchResult.STARTED)
    except StopIteration:
        pass
    finally:
        candidates.close()
    return served


@pytest.fixture(params=registry.names('queueing'))
def discipline(request):
    return registry.get('queueing', request.param)()


class TestContract:
    def test_every_task_starts_once(self, discipline):
        # Guards against tasks that are lost or started twice.
        rng = random.Random(1)
        expected = []
        for number in range(50):
            work_by_task = [
                rng.uniform(0.1, 2) for _ in range(rng.randint(1, 9))
            ]
            customer = f'c{rng.randrange(4)}'
            discipline.push(_waiting(number, customer, work_by_task), 0.0)
            expected += [str(number)] * len(work_by_task)
        served = []
        while batch := _serve(discipline, 7):
            served += batch
        assert sorted(served) == sorted(expected)

    def test_removed_job_is_no_candidate(self, discipline):
        # Guards against starting a cancelled job. Removal is idempotent.
        jobs = [_waiting(number) for number in range(3)]
        for waiting in jobs:
            discipline.push(waiting, 0.0)
        discipline.remove(jobs[1])
        discipline.remove(jobs[1])
        assert sorted(_serve(discipline, 9)) == ['0', '2']

    def test_returned_task_is_started_again(self, discipline):
        # Guards against losing a task that provably did not run.
        waiting = _waiting(0, work_by_task=(1.0, 2.0))
        discipline.push(waiting, 0.0)
        assert _serve(discipline, 2) == ['0', '0']
        queueing.return_task(discipline, waiting, 1, 5.0)
        assert _serve(discipline, 9) == ['0']
        assert waiting.work_s == pytest.approx(0.0)

    def test_blocked_job_stays_queued(self, discipline):
        # Guards against dropping a job whose tasks could not start yet.
        for number in range(3):
            discipline.push(_waiting(number, f'c{number}'), 0.0)
        candidates = discipline.candidates()
        next(candidates)
        for result in (
            DispatchResult.BLOCKED,
            DispatchResult.CUSTOMER_BLOCKED,
        ):
            candidates.send(result)
        candidates.close()
        assert sorted(_serve(discipline, 9)) == ['0', '1', '2']

    def test_work_ahead_counts_waiting_tasks(self, discipline):
        # Work that has been started does not count as waiting work.
        discipline.push(_waiting(0, 'a', (1.0, 2.0)), 0.0)
        discipline.push(_waiting(1, 'b', (4.0,)), 0.0)
        assert discipline.work_ahead('a', False).total_s == pytest.approx(7.0)
        _serve(discipline, 3)
        assert discipline.work_ahead('a', False).total_s == pytest.approx(0.0)


class TestFair:
    def _fair(self):
        return registry.get('queueing', 'fair')()

    def test_urgent_jobs_are_served_first(self):
        # Guards against urgent jobs that wait behind ordinary ones.
        discipline = self._fair()
        discipline.push(_waiting(0, work_by_task=(0.1,)), 0.0)
        discipline.push(_waiting(1, work_by_task=(9.0,), urgent=True), 0.0)
        assert _serve(discipline, 2) == ['1', '0']

    def test_small_job_overtakes_large_job(self):
        # Guards against head-of-line blocking by a large job.
        discipline = self._fair()
        discipline.push(_waiting(0, 'a', [1.0] * 100), 0.0)
        _serve(discipline, 5)
        discipline.push(_waiting(1, 'a', [1.0]), 0.0)
        assert _serve(discipline, 1) == ['1']

    def test_shares_follow_weights(self):
        # Guards against a customer that gains capacity by submitting more.
        discipline = self._fair()
        options = {'queued_at': 0.0}
        for number in range(400):
            heavy = _waiting(number, 'heavy', weight=3.0, **options)
            light = _waiting(1000 + number, 'light', **options)
            discipline.push(heavy, 0.0)
            discipline.push(light, 0.0)
        served = _serve(discipline, 400)
        heavy = sum(int(job_id) < 1000 for job_id in served)
        assert 280 <= heavy <= 320

    def test_job_near_its_deadline_is_not_overtaken(self):
        # Small jobs must not delay a large job past its deadline.
        discipline = self._fair()
        large = _waiting(0, 'a', [1.0] * 50, deadline_at=4.0)
        discipline.push(large, 0.0)
        discipline.push(_waiting(5, 'a', [1.0]), 5.0)
        assert _serve(discipline, 1) == ['0']


class TestAdmission:
    def test_wait_is_bounded_by_fair_share(self):
        # Guards against refusing a customer because of the backlog of others.
        ahead = queueing.WorkAhead(
            customer_s=10.0, total_s=1000.0, other_weights=1.0
        )
        wait_s = queueing.admission.expected_wait(ahead, 0.0, 1.0, 10.0)
        assert wait_s == pytest.approx(2.0)

    def test_customer_below_its_share_is_accepted_in_overload(self):
        # Guards against refusing infrequent large jobs of a customer that
        # uses less than its fair share.
        ahead = queueing.WorkAhead(
            customer_s=60.0, total_s=500.0, other_weights=9.0
        )
        exceeds = queueing.admission.exceeds_share
        assert not exceeds(ahead, 1.0, 100.0, accepted_rate=5.0)
        assert exceeds(ahead, 1.0, 100.0, accepted_rate=12.0)
