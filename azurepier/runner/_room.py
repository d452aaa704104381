"""What the worker has free, and whether it fails its tasks."""

from azurepier.kernel import messages
from azurepier.runner import _trial


def accepts(node, now):
    """Tell whether the worker takes new runs."""
    return (
        node.worker is not None
        and not node.worker.leaving
        and not node.draining
        and node.reachable
        and node.clock_offset_ms is not None
        and now >= node.unhealthy_until
    )


def has_room(node, order):
    """Tell whether a task fits beside what runs."""
    worker = node.worker
    return (
        node.used_cpu + order.cpu <= worker.cpu
        and node.used_mem_mb + order.mem_mb <= worker.mem_mb
        and node.used_gpu + order.gpu <= worker.gpu
    )


def take(node, order, sign=1):
    """Count a task's needs as used, or with `sign` -1 as free again."""
    node.used_cpu += sign * order.cpu
    node.used_mem_mb += sign * order.mem_mb
    node.used_gpu += sign * order.gpu
    node.changed = True


def note_done(node, run):
    """Take the failures back if a task that began after them was done.

    Long tasks that began before a worker's fault still succeed.
    """
    if run.asked_at > node.failed_at:
        node.failed_jobs.clear()


def note_failed(node, job_id, now):
    """Count a task that failed; those of one job count once."""
    node.failed_jobs.add(job_id)
    node.failed_at = now


def report(node, link, now):
    """Return the message that tells an entry all of this."""
    worker = node.worker
    cpu, mem_mb, gpu = (
        (worker.cpu, worker.mem_mb, worker.gpu) if worker else (0, 0, 0)
    )
    room = not _trial.refuses(node, link, now)
    wanted = sum(
        other.demand for other in node.by_conn.values() if other is not link
    )
    return messages.PoolState(
        pool=worker.pool if worker else node.options.pool,
        labels=list(worker.labels) if worker else [],
        cpu=cpu,
        mem_mb=mem_mb,
        gpu=gpu,
        free_cpu=cpu - node.used_cpu if room else 0,
        free_mem_mb=mem_mb - node.used_mem_mb if room else 0,
        free_gpu=gpu - node.used_gpu if room else 0,
        accepting=accepts(node, now) and link.parting_at is None,
        seen=link.seen,
        speed=_trial.offered_speed(node, link, now),
        failures=len(node.failed_jobs),
        wanted=wanted,
        entries=len(node.by_conn),
    )
