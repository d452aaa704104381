"""Capacity that follows the urgent jobs that arrive, and the minimum."""

import attrs
import pytest

from azurepier import dispatch
from azurepier.dispatch import _arriving
from azurepier.dispatch import _bounds
from azurepier.dispatch import _priority
from azurepier.runner import _arriving as runner_arriving
from azurepier import testing

POLICY = dispatch.decode_policy('[urgent_reserve]\nwindow_ms = 50')
URGENT = testing.queue('urgent', priority=0)
ORDINARY = testing.queue('ordinary', priority=1)
CPU = 5000


def make_fleet(policy=POLICY, entries=3):
    """Return a fleet of 320 cores, three tasks of 5 cores on a worker."""
    fleet = testing.make_pool(
        entries=entries, speeds=(1.0,) * 20, cpu=16000, delay_s=0.0014
    )
    for process in fleet.entries.values():
        switch_on(process, policy)
    return fleet


def switch_on(process, policy=POLICY):
    node = process.node
    node.options = attrs.evolve(node.options, policy=policy)


def submit_for(fleet, seconds, streams):
    """Submit jobs at constant rates.

    Parameters
    ----------
    fleet : PoolFleet
    seconds : float
    streams : list of tuple
        ``(queue, jobs per s, tasks, run time of a task in s, entries)``.

    Returns
    -------
    dict of str to list of Call
        By the name of the queue.
    """
    calls = {queue.name: [] for queue, *_ in streams}
    due = [
        (index / rate, number, index, stream)
        for number, stream in enumerate(streams)
        for rate in [stream[1]]
        for index in range(round(seconds * rate))
    ]
    started_at = fleet.driver.now
    for at_s, _, index, stream in sorted(due, key=lambda each: each[:3]):
        queue, _, count, work_s, entries = stream
        fleet.driver.run_until(started_at + at_s)
        entry = entries[index % len(entries)] if entries else None
        call = fleet.submit(
            work_s, count=count, cpu=CPU, entry=entry, queue=queue
        )
        calls[queue.name].append(call)
    return calls


def share_in_time(calls, queue):
    in_time = [
        getattr(call.body, 'succeeded', False)
        and call.answered_at - call.sent_at
        <= queue.stretch * call.job.declared_ms / 1000 + queue.margin_s
        for call in calls
    ]
    return sum(in_time) / len(in_time)


def needed_cores(fleet, name, priority=1):
    """Return what an entry keeps free of jobs of a priority (cores)."""
    node = fleet.entries[name].node
    endpoints = list(node.by_conn.values())
    queue = testing.queue(priority=priority)
    node.reserves.clear()
    part = POLICY.urgent_reserve
    now = fleet.driver.now
    return _priority.needed_cpu(node, endpoints, queue, part, now) / 1000


class TestBurst:
    """A burst of wide urgent jobs beside more ordinary jobs than fit."""

    def shares(self, policy):
        fleet = make_fleet(policy)
        calls = submit_for(
            fleet,
            4.0,
            [
                (URGENT, 30, 8, 0.1, ()),
                (ORDINARY, 110, 2, 0.3, ()),
            ],
        )
        fleet.run_for(3.0)
        assert not fleet.wrong_answers
        return (
            share_in_time(calls['urgent'], URGENT),
            share_in_time(calls['ordinary'], ORDINARY),
        )

    def test_urgent_jobs_are_served(self):
        """Guards against a reserve that is too small for the urgent rate."""
        urgent, ordinary = self.shares(POLICY)
        urgent_before, ordinary_before = self.shares(dispatch.Policy())
        assert urgent > urgent_before + 0.3
        assert ordinary > ordinary_before - 0.05


class TestCease:
    def test_reserve_ends_with_the_urgent_jobs(self):
        """Guards against capacity kept for jobs that no longer come."""
        fleet = make_fleet()
        submit_for(fleet, 3.0, [(URGENT, 20, 8, 0.1, ())])
        during = needed_cores(fleet, 'e1')
        assert during == pytest.approx(40, rel=0.2)
        fleet.run_for(2.5)
        assert needed_cores(fleet, 'e1') == pytest.approx(40, rel=0.01)
        fleet.run_for(5.0)
        assert needed_cores(fleet, 'e1') == 0.0


