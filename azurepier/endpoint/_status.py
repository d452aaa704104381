"""Status of an endpoint process for operators."""

from azurepier.endpoint import _credits
from azurepier import exchange


def status(node, now):
    """Return the status as plain data for JSON."""
    options = node.options
    return {
        'role': 'endpoint',
        'name': options.name,
        'incarnation': node.incarnation,
        'worker': options.worker,
        'domain': options.domain,
        'slots': options.slots,
        'running': len(node.running),
        'free': _credits.free_slots(node),
        'healthy': node.healthy,
        'draining': node.draining,
        'config_version': exchange.current_version(node.adoption),
        'entries': [
            {
                'name': link.name,
                'incarnation': link.incarnation,
                'connected': link.conn is not None,
                'credit': link.credit,
            }
            for link in node.links.values()
        ],
        'retained_bytes': node.retained_bytes,
        'counters': dict(node.counters),
    }
