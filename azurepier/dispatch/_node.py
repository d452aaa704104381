"""An entry that dispatches to pools, as a state machine without I/O."""

import math

import attrs

from azurepier.dispatch import _bounds
from azurepier.dispatch import _demand
from azurepier.dispatch import _links
from azurepier.dispatch import _model
from azurepier.dispatch import _order
from azurepier.dispatch import _placement
from azurepier.dispatch import _progress
from azurepier.dispatch import _runs
from azurepier.dispatch import _state
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier.kernel import Verdict

RoutingSeen = _links.RoutingSeen

# The process goes on for at least so long after it was asked to stop (s):
# callers notice only after two checks, a second apart.
DRAIN_LEAST_S = 2.2
# Connections that are still open are served for so long at most (s).
DRAIN_OPEN_S = 4.5
# Share of the time left that a job's declared work may take for the job to
# be accepted by a process that is about to end.
DRAIN_WORK_SHARE = 0.6
# Work that is still open when the process has to end is given back so long
# before (s).
DRAIN_MARGIN_S = 0.7
# While endpoints connect one by one, what they offer together is not known.
OPENING_S = 0.15
# With no endpoint reachable for so long, begun jobs are given up (s).
STRANDED_S = 1.0
MS_PER_S = 1000
RETRY_SOON_S = 1
RETRY_NEVER_S = 60


def create(options, rng, now):
    """Return a new entry."""
    node = _state.Entry(
        options=options,
        incarnation=kernel.ids.new_incarnation(rng),
        rng=rng,
        started_at=now,
        alive_at=now,
    )
    node.timers.set('beat', now)
    node.timers.set('dial', now)
    return node


def handle(node, event, now):
    """Process one event; return the effects for the shell, in order."""
    out = []
    if now - node.alive_at > _bounds.STALL_S:
        paused_ms = round((now - node.alive_at) * MS_PER_S)
        out.append(effects.Note('paused', {'ms': paused_ms}))
        out += _links.drop_all(node, now)
    node.alive_at = now
    out += _EVENTS[type(event)](node, event, now)
    if node.dirty:
        # One pass serves all that arrives in an iteration of the loop. It
        # also lets a caller's disconnection that waits in a socket be seen
        # before anything is started for it.
        node.dirty = False
        node.timers.set('pass', now)
    return out


def is_ready(node, now):
    """Tell whether new connections should be sent to this entry."""
    if node.draining or node.routing is None:
        return False
    return any(endpoint.accepting for endpoint in node.by_conn.values())


def pending(node, queue):
    """Return the number of a queue's jobs that have not begun."""
    return sum(
        1
        for job in node.jobs.values()
        if job.queue.name == queue.name and not job.begun
    )


def status(node, now):
    """Return the state for the metrics as plain data."""
    waiting = sum(len(job.waiting) for job in node.jobs.values())
    return {
        'role': 'entry',
        'jobs': len(node.jobs),
        'waiting_tasks': waiting,
        'running_tasks': sum(len(job.running) for job in node.jobs.values()),
        'endpoints': len(node.by_conn),
        'entries': len(node.peers) + 1,
        'config_version': _state.config_version(node),
        'counters': dict(node.counters),
    }


# Callers -----------------------------------------------------------------


def _on_submit(node, event, now):
    spec, queue = event.job, event.queue
    known = node.recent.get(spec.id)
    if known is not None:
        node.count('jobs_answered_again')
        return [
            effects.Note('job_answered_again', {'job_id': spec.id}),
            effects.Answer(event.req, known[1]),
        ]
    job = node.jobs.get(spec.id)
    if job is not None:
        job.reqs.add(event.req)
        node.job_of[event.req] = job
        node.count('jobs_joined')
        return [effects.Note('job_joined', {'job_id': spec.id})]
    work_s = spec.declared_ms / MS_PER_S
    due_s = queue.stretch * work_s + queue.margin_s
    job = _state.Job({event.req}, queue, spec, now, work_s, now + due_s)
    job.waiting = [
        _state.Task(job, index, f'{spec.id}.0.0.{index}')
        for index in reversed(range(spec.count))
    ]
    job.remaining = spec.count
    _demand.note_arrival(node, job)
    node.jobs[spec.id] = job
    node.job_of[event.req] = job
    node.count('jobs')
    node.dirty = True
    out = [
        effects.Note(
            'job_received',
            {
                'job_id': spec.id,
                'queue': queue.name,
                'tasks': spec.count,
                'declared_ms': spec.declared_ms,
                'cpu': spec.needs.cpu,
                'config_version': _state.config_version(node),
            },
        )
    ]
    reason = _refusal(node, job, now)
    if reason is not None:
        rejected = _model.Rejected(*reason)
        return out + _runs.finish(node, job, rejected, now)
    return out


