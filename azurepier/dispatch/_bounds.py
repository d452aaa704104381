"""Timeouts and intervals shared by entries and endpoint processes.

A caller whose connection broke resubmits its job to any entry, in existing
deployments after 1.3 s. By then no run of the first submission may be left.
An endpoint process that has received nothing from an entry for `SILENCE_S`
stops the runs of that entry; if the process has ended or can't reach its
worker, the worker's lease expires `LEASE_S` after its last renewal. The sum of
both is below 1.3 s.
"""

# Interval of heartbeats on a connection with runs (s).
HEARTBEAT_S = 0.125
# A connection with runs is closed after this time without a message (s). It
# tolerates three lost heartbeats and a process pause of a tenth of a second.
SILENCE_S = 0.5
# Heartbeat interval and silence timeout of connections without runs (s), where
# no work can be lost. A connection with orders in flight counts as one with
# runs.
IDLE_HEARTBEAT_S = 0.5
IDLE_SILENCE_S = 1.25
# A worker stops its runs this long after the last renewal of the lease (s).
LEASE_S = 0.6
# Added to the lease (s): workers' clocks may be 2 % slow, and a stop takes up
# to 50 ms.
LEASE_MARGIN_S = 0.1
# A process that handled no event for this time was paused (s); its view of
# its connections is stale.
PAUSE_THRESHOLD_S = 0.4
# Time after a disconnection from which on the runs of that connection can't
# exist any more (s).
RUN_EXPIRY_S = SILENCE_S + LEASE_S + LEASE_MARGIN_S
# Interval of checks for missing connections to entries (s).
DIAL_INTERVAL_S = 0.25
# Interval of the heartbeat timer of a process without runs (s). The timer also
# serves to detect pauses of the process.
IDLE_TICK_S = 0.25
# Time after a start in which a crash of the worker is put down to it, and time
# before and after the start of a suspect task without other starts (s). In the
# known cases the crash follows within 12 ms.
SUSPECT_ALONE_S = 0.1
# Number of lost workers after which the starts of a task are limited. It then
# runs alone: nothing else is started beside it.
LOSSES_MAX = 3


def is_due(elapsed_s, interval_s):
    """Tell whether a periodic message is due.

    Heartbeat timers run every `HEARTBEAT_S` or `IDLE_TICK_S`. A message that
    becomes due within half of `HEARTBEAT_S` counts as due already, since the
    next tick may be too late for it.
    """
    return elapsed_s > interval_s - HEARTBEAT_S / 2
