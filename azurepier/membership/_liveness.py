"""Heartbeats and how long silence is tolerated."""

HEARTBEAT_INTERVAL_S = 0.5
# Three heartbeats lost in a row: a connection through a middlebox that
# dropped its state stays silent for good, so it is replaced.
SILENT_AFTER_S = 1.5
# Open tasks of an endpoint incarnation that stays silent for this long are
# reported as possibly run, so that their jobs are answered.
GIVE_UP_AFTER_S = 5.0


def is_silent(last_heard, now):
    """Tell whether a connection has been silent for too long."""
    return now - last_heard > SILENT_AFTER_S
