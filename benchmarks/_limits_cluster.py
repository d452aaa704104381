"""Simulation of limits across entries with an unreliable network."""

import heapq
import random

import attrs

from azurepier.kernel import messages
from azurepier import limits

# Tolerance for rounding errors of the reference token bucket (tokens).
TOKEN_TOLERANCE = 1e-3
# Maximum relative deviation of the clock rate.
CLOCK_DRIFT_MAX = 0.02


@attrs.define
class Plan:
    """The attributes of `azurepier.config.Plan` that limits depend on."""

    starts_per_s: float
    concurrent: int
    largest_job: int = 1


@attrs.define
class Node:
    """One entry.

    Parameters
    ----------
    name : str
    state : Limits
    clock_offset_s, clock_rate : float
        The local time is ``clock_offset_s + clock_rate * now``.
    frozen_until : float
        Virtual time (s).
    deferred_calls : list
        Calls to make when the entry resumes.
    waiting, task_s, running : dict
        Number of waiting tasks, run time of a task and number of running
        tasks by customer.
    wakeup_at : dict
        Virtual time of the next attempt to start tasks, by customer.
    """

    name: str
    state: limits.Limits
    clock_offset_s: float
    clock_rate: float
    frozen_until: float = -1.0
    deferred_calls: list = attrs.field(factory=list)
    waiting: dict = attrs.field(factory=dict)
    task_s: dict = attrs.field(factory=dict)
    running: dict = attrs.field(factory=dict)
    wakeup_at: dict = attrs.field(factory=dict)


@attrs.define
class UsageMonitor:
    """Starts and running tasks of one customer at all entries.

    Starts are checked against a reference token bucket.

    Parameters
    ----------
    plan : Plan
    bucket_level, level_updated_at : float
        Tokens taken and not yet refilled, and the time of the last update.
    starts, running : int
    over_tokens, over_running : float, int
        Maximum excess over the token bucket and the limit of running tasks.
    over_s : float
        Time during which more tasks ran than allowed.
    running_changed_at : float
    """

    plan: Plan
    bucket_level: float = 0.0
    level_updated_at: float = 0.0
    starts: int = 0
    running: int = 0
    over_tokens: float = 0.0
    over_running: int = 0
    over_s: float = 0.0
    running_changed_at: float = 0.0


@attrs.define
class Cluster:
    """The entries, the network between them and the virtual time.

    Parameters
    ----------
    rng : Random
    plans : dict
        Plan by customer.
    home_waits : bool
        See `create`.
    isolated : bool
        Whether each entry is the only member that it knows.
    nodes : dict of Node
        By name of the entry.
    monitors : dict of UsageMonitor
        By customer.
    events : list of tuple
        Heap of scheduled calls: virtual time (s), serial number, function and
        arguments.
    serial : int
        Number of calls scheduled so far; orders calls of the same time.
    delay_limits_s : (float, float)
        Range of the network delay.
    loss, duplication : float
        Probability that a message is lost or sent twice.
    partition : dict
        Part of the network by entry; messages between parts are lost.
    """

    rng: random.Random
    plans: dict
    home_waits: bool = True
    isolated: bool = False
    now: float = 0.0
    nodes: dict = attrs.field(factory=dict)
    monitors: dict = attrs.field(factory=dict)
    events: list = attrs.field(factory=list)
    serial: int = 0
    delay_limits_s: tuple = (0.0005, 0.0015)
    loss: float = 0.0
    duplication: float = 0.0
    partition: dict = attrs.field(factory=dict)
    messages_sent: int = 0


def create(names, plans, seed=1, home_waits=True, local_plans=None):
    """Return a cluster in which all entries are members.

    Parameters
    ----------
    names : iterable of str
    plans : dict of Plan
        The limits by customer.
    seed : int
    home_waits : bool
        Whether a new home waits for the reports of the other entries before
        it grants leases.
    local_plans : dict of Plan or None
        If given, each entry enforces these limits on its own.
    """
    cluster = Cluster(random.Random(seed), dict(plans), home_waits)
    for customer, plan in cluster.plans.items():
        cluster.monitors[customer] = UsageMonitor(plan)
    if local_plans is not None:
        cluster.plans, cluster.isolated = dict(local_plans), True
    for name in names:
        start(cluster, name)
    set_all_members(cluster)
    return cluster


