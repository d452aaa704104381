"""Heartbeat interval and timeouts."""

HEARTBEAT_INTERVAL_S = 0.5
# Timeout after three lost heartbeats (s). The connection is then replaced,
# since nothing gets through any more if a middlebox has dropped its state.
SILENT_AFTER_S = 1.5
# After this silence of an endpoint incarnation its open tasks are reported as
# possibly run, so that their jobs get an answer.
GIVE_UP_AFTER_S = 5.0


def is_silent(last_received_at, now):
    """Return whether a connection has exceeded the heartbeat timeout."""
    return now - last_received_at > SILENT_AFTER_S
