"""Endpoint processes that have yet to connect.

Load pattern: all machines are lost while callers go on sending, and the store
may be down. Entries and endpoint processes return within a second of each
other, the first configuration up to a second later, and all requests that
waited for it are handed in within milliseconds, many of them late by their
objective. An entry that decides by the endpoint processes that it is connected
to at that moment refuses jobs while most of the workers are idle.

Capacity counts as known once the expected number of endpoint processes accepts
orders. Where that number isn't known, it counts as known after some time
without a new one. Jobs that arrived before that are refused only if they can't
be answered while the answer is of use to the caller.
"""

import collections

import attrs

from azurepier.dispatch import _order
from azurepier.dispatch import _placement
from azurepier.dispatch import _policy
from azurepier.kernel import effects
from azurepier.kernel import messages

MS_PER_S = 1000
# An answer later than this multiple of the objective is worth nothing.
MAX_LATENESS_RATIO = 3.0
# Time for which an entry remembers how many endpoint processes it had, and how
# many another entry had (s); longer than the return of machines takes.
MEMORY_S = 60.0
# Number of other entries that are remembered. An entry is connected to about
# four.
REMEMBERED_ENTRIES_MAX = 64
# Largest number that another entry can make this one expect.
EXPECTED_MAX = 100_000
# Share of the former endpoint processes that is waited for. Some of them may
# have connected to other entries meanwhile.
EXPECTED_SHARE = 0.9


@attrs.define
class Arrival:
    """Endpoint processes that have connected since a start or a loss.

    Attributes
    ----------
    since : float or None
        Time of the first configuration or, later, of the first connection
        after the loss of all (s); None before.
    first_at, latest_at : float
        Times at which the first and the latest one began to accept orders (s).
    arrived : set of str
        Incarnations of those that have accepted orders since.
    known_at : float or None
        Time from which the capacity has been known (s).
    expected : int
        Number that is waited for, 0 if it isn't known.
    lost : bool
        Whether all were lost and none has connected since.
    had, had_at : int, float
        Largest recent number of those that accept orders, and when (s).
    peers_had : OrderedDict of str to tuple
        The same number and its time by name of another entry.
    """

    since: float | None = None
    first_at: float = 0.0
    latest_at: float = 0.0
    arrived: set = attrs.field(factory=set)
    known_at: float | None = None
    expected: int = 0
    lost: bool = False
    had: int = 0
    had_at: float = 0.0
    peers_had: dict = attrs.field(factory=collections.OrderedDict)


def is_in_use(node):
    """Tell whether the deployment uses this part."""
    part = node.options.policy.endpoint_arrival
    return _policy.is_in_use(part, len(node.roster.known) + 1)


def on_first_config(node, now):
    """Count the wait from the first configuration."""
    if node.arrival.since is None:
        node.arrival.since = now


def on_all_lost(node, now):
    """Wait again after all connections to endpoint processes were lost."""
    _restart(node, now)
    node.arrival.lost = True


def on_first_connection(node, now):
    """Count the wait after a loss from the first connection."""
    arrival = node.arrival
    if arrival.lost or arrival.known_at is not None:
        _restart(node, now)
    arrival.lost = False


def _restart(node, now):
    arrival = node.arrival
    arrival.arrived.clear()
    arrival.known_at = None
    if node.routing is not None:
        arrival.since = now
    had = arrival.had if now - arrival.had_at < MEMORY_S else 0
    arrival.expected = round(had * EXPECTED_SHARE)


def on_state(node, endpoint, now):
    """Note an endpoint process that has begun to accept orders."""
    arrival = node.arrival
    if node.options.policy.endpoint_arrival is None:
        return
    if arrival.known_at is not None or not endpoint.accepting:
        return
    if endpoint.incarnation not in arrival.arrived:
        if not arrival.arrived:
            arrival.first_at = now
        arrival.arrived.add(endpoint.incarnation)
        arrival.latest_at = now


def on_heartbeat_timer(node, now):
    """Remember the number of endpoint processes that accept orders."""
    if node.options.policy.endpoint_arrival is None:
        return []
    arrival = node.arrival
    count = sum(endpoint.accepting for endpoint in node.by_conn.values())
    if count >= arrival.had or now - arrival.had_at > MEMORY_S:
        arrival.had, arrival.had_at = count, now
    return update(node, now)


def own_count(node):
    """Return the number to tell other entries, None if not in use."""
    return (node.arrival.had or None) if is_in_use(node) else None


def on_peer_heartbeat(node, peer, msg, now):
    """Remember another entry's number, and apply what it knows of this one."""
    if msg.endpoints is not None:
        _remember(node.arrival, peer.name, msg.endpoints, now)
    if msg.receiver_endpoints is not None and is_pending(node, now):
        # A limit, since the number comes from another process.
        count = min(max(msg.receiver_endpoints, 0), EXPECTED_MAX)
        expected = round(count * EXPECTED_SHARE)
        node.arrival.expected = max(node.arrival.expected, expected)


def _remember(arrival, name, count, now):
    former, at = arrival.peers_had.pop(name, (0, now))
    if count >= former or now - at > MEMORY_S:
        former, at = count, now
    arrival.peers_had[name] = former, at
    while len(arrival.peers_had) > REMEMBERED_ENTRIES_MAX:
        arrival.peers_had.popitem(last=False)


