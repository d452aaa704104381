"""Orders that wait until the worker has enough free capacity.

Load pattern: a burst beyond the capacity, with wide and narrow tasks of many
entries. An entry learns up to a quarter of a second late that capacity has
become free, and competes for it with other entries, so that orders are refused
while capacity is idle, and small tasks take the gaps that a large one needs.
The endpoint process sees each end first: it keeps orders for which there isn't
enough free capacity and starts them as runs end, in the sequence in which
their waits end. Each of them reserves capacity at the earliest time at which
it is expected to fit; another starts before it only if that delays none of
the reservations (backfilling).

An order waits for its entry's connection only. It has not run: whatever ends
the wait without a start ends it as refused.
"""

import attrs

from azurepier.dispatch import bounds
from azurepier.dispatch import policy
from azurepier.kernel import effects
from azurepier.kernel import Status
from azurepier.runner import _capacity
from azurepier.runner import _ends
from azurepier.runner import _forecast
from azurepier.runner import _progress

# An order is kept if its expected start is at most this long after the end of
# its wait (s), since a forecast may be wrong.
TOLERANCE_S = 0.02


@attrs.define(eq=False, repr=False)
class WaitingOrder:
    """An order that waits.

    Parameters
    ----------
    order : RunOrder
    spec : str
    link : Link
        The entry that sent the order.
    since, ends_at : float
        Begin and end of the wait (s).
    expected_at : float or None
        Start that was expected when the wait began (s); None if it isn't
        known yet.
    """

    order: object
    spec: str
    link: object
    since: float
    ends_at: float
    expected_at: float | None = None


def is_in_use(node):
    """Tell whether orders may wait here."""
    return policy.is_in_use(
        node.options.policy.waiting_orders, len(node.roster.known)
    )


def may_wait(node, link, order):
    """Tell whether an order without enough capacity may wait.

    A task that may have crashed a worker is started alone, at a time that its
    entry chooses. The plan knows only CPU, so that an order which lacks memory
    or GPUs would reserve CPU that others can use.
    """
    return (
        bool(order.wait_ms)
        and order.wait_ms > 0
        and not order.suspicion
        and is_in_use(node)
        and order.cpu <= node.worker.cpu
        and node.used_mem_mb + order.mem_mb <= node.worker.mem_mb
        and node.used_gpu + order.gpu <= node.worker.gpu
        and order.seq not in link.waiting
        and len(node.waiting)
        < node.options.policy.waiting_orders.max_per_endpoint
    )


def add(node, link, order, spec, now):
    """Let an order wait."""
    max_wait_ms = node.options.policy.waiting_orders.max_wait_ms
    wait_s = min(order.wait_ms, max_wait_ms) / _ends.MS_PER_S
    entry = WaitingOrder(order, spec, link, now, now + wait_s)
    node.waiting[order.task] = entry
    link.waiting[order.seq] = entry
    node.timers.set_no_later_than('waiting', entry.ends_at)
    node.timers.set_no_later_than('heartbeat', now + bounds.HEARTBEAT_S)
    node.changed = True


def remove(node, entry):
    """Remove an order from those that wait."""
    del node.waiting[entry.order.task]
    del entry.link.waiting[entry.order.seq]
    node.changed = True


def refuse(node, entry, reason, now):
    """End an order that has not run, and queue the report for its entry."""
    remove(node, entry)
    end = _ends.end_message(entry.order, Status.REFUSED, 0, reason)
    entry.link.unreported_ends.append(end)
    node.count(f'refused_{reason}')
    node.count('waits_refused')
    node.observe('wait_refused', now - entry.since)


def record_start(node, entry, now):
    """Measure the wait of an order and the error of its forecast."""
    if now == entry.since:
        return
    node.count('waits_started')
    node.observe('wait_started', now - entry.since)
    if entry.expected_at is not None:
        error_s = now - entry.expected_at
        name = 'forecast_late' if error_s > 0 else 'forecast_early'
        node.observe(name, abs(error_s))


def drop(node, link, reason, now):
    """End all waiting orders of an entry; return the log event, if any.

    They are reported on its next connection.
    """
    if not link.waiting:
        return []
    fields = {
        'entry': link.name,
        'reason': reason,
        'orders': len(link.waiting),
    }
    for entry in list(link.waiting.values()):
        refuse(node, entry, reason, now)
    return [effects.Log('waiting_orders_dropped', fields)]


def drop_all(node, reason, now):
    """End the waiting orders of all entries; return the log events."""
    out = []
    for link in {
        each.link.incarnation: each.link for each in sequence(node)
    }.values():
        out += drop(node, link, reason, now)
    return out


def will_expire(entry, start, now):
    """Tell whether an order isn't expected to start before its wait ends."""
    return start is None or now + start > entry.ends_at + TOLERANCE_S


def is_link_alive(link, now):
    """Tell whether an entry was heard recently enough for a start.

    The end of a silent connection is noticed with the next heartbeat only. A
    caller may have left the entry meanwhile.
    """
    return now - link.last_received_at <= bounds.SILENCE_S


def sequence(node):
    """Return the waiting orders in the sequence in which they start."""
    return sorted(
        node.waiting.values(),
        key=lambda each: (each.ends_at, -each.order.cpu, each.since),
    )


def make_plan(node, now):
    """Return the expected starts of the waiting orders and the profile.

    Returns
    -------
    list of (WaitingOrder, float or None)
        With the time until the start (s); None if none is expected.
    Profile
        Free capacity with these orders started.
    """
    profile = _forecast.make_profile(node, now)
    speed = _progress.speed(node, now)
    plan = []
    for entry in sequence(node):
        duration = _forecast.duration_s(entry.order, speed)
        start = profile.find_start(entry.order.cpu, duration)
        if start is not None:
            profile.occupy(start, entry.order.cpu, duration)
        plan.append((entry, start))
    return plan, profile


def has_capacity(node, order, now):
    """Tell whether an order may start now, before the orders that wait."""
    if not _capacity.fits(node, order):
        return False
    if not node.waiting:
        return True
    _, profile = make_plan(node, now)
    duration = _forecast.duration_s(order, _progress.speed(node, now))
    return profile.find_start(order.cpu, duration) == 0


def forecast(node, now):
    """Return the forecast for the entries, and the capacity to offer now.

    Returns
    -------
    tuple of (list of int, int)
        Free CPU at `_forecast.OFFSETS_S`, and the CPU that a new order may
        occupy without a delay of those that wait (thousandths of a core).
    """
    state = (now, node.used_cpu, len(node.runs), tuple(node.waiting))
    if node.forecast is None or node.forecast[0] != state:
        _, profile = make_plan(node, now)
        samples = profile.sample(_forecast.OFFSETS_S)
        offered = profile.lowest(_forecast.OFFSETS_S[-1])
        node.forecast = (state, (samples, offered))
    return node.forecast[1]


def make_report(node, link, now):
    """Return the message that reports the state to an entry."""
    state = _capacity.pool_state(node, link, now)
    if node.worker is None or not is_in_use(node):
        return state
    if _capacity.is_offered(node, link, now):
        state.forecast_cpu, offered_cpu = forecast(node, now)
        if node.waiting:
            state.free_cpu = max(min(state.free_cpu, offered_cpu), 0)
    state.waiting_orders = len(node.waiting)
    return state


def on_timer(node, _, now):
    """Set the timer for the next end of a wait.

    Each event is followed by a check of all waiting orders.
    """
    ends = [each.ends_at for each in node.waiting.values()]
    later = [at for at in ends if at > now]
    if later:
        node.timers.set('waiting', min(later))
    node.changed = node.changed or len(later) < len(ends)
    return []