def _refusal(node, job, now):
    """Return reason and Retry-After if a job is known not to be servable."""
    if node.stopped:
        return 'draining', RETRY_SOON_S
    if node.draining:
        left_s = node.drain_until - now
        if job.work_s > left_s * DRAIN_WORK_SHARE:
            return 'draining', RETRY_SOON_S
    pool = [
        endpoint
        for endpoint in node.by_conn.values()
        if endpoint.pool == job.queue.pool and endpoint.cpu
    ]
    needs = job.spec.needs
    if pool and not any(_placement.could_fit(each, needs) for each in pool):
        return 'impossible', RETRY_NEVER_S
    return None


def _on_abandon(node, event, now):
    job = node.job_of.get(event.req)
    if job is None:
        return []
    if len(job.reqs) > 1:
        job.reqs.discard(event.req)
        del node.job_of[event.req]
        return []
    node.count('jobs_abandoned')
    fields = {
        'job_id': job.spec.id,
        'queue': job.queue.name,
        'ms': round((now - job.received_at) * MS_PER_S),
        'running': len(job.running),
    }
    out = [effects.Note('job_abandoned', fields)]
    return out + _runs.abandon(node, job)


# Dispatch ----------------------------------------------------------------


def _on_pass(node, _, now):
    """Start what can be started, and reject what can't be in time."""
    by_pool = {}
    for job in node.jobs.values():
        if job.waiting:
            by_pool.setdefault(job.queue.pool, []).append(job)
    out = []
    for pool, jobs in by_pool.items():
        out += _dispatch_pool(node, pool, jobs, now)
    if by_pool:
        node.timers.set('late', now + _bounds.BEAT_S)
    return out + _runs.flush(node)


def _dispatch_pool(node, pool, jobs, now):
    open_ = [
        endpoint
        for endpoint in node.by_conn.values()
        if endpoint.pool == pool and _placement.is_open(endpoint)
    ]
    supply = _supply(node, pool, open_, now)
    ordered = _order.in_order(jobs, supply.fastest, now)
    for job in ordered:
        _start_tasks(node, open_, job, now)
    waiting = [job for job in ordered if job.waiting]
    out = _give_back_stranded(node, pool, waiting, bool(open_), now)
    for job, wait_s, slack_s in _order.hopeless(waiting, supply, now):
        if _placement.has_spare_room(open_, job):
            # Slow endpoints are free; late is better than not at all.
            _start_tasks(node, open_, job, now, at_once=True)
            if job.begun:
                continue
        backlog = sum(map(_order.work, waiting))
        after = _order.retry_after(backlog / supply.rate, node.rng)
        rejected = _model.Rejected('overload', after)
        inputs = {
            'job_id': job.spec.id,
            'wait_ms': round(wait_s * MS_PER_S),
            'slack_ms': round(slack_s * MS_PER_S),
            'waiting_jobs': len(waiting),
            'cores': round(supply.rate, 1),
            'endpoints': len(open_),
            'free_cpu': sum(endpoint.free_cpu for endpoint in open_),
            'oldest_report_ms': round(_oldest_s(open_, now) * MS_PER_S),
        }
        out.append(effects.Note('job_hopeless', inputs))
        out += _runs.finish(node, job, rejected, now)
    return out


def _oldest_s(endpoints, now):
    """Return the age of the oldest news from an endpoint (s)."""
    return max((now - each.last_heard for each in endpoints), default=0.0)


def _start_tasks(node, open_, job, now, at_once=False):
    while job.waiting:
        task = job.waiting[-1]
        if task.not_before > now or task.name in node.running_names:
            return
        endpoint = _placement.choose(open_, job, now, node.rng, at_once)
        if endpoint is None:
            return
        _runs.start(node, endpoint, job, now)


def _give_back_stranded(node, pool, waiting, any_open, now):
    """Give up begun jobs when no endpoint has been reachable for long.

    Another entry may reach some; the caller sends again.
    """
    if any_open:
        if node.stranded_since.pop(pool, None) is not None:
            node.opened_at[pool] = now
        return []
    since = node.stranded_since.setdefault(pool, now)
    if now - since < STRANDED_S:
        return []
    out = []
    for job in list(waiting):
        if job.begun and not job.running:
            waiting.remove(job)
            rejected = _model.Rejected(
                'no_endpoint', RETRY_SOON_S, Verdict.MAY_HAVE_RUN
            )
            out += _runs.finish(node, job, rejected, now)
    return out