def send_former_count(node, conn, name, now):
    """Tell an entry that has connected how many endpoint processes it had."""
    count, at = node.arrival.peers_had.get(name, (0, now))
    if not is_in_use(node) or not count or now - at > MEMORY_S:
        return []
    msg = messages.Beat(
        config_version=-1 if node.routing is None else node.routing.version,
        demand=0.0,
        receiver_endpoints=count,
    )
    return [effects.Send(conn, msg)]


def is_pending(node, now):
    """Tell whether the part is in use and more are expected to connect."""
    return is_in_use(node) and is_awaited(node, now)


def is_awaited(node, now):
    """Tell whether more endpoint processes are expected to connect."""
    arrival, part = node.arrival, node.options.policy.endpoint_arrival
    if arrival.known_at is not None:
        return False
    if arrival.since is None:
        return True
    if now - arrival.since >= part.max_wait_ms / MS_PER_S:
        return False
    if arrival.expected:
        return len(arrival.arrived) < arrival.expected
    settled_s = now - max(arrival.latest_at, arrival.since)
    return not arrival.arrived or settled_s < part.settle_ms / MS_PER_S


def update(node, now):
    """Note, and log, that the capacity has become known."""
    arrival = node.arrival
    if node.options.policy.endpoint_arrival is None:
        return []
    if arrival.known_at is not None or is_awaited(node, now):
        return []
    arrival.known_at = now
    node.count('endpoint_arrivals_settled')
    if arrival.expected > len(arrival.arrived):
        node.count('endpoint_arrivals_incomplete')
    fields = {
        'endpoints': len(arrival.arrived),
        'expected': arrival.expected,
        'waited_ms': round((now - arrival.since) * MS_PER_S),
        'waiting_jobs': sum(not job.has_started for job in node.jobs.values()),
    }
    return [effects.Log('endpoints_settled', fields)]


def make_review(node, open_endpoints, supply, now):
    """Return the `Review` of a pass, None if the part is not in use."""
    if not is_in_use(node):
        return None
    return Review(node, open_endpoints, supply, now)


def status(node, now):
    """Return the part's gauges for the metrics, none if it is off."""
    if node.options.policy.endpoint_arrival is None:
        return {}
    return {
        'awaiting_endpoints': int(is_pending(node, now)),
        'expected_endpoints': node.arrival.expected,
    }


def _equal_share(endpoints):
    """Return an equal share of the endpoints between their entries (CPU)."""
    return sum(each.cpu / max(each.entry_count, 1) for each in endpoints)


@attrs.define
class Review:
    """Review in a pass of the jobs that arrived before capacity was known.

    Those that can't be answered in time start after all other jobs, on
    capacity that would stay idle otherwise. They are refused once their answer
    would be worth nothing.
    """

    node: object
    open_endpoints: list
    supply: object
    now: float
    work_ahead: float = 0.0

    def covers(self, job):
        """Tell whether a job arrived before the capacity was known."""
        known_at = self.node.arrival.known_at
        return known_at is None or job.received_at < known_at

    def is_late(self, job):
        """Tell whether a covered job can't be answered in time any more."""
        start_at = _order.latest_start_at(job, self.supply.max_speed)
        return (
            self.covers(job)
            and not job.has_started
            and start_at + _order.TOLERANCE_S < self.now
        )

    def is_useless(self, job):
        """Tell whether a covered job's answer would be worth nothing."""
        return self.covers(job) and self._slack_s(job) < 0

    def sort(self, unservable, supply_expected):
        """Return what `_order.find_unservable` has found, covered jobs last.

        The covered jobs are sorted by the latest start for a useful answer.
        While endpoints are expected, the other jobs wait.
        """
        covered = [item for item in unservable if self.covers(item[0])]
        covered.sort(key=lambda item: self._sort_key(item[0]))
        if supply_expected:
            return covered
        return [i for i in unservable if not self.covers(i[0])] + covered

    def may_start(self, job):
        """Tell whether a covered job that will be late may start now.

        Other entries take the same free capacity, and report of it comes a
        heartbeat late. Late jobs thus don't exceed an equal share of the
        entry, less the reserve for jobs that arrive later.
        """
        if self._slack_s(job) < 0:
            return False
        endpoints = self.open_endpoints
        keep = _placement.LATE_JOB_RESERVE_SHARE
        total = sum(each.cpu for each in endpoints)
        need = job.request.resources.cpu * len(job.waiting)
        free = sum(each.free_cpu for each in endpoints)
        if free - need < keep * total:
            return False
        own = sum(
            run.resources.cpu
            for each in endpoints
            for run in each.runs.values()
        )
        # A job that exceeds the share may start if the entry has no runs.
        share = _equal_share(endpoints)
        return not own or own + need <= (1 - keep) * share

    def is_servable(self, job):
        """Tell whether a covered job can wait for a useful answer."""
        slack_s = self._slack_s(job)
        if slack_s < 0:
            return False
        if not is_awaited(self.node, self.now):
            wait_s = self.work_ahead / self.supply.cores
            if wait_s * _order.WAIT_FACTOR > slack_s:
                return False
        self.work_ahead += _order.waiting_work(job)
        return True

    def _sort_key(self, job):
        return self._slack_s(job)

    def _slack_s(self, job):
        """Return the time left to the latest start for a useful answer."""
        objective_s = job.objective_at - job.received_at
        useful_until = job.received_at + MAX_LATENESS_RATIO * objective_s
        start_at = useful_until - job.work_s / self.supply.max_speed
        return start_at + _order.TOLERANCE_S - self.now