class TestMinimum:
    """Urgent jobs for which the capacity is too small, and few others."""

    def share_served(self, urgent_per_s):
        fleet = make_fleet()
        calls = submit_for(
            fleet,
            6.0,
            [
                (URGENT, urgent_per_s, 8, 0.1, ()),
                (ORDINARY, 30, 2, 0.3, ()),
            ],
        )
        fleet.run_for(3.0)
        served = [
            getattr(call.body, 'succeeded', False)
            for call in calls['ordinary']
        ]
        return sum(served) / len(served)

    def test_twice_the_capacity(self):
        """Guards against starvation of a less urgent queue."""
        # The minimum of 5 % of the cores is 0.18 of the queue's work.
        assert self.share_served(160) > 0.18

    def test_three_times_the_capacity(self):
        """Guards against started urgent jobs that take all free capacity."""
        assert self.share_served(240) > 0.06


class TestUnevenEntries:
    """All urgent jobs arrive at one entry."""

    def needs(self):
        fleet = make_fleet()
        submit_for(fleet, 3.0, [(URGENT, 60, 8, 0.1, ('e0',))])
        return [needed_cores(fleet, name) for name in ('e0', 'e1', 'e2')]

    def test_all_entries_keep_the_same(self):
        """Guards against entries that don't know of the others' arrivals."""
        needs = self.needs()
        assert needs[0] == pytest.approx(60 * 8 * 5 * 0.05, rel=0.2)
        assert needs[1:] == pytest.approx([needs[0]] * 2, rel=0.2)


class TestFailures:
    def test_restarted_entry(self):
        """Guards against an entry that keeps nothing after its restart."""
        fleet = make_fleet()
        submit_for(fleet, 2.0, [(URGENT, 20, 8, 0.1, ('e0', 'e2'))])
        fleet.kill_entry('e1')
        fleet.run_for(0.1)
        switch_on(fleet.start_entry('e1'))
        submit_for(fleet, 1.5, [(URGENT, 20, 8, 0.1, ('e0', 'e2'))])
        assert needed_cores(fleet, 'e1') == pytest.approx(40, rel=0.2)

    def test_entry_that_is_cut_off(self):
        """Guards against capacity that is kept for a lost entry."""
        fleet = make_fleet()
        submit_for(fleet, 2.0, [(URGENT, 20, 8, 0.1, ('e0',))])
        assert needed_cores(fleet, 'e1') > 0
        fleet.entries['e0'].frozen = True
        fleet.run_for(2.5)
        assert needed_cores(fleet, 'e1') == 0.0

    def test_endpoint_processes_of_an_earlier_build(self, monkeypatch):
        """Guards against a reserve for the own arrivals alone."""
        monkeypatch.setattr(
            runner_arriving, 'others_arriving', lambda node, link: None
        )
        fleet = make_fleet()
        submit_for(fleet, 3.0, [(URGENT, 20, 8, 0.1, ())])
        assert needed_cores(fleet, 'e1') == pytest.approx(40, rel=0.2)

    def test_reports_without_entries(self):
        """Guards against a division by zero by what another build sends."""
        fleet = make_fleet()
        for endpoint in fleet.entries['e1'].node.by_conn.values():
            endpoint.others_arriving, endpoint.entry_count = None, 0
        submit_for(fleet, 0.1, [(URGENT, 20, 8, 0.1, ('e1',))])
        assert needed_cores(fleet, 'e1') > 0

    def test_queues_that_are_gone(self):
        """Guards against state that grows with each change of the queues."""
        fleet = make_fleet()
        for number in range(5):
            queue = testing.queue(f'q{number}', priority=1)
            submit_for(fleet, 0.2, [(queue, 20, 1, 0.1, ('e0',))])
        assert len(fleet.entries['e0'].node.started_work) == 5
        fleet.run_for(_priority.FORGET_S + 1.0)
        assert not fleet.entries['e0'].node.started_work


