"""Capacity reserved for urgent queues."""

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
URGENT, ORDINARY = 0, 1


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
    endpoint = _state.Endpoint('w', 'w-1', 'd', cpu=cpu, free_cpu=free_cpu)
    return [endpoint]


def node_with(*jobs):
    node = _Node()
    for each in jobs:
        _reserve.record_arrival(node, each)
    return node


class TestIsDeferred:
    def test_capacity_for_an_urgent_task_stays_free(self):
        """Guards against ordinary jobs that take the reserved capacity."""
        node = node_with(job(URGENT), job(ORDINARY))
        ordinary = job(ORDINARY)
        assert _reserve.is_deferred(node, endpoints(2500), ordinary, 10.0)
        assert not _reserve.is_deferred(node, endpoints(3000), ordinary, 10.0)

    @pytest.mark.parametrize(
        ('arrived', 'asking', 'now'),
        [
            (job(URGENT), job(URGENT), 10.0),
            (job(ORDINARY), job(ORDINARY), 10.0),
            (job(ORDINARY), job(URGENT), 10.0),
            (
                job(URGENT),
                job(ORDINARY),
                10.1 + _reserve.URGENT_RESERVE_HOLD_S,
            ),
        ],
    )
    def test_nothing_is_reserved(self, arrived, asking, now):
        """Guards against capacity that is reserved without need."""
        node = node_with(arrived)
        assert not _reserve.is_deferred(node, endpoints(1000), asking, now)

    def test_other_pools(self):
        """Urgent jobs of one pool must not reserve capacity of another."""
        other = job(URGENT)
        other.queue = attrs.evolve(other.queue, pool='other')
        node = node_with(other)
        assert not _reserve.is_deferred(
            node, endpoints(1000), job(ORDINARY), 10.0
        )

    def test_large_tasks(self):
        """The reserve must not block large tasks forever."""
        node = node_with(job(URGENT))
        large = job(ORDINARY, cpu=49000)
        assert not _reserve.is_deferred(node, endpoints(50000), large, 10.0)

    def test_started_jobs(self):
        """Guards against starvation of jobs that have started."""
        node = node_with(job(URGENT))
        started = job(ORDINARY)
        started.may_have_run = True
        assert not _reserve.is_deferred(node, endpoints(1000), started, 10.0)


class TestRecordedBurst:
    """A burst of twice the capacity, recorded from the logs of entries."""

    def shares_in_time(self, policy):
        path = EXAMPLES / 'burst-two-fold.toml'
        spec = experiments.load(
            path.read_text(),
            experiments.POLICIES,
            experiments.FAULTS,
            path.parent,
        )
        results = [
            experiments.simulate(spec, policy, seed) for seed in (1, 2, 3)
        ]
        urgent, other_kinds = [], []
        for result in results:
            for row in result.outcomes:
                group = urgent if row.kind == 'short' else other_kinds
                group.append(row.status == 'in time')
        return statistics.mean(urgent), statistics.mean(other_kinds)

    def test_urgent_jobs_are_served(self):
        """Guards against short urgent jobs displaced by ordinary ones."""
        urgent, other_kinds = self.shares_in_time('azurepier')
        urgent_unreserved, other_kinds_unreserved = self.shares_in_time(
            'no reserve'
        )
        assert urgent > urgent_unreserved + 0.05
        assert other_kinds > other_kinds_unreserved - 0.05
