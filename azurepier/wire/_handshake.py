"""Handshake: the exchange of `Hello` and `Proof` on a new connection."""

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
    """Side of a connection that a process is on: it dialed or it listened.

    The value is part of the proof, so that a proof can't be reflected to the
    process that made it.
    """

    DIALER = b'dialer'
    LISTENER = b'listener'


_OPPOSITE_SIDE = {Side.DIALER: Side.LISTENER, Side.LISTENER: Side.DIALER}


@attrs.define
class Handshake:
    """State of a handshake; performs no I/O.

    Parameters
    ----------
    side : Side
    hello : Hello
        Local `Hello`; `prepare` adds the nonce.
    keys : tuple of bytes
        Shared keys. The local proof uses the first; the peer's proof may use
        any. If empty, no proofs are exchanged.
    peer_hello : Hello or None
        `Hello` of the peer, once received.
    done : bool
        Whether the handshake is complete.
    """

    side: Side
    hello: ttypes.Hello
    keys: tuple
    peer_hello: ttypes.Hello | None = None
    done: bool = False


def prepare(side, hello, keys):
    """Return a handshake and add a nonce to `hello` if keys are set."""
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
    prefixed = b''.join(len(part).to_bytes(4, 'big') + part for part in parts)
    return hmac.new(key, prefixed, hashlib.sha256).digest()


def _is_valid_text(text, required):
    if not text:
        return not required
    return len(text) <= MAX_NAME_CHARS and text.isprintable()


def _check_hello(handshake, hello):
    """Raise `WireError` if the peer's `Hello` is invalid."""
    endpoint = hello.role == 'endpoint'
    problems = {
        f'unsupported protocol {hello.protocol}: expected '
        f'{PROTOCOL_VERSION}': (hello.protocol != PROTOCOL_VERSION),
        f'unknown role {hello.role!r:.80}: expected '
        'entry or endpoint': hello.role not in ROLES,
        f'invalid name {hello.name!r:.80}: expected '
        f'1 to {MAX_NAME_CHARS} printable characters': not _is_valid_text(
            hello.name, True
        ),
        f'invalid incarnation {hello.incarnation!r:.80}: expected '
        f'1 to {MAX_NAME_CHARS} printable characters': not _is_valid_text(
            hello.incarnation, True
        ),
        f'invalid domain {hello.domain!r:.80}: expected '
        f'at most {MAX_NAME_CHARS} printable characters': not _is_valid_text(
            hello.domain, False
        ),
        f'invalid address {hello.address!r:.80}: expected '
        f'at most {MAX_NAME_CHARS} printable characters, '
        'and at least 1 from an entry': not _is_valid_text(
            hello.address, not endpoint
        ),
        f'invalid web address {hello.web_address!r:.80}: expected '
        f'at most {MAX_NAME_CHARS} printable characters': not _is_valid_text(
            hello.web_address, False
        ),
        f'invalid worker {hello.worker!r:.80}: expected '
        f'at most {MAX_NAME_CHARS} printable characters, '
        'and at least 1 from an endpoint': not _is_valid_text(
            hello.worker, endpoint
        ),
        f'invalid slots {hello.slots}: expected a positive number': endpoint
        and not (hello.slots or 0) > 0,
        'kinds are missing: expected a list from an endpoint': endpoint
        and hello.kinds is None,
        f'invalid largest size {hello.largest_size}: expected a positive '
        'number': endpoint and not (hello.largest_size or 0) > 0,
        'connected to itself': hello.incarnation
        == handshake.hello.incarnation,
        'peer has no shared key, but this process requires one': bool(
            handshake.keys
        )
        and not hello.nonce,
        'peer requires a shared key, but this process '
        'has none': not handshake.keys and bool(hello.nonce),
        f'invalid nonce: expected {NONCE_BYTES} bytes, found '
        f'{len(hello.nonce or b"")}': bool(handshake.keys)
        and len(hello.nonce or b'') != NONCE_BYTES,
    }
    for problem, found in problems.items():
        if found:
            raise WireError(problem)


def _on_hello(handshake, hello):
    if handshake.peer_hello is not None:
        raise WireError(
            'peer sent a second Hello; expected one per connection'
        )
    _check_hello(handshake, hello)
    handshake.peer_hello = hello
    if not handshake.keys:
        handshake.done = True
        return None
    mac = _mac(handshake.keys[0], handshake.side, handshake.hello, hello)
    return ttypes.Proof(mac=mac)


def _on_proof(handshake, proof):
    if handshake.peer_hello is None or not handshake.keys:
        raise WireError(
            'peer sent an unexpected Proof; expected it after Hello, with keys'
        )
    side = _OPPOSITE_SIDE[handshake.side]
    matches = [
        hmac.compare_digest(
            _mac(key, side, handshake.peer_hello, handshake.hello), proof.mac
        )
        for key in handshake.keys
    ]
    if not any(matches):
        raise WireError('proof does not match a shared key')
    handshake.done = True
    return None


_HANDLERS = {ttypes.Hello: _on_hello, ttypes.Proof: _on_proof}


def receive(handshake, msg):
    """Process a message of the handshake.

    Returns
    -------
    Proof or None
        Message to send, if any. `handshake.done` tells whether the handshake
        is complete.

    Raises
    ------
    WireError
        If the handshake has failed.
    """
    handler = _HANDLERS.get(type(msg))
    if handler is None:
        raise WireError(
            f'{type(msg).__name__} before the end of the handshake; expected '
            'Hello or Proof'
        )
    return handler(handshake, msg)
