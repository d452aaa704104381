"""Explanation of where a job would be placed now.

Load pattern: an operator asks why jobs of a queue wait or are refused while
workers seem to be idle. The answer comes from the code that decides: a copy of
the entry's state takes the job and carries out a dispatch pass. Nothing of the
copy reaches callers, endpoint processes, counters or the random numbers of the
entry. What a rule says of an endpoint refers to the job's next task, after the
pass has placed the others.
"""

import copy

from azurepier.dispatch import _callers
from azurepier.dispatch import _model
from azurepier.dispatch import _pass
from azurepier.dispatch import _placement
from azurepier.dispatch import _priority
from azurepier.kernel import effects
from azurepier.kernel import messages

MS_PER_S = 1000
# Tasks and runs of an entry beyond which nothing is explained. A copy of the
# state takes about 70 us for each of them; the entry does nothing else then.
MAX_TASKS = 3000
# Number of the request of the copy; those of callers are positive.
REQUEST = -1


def explain(node, queue, request, now):
    """Return what would happen to a job that was submitted now.

    Parameters
    ----------
    node : Entry
        It is not changed.
    queue : Queue
    request : JobRequest
        Its id must not be that of a job in use.
    now : float

    Returns
    -------
    dict
        Plain data: ``decision`` (``start``, ``wait`` or ``refuse``), the
        ``starts`` by endpoint, why the remaining tasks wait (``waits_for``),
        the ``refusal`` with its inputs, and all ``endpoints`` of the pool with
        their state, its age and the rule that rules them out.
    """
    trial = copy.deepcopy(node, _not_copied(node))
    placed = [
        endpoint
        for endpoint in trial.by_conn.values()
        if endpoint.pool == queue.pool
    ]
    before = {each.name: _endpoint_state(each, now) for each in placed}
    event = _model.Submit(REQUEST, queue, request)
    out = _callers.on_submit(trial, event, now)
    job = trial.jobs.get(request.id)
    out += _pass.on_callers_confirmed(trial, None, now)
    answer = next(
        (
            each.body
            for each in out
            if isinstance(each, effects.Answer) and each.req == REQUEST
        ),
        None,
    )
    result = {
        'entry': node.options.name,
        'queue': queue.name,
        'pool': queue.pool,
        'priority': queue.priority,
        'tasks': request.count,
        'starts': _count_orders(trial, out, request),
        'waiting_tasks': 0 if job is None else len(job.waiting),
        **_priority.status(trial, now),
    }
    if answer is not None:
        result['decision'] = 'refuse'
        result['refusal'] = _refusal(answer, out, request)
    else:
        result['decision'] = 'start' if result['starts'] else 'wait'
        result['waits_for'] = _waits_for(trial, job, placed, now)
    result['endpoints'] = [
        before[each.name] | {'ruled_out_by': _rule(each, job)}
        for each in sorted(placed, key=lambda each: each.name)
    ]
    return result


def is_too_large(node):
    """Tell whether a copy of the state would take too long."""
    return node.task_count + len(node.run_count_by_task) > MAX_TASKS


def _not_copied(node):
    """Return what stands for large parts of the state in a copy, by id.

    The routing, whose text may have megabytes, isn't changed; records of ended
    jobs have nothing on a job that is submitted for the first time.
    """
    records = (
        node.recent_outcomes,
        node.started_jobs,
        node.canceled_jobs,
        node.stopped_jobs,
        node.unsent_cancels,
        node.former_routes,
    )
    substitutes = {id(each): type(each)() for each in records}
    unchanged = (node.routing, node.cancel_checks)
    return substitutes | {id(each): each for each in unchanged}


def _endpoint_state(endpoint, now):
    return {
        'endpoint': endpoint.name,
        'domain': endpoint.domain,
        'age_ms': round((now - endpoint.last_received_at) * MS_PER_S),
        'cpu': endpoint.cpu,
        'free_cpu': endpoint.free_cpu,
        'free_mem_mb': endpoint.free_mem_mb,
        'free_gpu': endpoint.free_gpu,
        'speed': round(endpoint.speed, 3),
        'failures': endpoint.failures,
        'entries': endpoint.entry_count,
    }


def _count_orders(trial, out, request):
    """Return the number of tasks that are started, by endpoint."""
    starts = {}
    for each in out:
        if isinstance(each, effects.Send) and isinstance(
            each.msg, messages.RunOrders
        ):
            count = sum(
                order.task.rpartition('.0.0.')[0] == request.id
                for order in each.msg.orders
            )
            if count:
                starts[trial.by_conn[each.conn].name] = count
    return starts


def _refusal(answer, out, request):
    """Return the answer of a refused job, with the inputs that were logged."""
    inputs = [
        each.fields
        for each in out
        if isinstance(each, effects.Log)
        and each.event == 'job_unservable'
        and each.fields['job_id'] == request.id
    ]
    return {
        'reason': getattr(answer, 'reason', type(answer).__name__.lower()),
        'retry_after_s': getattr(answer, 'retry_after_s', None),
        'inputs': inputs[0] if inputs else {},
    }


def _waits_for(trial, job, placed, now):
    """Return the rule for which the remaining tasks wait, or None."""
    if job is None or not job.waiting:
        return None
    endpoints = [each for each in placed if _placement.is_open(each)]
    if not endpoints:
        return 'endpoints'
    if _priority.is_deferred(trial, endpoints, job, now):
        return 'urgent_reserve'
    if not _placement.find_candidates(endpoints, job):
        return 'room'
    return 'faster_endpoint'


def _rule(endpoint, job):
    if endpoint.evacuated:
        return 'evacuated'
    if not _placement.is_open(endpoint):
        return 'not_accepting'
    if job is None or not job.waiting:
        return None
    return _placement.find_rule_against(endpoint, job)
