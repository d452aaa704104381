"""Status of an entry for operators."""

from azurepier import exchange
from azurepier import membership


def status(node, now):
    """Return the status as a JSON-serializable dict."""
    options = node.options
    return {
        'role': 'entry',
        'name': options.name,
        'incarnation': node.incarnation,
        'domain': options.domain,
        'web_address': options.web_address,
        'draining': node.draining,
        'config_version': exchange.current_version(node.adoption),
        'waiting_tasks': node.waiting_tasks,
        'unfinished_jobs': node.table.unfinished,
        'retained_jobs': len(node.table.jobs),
        'retained_bytes': node.table.bytes,
        'work_rate': node.throughput.rate,
        'entries': _entries(node),
        'endpoints': [
            _endpoint(view, now) for view in node.endpoints.values()
        ],
        'customers': {
            name: {'waiting_tasks': count}
            for name, count in node.waiting_by_customer.items()
            if count
        },
        'counters': dict(node.counters),
    }


def _entries(node):
    peers = {peer.name: peer for peer in node.peers.values()}
    return [
        {
            'name': info.name,
            'incarnation': info.incarnation,
            'address': info.address,
            'web_address': info.web_address,
            'draining': info.draining,
            'connected': info.name in peers,
            'config_version': getattr(
                peers.get(info.name), 'config_version', 0
            ),
        }
        for info in membership.entries(node.directory)
        if info.name != node.options.name
    ]


def _endpoint(view, now):
    return {
        'name': view.name,
        'incarnation': view.incarnation,
        'worker': view.worker,
        'domain': view.domain,
        'web_address': view.web_address,
        'connected': view.conn is not None,
        'leaving': view.leaving,
        'slots': view.slots,
        'free': view.free,
        'credit': view.credit,
        'open_starts': len(view.open_starts),
        'speed': round(view.speed, 3),
        'breaker_open': view.history.breaker.open_until is not None,
        'config_version': view.config_version,
        'silent_s': round(now - view.last_received_at, 3),
    }
