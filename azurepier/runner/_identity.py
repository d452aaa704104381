"""Identity of the worker beside the process, from its reports and lists.

A list of runs is the answer to a request of this process, so that its start
time is that of the worker's current incarnation. A report may come from any
program that reaches the address for reports, or from an earlier incarnation.
It is used only if a list has shown its start time; until then it causes
nothing but a request for the list. Several writers may know the start time
(`azurepier.runner._heartbeats`).
"""

from azurepier.kernel import effects
from azurepier.runner import _heartbeats
from azurepier.runner import _requests

# Maximum number of reports that wait for a list with their start time. More
# than one is waiting only while another program sends reports.
UNCONFIRMED_REPORTS_MAX = 4


def on_worker_reported(node, event, now):
    """Use a report of the current incarnation, or ask for its confirmation."""
    reported = event.worker
    if reported.born != node.born:
        return _await_confirmation(node, reported, now)
    heartbeats = node.heartbeats
    if heartbeats is None or (
        node.worker is None and heartbeats.worker_id != reported.id
    ):
        heartbeats = _heartbeats.Heartbeats(reported.id)
        node.heartbeats = heartbeats
    if heartbeats.worker_id != reported.id:
        return []
    out = []
    if heartbeats.add(reported, now):
        node.count('reports_differ')
        fields = {'worker': reported.id, 'sequence': reported.sequence}
        out.append(effects.Log('worker_reports_differ', fields))
    out += _use_report(node, heartbeats.agreed(now))
    return out + _requests.request_list(node, now)


def _await_confirmation(node, reported, now):
    """Request the list, which shows whether the worker has restarted."""
    out = []
    if reported.born not in node.unconfirmed_reports:
        fields = {
            'worker': reported.id,
            'pool': reported.pool,
            'born': reported.born,
            'known_born': node.born,
        }
        out.append(effects.Log('worker_report_unconfirmed', fields))
    heartbeats = node.unconfirmed_reports.get(reported.born)
    if heartbeats is None or heartbeats.worker_id != reported.id:
        heartbeats = _heartbeats.Heartbeats(reported.id)
        node.unconfirmed_reports[reported.born] = heartbeats
    heartbeats.add(reported, now)
    while len(node.unconfirmed_reports) > UNCONFIRMED_REPORTS_MAX:
        del node.unconfirmed_reports[next(iter(node.unconfirmed_reports))]
    return out + _requests.request_list_now(node, now)


def _use_report(node, reported):
    previous, node.worker = node.worker, reported
    node.changed = True
    if (
        previous is not None
        and previous.born == reported.born
        and previous.leaving == reported.leaving
    ):
        return []
    fields = {
        'worker': reported.id,
        'previous': None if previous is None else previous.id,
        'pool': reported.pool,
        'born': reported.born,
        'leaving': reported.leaving,
        'cpu': reported.cpu,
        'mem_mb': reported.mem_mb,
    }
    return [effects.Log('worker_reported', fields)]


def on_listed(node, born, now):
    """Record the start time in a list, and use the report that has it."""
    if born == node.born:
        return []
    node.born = born
    node.heartbeats = node.unconfirmed_reports.pop(born, None)
    if node.heartbeats is not None:
        return _use_report(node, node.heartbeats.agreed(now))
    if node.worker is not None:
        node.worker = None
        node.changed = True
    return []


def on_worker_left(node, event, now):
    """Stop using a worker that has announced its end."""
    if node.worker is None or node.worker.id != event.id:
        return []
    node.worker = None
    node.changed = True
    return [effects.Log('worker_left', {'worker': event.id})]