def _supply(node, pool, open_, now):
    if not open_:
        return _order.UNKNOWN
    # Endpoints that fail their tasks take a trial now and then.
    open_ = [each for each in open_ if _placement.is_sound(each)] or open_
    fastest = max(endpoint.speed for endpoint in open_)
    if now - node.opened_at.get(pool, -math.inf) < OPENING_S:
        return attrs.evolve(_order.UNKNOWN, fastest=fastest)
    cores = sum(endpoint.cpu * endpoint.speed for endpoint in open_) / 1000
    return _order.Supply(fastest, cores * _demand.share(node))


# Connections -------------------------------------------------------------


def _on_connection_up(node, event, now):
    hello = event.hello
    if hello.role == 'endpoint':
        return _links.endpoint_up(node, event.conn, hello, now)
    return _links.peer_up(node, event.conn, hello, now)


def _on_connection_lost(node, event, now):
    endpoint = node.by_conn.get(event.conn)
    if endpoint is not None:
        return _links.endpoint_lost(node, endpoint, 'closed', now)
    peer = node.peers.get(event.conn)
    if peer is not None:
        return _links.peer_lost(node, peer, 'closed')
    return []


def _on_received(node, event, now):
    sender, table = node.by_conn.get(event.conn), _ENDPOINT_MESSAGES
    if sender is None:
        sender, table = node.peers.get(event.conn), _PEER_MESSAGES
    if sender is None:
        node.count('messages_of_lost_connections')
        return []
    handler = table.get(type(event.msg))
    if handler is None:
        return [effects.Close(event.conn)]
    sender.last_heard = now
    return handler(node, sender, event.msg, now)


def _on_members_seen(node, event, now):
    for address in event.entries:
        _links.learn(node, address, now)
    return []


def _on_config_update(node, peer, msg, now):
    """Let the shell decode what another entry has in force."""
    if msg.version <= _state.config_version(node):
        return []
    return [effects.Decode(msg.body)]


# Timers ------------------------------------------------------------------


def _on_tick(node, event, now):
    out = []
    for key in node.timers.expired(now):
        name, argument = key if isinstance(key, tuple) else (key, None)
        out += _TIMERS[name](node, argument, now)
    return out


def _on_late(node, _, now):
    node.dirty = True
    return []


def _on_drain(node, event, now):
    node.draining_since = now
    grace_s = node.options.bounds.grace_s
    node.drain_until = now + grace_s - DRAIN_MARGIN_S
    node.timers.set('drain_end', node.drain_until)
    return _on_drain_check(node, None, now)


def _on_drain_check(node, _, now):
    since = now - node.draining_since
    quiet = node.callers_connected() == 0 or since > DRAIN_OPEN_S
    if not node.jobs and quiet and since > DRAIN_LEAST_S:
        node.stopped = True
        return [effects.Stopped()]
    node.timers.set('drain_check', now + _bounds.BEAT_S)
    return []


def _on_drain_end(node, _, now):
    """Give back what can't be finished before the process is killed."""
    out = []
    for job in list(node.jobs.values()):
        verdict = Verdict.MAY_HAVE_RUN if job.begun else Verdict.NOT_RUN
        rejected = _model.Rejected('draining', RETRY_SOON_S, verdict)
        out += _runs.finish(node, job, rejected, now)
    return out


_EVENTS = {
    _model.Submit: _on_submit,
    events.Abandon: _on_abandon,
    events.ConnectionUp: _on_connection_up,
    events.ConnectionLost: _on_connection_lost,
    events.Received: _on_received,
    events.Tick: _on_tick,
    events.Drain: _on_drain,
    events.MembersSeen: _on_members_seen,
    _links.RoutingSeen: _links.on_routing_seen,
}

_ENDPOINT_MESSAGES = {
    messages.RunsKnown: _links.on_known,
    messages.RunEnds: _links.on_ends,
    messages.PoolState: _links.on_state,
    messages.Beat: _links.on_endpoint_beat,
    messages.RunProgress: _progress.on_progress,
}

_PEER_MESSAGES = {
    messages.Beat: _links.on_peer_beat,
    messages.ConfigUpdate: _on_config_update,
}

_TIMERS = {
    'beat': _links.on_beat_timer,
    'dial': _links.on_dial_timer,
    'over': _links.on_over,
    'pass': _on_pass,
    'late': _on_late,
    'drain_check': _on_drain_check,
    'drain_end': _on_drain_end,
}
