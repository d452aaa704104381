"""Limits of control traffic, and rejections, at growing fleet sizes.

The limits are the requirements for deployments of hundreds of workers. The
last shape is about three times the size of the largest existing deployment.
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
        """Traffic must not grow with the product of workers and entries."""
        fleet = scale.make_fleet(shape)
        traffic = scale.measure_traffic(fleet, scale.IDLE_S)
        assert traffic.messages <= MESSAGES_MAX
        assert traffic.kilobytes <= KILOBYTES_MAX

    def test_every_entry_has_endpoints(self):
        """Guards against entries without endpoints, which reject all jobs."""
        fleet = scale.make_fleet(LARGE)
        link_counts = [len(p.node.by_conn) for p in fleet.entries.values()]
        mean = sum(link_counts) / len(link_counts)
        assert min(link_counts) > mean / 2
        assert max(link_counts) < 1.6 * mean


class TestLoad:
    @pytest.mark.parametrize('load', [0.4, 0.65])
    def test_no_rejections(self, load):
        """Guards against rejections while the fleet has free capacity."""
        fleet = scale.make_fleet(LARGE)
        calls = scale.submit_jobs(fleet, load, 3.0)
        fleet.run_for(2.0)
        assert scale.rejected_share(calls) == 0

    def test_busy_entry(self):
        """Guards against rejections by an entry with many callers."""
        fleet = scale.make_fleet(LARGE)
        calls = scale.submit_jobs(fleet, 0.4, 3.0, busiest=3.0)
        fleet.run_for(2.0)
        assert scale.rejected_share(calls) < 0.01


class TestLoss:
    def _link_counts_after(self, fleet, seconds):
        fleet.run_for(seconds)
        return [len(p.node.by_conn) for p in fleet.endpoints.values()]

    def test_third_of_the_entries_killed(self):
        """Endpoints must replace connections to entries that were killed."""
        fleet = scale.make_fleet(LARGE)
        for name in list(fleet.entries)[::3]:
            fleet.kill_entry(name)
        link_counts = self._link_counts_after(fleet, 1.5)
        assert min(link_counts) >= membership.LINKS_PER_ENDPOINT / 2
        link_counts = self._link_counts_after(fleet, 3.5)
        assert min(link_counts) == membership.LINKS_PER_ENDPOINT

    def test_restart_of_the_whole_fleet(self):
        """Guards against a connection storm after a power failure."""
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
        link_counts = [len(p.node.by_conn) for p in fleet.entries.values()]
        assert min(link_counts) > 0
        # An endpoint process sends this message once for each connection.
        connections = traffic.by_kind['RunsKnown']
        expected_links = membership.LINKS_PER_ENDPOINT * LARGE.endpoints
        assert connections <= 2 * expected_links
        assert traffic.kilobytes <= 2 * KILOBYTES_MAX
