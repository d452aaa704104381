"""What the processes of both builds must not log."""

import collections
import datetime
import pathlib
import re

from mixed_fleet import _fleet
from mixed_fleet import _record

# Events that show that a process can't handle what another one has sent or
# stored.
_FORBIDDEN_EVENTS = frozenset(
    {
        'config_rejected',
        'entries_malformed',
        'handler_failed',
        'operator_items_malformed',
        'recovery_failed',
        'settings_rejected',
        'task_failed',
    }
)
# Reasons of failed connections that follow from the end of the other process.
_EXPECTED_REASONS = (
    'the connection to',
    'closed by the peer',
    'Connect call failed',
    'Connection refused',
    'Connection reset',
    'no connection',
)
# Lines of asyncio about a connection that arrived while the process ended. The
# caller sees that it is closed and submits its job again.
_ACCEPTED_AT_EXIT = re.compile(
    r'Task was destroyed but it is pending!.*_accept_connection2'
    r"|RuntimeWarning: coroutine '[\w.]*_accept_connection2' was never awaited"
    r'|^  self\._ready\.clear\(\)$'
    r'|^RuntimeWarning: Enable tracemalloc',
    re.DOTALL,
)
# A process that listens but has not started yet doesn't answer a handshake,
# which on a busy machine ends it. Handshakes take this long at most (s).
_HANDSHAKE_TIMED_OUT = 'the handshake timed out'
_HANDSHAKE_LIMIT_S = 3.5
_FORBIDDEN_LEVELS = frozenset({'error', 'critical'})


def check(fleet):
    """Check the logs of all processes of a fleet."""
    starts = _start_times(fleet)
    for machine in fleet.machines:
        for _, path in machine.lives:
            lines = _fleet.read_log(path)
            _check_imports(fleet, lines, path)
            lines = _without_exit(lines)
            texts = [line['text'] for line in lines if 'text' in line]
            if texts:
                # Most likely a traceback, of which the last line says most.
                _record.violate(
                    fleet.record,
                    'log',
                    f'{path.name}: {len(texts)} lines of text: {texts[-1]}',
                )
            for line in lines:
                problem = _problem(line, starts)
                if problem:
                    _record.violate(
                        fleet.record, 'log', f'{path.name}: {problem}'
                    )


def _without_exit(lines):
    """Leave out the lines on connections that arrived after the last event."""
    ended, kept = False, []
    for line in lines:
        ended = ended or line.get('event') == 'stopped'
        text = line.get('text', line.get('event', ''))
        if not (ended and _ACCEPTED_AT_EXIT.search(text)):
            kept.append(line)
    return kept


def _time(line):
    return datetime.datetime.fromisoformat(line['time']).timestamp()


def _start_times(fleet):
    """Return by address the times (s) at which processes had started."""
    starts = collections.defaultdict(list)
    for machine in fleet.machines:
        for _, path in machine.lives:
            starts[machine.ip] += [
                _time(line)
                for line in _fleet.read_log(path)
                if line.get('event') == 'started'
            ]
    return starts


def _met_a_start(line, starts):
    """Tell whether a handshake ran out while the other process started."""
    address = line.get('address', '').rpartition(':')[0]
    return line.get('reason') == _HANDSHAKE_TIMED_OUT and any(
        _time(line) - _HANDSHAKE_LIMIT_S < start
        and start < _time(line) + _fleet.START_LIMIT_S
        for start in starts[address]
    )


def _check_imports(fleet, lines, path):
    """Check that a process has imported the sources of its build."""
    build_name = path.stem.rpartition('-')[2]
    files = lines[0].get('files', ()) if lines else ()
    root = fleet.builds[build_name].root
    if not files or not all(
        pathlib.Path(file).is_relative_to(root / part)
        for file, part in zip(files, ('platform/adapter', 'azurepier'))
    ):
        _record.violate(
            fleet.record, 'imports', f'{path.name}: {files} are not in {root}'
        )


def _problem(line, starts):
    """Return what is wrong with a line, '' if nothing is."""
    event = line.get('event')
    if (
        event == 'connection_failed'
        and not any(
            reason in line.get('reason', '') for reason in _EXPECTED_REASONS
        )
        and not _met_a_start(line, starts)
    ):
        return f'connection_failed: {line.get("reason")}'
    if (
        event in _FORBIDDEN_EVENTS
        or 'exc_info' in line
        or line.get('level', '').lower() in _FORBIDDEN_LEVELS
    ):
        return str(line)[:300]
    return ''
