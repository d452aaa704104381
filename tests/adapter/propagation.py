"""Longest waits until an entry has a version, by the path on which it comes.

The bound of a path is the sum of its waits, which are the constants of the
code, and of the time that its bytes take on the link of the entry.
"""

from adapter import _store
import attrs

from azurepier.daemon import _http
from azurepier.dispatch import _bounds
from azurepier.dispatch import _transfer
from azurepier import store
from azurepier.store import _follow
from azurepier.testing import virtual_loop
from azurepier import wire
from azurepier.wire import _sockets

# The store's values travel as base64.
STORE_FACTOR = 4 / 3
# Time of an answer of the store, and of decoding a text on a small processor
# (s).
ANSWER_S = 0.004
DECODE_S = 0.1


@attrs.frozen
class Network:
    """Link of an entry, and size of the configuration.

    Parameters
    ----------
    bytes_per_s : float
    delay_s : float
        Delay of each packet in each direction (s).
    text_bytes : int
    """

    bytes_per_s: float
    delay_s: float
    text_bytes: int

    @property
    def round_trip_s(self):
        """Time of a request without data and its answer (s)."""
        return 2 * (self.delay_s + virtual_loop.DELAY_S)

    @property
    def store_s(self):
        """Time of the store's answer with the text (s).

        Parts that were asked for before it began arrive beside it.
        """
        nbytes = STORE_FACTOR * self.text_bytes + _transfer.REQUEST_BYTES
        windows = nbytes / virtual_loop.WINDOW_BYTES
        return max(nbytes / self.bytes_per_s, windows * self.round_trip_s)

    @property
    def parts_s(self):
        """Time of the text in parts (s)."""
        windows = self.text_bytes / virtual_loop.WINDOW_BYTES
        requests = self.text_bytes // _transfer.REQUEST_BYTES + 1
        return (
            max(
                self.text_bytes / self.bytes_per_s,
                windows * self.round_trip_s,
            )
            + requests * self.round_trip_s
        )


def _longest_gap(interval_s, pause_s):
    """Return the longest time between two attempts to connect (s)."""
    count = round(wire.CONNECT_TIMEOUT_S / interval_s)
    last_s = (count - 1) * interval_s
    return max(interval_s, wire.CONNECT_TIMEOUT_S - last_s + pause_s)


def _read(network):
    """Return the time of a call to the store on a new connection (s)."""
    return 2 * network.round_trip_s + ANSWER_S + network.store_s


def _watch_is_answered(network):
    return network.round_trip_s + ANSWER_S + network.store_s


def _answer_has_older_version(network):
    """The version is written when an answer with the one before begins."""
    return network.store_s + _watch_is_answered(network)


def _watch_is_silent(network):
    given_up_s = _follow.WATCH_WAIT_S + _store.CALL_TIMEOUT_S
    return given_up_s + store.RETRY_MIN_S + _read(network)


def _answer_goes_silent(network):
    waits_s = _store.CALL_TIMEOUT_S + store.RETRY_MIN_S
    return waits_s + _read(network)


def _store_refuses(network):
    return _follow.RETRY_MAX_S + _read(network)


def _history_is_lost(network):
    """The watch fails, the text is read; both may fail once more."""
    return _follow.RETRY_MAX_S + network.round_trip_s + _read(network)


def _store_is_unreachable(network):
    gap_s = _longest_gap(_http.CONNECT_INTERVAL_S, _follow.RETRY_MAX_S)
    return gap_s + _read(network)


def _entry_starts(network):
    """The first read comes after the process has started."""
    return _read(network)


def _handler_fails_once(network):
    return _watch_is_answered(network) + store.RETRY_MIN_S + _read(network)


def _entry_tells(network):
    """The store doesn't send it, but answers."""
    return _transfer.ASK_DELAY_S + network.round_trip_s + network.parts_s


def _asked_entry_is_silent(network):
    return _transfer.PART_TIMEOUT_S + _entry_tells(network)


def _entries_are_silent(network):
    """Connections are found silent and dialled again; a greeting follows."""
    noticed_s = _bounds.IDLE_SILENCE_S + _bounds.IDLE_TICK_S
    dialled_s = _bounds.DIAL_INTERVAL_S + _longest_gap(
        _sockets.DIAL_INTERVAL_S, _bounds.DIAL_INTERVAL_S
    )
    greeted_s = 2 * network.round_trip_s
    return noticed_s + dialled_s + greeted_s + _entry_tells(network)


# After a disturbance, its end is the start of the wait.
UNDISTURBED = {
    'the watch is answered': _watch_is_answered,
    'an answer has an older version': _answer_has_older_version,
    'an entry tells of the version': _entry_tells,
}
DISTURBED = {
    'the watch is silent': _watch_is_silent,
    'the answer goes silent': _answer_goes_silent,
    'the store refuses': _store_refuses,
    'the history is lost': _history_is_lost,
    'the store is unreachable': _store_is_unreachable,
    'the entry starts': _entry_starts,
    'the handler fails once': _handler_fails_once,
    'the asked entry is silent': _asked_entry_is_silent,
    'the entries are silent': _entries_are_silent,
}


def bounds(paths, network):
    """Return the bound of each path, with the time of decoding (s)."""
    return {name: path(network) + DECODE_S for name, path in paths.items()}
