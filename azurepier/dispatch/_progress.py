"""What the progress of runs tells an entry.

Load pattern: declared run times that are wrong by 40 % and a few jobs of
seven times the usual size, which all tasks of a job share; workers that turn
slow or stand still with tasks on them. The progress of the first tasks shows
the true size of a job, and with it its objective. A run that would end late
where it is, and in time elsewhere, is started again elsewhere.
"""

import math

from azurepier.dispatch import _links
from azurepier.dispatch import _placement
from azurepier.kernel import effects
from azurepier.kernel import messages

# Progress below this says little about the whole (percent).
LEAST_PERCENT = 8
# A run that ends late anyway is moved only if what remains takes at least
# this many times as long as the whole task elsewhere: its worker has turned
# slow. What was done so far is thrown away.
MOVE_FACTOR = 3.0
# Time of a stop, of its report and of the new start (s).
MOVE_S = 0.1
# Starts of a task after which it stays where it is.
MOVES_MAX = 3
MS_PER_S = 1000


def on_progress(node, endpoint, msg, now):
    """Update sizes and ends of runs; move runs that are stuck."""
    out = _links.on_state(node, endpoint, msg.state, now)
    for step in msg.steps:
        run = endpoint.runs.get(step.seq)
        if run is None or run.task is None or run.stopping:
            continue
        if step.percent >= LEAST_PERCENT and step.remaining_ms >= 0:
            _learn_size(run.task, endpoint, step)
        out += _consider_move(node, endpoint, run, step, now)
    return out


def _learn_size(task, endpoint, step):
    """Replace the declared run time by what the progress shows.

    The whole time so far counts, not the present rate: a worker that has
    just turned slow does not make the job longer. The longest task decides,
    as it does for the objective; with the mean, the longer tasks of a job
    would seem late and be moved.
    """
    job = task.job
    total_s = step.elapsed_ms / MS_PER_S * 100 / step.percent
    job.sizes[task.index] = total_s * endpoint.speed
    job.measured = True
    job.work_s = max(job.sizes.values())
    due_s = job.queue.stretch * job.work_s + job.queue.margin_s
    job.objective_at = job.received_at + due_s


def _consider_move(node, endpoint, run, step, now):
    task, job = run.task, run.task.job
    stuck = step.remaining_ms < 0
    remaining_s = math.inf if stuck else step.remaining_ms / MS_PER_S
    if not stuck and step.percent < LEAST_PERCENT:
        return []
    run.expected_end = now + remaining_s
    if task.starts >= MOVES_MAX or run.expected_end <= job.objective_at:
        return []
    others = _others(node, endpoint, job, now)
    target = max(others, key=lambda each: each.speed, default=None)
    if target is None:
        return []
    elsewhere_s = MOVE_S + job.work_s / target.speed
    saves_job = _saves_job(node, others, job, now)
    if not saves_job and remaining_s < elsewhere_s * MOVE_FACTOR:
        return []
    # Without spare room the task would take the room of another job.
    if not (saves_job and stuck) and not _placement.has_spare_room(
        others, job
    ):
        return []
    run.stopping = True
    task.avoid = (*task.avoid, endpoint.name)
    node.count('runs_moved')
    fields = {
        'task': run.name,
        'endpoint': endpoint.name,
        'speed': round(endpoint.speed, 2),
        'percent': step.percent,
        'remaining_ms': step.remaining_ms,
        'elsewhere_ms': round(elsewhere_s * MS_PER_S),
    }
    return [
        effects.Log('run_moved', fields),
        effects.Send(endpoint.conn, messages.RunStops(seqs=[run.seq])),
    ]


def _others(node, endpoint, job, now):
    """Return the other endpoints that have room for a task."""
    return [
        each
        for each in node.by_conn.values()
        if each is not endpoint
        and each.pool == job.queue.pool
        and _placement.is_sound(each)
        and _placement.fits(each, job.spec.needs)
    ]


def _saves_job(node, others, job, now):
    """Tell whether all late runs of a job can still end in time elsewhere.

    A job is late if one of its tasks is. Moving some of them would take
    room from other jobs and serve nobody.
    """
    left_s = job.objective_at - now - MOVE_S
    cpu = max(job.spec.needs.cpu, 1)
    rooms = sum(
        each.free_cpu // cpu
        for each in others
        if job.work_s / each.speed <= left_s
    )
    late = sum(
        run.expected_end > job.objective_at
        for run in map(node.run_of, job.running)
    )
    return rooms >= late + len(job.waiting)
