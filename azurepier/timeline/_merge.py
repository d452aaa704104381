"""Merging of events of processes whose clocks are not synchronised."""

import collections
import heapq

import attrs

SUBMITTED = 'submitted'
START = 'start'
ADMITTED = 'admitted'
REFUSED = 'refused'
ENDED = 'ended'
ANSWERED = 'answered'

# With any other outcome, a job may be answered while its tasks still run.
_OUTCOMES_AFTER_ALL_TASKS = ('complete', '')
_FAILED = 'failed'


@attrs.define(eq=False)
class _EventNode:
    """An event as a node of the graph of causes and effects.

    Parameters
    ----------
    event : Event
    source : int
        Index of the list that the event is from.
    time : float
        Wall-clock time (s since 1970); `merge` adds the offset of the source.
    pending_causes : int
        Number of causes that have not been merged yet.
    effects : list of _EventNode
        Events of other sources that this one caused.
    """

    event: object
    source: int
    time: float
    pending_causes: int = 0
    effects: list = attrs.field(factory=list)


def merge(sources):
    """Merge the events of several processes into one order.

    Parameters
    ----------
    sources : list of list of Event
        One list per incarnation of a process, in the order of its ring.

    Returns
    -------
    list of Event
        Events of a process keep their order, causes come before their
        effects, and other events are ordered by time. `wall` is corrected
        by the estimated offsets of the clocks.

    Notes
    -----
    Causes follow from the names of events: a job is ``submitted`` before its
    tasks ``start``, a task starts before its endpoint reports ``admitted`` or
    ``refused``, a refused task starts again after that, and tasks have
    ``ended`` before the job is ``answered``.
    """
    lists = [
        _make_nodes(events, i) for i, events in enumerate(sources) if events
    ]
    edges = _find_edges([node for nodes in lists for node in nodes])
    offsets = _estimate_offsets(lists, edges)
    for nodes in lists:
        for node in nodes:
            node.time += offsets[node.source]
    return _order_by_cause(lists, edges)


def _make_nodes(events, source):
    # Times are based on the monotonic clock, which keeps the order of events
    # if the wall clock of the process was adjusted in between.
    clock_offset = events[-1].wall - events[-1].at
    return [
        _EventNode(event, source, event.at + clock_offset) for event in events
    ]


def _find_edges(nodes):
    """Return the pairs (cause, effect) of nodes with different sources."""
    groups = collections.defaultdict(list)
    for node in sorted(nodes, key=lambda node: node.event.number):
        event = node.event
        groups[event.name, event.job_id, event.task, event.endpoint].append(
            node
        )
        groups[event.name, event.job_id].append(node)
    edges = []
    for key, group in groups.items():
        if len(key) == 4 and key[1]:
            edges += _find_task_edges(groups, key, group)
        elif len(key) == 2 and key[1]:
            edges += _find_job_edges(groups, key[1], key[0], group)
    return [
        (cause, effect)
        for cause, effect in edges
        if cause.source != effect.source
    ]


def _pair_from_end(causes, effects):
    # Pairing from the end works for rings that have dropped older events.
    return zip(reversed(causes), reversed(effects))


def _find_task_edges(groups, key, group):
    name, *task_key = key
    if name != START:
        return
    reports = groups.get((ADMITTED, *task_key), []) + groups.get(
        (REFUSED, *task_key), []
    )
    reports.sort(key=lambda node: node.event.number)
    for cause, effect in _pair_from_end(group, reports):
        yield cause, effect
        if effect.event.name == REFUSED:
            yield from _find_restart_edges(groups, cause, effect)


def _find_restart_edges(groups, start, refused):
    restarts = [
        node
        for node in groups[START, start.event.job_id]
        if node.source == start.source
        and node.event.task == start.event.task
        and node.event.number > start.event.number
    ]
    if restarts:
        yield refused, restarts[0]


def _find_job_edges(groups, job_id, name, group):
    if name == SUBMITTED:
        for effect in groups.get((START, job_id), ()):
            yield group[0], effect
    if name == ANSWERED:
        after_all_tasks = group[0].event.detail in _OUTCOMES_AFTER_ALL_TASKS
        for cause in groups.get((ENDED, job_id), ()):
            if after_all_tasks or cause.event.detail == _FAILED:
                yield cause, group[0]


def _estimate_offsets(lists, edges):
    """Return the clock offset (s) to add to the times of each source."""
    # No effect precedes its cause. lower_bounds[p, q] is therefore a lower
    # bound on how far the clock of q is behind that of p (s).
    lower_bounds = {}
    for cause, effect in edges:
        key = (cause.source, effect.source)
        bound = cause.time - effect.time
        lower_bounds[key] = max(bound, lower_bounds.get(key, bound))
    connected_sources = collections.defaultdict(set)
    for p, q in lower_bounds:
        connected_sources[p].add(q)
        connected_sources[q].add(p)
    offsets = {}
    for nodes in sorted(lists, key=len, reverse=True):
        _propagate_offsets(
            nodes[0].source, connected_sources, lower_bounds, offsets
        )
    return offsets


def _propagate_offsets(root, connected_sources, lower_bounds, offsets):
    if root in offsets:
        return
    offsets[root] = 0.0
    queue = collections.deque([root])
    while queue:
        p = queue.popleft()
        for q in sorted(connected_sources[p]):
            if q not in offsets:
                offsets[q] = offsets[p] + _estimate_shift(
                    lower_bounds.get((p, q)), lower_bounds.get((q, p))
                )
                queue.append(q)


def _estimate_shift(lower, negated_upper):
    """Return the offset of one clock relative to another (s).

    The offset is 0 if this violates neither bound. Otherwise it is the
    midpoint of the bounds, which assumes equal delays in both directions, or
    the only bound.
    """
    upper = None if negated_upper is None else -negated_upper
    if lower is not None and lower > 0:
        return lower if upper is None else (lower + upper) / 2
    if upper is not None and upper < 0:
        return upper if lower is None else (lower + upper) / 2
    return 0.0


def _order_by_cause(lists, edges):
    for cause, effect in edges:
        cause.effects.append(effect)
        effect.pending_causes += 1
    remaining = {nodes[0].source: collections.deque(nodes) for nodes in lists}
    ready = []
    merged = []

    def push_if_ready(source):
        head = remaining[source][0] if remaining[source] else None
        if head is not None and head.pending_causes <= 0:
            heapq.heappush(ready, (head.time, source))

    for source in remaining:
        push_if_ready(source)
    while len(merged) < sum(map(len, lists)):
        # If no source is ready, the events contradict each other: a ring
        # dropped events, or an id was reused. The earliest one is next.
        source = (
            heapq.heappop(ready)[1] if ready else _earliest_source(remaining)
        )
        node = remaining[source].popleft()
        merged.append(attrs.evolve(node.event, wall=node.time))
        push_if_ready(source)
        for effect in node.effects:
            effect.pending_causes -= 1
            queue = remaining[effect.source]
            if effect.pending_causes == 0 and queue and queue[0] is effect:
                push_if_ready(effect.source)
    return merged


def _earliest_source(remaining):
    heads = [(queue[0].time, s) for s, queue in remaining.items() if queue]
    return min(heads)[1]