def schedule(cluster, due_at, call, *args):
    """Schedule a call at a virtual time (s)."""
    cluster.serial += 1
    heapq.heappush(cluster.events, (due_at, cluster.serial, call, args))


def local_time(cluster, node):
    """Return the local time of a node (s)."""
    return node.clock_offset_s + node.clock_rate * cluster.now


def start(cluster, name):
    """Start an entry; `set_members` has to set its members."""
    rng = cluster.rng
    state = limits.create(name, wait_for_reports=cluster.home_waits)
    node = Node(
        name,
        state,
        rng.uniform(1, 1e4),
        rng.uniform(1 - CLOCK_DRIFT_MAX, 1 + CLOCK_DRIFT_MAX),
    )
    cluster.nodes[name] = node
    limits.set_plans(state, cluster.plans, local_time(cluster, node))
    schedule(
        cluster, cluster.now + rng.uniform(0, limits.TICK_S), _on_tick, node
    )
    return node


def kill(cluster, name):
    """Kill an entry; its tasks no longer count as running."""
    node = cluster.nodes.pop(name)
    for customer, count in node.running.items():
        _change_running(cluster, customer, -count)


def freeze(cluster, name, duration_s):
    """Suspend an entry; events that arrive meanwhile are handled later."""
    node = cluster.nodes[name]
    node.frozen_until = max(node.frozen_until, cluster.now + duration_s)
    schedule(cluster, node.frozen_until, _resume, node)


def set_members(cluster, name, names):
    """Set the members that one entry knows."""
    node = cluster.nodes[name]
    names = (name,) if cluster.isolated else tuple(names)
    _call_when_running(cluster, node, _apply_members, node, names)


def set_all_members(cluster):
    """Make all entries known to each entry."""
    for name in cluster.nodes:
        set_members(cluster, name, cluster.nodes)


def set_plan(cluster, customer, plan):
    """Change the plan of a customer at all entries."""
    cluster.plans[customer] = plan
    cluster.monitors[customer].plan = plan
    for node in cluster.nodes.values():
        plans = dict(cluster.plans)
        limits.set_plans(node.state, plans, local_time(cluster, node))


def set_waiting(cluster, name, customer, count, task_s=0.05):
    """Set the number of tasks that wait at an entry."""
    node = cluster.nodes[name]
    node.waiting[customer] = count
    node.task_s[customer] = task_s
    _call_when_running(cluster, node, _start_tasks, node, customer)


def submit(cluster, name, customer, count, task_s):
    """Add waiting tasks to an entry."""
    node = cluster.nodes[name]
    count += node.waiting.get(customer, 0)
    set_waiting(cluster, name, customer, count, task_s)


def run_until(cluster, end):
    """Run all events up to a virtual time (s)."""
    while cluster.events and cluster.events[0][0] <= end:
        due_at, _, call, args = heapq.heappop(cluster.events)
        cluster.now = max(cluster.now, due_at)
        call(cluster, *args)
    cluster.now = end


def _is_alive(cluster, node):
    return cluster.nodes.get(node.name) is node


def _call_when_running(cluster, node, call, *args):
    if cluster.now < node.frozen_until:
        node.deferred_calls.append((call, args))
    elif _is_alive(cluster, node):
        call(cluster, *args)


def _resume(cluster, node):
    deferred_calls, node.deferred_calls = node.deferred_calls, []
    for call, args in deferred_calls:
        _call_when_running(cluster, node, call, *args)


def _apply_members(cluster, node, names):
    limits.set_members(node.state, names, local_time(cluster, node))


def _on_tick(cluster, node):
    if not _is_alive(cluster, node):
        return
    if cluster.now < node.frozen_until:
        schedule(cluster, node.frozen_until, _on_tick, node)
        return
    addressed_msgs = limits.on_tick(node.state, local_time(cluster, node))
    _send(cluster, node, addressed_msgs)
    for customer in node.waiting:
        _start_tasks(cluster, node, customer)
    schedule(cluster, cluster.now + limits.TICK_S, _on_tick, node)


