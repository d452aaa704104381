"""Budgets of control traffic, and refusals, at growing sizes.

The bounds are those that the maintainers set for hundreds of machines; the
last shape is about three times the largest deployment in use.
"""

import pytest

from azurepier import membership
from azurepier.testing import scale

MESSAGES_MAX = 60
KILOBYTES_MAX = 26
SHAPES = (
    scale.Shape(3, 11, 3),
    scale.Shape(9, 56, 3),
    scale.Shape(11, 66, 4),
    scale.Shape(35, 160, 5),
    scale.Shape(100, 500, 5),
)
LARGE = scale.Shape(35, 160, 5)


class TestIdle:
    @pytest.mark.parametrize('shape', SHAPES, ids=str)
    def test_traffic_per_process(self, shape):
        """Guards against messages that grow with workers times entries."""
        fleet = scale.make_fleet(shape)
        traffic = scale.measure_traffic(fleet, scale.IDLE_S)
        assert traffic.messages <= MESSAGES_MAX
        assert traffic.kilobytes <= KILOBYTES_MAX

    def test_every_entry_has_endpoints(self):
        """Guards against entries that have to refuse all they get."""
        fleet = scale.make_fleet(LARGE)
        links = [len(p.node.by_conn) for p in fleet.entries.values()]
        mean = sum(links) / len(links)
        assert min(links) > mean / 2
        assert max(links) < 1.6 * mean


class TestLoad:
    @pytest.mark.parametrize('load', [0.4, 0.65])
    def test_nothing_is_refused(self, load):
        """Guards against refusals while the fleet has room."""
        fleet = scale.make_fleet(LARGE)
        calls = scale.submit_jobs(fleet, load, 3.0)
        fleet.run_for(2.0)
        assert scale.refused_share(calls) == 0

    def test_busy_entry(self):
        """Guards against an entry that has to refuse its own callers."""
        fleet = scale.make_fleet(LARGE)
        calls = scale.submit_jobs(fleet, 0.4, 3.0, busiest=3.0)
        fleet.run_for(2.0)
        assert scale.refused_share(calls) < 0.01


class TestLoss:
    def _links_after(self, fleet, seconds):
        fleet.run_for(seconds)
        return [len(p.node.by_conn) for p in fleet.endpoints.values()]

    def test_a_third_of_the_entries(self):
        """Guards against endpoints that nobody uses any more."""
        fleet = scale.make_fleet(LARGE)
        for name in list(fleet.entries)[::3]:
            fleet.kill_entry(name)
        links = self._links_after(fleet, 1.5)
        assert min(links) >= membership.LINKS_PER_ENDPOINT / 2
        links = self._links_after(fleet, 3.5)
        assert min(links) == membership.LINKS_PER_ENDPOINT

    def test_all_start_again(self):
        """Guards against a storm of connections after a loss of power."""
        fleet = scale.make_fleet(LARGE)
        for name in list(fleet.entries):
            fleet.kill_entry(name)
        for process in list(fleet.endpoints.values()):
            fleet.driver.kill(process)
        fleet.run_for(3.0)
        for name in list(fleet.entries):
            fleet.start_entry(name)
        for name in list(fleet.endpoints):
            fleet.start_endpoint(name)
        traffic = scale.measure_traffic(fleet, 1.0)
        links = [len(p.node.by_conn) for p in fleet.entries.values()]
        assert min(links) > 0
        # Each endpoint process sends one at the start of a connection.
        connections = traffic.by_kind['RunsKnown']
        places = membership.LINKS_PER_ENDPOINT * LARGE.endpoints
        assert connections <= 2 * places
        assert traffic.kilobytes <= 2 * KILOBYTES_MAX
