"""One order for the events of several processes whose clocks disagree."""

import collections
import heapq

import attrs

SUBMITTED = 'submitted'
START = 'start'
ADMITTED = 'admitted'
REFUSED = 'refused'
ENDED = 'ended'
ANSWERED = 'answered'

# An answer with another outcome may be given while tasks still run.
_OUTCOMES_AFTER_ALL_TASKS = ('complete', '')
_FAILED = 'failed'


@attrs.define(eq=False)
class _Node:
    """An event of the source `source` and the events that it caused."""

    event: object
    source: int
    time: float
    missing: int = 0
    effects: list = attrs.field(factory=list)


def merge(sources):
    """Order the events of several processes.

    Parameters
    ----------
    sources : list of list of Event
        One list per process incarnation, in the order of its ring.

    Returns
    -------
    list of Event
        The order within a process is kept, a cause comes before its
        effects, and the rest is ordered by time. `wall` is corrected by the
        estimated difference of the clocks.

    Notes
    -----
    Causes are known by name: a job is ``submitted`` before its tasks
    ``start``, a task starts before its endpoint reports ``admitted`` or
    ``refused``, a refused task starts again afterwards, and tasks have
    ``ended`` before the job is ``answered``.
    """
    lists = [_nodes(events, i) for i, events in enumerate(sources) if events]
    edges = _edges([node for nodes in lists for node in nodes])
    offsets = _offsets(lists, edges)
    for nodes in lists:
        for node in nodes:
            node.time += offsets[node.source]
    return _emit(lists, edges)


def _nodes(events, source):
    # The monotonic clock orders the events of a process even if its
    # wall clock was set meanwhile.
    anchor = events[-1].wall - events[-1].at
    return [_Node(event, source, event.at + anchor) for event in events]


# Causes and effects ------------------------------------------------------


def _edges(nodes):
    """Return the pairs (cause, effect) between different processes."""
    groups = collections.defaultdict(list)
    for node in sorted(nodes, key=lambda node: node.event.number):
        event = node.event
        groups[event.name, event.job_id, event.task, event.endpoint].append(
            node
        )
        groups[event.name, event.job_id].append(node)
    pairs = []
    for key, found in groups.items():
        if len(key) == 4 and key[1]:
            pairs += _task_pairs(groups, key, found)
        elif len(key) == 2 and key[1]:
            pairs += _job_pairs(groups, key[1], key[0], found)
    return [
        (cause, effect)
        for cause, effect in pairs
        if cause.source != effect.source
    ]


def _latest_pairs(causes, effects):
    # Pairing from the end tolerates rings that have lost older events.
    return zip(reversed(causes), reversed(effects))


def _task_pairs(groups, key, found):
    name, *rest = key
    if name != START:
        return
    reports = groups.get((ADMITTED, *rest), []) + groups.get(
        (REFUSED, *rest), []
    )
    reports.sort(key=lambda node: node.event.number)
    for cause, effect in _latest_pairs(found, reports):
        yield cause, effect
        if effect.event.name == REFUSED:
            yield from _restart(groups, cause, effect)


def _restart(groups, start, refused):
    later = [
        node
        for node in groups[START, start.event.job_id]
        if node.source == start.source
        and node.event.task == start.event.task
        and node.event.number > start.event.number
    ]
    if later:
        yield refused, later[0]


def _job_pairs(groups, job_id, name, found):
    if name == SUBMITTED:
        for effect in groups.get((START, job_id), ()):
            yield found[0], effect
    if name == ANSWERED:
        everything = found[0].event.detail in _OUTCOMES_AFTER_ALL_TASKS
        for cause in groups.get((ENDED, job_id), ()):
            if everything or cause.event.detail == _FAILED:
                yield cause, found[0]


# Clocks ------------------------------------------------------------------


def _offsets(lists, edges):
    """Return the seconds to add to each source's times."""
    # lower[p, q] bounds from below how far q's clock is behind p's, because
    # no effect precedes its cause.
    lower = {}
    for cause, effect in edges:
        key = (cause.source, effect.source)
        bound = cause.time - effect.time
        lower[key] = max(bound, lower.get(key, bound))
    neighbours = collections.defaultdict(set)
    for p, q in lower:
        neighbours[p].add(q)
        neighbours[q].add(p)
    offsets = {}
    for nodes in sorted(lists, key=len, reverse=True):
        _spread(nodes[0].source, neighbours, lower, offsets)
    return offsets


def _spread(root, neighbours, lower, offsets):
    if root in offsets:
        return
    offsets[root] = 0.0
    queue = collections.deque([root])
    while queue:
        p = queue.popleft()
        for q in sorted(neighbours[p]):
            if q not in offsets:
                offsets[q] = offsets[p] + _shift(
                    lower.get((p, q)), lower.get((q, p))
                )
                queue.append(q)


def _shift(low, negated_high):
    """Return the correction of one clock against another (s).

    Clocks that contradict no cause are believed. Otherwise the middle
    between the bounds is taken, which assumes equal delays both ways.
    """
    high = None if negated_high is None else -negated_high
    if low is not None and low > 0:
        return low if high is None else (low + high) / 2
    if high is not None and high < 0:
        return high if low is None else (low + high) / 2
    return 0.0


# Order -------------------------------------------------------------------


def _emit(lists, edges):
    for cause, effect in edges:
        cause.effects.append(effect)
        effect.missing += 1
    rest = {nodes[0].source: collections.deque(nodes) for nodes in lists}
    free = []
    merged = []

    def offer(source):
        head = rest[source][0] if rest[source] else None
        if head is not None and head.missing <= 0:
            heapq.heappush(free, (head.time, source))

    for source in rest:
        offer(source)
    while len(merged) < sum(map(len, lists)):
        # Without a free head, records contradict each other (a ring lost
        # events, or an id was reused); the earliest one goes first.
        source = heapq.heappop(free)[1] if free else _earliest(rest)
        node = rest[source].popleft()
        merged.append(attrs.evolve(node.event, wall=node.time))
        offer(source)
        for effect in node.effects:
            effect.missing -= 1
            queue = rest[effect.source]
            if effect.missing == 0 and queue and queue[0] is effect:
                offer(effect.source)
    return merged


def _earliest(rest):
    heads = [(queue[0].time, s) for s, queue in rest.items() if queue]
    return min(heads)[1]
