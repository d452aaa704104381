"""Transfer of a configuration from another entry, in parts that are asked for.

Load pattern: a configuration of up to a megabyte changes, and a link carries a
megabyte a second or less. If all entries sent what they have, a slow link
would carry a copy from each of them, beside the one of the store, and none
would arrive in time. So an entry asks one entry at a time, and none while the
store's answer arrives: one copy is under way to it, and `REQUEST_BYTES` of
another. What has arrived is kept when a connection ends and another entry goes
on.
"""

import zlib

import attrs

from azurepier.dispatch import _evacuation
from azurepier.dispatch import _state
from azurepier.kernel import effects
from azurepier.kernel import messages

# Size of a part. Other messages, such as heartbeats, pass between parts.
PART_BYTES = 32 * 1024
# Bytes that are sent on one request, and that may still arrive when the store
# begins to answer: a text of a megabyte takes eight round trips.
REQUEST_BYTES = 128 * 1024
# Longest text that is accepted; the store has values of 1 MiB at most.
MAX_TEXT_BYTES = 4 * 1024 * 1024
# Time that a store which answers has to send a version before another entry is
# asked (s).
ASK_DELAY_S = 0.5
# Time without a part after which another entry is asked to go on (s).
PART_TIMEOUT_S = 0.8
# Interval of checks for an entry to ask, while there is none (s).
RECHECK_S = 0.25
# Pause after a text that could not be applied; it doubles each time (s).
RETRY_MIN_S = 1.25
RETRY_MAX_S = 20.0
# Longest time between two chunks of an answer that arrives (s).
CHUNK_INTERVAL_S = 0.25
# Time after which an answer that still arrives no longer keeps an entry from
# asking others (s): 1 MiB takes 5.6 s on a link of 2 Mbit/s.
ANSWER_MAX_S = 6.0


@attrs.frozen
class StoreAnswering:
    """A chunk of a long answer of the store has arrived."""


@attrs.define
class Transfer:
    """A version that this entry has heard of and doesn't have.

    Attributes
    ----------
    version : int
    due_at : float
        Time at which an entry is asked, unless a part arrives before (s).
    conn : int or None
        Connection of the entry that was asked, None before and after.
    asked : set of int
        Connections of the entries that were asked, emptied once all were.
    total, checksum : int or None
        Length (bytes) and CRC-32 of the text, None before the first part.
    data : bytearray
        The text as far as it has arrived.
    requested_bytes : int
        Offset up to which parts were asked for.
    retry_s : float
        Pause after a text that could not be applied (s).
    """

    version: int
    due_at: float
    conn: int | None = None
    asked: set = attrs.field(factory=set)
    total: int | None = None
    checksum: int | None = None
    data: bytearray = attrs.field(factory=bytearray)
    requested_bytes: int = 0
    retry_s: float = RETRY_MIN_S

    def restart(self, total=None, checksum=None):
        """Drop what has arrived."""
        self.total, self.checksum = total, checksum
        self.data.clear()


def update(node, now):
    """Plan the transfer of the newest version that this entry has heard of."""
    version = node.config_heard
    if version <= _state.config_version(node):
        node.transfer = None
        node.timers.cancel('transfer')
        return
    if node.transfer is not None and node.transfer.version == version:
        return
    store_silent = _evacuation.store_silent_ms(node, now) is not None
    due_at = now if store_silent else now + ASK_DELAY_S
    node.transfer = Transfer(version, due_at)
    node.timers.set('transfer', due_at)


def on_store_answering(node, _, now):
    """Note that the store's answer arrives."""
    node.store_answering_at = now
    return []


def _is_store_answering(node, now):
    """Tell whether the store is about to send the version."""
    return (
        now - node.store_answering_at < CHUNK_INTERVAL_S
        and now - node.config_heard_at < ANSWER_MAX_S
    )


def on_timer(node, _, now):
    """Ask an entry for the text, or for the rest of it."""
    transfer = node.transfer
    if transfer is None:
        return []
    if now < transfer.due_at:
        node.timers.set('transfer', transfer.due_at)
        return []
    peer = _choose(node, transfer)
    if peer is None or _is_store_answering(node, now):
        _wait(node, now + RECHECK_S)
        return []
    return _ask(node, peer, now)


def _wait(node, due_at):
    node.transfer.due_at = due_at
    node.timers.set('transfer', due_at)


