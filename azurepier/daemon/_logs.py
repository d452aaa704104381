"""Log records as JSON lines with stable event names."""

import logging
import sys
import time

import attrs
from pythonjsonlogger.orjson import OrjsonFormatter

from azurepier.daemon import _log_output
from azurepier.kernel import SettingsError

# Don't look up the caller, thread and process of each record: that takes half
# of the logging time, and the log format has no fields for them.
logging._srcfile = None
logging.logThreads = False
logging.logProcesses = False
logging.logMultiprocessing = False
# Maximum number of identical warnings or errors per period; further ones are
# dropped.
MAX_REPETITIONS = 5
REPETITION_PERIOD_S = 10.0
# Maximum number of distinct faults whose repetitions are counted; the oldest
# are evicted first.
MAX_TRACKED_FAULTS = 1024

_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
_FIELD_NAMES = {'asctime': 'time', 'levelname': 'level', 'message': 'event'}
STDOUT = 'stdout'
# Two records with equal logger, event and these fields report the same fault.
_FAULT_FIELDS = ('peer', 'address', 'reason', 'error')


def _fault_detail(record, key):
    """Return the part of a field that tells faults apart.

    A client may have any number of ports.
    """
    text = str(getattr(record, key, ''))
    return text.rpartition(':')[0] if key == 'address' else text


@attrs.define
class _Fault:
    period_started_at: float
    count: int = 0
    suppressed: int = 0


@attrs.define(eq=False)
class RepetitionFilter:
    """Logging filter that drops repeated warnings and errors.

    The first record after a period in which records were dropped has their
    number as `suppressed`.
    """

    clock: object = time.monotonic
    dropped: int = 0
    _faults: dict = attrs.field(factory=dict)

    def filter(self, record):
        """Return whether a record is written."""
        if record.levelno < logging.WARNING:
            return True
        details = [_fault_detail(record, key) for key in _FAULT_FIELDS]
        key = (record.name, record.msg, *details)
        now = self.clock()
        fault = self._faults.get(key)
        if fault is None:
            fault = self._start_period(key, now)
        elif now - fault.period_started_at >= REPETITION_PERIOD_S:
            if fault.suppressed:
                record.suppressed = fault.suppressed
            fault = self._start_period(key, now)
        fault.count += 1
        if fault.count > MAX_REPETITIONS:
            fault.suppressed += 1
            self.dropped += 1
            return False
        return True

    def _start_period(self, key, now):
        self._faults.pop(key, None)
        while len(self._faults) >= MAX_TRACKED_FAULTS:
            del self._faults[next(iter(self._faults))]
        fault = self._faults[key] = _Fault(now)
        return fault


class _Formatter(OrjsonFormatter):
    """Writes the time in UTC."""

    converter = time.gmtime
    default_time_format = '%Y-%m-%dT%H:%M:%S'
    default_msec_format = '%s.%03dZ'


def make_handler(path):
    """Return a log handler.

    Parameters
    ----------
    path : str
        File, "-" for standard error or "stdout" for standard output, which
        is written without blocking.

    Raises
    ------
    SettingsError
        If the file can't be opened.
    """
    try:
        if path == STDOUT:
            handler = _log_output.BoundedHandler(sys.stdout.fileno())
        elif path == '-':
            handler = logging.StreamHandler(sys.stderr)
        else:
            handler = logging.FileHandler(path)
    except OSError as exc:
        raise SettingsError(f'log: {path}: {exc.strerror}') from exc
    handler.setFormatter(_Formatter(_FORMAT, rename_fields=_FIELD_NAMES))
    handler.addFilter(RepetitionFilter())
    return handler


def configure(path, name):
    """Send all log records of the process to `path`.

    Parameters
    ----------
    path : str
        As for `make_handler`.
    name : str
        Name of the process, written as `process` in each record.
    """
    handler = make_handler(path)
    handler.formatter.static_fields = {'process': name}
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    # These libraries log every request or every connection at INFO.
    for verbose_library in ('uvicorn', 'blacksheep', 'asyncio', 'httptools'):
        logging.getLogger(verbose_library).setLevel(logging.WARNING)
    # The handlers of uvicorn write plain text.
    for library in ('uvicorn', 'uvicorn.error', 'uvicorn.access'):
        logging.getLogger(library).handlers.clear()
        logging.getLogger(library).propagate = True


class EventLog:
    """Structured log of one logger: ``log.info('started', port=1)``.

    The event name is constant; everything that varies is a field.
    """

    def __init__(self, name):
        self._logger = logging.getLogger(name)

    def info(self, event, **fields):
        """Log a normal event."""
        self._logger.info(event, extra=fields)

    def warning(self, event, **fields):
        """Log a fault that the process handles."""
        self._logger.warning(event, extra=fields)

    def error(self, event, exc_info=None, **fields):
        """Log an error of the process itself."""
        self._logger.error(event, exc_info=exc_info, extra=fields)