def _send(cluster, node, addressed_msgs):
    rng = cluster.rng
    for name, msg in addressed_msgs:
        cluster.messages_sent += 1
        copies = 1 + (rng.random() < cluster.duplication)
        for _ in range(copies):
            if rng.random() >= cluster.loss:
                due_at = cluster.now + rng.uniform(*cluster.delay_limits_s)
                target = cluster.nodes.get(name)
                schedule(cluster, due_at, _deliver, node.name, target, msg)


def _deliver(cluster, source, node, msg):
    """Deliver a message unless the receiver is unreachable.

    A receiver that was killed and restarted is another node, which gets no
    messages that were sent to its predecessor.
    """
    partition = cluster.partition
    if node is not None and partition.get(source) == partition.get(node.name):
        _call_when_running(cluster, node, _on_message, node, source, msg)


def _on_message(cluster, node, source, msg):
    handler = limits.on_grant
    if isinstance(msg, messages.QuotaRequest):
        handler = limits.on_request
    now = local_time(cluster, node)
    _send(cluster, node, handler(node.state, source, msg, now))
    _start_tasks(cluster, node, msg.customer)


def _start_tasks(cluster, node, customer):
    """Start the tasks that the limit allows and schedule the next attempt."""
    now = local_time(cluster, node)
    state = node.state
    waiting = node.waiting.get(customer, 0)
    limits.set_waiting(state, customer, waiting, now)
    while waiting and limits.may_start(state, customer, now):
        limits.record_start(state, customer, now)
        waiting -= 1
        _record_start(cluster, node, customer)
        due_at = cluster.now + node.task_s[customer]
        schedule(cluster, due_at, _end_task, node, customer)
    node.waiting[customer] = waiting
    limits.set_waiting(state, customer, waiting, now)
    _send(cluster, node, limits.take_outbox(state))
    allowed_at = limits.next_allowed_at(state, customer, now)
    if waiting and allowed_at is not None:
        due_at = (allowed_at - node.clock_offset_s) / node.clock_rate + 1e-6
        if due_at < node.wakeup_at.get(customer, 0.0) or (
            node.wakeup_at.get(customer, 0.0) <= cluster.now
        ):
            node.wakeup_at[customer] = due_at
            schedule(
                cluster,
                due_at,
                _call_when_running,
                node,
                _start_tasks,
                node,
                customer,
            )


def _record_start(cluster, node, customer):
    monitor = cluster.monitors[customer]
    node.running[customer] = node.running.get(customer, 0) + 1
    monitor.starts += 1
    _change_running(cluster, customer, 1)
    plan = monitor.plan
    drained = (
        (cluster.now - monitor.level_updated_at)
        * plan.starts_per_s
        * (1 + CLOCK_DRIFT_MAX)
    )
    monitor.bucket_level = max(0.0, monitor.bucket_level - drained) + 1
    monitor.level_updated_at = cluster.now
    bucket_size = max(plan.starts_per_s * 0.1, plan.largest_job)
    monitor.over_tokens = max(
        monitor.over_tokens, monitor.bucket_level - bucket_size
    )
    excess_running = monitor.running - plan.concurrent
    monitor.over_running = max(monitor.over_running, excess_running)


def _change_running(cluster, customer, change):
    monitor = cluster.monitors[customer]
    if monitor.running > monitor.plan.concurrent:
        monitor.over_s += cluster.now - monitor.running_changed_at
    monitor.running += change
    monitor.running_changed_at = cluster.now


def _end_task(cluster, node, customer):
    if _is_alive(cluster, node):
        node.running[customer] -= 1
        _change_running(cluster, customer, -1)
        _call_when_running(cluster, node, _report_end, node, customer)


def _report_end(cluster, node, customer):
    limits.record_end(node.state, customer, local_time(cluster, node))
    _start_tasks(cluster, node, customer)
