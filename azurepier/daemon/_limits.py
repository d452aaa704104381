"""Limits on what clients can make a process keep.

All sizes are in bytes and all times in seconds unless the name says
otherwise. `Limits` are those of one process; each of its ports shares them.
"""

import resource

import attrs

MB = 1024 * 1024
# Memory of the smallest machine of an endpoint process (MB).
DEFAULT_MEMORY_MB = 128
# Used if the kernel sets no limit on the descriptors of the process.
MAX_DEFAULT_FDS = 8192
# Memory that a process needs without any client (MB), beside all processes of
# the largest deployment. At least `MIN_CLIENT_MB` are left for clients.
BASE_MEMORY_MB = 56
MIN_CLIENT_MB = 8
# Memory of a connection (bytes): its objects, and one request with a small
# body that waits for its answer.
CONNECTION_BYTES = 32 * 1024
# Memory of a task or a run of a job (bytes).
TASK_BYTES = 1024
# Division of the memory for clients.
_SHARES = {'connections': 0.4, 'requests': 0.25, 'peers': 0.15, 'tasks': 0.2}
# Tasks that an entry accepts at least: two jobs of the largest size.
MIN_TASKS = 20_000
# Descriptors for logs, listening sockets, the store and the worker.
BASE_FDS = 32
# Size of one read (bytes). What was read but not parsed is kept while reading
# pauses.
READ_BYTES = 16 * 1024
# Bytes that are parsed at a time if a read has more than this number of empty
# lines, of which each request has one. Requests take at least 16 bytes, so
# that at most 32 are parsed ahead while an earlier one is open.
PARSE_BYTES = 512
EMPTY_LINES_AT_ONCE = 4
# Bytes of a request or of unread answers that a connection may keep without
# taking from the memory that all connections share; a job has up to 4,000
# bytes of `spec`.
FREE_BYTES = 8 * 1024
# Chunks of a body may be as small as one byte, which takes six.
MAX_FRAMING_FACTOR = 8
# Receive and send buffers of the kernel for each connection (bytes), of which
# it allocates up to twice as much. They hold an ordinary request or answer;
# without a limit the kernel lets them grow to megabytes, which count towards
# the memory of a machine.
SOCKET_BUFFER_BYTES = 16 * 1024
# Memory of a connection that isn't read (bytes): the kernel's receive buffer,
# which fills, and one read.
PAUSED_BYTES = 2 * SOCKET_BUFFER_BYTES + READ_BYTES
# Headers of a request; each takes 130 bytes beyond its own.
MAX_HEADERS = 256
# A connection that is receiving a request for this time gives way to a new
# one (s); ordinary requests arrive within milliseconds.
SLOW_REQUEST_S = 1.0
# Time to send the body of a request (s), also over a link that loses packets.
BODY_TIMEOUT_S = 30.0
# Connections that are accepted at a time, before those that are too many are
# closed. `BASE_FDS` has room for them.
ACCEPTED_AT_ONCE = 16
# Interval of checks for expired deadlines (s).
SWEEP_INTERVAL_S = 1.0


@attrs.frozen
class Requests:
    """Limits of one request, which the operator may change at run time."""

    # A job's header section has 200 bytes; common servers take 8 to 16 KB.
    max_header_bytes: int = 16_384
    # The limit of the platform.
    max_body_bytes: int = 262_144
    # Time to send the header section of a request (s).
    header_timeout_s: float = 30.0
    # Callers and balancers reuse connections that were idle for a minute (s).
    idle_timeout_s: float = 75.0


@attrs.define(eq=False)
class Budget:
    """Memory that several connections share.

    Parameters
    ----------
    total_bytes, used_bytes : int
    """

    total_bytes: int
    used_bytes: int = 0

    def take(self, count):
        """Take memory (bytes); return False if there is too little.

        A negative number returns what was taken.
        """
        if count > 0 and self.used_bytes + count > self.total_bytes:
            return False
        self.used_bytes += count
        return True


@attrs.define(eq=False)
class Limits:
    """Limits of a process, and what its connections use of them.

    Parameters
    ----------
    max_connections : int
        HTTP connections of all ports.
    shared : Budget
        Memory for large requests and unread answers of all clients.
    peers : Budget
        Memory for incomplete and unsent messages of the connections to other
        processes, so that clients can't end these.
    max_inner_connections : int
        Connections of other processes.
    max_tasks : int
        Tasks and runs of all jobs together.
    requests : Requests

    Attributes
    ----------
    closed : dict of str to int
        Connections that were closed, by reason.
    """

    max_connections: int
    shared: Budget
    peers: Budget
    max_inner_connections: int
    max_tasks: int
    requests: Requests = attrs.field(factory=Requests)
    closed: dict = attrs.field(factory=dict)

    def count_closed(self, reason):
        """Count a connection that was closed."""
        self.closed[reason] = self.closed.get(reason, 0) + 1


def default_fds():
    """Return the number of descriptors that the kernel allows."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return MAX_DEFAULT_FDS
    return min(soft, MAX_DEFAULT_FDS)


def create(memory_mb=None, max_fds=None):
    """Return the limits of a process.

    The memory that the process doesn't need by itself is divided by
    `_SHARES`. A quarter of the descriptors is for connections of other
    processes.

    Parameters
    ----------
    memory_mb, max_fds : int, optional
        Memory of the machine (MB) and descriptors of the process.
    """
    fds = min(max_fds or default_fds(), default_fds())
    client_mb = (memory_mb or DEFAULT_MEMORY_MB) - BASE_MEMORY_MB
    client_bytes = max(client_mb, MIN_CLIENT_MB) * MB
    shares = {name: int(client_bytes * _SHARES[name]) for name in _SHARES}
    inner = max(fds // 4, 8)
    return Limits(
        max_connections=max(
            min(
                shares['connections'] // CONNECTION_BYTES,
                fds - inner - BASE_FDS,
            ),
            8,
        ),
        shared=Budget(shares['requests']),
        peers=Budget(shares['peers']),
        max_inner_connections=inner,
        max_tasks=max(shares['tasks'] // TASK_BYTES, MIN_TASKS),
    )
