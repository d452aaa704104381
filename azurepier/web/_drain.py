"""Handler of ``POST /v1/drain``, which stops the process gracefully."""

import hashlib
import hmac
import ipaddress

from azurepier.web import _answers

_SCHEME = 'hmac'
_DETAIL = (
    'accepted from the machine of the process, or with the header'
    ' "Authorization: HMAC ..." made with a shared key for this incarnation'
)
# A request with one of these was passed on by a proxy or sent by a page in
# a browser, so that the peer's address does not tell who sent it.
_INDIRECT = (b'forwarded', b'x-forwarded-for', b'via', b'origin')


def drain_proof(key, name, incarnation):
    """Return the proof that its sender may drain a process.

    Parameters
    ----------
    key : bytes
        A key that the processes share.
    name : str
        Name of the process.
    incarnation : str
        The run of the process; the proof is worthless for any other.

    Returns
    -------
    str
        HMAC-SHA256 as hexadecimal digits, for ``Authorization: HMAC``.
    """
    text = f'drain\n{name}\n{incarnation}'
    return hmac.new(key, text.encode(), hashlib.sha256).hexdigest()


def _is_local(request):
    if any(request.get_first_header(name) for name in _INDIRECT):
        return False
    # A server that listens on a local socket names no peer.
    client = request.scope.get('client')
    if not client:
        return False
    try:
        address = ipaddress.ip_address(client[0])
    except ValueError:
        return False
    # Sockets for both families show IPv4 peers like ::ffff:127.0.0.1.
    mapped = getattr(address, 'ipv4_mapped', None)
    return (mapped or address).is_loopback


def _has_proof(request, shell):
    header = request.get_first_header(b'authorization') or b''
    scheme, _, proof = header.partition(b' ')
    if scheme.decode('latin-1').lower() != _SCHEME:
        return False
    proof = proof.strip().lower()
    node = shell.node
    matches = [
        hmac.compare_digest(
            drain_proof(key, node.options.name, node.incarnation).encode(),
            proof,
        )
        for key in shell.keys()
    ]
    return any(matches)


def make_drain(shell):
    """Return the handler that begins the graceful stop.

    It answers 202 again while the process drains.
    """

    async def drain(request):
        if not _is_local(request) and not _has_proof(request, shell):
            return _answers.problem(403, 'Forbidden', _DETAIL)
        shell.stop()
        node = shell.node
        return _answers.json_response(
            {
                'name': node.options.name,
                'incarnation': node.incarnation,
                'draining': True,
            },
            status=202,
        )

    return drain
