"""Canceled jobs at an endpoint process.

Load pattern: a cancel that reaches some entries only, since links between
entries are cut or the entry that took it has ended. An endpoint process is
connected to several entries. It remembers canceled jobs, stops their runs and
refuses their orders, and passes cancels on to the entries that haven't sent
them in the meantime. Entries that don't pass on cancels of endpoint processes
are served as before, since they would send a refused order again at once.
"""

from azurepier.dispatch import canceled_jobs
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier.runner import _stops

REASON = 'canceled'
# Time in which the other entries usually send a cancel by themselves, after
# which it is passed on to those that haven't (s). An entry collects cancels
# for 0.05 s, and hears of them within some milliseconds.
RELAY_DELAY_S = 0.1


def refuses(node, link, order, now):
    """Tell whether an order is one for a canceled job."""
    job_id = _job_id(order.task)
    return link.relays_cancels and canceled_jobs.is_canceled(
        node.canceled_jobs, job_id, now
    )


def _job_id(task):
    return task.partition('.')[0]


def on_heartbeat(node, link, msg, now):
    """Stop the runs of the jobs that an entry reports as canceled."""
    new = list(canceled_jobs.find_new(node.canceled_jobs, msg, now))
    for canceled in msg.canceled or ():
        holders = node.unsent_cancels.get(canceled.job_id)
        if holders is not None:
            holders.add(link.incarnation)
    if not new:
        return []
    if not node.unsent_cancels:
        node.timers.set('cancels', now + RELAY_DELAY_S)
    for job_id, at in new:
        canceled_jobs.remember(node.canceled_jobs, job_id, at, now)
        node.unsent_cancels[job_id] = {link.incarnation}
    return _stop_runs(node, {job_id for job_id, _ in new}, now)


def _stop_runs(node, job_ids, now):
    """Stop the runs of canceled jobs, after their entries were told."""
    runs = [
        run
        for run in node.runs.values()
        if run.link.relays_cancels and _job_id(run.order.task) in job_ids
    ]
    out = []
    owners = {run.link.incarnation: run.link for run in runs}
    for incarnation, link in owners.items():
        untold = [
            job_id
            for job_id in sorted(job_ids)
            if incarnation not in node.unsent_cancels[job_id]
        ]
        for job_id in untold:
            node.unsent_cancels[job_id].add(incarnation)
        out += _send(node, link, untold, now)
    for run in runs:
        if run.loss is None:
            out += _stops.stop_run(node, run, REASON, now)
    return out


def tell(node, link, orders, now):
    """Tell an entry of the cancels of the jobs whose orders are refused."""
    job_ids = sorted({_job_id(order.task) for order in orders})
    return _send(node, link, job_ids, now)


def send_all(node, link, now):
    """Send all canceled jobs to an entry on a new connection."""
    return _send(node, link, list(node.canceled_jobs), now)


def on_relay_timer(node, _, now):
    """Pass the cancels on to the entries that haven't sent them."""
    unsent, node.unsent_cancels = node.unsent_cancels, {}
    out = []
    for link in node.by_conn.values():
        job_ids = [
            job_id
            for job_id, holders in unsent.items()
            if link.incarnation not in holders
        ]
        node.count('cancels_relayed', len(job_ids))
        out += _send(node, link, job_ids, now)
    return out


def _send(node, link, job_ids, now):
    if link.conn is None or not link.relays_cancels:
        return []
    return [
        effects.Send(
            link.conn,
            messages.Beat(config_version=-1, demand=0.0, canceled=batch),
        )
        for batch in canceled_jobs.make_batches(
            node.canceled_jobs, job_ids, now
        )
    ]