def _choose(node, transfer):
    """Return an entry that has the version, None if there is none.

    Entries that were not asked yet, then those of the same failure domain,
    come first.
    """
    peers = [
        peer
        for peer in node.peers.values()
        if peer.sends_parts and peer.config_version >= transfer.version
    ]
    if all(peer.conn in transfer.asked for peer in peers):
        transfer.asked.clear()
    return min(
        peers,
        key=lambda peer: (
            peer.conn in transfer.asked,
            peer.domain != node.options.domain,
            node.rng.random(),
        ),
        default=None,
    )


def _ask(node, peer, now):
    transfer = node.transfer
    transfer.conn = peer.conn
    transfer.asked.add(peer.conn)
    offset = len(transfer.data)
    transfer.requested_bytes = offset + REQUEST_BYTES
    _wait(node, now + PART_TIMEOUT_S)
    fields = {
        'version': transfer.version,
        'entry': peer.name,
        'offset': offset,
        'heard_ms': round((now - node.config_heard_at) * 1000),
    }
    request = messages.ConfigRequest(
        have=_state.config_version(node),
        version=transfer.version,
        offset=offset,
    )
    return [
        effects.Log('config_requested', fields),
        effects.Send(peer.conn, request),
    ]


def on_peer_removed(node, peer):
    """Ask another entry at once if the connection of a transfer has ended."""
    transfer = node.transfer
    if transfer is not None and transfer.conn == peer.conn:
        transfer.conn = None
        _wait(node, node.last_event_at)


def on_request(node, peer, msg, now):
    """Send parts of the applied configuration.

    If the version isn't the applied one, the entry is told which one is.
    """
    if msg.version != _state.config_version(node):
        beat = messages.Beat(
            config_version=_state.config_version(node), demand=0.0
        )
        return [effects.Send(peer.conn, beat)]
    body = node.routing.body
    if msg.offset is None or not 0 <= msg.offset <= len(body):
        fields = {'version': msg.version, 'entry': peer.name}
        fields |= {'offset': msg.offset, 'total': len(body)}
        return [effects.Log('config_request_rejected', fields)]
    checksum = zlib.crc32(body)
    end = min(msg.offset + REQUEST_BYTES, len(body))
    # An empty text has one part.
    offsets = range(msg.offset, max(end, msg.offset + 1), PART_BYTES)
    return [
        effects.Send(
            peer.conn,
            messages.ConfigUpdate(
                version=msg.version,
                base=0,
                body=body[offset : min(offset + PART_BYTES, end)],
                offset=offset,
                total=len(body),
                checksum=checksum,
            ),
        )
        for offset in offsets
    ]


def on_part(node, peer, msg, now):
    """Add a part, and ask for more or pass on the whole text."""
    transfer = node.transfer
    if transfer is None or msg.version != transfer.version:
        return []
    if not _is_valid(msg):
        fields = {
            'version': msg.version,
            'entry': peer.name,
            'offset': msg.offset,
            'bytes': len(msg.body),
            'total': msg.total,
        }
        return [effects.Log('config_part_rejected', fields)]
    if (msg.total, msg.checksum) != (transfer.total, transfer.checksum):
        transfer.restart(msg.total, msg.checksum)
    if msg.offset != len(transfer.data):
        # A part that has come before, or that follows a lost one.
        return []
    transfer.data += msg.body
    if len(transfer.data) == transfer.total:
        return _complete(node, peer, now)
    if len(transfer.data) >= transfer.requested_bytes:
        if not _is_store_answering(node, now):
            return _ask(node, peer, now)
        _wait(node, now + RECHECK_S)
        return []
    _wait(node, now + PART_TIMEOUT_S)
    return []


def _is_valid(msg):
    return (
        None not in (msg.total, msg.checksum)
        and 0 <= msg.offset <= msg.total <= MAX_TEXT_BYTES
        and len(msg.body) <= msg.total - msg.offset
    )


def _complete(node, peer, now):
    """Pass on a text, and plan another attempt in case it isn't applied."""
    transfer = node.transfer
    body, checksum = bytes(transfer.data), transfer.checksum
    transfer.restart()
    transfer.conn = None
    _wait(node, now + transfer.retry_s)
    transfer.retry_s = min(2 * transfer.retry_s, RETRY_MAX_S)
    if zlib.crc32(body) != checksum:
        fields = {'version': transfer.version, 'entry': peer.name}
        return [effects.Log('config_damaged', fields)]
    return [effects.Decode(body, peer.name)]
