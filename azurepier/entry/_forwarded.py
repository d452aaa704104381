"""Requests of callers that another entry forwarded."""

from azurepier.entry import _callers
from azurepier.entry import _outcomes
from azurepier.entry import _peers
from azurepier.entry import _recovery
from azurepier.entry import _state
from azurepier import jobs
from azurepier import kernel


def on_forward(node, peer, msg, now):
    """Handle a forwarded request; its answer goes back to the peer.

    A request that can't be read, for example from a later version, is
    answered too: after a failure the peer would send it again on its next
    connection.
    """
    waiter = _state.Waiter(conn=peer.conn, query=msg.query)
    handler = _FORWARD_HANDLERS.get(msg.action, _refuse_unknown)
    try:
        return handler(node, waiter, msg, now)
    except kernel.InvalidInputError as exc:
        node.count('unreadable_forwards')
        answer = kernel.Refused(
            msg.job_id, 'internal', kernel.Verdict.MAY_HAVE_RUN, str(exc)
        )
        return [_outcomes.reply(waiter, answer)]


def _refuse_unknown(node, waiter, msg, now):
    raise kernel.InvalidInputError('action', f'unknown: {msg.action!r:.80}')


def _submit(node, waiter, msg, now):
    spec = jobs.spec_from_json(msg.body)
    if not msg.job_id:
        return _callers.submit_new(node, waiter, spec, msg.detach, now)
    if _must_recover(node, msg):
        return _recovery.recover(node, waiter, msg, now)
    return _callers.submit(
        node, waiter, msg.job_id, spec, msg.detach, msg.hops, now
    )


def _fetch(node, waiter, msg, now):
    if _must_recover(node, msg):
        return _recovery.recover(node, waiter, msg, now)
    return _callers.fetch(
        node,
        waiter,
        msg.job_id,
        msg.customer,
        msg.wait_ms / 1000,
        msg.hops,
        now,
    )


def _cancel(node, waiter, msg, now):
    if _must_recover(node, msg):
        return _recovery.recover(node, waiter, msg, now)
    return _callers.cancel(
        node, waiter, msg.job_id, msg.customer, msg.hops, now
    )


def _ids(node, waiter, msg, now):
    return _callers.issue_ids(node, waiter, msg.count, now)


def _must_recover(node, msg):
    """Tell whether this entry has to answer in place of the job's owner."""
    if msg.hops < _peers.HOPS_MAX:
        return False
    parsed_id = kernel.ids.parse(msg.job_id)
    return parsed_id is not None and parsed_id.incarnation != node.incarnation


_FORWARD_HANDLERS = {
    'submit': _submit,
    'fetch': _fetch,
    'cancel': _cancel,
    'ids': _ids,
}
