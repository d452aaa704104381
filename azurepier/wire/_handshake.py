"""The exchange of `Hello` and `Proof` that opens a connection."""

import enum
import hashlib
import hmac
import os

import attrs

from azurepier.kernel import WireError
from azurepier.wire.gen.messages import ttypes

PROTOCOL_VERSION = 1
NONCE_BYTES = 32
MAX_NAME_CHARS = 256
ROLES = frozenset({'entry', 'endpoint'})


class Side(enum.Enum):
    """Which end of the connection a process is.

    The value is part of the proof, so that a proof can't be sent back to
    the process that made it.
    """

    DIALER = b'dialer'
    LISTENER = b'listener'


_OTHER = {Side.DIALER: Side.LISTENER, Side.LISTENER: Side.DIALER}


@attrs.define
class Handshake:
    """State of one handshake, without I/O.

    Parameters
    ----------
    side : Side
    hello : Hello
        Own `Hello`; `prepare` adds the nonce.
    keys : tuple of bytes
        Shared keys. The first makes the own proof, any is accepted from the
        peer. Empty: no proof is exchanged.
    """

    side: Side
    hello: ttypes.Hello
    keys: tuple
    peer: ttypes.Hello | None = None
    done: bool = False


def prepare(side, hello, keys):
    """Return a handshake whose `hello` is ready to be sent."""
    if keys:
        hello.nonce = os.urandom(NONCE_BYTES)
    return Handshake(side, hello, tuple(keys))


def _mac(key, side, sender, receiver):
    parts = (
        side.value,
        sender.nonce,
        receiver.nonce,
        sender.name.encode(),
        receiver.name.encode(),
    )
    framed = b''.join(len(part).to_bytes(4, 'big') + part for part in parts)
    return hmac.new(key, framed, hashlib.sha256).digest()


def _text_is_valid(text, required):
    if not text:
        return not required
    return len(text) <= MAX_NAME_CHARS and text.isprintable()


def _check_hello(state, hello):
    """Raise `WireError` if the peer's `Hello` is not acceptable."""
    endpoint = hello.role == 'endpoint'
    problems = {
        f'protocol {hello.protocol}': hello.protocol != PROTOCOL_VERSION,
        'unknown role': hello.role not in ROLES,
        'invalid name': not _text_is_valid(hello.name, True),
        'invalid incarnation': not _text_is_valid(hello.incarnation, True),
        'invalid domain': not _text_is_valid(hello.domain, False),
        'invalid address': not _text_is_valid(hello.address, not endpoint),
        'invalid web address': not _text_is_valid(hello.web_address, False),
        'invalid worker': not _text_is_valid(hello.worker, endpoint),
        'invalid slots': endpoint and not (hello.slots or 0) > 0,
        'kinds are missing': endpoint and hello.kinds is None,
        'invalid size': endpoint and not (hello.largest_size or 0) > 0,
        'connected to itself': hello.incarnation == state.hello.incarnation,
        'peer has no shared key': bool(state.keys) and not hello.nonce,
        'peer requires a shared key': not state.keys and bool(hello.nonce),
        'invalid nonce': bool(state.keys)
        and len(hello.nonce or b'') != NONCE_BYTES,
    }
    for problem, found in problems.items():
        if found:
            raise WireError(problem)


def _on_hello(state, hello):
    if state.peer is not None:
        raise WireError('second Hello')
    _check_hello(state, hello)
    state.peer = hello
    if not state.keys:
        state.done = True
        return None
    mac = _mac(state.keys[0], state.side, state.hello, hello)
    return ttypes.Proof(mac=mac)


def _on_proof(state, proof):
    if state.peer is None or not state.keys:
        raise WireError('unexpected Proof')
    side = _OTHER[state.side]
    matches = [
        hmac.compare_digest(
            _mac(key, side, state.peer, state.hello), proof.mac
        )
        for key in state.keys
    ]
    if not any(matches):
        raise WireError('proof does not match a shared key')
    state.done = True
    return None


_HANDLERS = {ttypes.Hello: _on_hello, ttypes.Proof: _on_proof}


def receive(state, msg):
    """Process a message of the handshake.

    Returns
    -------
    Proof or None
        Message to send, if any. `state.done` tells whether the connection
        is up.

    Raises
    ------
    WireError
        If the handshake has failed.
    """
    handler = _HANDLERS.get(type(msg))
    if handler is None:
        raise WireError(f'{type(msg).__name__} before the handshake ended')
    return handler(state, msg)
