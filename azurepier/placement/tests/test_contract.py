"""Contract tests of the placement policies; estimates and the breaker."""

import random

import attrs
import pytest

from azurepier import kernel
from azurepier.kernel import registry
from azurepier import placement


@attrs.define(eq=False)
class _View:
    name: str
    speed: float
    credit_share: float = 0.5
    open_starts: dict = attrs.field(factory=dict)

    @property
    def incarnation(self):
        return self.name


@attrs.define
class _OpenStart:
    sent_at: float
    work_s: float


def _views(*speeds):
    return [_View(f'e{n}', speed) for n, speed in enumerate(speeds)]


@pytest.fixture(params=registry.names('placement'))
def choose(request):
    return registry.get('placement', request.param)(random.Random(1))


class TestContract:
    def test_choice_is_a_ready_endpoint(self, choose):
        # Guards against a start on an endpoint without a free slot.
        views = _views(4.0, 2.0, 1.0)
        forecast = placement.SlotForecast(views, 0.0)
        for _ in range(50):
            chosen = choose(
                views[1:], placement.PlacementRequest(0.1, forecast)
            )
            assert chosen in views[1:]

    def test_single_endpoint_is_always_chosen(self, choose):
        # Guards against holding a task when no endpoint is faster.
        views = _views(0.5)
        request = placement.PlacementRequest(
            10.0, placement.SlotForecast(views, 0.0)
        )
        assert choose(views, request) is views[0]


class TestExpectedCompletion:
    def _choose(self, ready, views, work_s, now=0.0):
        policy = registry.get('placement', 'expected_completion')
        request = placement.PlacementRequest(
            work_s, placement.SlotForecast(views, now)
        )
        return policy(random.Random(1))(ready, request)

    def test_task_waits_for_faster_endpoint_that_is_nearly_free(self):
        # Guards against slow endpoints that delay the last task of a job.
        fast, slow = views = _views(4.0, 1.0)
        fast.open_starts[1] = _OpenStart(sent_at=-0.4, work_s=2.0)
        assert self._choose([slow], views, 2.0) is placement.HOLD
        assert self._choose([slow], views, 0.1) is slow

    def test_held_tasks_reserve_different_slots(self):
        # Guards against holding many tasks for the same slot.
        fast, slow = views = _views(4.0, 1.0)
        fast.open_starts[1] = _OpenStart(sent_at=-0.4, work_s=2.0)
        forecast = placement.SlotForecast(views, 0.0)
        policy = registry.get('placement', 'expected_completion')
        choose = policy(random.Random(1))
        chosen = [
            choose([slow], placement.PlacementRequest(1.0, forecast))
            for _ in range(4)
        ]
        assert chosen[0] is placement.HOLD
        assert chosen[-1] is slow

    def test_overdue_task_is_not_expected_to_end_at_once(self):
        # Guards against holding a task for a slot whose task is overdue.
        fast, slow = views = _views(4.0, 1.0)
        fast.open_starts[1] = _OpenStart(sent_at=-30.0, work_s=0.5)
        assert self._choose([slow], views, 2.0) is slow


class TestEstimates:
    def test_speeds_are_learned_and_do_not_drift(self):
        # Guards against speed estimates that grow without bound.
        rng = random.Random(3)
        estimates = placement.estimates.Estimates()
        speeds = {1.0: placement.estimates.Mean()}
        speeds[4.0] = placement.estimates.Mean()
        task = kernel.TaskSpec('k', b'{}')
        for _ in range(20_000):
            true_speed = rng.choice(list(speeds))
            run_s = rng.lognormvariate(-1, 0.5) / true_speed
            placement.estimates.record_run_time(
                estimates, speeds[true_speed], 'c', task, run_s
            )
        estimated = [
            placement.estimates.speed_from_log(s) for s in speeds.values()
        ]
        assert estimated[1] / estimated[0] == pytest.approx(4.0, rel=0.2)
        assert 0.2 < estimated[0] < 2.0

    def test_relation_of_declared_to_actual_durations_is_learned(self):
        # Guards against trusting declared durations, and against ignoring
        # the few that identify a long task.
        rng = random.Random(4)
        estimates = placement.estimates.Estimates()
        speed = placement.estimates.Mean()
        for _ in range(5000):
            run_s = 10.0 if rng.random() < 0.02 else 0.2
            error = 10 ** rng.uniform(-1, 1)
            task = kernel.TaskSpec('k', b'{}', run_s * error * 1000)
            placement.estimates.record_run_time(
                estimates, speed, 'c', task, run_s
            )
        work_of = placement.estimates.expected_work
        short_s = work_of(estimates, 'c', kernel.TaskSpec('k', b'{}', 100.0))
        long_s = work_of(estimates, 'c', kernel.TaskSpec('k', b'{}', 60_000.0))
        assert short_s < 0.5
        assert long_s > 3.0


class TestBreaker:
    def test_half_open_breaker_admits_one_probe(self):
        # Guards against a breaker that closes for all tasks before a probe
        # has succeeded.
        breaker = placement.breaker.Breaker()
        kind_failures = placement.breaker.KindFailures()
        for _ in range(placement.breaker.OPEN_AFTER_FAILURES):
            opened = placement.breaker.record_failure(
                breaker, kind_failures, 'k', 0.0
            )
        assert opened
        assert not placement.breaker.allows(breaker, 0.5)
        assert placement.breaker.allows(breaker, 1.5)
        placement.breaker.record_start(breaker)
        assert not placement.breaker.allows(breaker, 1.5)
        assert placement.breaker.record_failure(
            breaker, kind_failures, 'k', 1.6
        )
        assert not placement.breaker.allows(breaker, 3.0)
        placement.breaker.record_start(breaker)
        placement.breaker.record_success(breaker, kind_failures, 'k')
        assert placement.breaker.allows(breaker, 3.0)
