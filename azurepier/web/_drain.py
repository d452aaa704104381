"""Handler of ``POST /v1/drain``, which shuts the process down gracefully."""

import hashlib
import hmac
import ipaddress

from azurepier.web import _answers

_SCHEME = 'hmac'
_FORBIDDEN_DETAIL = (
    'drain requests are accepted from a loopback address, or with an'
    ' "Authorization: HMAC ..." header computed from a shared key for this'
    ' incarnation of the process'
)
# A request with any of these headers was forwarded by a proxy or sent by a
# page in a browser, so the peer's address does not identify the sender.
_INDIRECT_HEADERS = (b'forwarded', b'x-forwarded-for', b'via', b'origin')


def drain_proof(key, name, incarnation):
    """Return the proof that authorises its sender to drain a process.

    Parameters
    ----------
    key : bytes
        Key shared by the processes.
    name : str
        Name of the process.
    incarnation : str
        Incarnation of the process; the proof is valid for no other one.

    Returns
    -------
    str
        HMAC-SHA256 as hexadecimal digits, for ``Authorization: HMAC``.
    """
    message = f'drain\n{name}\n{incarnation}'
    return hmac.new(key, message.encode(), hashlib.sha256).hexdigest()


def _is_from_loopback(request):
    if any(request.get_first_header(name) for name in _INDIRECT_HEADERS):
        return False
    # The scope has no peer address if the server listens on a Unix socket.
    client = request.scope.get('client')
    if not client:
        return False
    try:
        address = ipaddress.ip_address(client[0])
    except ValueError:
        return False
    # Dual-stack sockets report IPv4 peers in the form ::ffff:127.0.0.1.
    ipv4_address = getattr(address, 'ipv4_mapped', None)
    return (ipv4_address or address).is_loopback


def _has_valid_proof(request, shell):
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
    """Return the handler that starts the graceful shutdown.

    Repeated requests are answered with 202 while the process drains.
    """

    async def drain(request):
        if not _is_from_loopback(request) and not _has_valid_proof(
            request, shell
        ):
            return _answers.problem_response(
                403, 'Forbidden', _FORBIDDEN_DETAIL
            )
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
