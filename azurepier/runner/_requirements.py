"""Requirements of an order that the worker has to meet.

Load pattern: workers crash and are back after a tenth of a second as another
kind or in another pool, while entries send hundreds of orders per second. An
entry chooses by the worker's last report, which may be 0.25 s old, and doesn't
see the runs of other entries. So an order carries what it was chosen by, and
the endpoint process checks it against the worker's latest report. A refusal
brings the entry the present labels and the pool with it.

Orders of earlier versions carry no requirements, and are taken as before.
"""


def _is_in_pool(node, order):
    return order.pool is None or order.pool == node.worker.pool


def _has_label(node, order):
    return order.label is None or order.label in node.worker.labels


def _is_within_step_limit(node, order):
    """Return whether a step may have one more task on the worker.

    Runs that are being stopped count, whoever ordered them.
    """
    if order.max_per_worker is None:
        return True
    step = order.task.rpartition('.')[0]
    count = sum(task.rpartition('.')[0] == step for task in node.runs)
    return count < order.max_per_worker


# By the reason of the refusal; entries act on it.
_REQUIREMENTS = {
    'other_pool': _is_in_pool,
    'label_missing': _has_label,
    'step_limit': _is_within_step_limit,
}


def find_unmet(node, order):
    """Return why an order doesn't suit the worker, or None.

    Parameters
    ----------
    node : Endpoint
        Its worker is known.
    order : RunOrder

    Returns
    -------
    str or None
    """
    for reason, is_met in _REQUIREMENTS.items():
        if not is_met(node, order):
            return reason
    return None
