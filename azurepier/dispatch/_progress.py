"""Estimates from the progress of runs, and moves of late or stalled runs.

Load pattern: declared run times with errors of 40 %, and a few jobs of seven
times the usual size, where all tasks of a job deviate alike; workers that get
slow, or on which tasks stall. The progress of the first tasks shows the actual
work of a job, from which its objective follows. A run that would end late on
its endpoint but in time on another is restarted there.
"""

import math

from azurepier.dispatch import _links
from azurepier.dispatch import _placement
from azurepier.kernel import effects
from azurepier.kernel import messages

# Progress below this is too small for an estimate of the run time (percent).
MIN_PERCENT = 8
# A run that ends late even if moved is moved only if its remaining time is at
# least this many times that of the whole task on another endpoint, which means
# that its worker has become slow. The work done so far is lost by a move.
MOVE_FACTOR = 3.0
# Time to stop a run, receive its report and start it elsewhere (s).
MOVE_OVERHEAD_S = 0.1
# Number of starts of a task after which it is not moved any more.
MOVES_MAX = 3
MS_PER_S = 1000


def on_progress(node, endpoint, msg, now):
    """Update the estimates of jobs and runs; move late or stalled runs."""
    out = _links.on_pool_state(node, endpoint, msg.state, now)
    for step in msg.steps:
        run = endpoint.runs.get(step.seq)
        if run is None or run.task is None or run.stopping:
            continue
        if step.percent >= MIN_PERCENT and step.remaining_ms >= 0:
            _update_work_estimate(run.task, endpoint, step)
        out += _consider_move(node, endpoint, run, step, now)
    return out


def _update_work_estimate(task, endpoint, step):
    """Replace the declared run time by an estimate from the progress.

    The estimate uses the total elapsed time and not the current rate, so that
    it is not inflated by a worker that has just become slow. The longest task
    determines the work of the job, as it does the objective; with the mean,
    the longer tasks of a job would seem late and be moved.
    """
    job = task.job
    total_s = step.elapsed_ms / MS_PER_S * 100 / step.percent
    job.measured_work_s[task.index] = total_s * endpoint.speed
    job.work_is_measured = True
    job.work_s = max(job.measured_work_s.values())
    objective_s = job.queue.stretch * job.work_s + job.queue.margin_s
    job.objective_at = job.received_at + objective_s


def _consider_move(node, endpoint, run, step, now):
    """Stop a late or stalled run if it should be restarted elsewhere."""
    task, job = run.task, run.task.job
    stalled = step.remaining_ms < 0
    remaining_s = math.inf if stalled else step.remaining_ms / MS_PER_S
    if not stalled and step.percent < MIN_PERCENT:
        return []
    run.expected_end_at = now + remaining_s
    if task.starts >= MOVES_MAX or run.expected_end_at <= job.objective_at:
        return []
    target_endpoints = _other_endpoints(node, endpoint, job, now)
    target = max(target_endpoints, key=lambda each: each.speed, default=None)
    if target is None:
        return []
    moved_run_s = MOVE_OVERHEAD_S + job.work_s / target.speed
    makes_job_timely = _all_late_runs_fit(node, target_endpoints, job, now)
    if not makes_job_timely and remaining_s < moved_run_s * MOVE_FACTOR:
        return []
    # Without spare capacity the task would displace another job.
    if not (
        makes_job_timely and stalled
    ) and not _placement.has_spare_capacity(target_endpoints, job):
        return []
    run.stopping = True
    task.avoided_endpoints = (*task.avoided_endpoints, endpoint.name)
    node.count('runs_moved')
    fields = {
        'task': run.name,
        'endpoint': endpoint.name,
        'speed': round(endpoint.speed, 2),
        'percent': step.percent,
        'remaining_ms': step.remaining_ms,
        'elsewhere_ms': round(moved_run_s * MS_PER_S),
    }
    return [
        effects.Log('run_moved', fields),
        effects.Send(endpoint.conn, messages.RunStops(seqs=[run.seq])),
    ]


def _other_endpoints(node, endpoint, job, now):
    """Return the other healthy endpoints with capacity for a task."""
    return [
        each
        for each in node.by_conn.values()
        if each is not endpoint
        and each.pool == job.queue.pool
        and _placement.is_healthy(each)
        and _placement.fits(each, job.request.resources)
    ]


def _all_late_runs_fit(node, target_endpoints, job, now):
    """Tell whether all late runs of a job can still end in time elsewhere.

    A job is late if one of its tasks is. Moving only some of them would take
    capacity from other jobs without making the job timely.
    """
    time_left_s = job.objective_at - now - MOVE_OVERHEAD_S
    cpu = max(job.request.resources.cpu, 1)
    capacity = sum(
        each.free_cpu // cpu
        for each in target_endpoints
        if job.work_s / each.speed <= time_left_s
    )
    late_run_count = sum(
        run.expected_end_at > job.objective_at
        for run in map(node.get_run, job.running)
    )
    return capacity >= late_run_count + len(job.waiting)
