"""Free capacity and failures of the worker."""

from azurepier.kernel import messages
from azurepier.runner import _arriving
from azurepier.runner import _evacuation
from azurepier.runner import _lease
from azurepier.runner import _suspects
from azurepier.runner import _trial


def accepts(node, now):
    """Return whether the worker accepts new runs.

    What an orphaned run occupies is not known, and its stop takes a while.
    """
    return (
        node.worker is not None
        and _evacuation.takes_runs(node)
        and not node.worker.leaving
        and not node.draining
        and node.reachable
        and node.clock_offset_ms is not None
        and now >= node.unhealthy_until
        and not node.orphaned_runs
        and not _lease.is_ending(node, now)
    )


def fits(node, order):
    """Return whether the free capacity is enough for an order."""
    worker = node.worker
    return (
        node.used_cpu + order.cpu <= worker.cpu
        and node.used_mem_mb + order.mem_mb <= worker.mem_mb
        and node.used_gpu + order.gpu <= worker.gpu
    )


def update_usage(node, order, sign=1):
    """Add the needs of an order to the usage; `sign` -1 removes them."""
    node.used_cpu += sign * order.cpu
    node.used_mem_mb += sign * order.mem_mb
    node.used_gpu += sign * order.gpu
    node.changed = True


def record_success(node, run):
    """Clear the failures if a run that was started after them has succeeded.

    Long runs that were started before a fault of the worker still succeed.
    """
    if run.requested_at > node.failed_at:
        node.failed_jobs.clear()


def record_failure(node, job_id, now):
    """Record a failed task; failures of the same job count once."""
    node.failed_jobs.add(job_id)
    node.failed_at = now


def is_offered(node, link, now):
    """Return whether the free capacity is offered to an entry."""
    return _suspects.has_room_for_others(node, now) and not _trial.must_refuse(
        node, link, now
    )


def pool_state(node, link, now):
    """Return the message that reports the worker's state to an entry."""
    worker = node.worker
    cpu, mem_mb, gpu = (
        (worker.cpu, worker.mem_mb, worker.gpu) if worker else (0, 0, 0)
    )
    # A worker that is kept free for a suspect task still counts as supply.
    offered = is_offered(node, link, now)
    others_demand = sum(
        other.demand for other in node.by_conn.values() if other is not link
    )
    return messages.PoolState(
        pool=worker.pool if worker else node.options.pool,
        labels=list(worker.labels) if worker else [],
        cpu=cpu,
        mem_mb=mem_mb,
        gpu=gpu,
        free_cpu=cpu - node.used_cpu if offered else 0,
        free_mem_mb=mem_mb - node.used_mem_mb if offered else 0,
        free_gpu=gpu - node.used_gpu if offered else 0,
        accepting=accepts(node, now) and link.close_at is None,
        seen=link.highest_seq,
        speed=_trial.reported_speed(node, link, now),
        failures=len(node.failed_jobs),
        wanted=others_demand,
        entries=len(node.by_conn),
        arriving=_arriving.due_update(node, link, now),
    )