class TestOff:
    def test_nothing_is_sent(self):
        """Guards against messages of a part that is off."""
        fleet = make_fleet(dispatch.Policy())
        submit_for(fleet, 1.0, [(URGENT, 20, 8, 0.1, ())])
        for process in fleet.endpoints.values():
            links = process.node.by_conn.values()
            assert [link.arriving for link in links] == [None] * 3
        for process in fleet.entries.values():
            assert not process.node.arrivals
            for endpoint in process.node.by_conn.values():
                assert endpoint.others_arriving is None

    def test_too_few_entries(self):
        """Guards against a part in use below its number of entries."""
        policy = dispatch.decode_policy('[urgent_reserve]\nmin_entries = 4')
        fleet = make_fleet(policy)
        submit_for(fleet, 1.0, [(URGENT, 20, 8, 0.1, ())])
        for process in fleet.endpoints.values():
            for link in process.node.by_conn.values():
                assert link.arriving is None


def _keep_nothing(patch):
    patch.setattr(_priority, 'needed_cpu', lambda *args: 0.0)


def _disable_minimum(patch):
    patch.setattr(_priority, 'is_below_minimum', lambda *args: False)


def _keep_order(patch):
    patch.setattr(
        _priority, 'sort_jobs', lambda node, endpoints, ordered, now: ordered
    )


def _count_refused_orders(patch):
    patch.setattr(_priority, 'withdraw_start', lambda *args: None)


def _report_no_others(patch):
    patch.setattr(runner_arriving, 'others_arriving', lambda *args: [])


def _wait_for_heartbeats(patch):
    due_update = _priority.due_update

    def with_heartbeats(endpoint, arriving, now):
        if now - endpoint.last_sent_at < _bounds.HEARTBEAT_S:
            return None
        return due_update(endpoint, arriving, now)

    patch.setattr(_priority, 'due_update', with_heartbeats)


def _never_decay(patch):
    patch.setattr(_arriving, '_decay', lambda *args: None)


def _hold_forever(patch):
    patch.setattr(_arriving, 'HOLD_S', 1000.0)


def _count_disconnected_entries(patch):
    on_heartbeat = runner_arriving.on_heartbeat
    seen = {}

    def remember(link, msg):
        on_heartbeat(link, msg)
        seen[link.name] = link.arriving or ()

    def others_arriving(node, link):
        return _arriving.add(
            demand for name, demand in seen.items() if name != link.name
        )

    patch.setattr(runner_arriving, 'on_heartbeat', remember)
    patch.setattr(runner_arriving, 'others_arriving', others_arriving)


# By mechanism: the function that disables it, and a test that then fails.
MECHANISMS = {
    'capacity is kept by rate and width': (
        _keep_nothing,
        TestBurst().test_urgent_jobs_are_served,
    ),
    'less urgent queues have a minimum': (
        _disable_minimum,
        TestMinimum().test_twice_the_capacity,
    ),
    'jobs of queues below their minimum come first': (
        _keep_order,
        TestMinimum().test_three_times_the_capacity,
    ),
    'refused orders do not count as starts': (
        _count_refused_orders,
        TestMinimum().test_twice_the_capacity,
    ),
    'endpoint processes report the arrivals at other entries': (
        _report_no_others,
        TestUnevenEntries().test_all_entries_keep_the_same,
    ),
    'arrivals are sent beside orders': (
        _wait_for_heartbeats,
        TestUnevenEntries().test_all_entries_keep_the_same,
    ),
    'rates decay': (
        _never_decay,
        TestCease().test_reserve_ends_with_the_urgent_jobs,
    ),
    'a priority without arrivals is forgotten': (
        _hold_forever,
        TestCease().test_reserve_ends_with_the_urgent_jobs,
    ),
    'a restarted entry learns from the others': (
        _report_no_others,
        TestFailures().test_restarted_entry,
    ),
    'a disconnected entry no longer counts': (
        _count_disconnected_entries,
        TestFailures().test_entry_that_is_cut_off,
    ),
}


@pytest.mark.parametrize('name', MECHANISMS)
class TestDisabledMechanism:
    def test_guarantee_fails(self, name, monkeypatch):
        """Guards against tests that pass without their mechanism."""
        disable, guarantee = MECHANISMS[name]
        disable(monkeypatch)
        with pytest.raises(AssertionError):
            guarantee()
