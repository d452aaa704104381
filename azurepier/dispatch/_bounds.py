"""Times that entries and endpoint processes have to agree on.

A caller sends its job again `resend_s` after its connection broke, to any
entry. By then nothing of the first submission may run. An endpoint process
that has not heard from an entry for `SILENCE_S` stops what it runs for it;
if that process is gone or can't reach its worker, the worker's lease ends
`LEASE_S` after its last renewal. The sum is below the 1.3 s after which
callers of the deployments in use send again.
"""

# Interval of messages that keep a connection with runs alive (s).
BEAT_S = 0.125
# A connection with runs that was silent for so long is given up (s): three
# lost beats and a processor that pauses for a tenth of a second.
SILENCE_S = 0.5
# The same for connections without runs, on which nothing can be lost. With
# orders on its way a connection counts as one with runs.
IDLE_BEAT_S = 0.5
IDLE_SILENCE_S = 1.25
# Longest that a worker goes on without a renewal (s).
LEASE_S = 0.6
# Clocks of workers may be slow by 2 %; a stop takes up to 50 ms.
LEASE_MARGIN_S = 0.1
# A process that did nothing for so long was paused (s); whatever it knew of
# its connections is out of date.
STALL_S = 0.4
# After a connection was lost, when no run of it can exist any more (s).
RUNS_OVER_S = SILENCE_S + LEASE_S + LEASE_MARGIN_S
# Interval of attempts to connect to an entry (s).
DIAL_S = 0.25
# The timer of a process without runs; it notices a pause of the process.
IDLE_TICK_S = 0.25


def is_due(since_s, interval_s):
    """Tell whether a message is due that is sent at an interval.

    The timers of connections run with `BEAT_S` or `IDLE_TICK_S`; a message
    that would be due before the timer's next turn is due now.
    """
    return since_s > interval_s - BEAT_S / 2
