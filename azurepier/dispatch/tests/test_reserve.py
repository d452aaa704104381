"""Room that is kept for urgent queues."""

import pathlib
import statistics

import attrs
import pytest

from azurepier import dispatch
from azurepier.dispatch import _reserve
from azurepier.dispatch import _state
from azurepier import experiment as experiments
from azurepier import testing

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples' / 'experiments'
URGENT, USUAL = 0, 1


@attrs.define
class _Node:
    last_arrival_at: dict = attrs.field(factory=dict)


def job(priority, cpu=1000, at=10.0):
    request = dispatch.JobRequest(
        'a' * 16, 's', 1, 100, dispatch.Resources(cpu)
    )
    queue = testing.queue(f'q{priority}', priority=priority)
    return _state.Job({1}, queue, request, at, 0.1, at + 0.22)


def endpoints(free_cpu, cpu=50000):
    found = _state.Endpoint('w', 'w-1', 'd', cpu=cpu, free_cpu=free_cpu)
    return [found]


def node_with(*jobs):
    node = _Node()
    for each in jobs:
        _reserve.record_arrival(node, each)
    return node


class TestIsKept:
    def test_room_for_one_urgent_task_stays_free(self):
        """Guards against usual jobs that take the last room."""
        node = node_with(job(URGENT), job(USUAL))
        usual = job(USUAL)
        assert _reserve.is_deferred(node, endpoints(2500), usual, 10.0)
        assert not _reserve.is_deferred(node, endpoints(3000), usual, 10.0)

    @pytest.mark.parametrize(
        ('arrived', 'asking', 'now'),
        [
            (job(URGENT), job(URGENT), 10.0),
            (job(USUAL), job(USUAL), 10.0),
            (job(USUAL), job(URGENT), 10.0),
            (job(URGENT), job(USUAL), 10.1 + _reserve.URGENT_RESERVE_HOLD_S),
        ],
    )
    def test_nothing_is_kept(self, arrived, asking, now):
        """Guards against room that stays free for nobody."""
        node = node_with(arrived)
        assert not _reserve.is_deferred(node, endpoints(1000), asking, now)

    def test_other_pools(self):
        """Guards against room kept for a queue that another pool serves."""
        other = job(URGENT)
        other.queue = attrs.evolve(other.queue, pool='other')
        node = node_with(other)
        assert not _reserve.is_deferred(
            node, endpoints(1000), job(USUAL), 10.0
        )

    def test_large_tasks(self):
        """Guards against tasks of nearly a whole pool that never start."""
        node = node_with(job(URGENT))
        large = job(USUAL, cpu=49000)
        assert not _reserve.is_deferred(node, endpoints(50000), large, 10.0)

    def test_begun_jobs(self):
        """Guards against jobs that are begun and then starve."""
        node = node_with(job(URGENT))
        begun = job(USUAL)
        begun.may_have_run = True
        assert not _reserve.is_deferred(node, endpoints(1000), begun, 10.0)


class TestRecordedBurst:
    """A burst to twice the capacity, as the entries of a day logged it."""

    def figures(self, policy):
        path = EXAMPLES / 'burst-two-fold.toml'
        spec = experiments.load(
            path.read_text(),
            experiments.POLICIES,
            experiments.FAULTS,
            path.parent,
        )
        plays = [experiments.play(spec, policy, seed) for seed in (1, 2, 3)]
        urgent, others = [], []
        for play in plays:
            for row in play.outcomes:
                group = urgent if row.kind == 'short' else others
                group.append(row.what == 'in time')
        return statistics.mean(urgent), statistics.mean(others)

    def test_urgent_jobs_are_served(self):
        """Guards against short urgent jobs that usual ones keep out."""
        urgent, others = self.figures('azurepier')
        urgent_before, others_before = self.figures('no reserve')
        assert urgent > urgent_before + 0.05
        assert others > others_before - 0.05
