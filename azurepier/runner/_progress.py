"""Progress of runs, which shows the worker's speed and stalled runs.

Load pattern: workers that suddenly become four to seven times slower, and
workers on which tasks stall while they report themselves healthy. The ends of
runs would show both only after the run time of a task; the progress of the
runs shows them within a few lists.
"""

from azurepier.kernel import effects
from azurepier.kernel import messages

# Prior estimate of a worker's speed, and its weight (s of run time). In some
# pools a quarter of the workers has half this speed; with a higher weight,
# their tasks would be late for seconds after a start.
DEFAULT_SPEED = 1.0
SPEED_PRIOR_S = 0.5
# Run time over which the speed is averaged (s). Declared run times are off by
# about 40 %, equally for all tasks of a job, so dozens of jobs are needed.
SPEED_WINDOW_S = 60.0
# Run time over which the recent speed is averaged, to detect sudden changes,
# and the weight of the long-term average in it (s).
RECENT_WINDOW_S = 2.0
RECENT_PRIOR_S = 0.3
# A worker is slow if its recent speed is below this share of its average.
# Meanwhile, measurements enter the average with a tenth of their weight only,
# so that the worker is used again soon after the fault.
SLOW_RATIO = 0.5
SLOW_WEIGHT = 0.1
# Measurements before a gap of this length (s) count for at most AGED_WEIGHT_S
# of run time, so that a trial of a tenth of a second at the usual speed shows
# that the worker has recovered.
RECENT_MAX_AGE_S = 1.0
AGED_WEIGHT_S = 0.6
# A run is stalled if its progress has not changed although this much was
# expected since then (percent).
STALLED_PERCENT = 5
# Minimum time without progress before a run counts as stalled (s); exceeds the
# delay of a list.
STALLED_AFTER_S = 0.25
# A run without any reported progress is expected to take this many times its
# declared run time.
NO_PROGRESS_FACTOR = 4.0
# Minimum time over which the current rate of a run is measured (s).
RATE_WINDOW_S = 0.2
MS_PER_S = 1000


def on_listed(node, run, percent, now):
    """Update the progress of a listed run; detect whether it has stalled."""
    progress = run.progress
    since = progress.listed_at or run.requested_at
    gained = max(percent - progress.percent, 0)
    _record_work(node, run, gained, now - since, now)
    progress.listed_at = now
    if (
        now - (progress.previous_sample[1] or run.requested_at)
        >= RATE_WINDOW_S
    ):
        progress.previous_sample = (progress.percent, since)
    if gained:
        progress.percent = percent
        progress.advanced_at = now
        progress.stalled = False
        return []
    if progress.stalled or not _is_stalled(run, now):
        return []
    progress.stalled = True
    node.failed_jobs.add(run.order.task.partition('.')[0])
    node.failed_at = now
    node.changed = True
    node.count('runs_standing')
    fields = {
        'task': run.order.task,
        'percent': percent,
        'elapsed_ms': round((now - run.requested_at) * MS_PER_S),
        'declared_ms': run.order.expected_ms,
    }
    return [effects.Log('run_stalled', fields)]


def _is_stalled(run, now):
    progress = run.progress
    idle_s = now - (progress.advanced_at or run.requested_at)
    if idle_s < STALLED_AFTER_S:
        return False
    if progress.percent == 0:
        declared_s = run.order.expected_ms / MS_PER_S
        expected = 100 * idle_s / max(declared_s * NO_PROGRESS_FACTOR, 0.001)
    else:
        elapsed = progress.advanced_at - run.requested_at
        expected = progress.percent * idle_s / max(elapsed, 0.001)
    return expected >= STALLED_PERCENT


def on_done(node, run, now):
    """Update the speed after a run has succeeded."""
    progress = run.progress
    since = progress.listed_at or run.requested_at
    _record_work(node, run, 100 - progress.percent, now - since, now)


def _record_work(node, run, percent, elapsed_s, now):
    estimate = node.speed_estimate
    work_s = run.order.expected_ms / MS_PER_S * percent / 100
    if work_s <= 0 and elapsed_s <= 0:
        return
    if now - estimate.updated_at > RECENT_MAX_AGE_S:
        decay = min(
            AGED_WEIGHT_S / max(estimate.recent_run_time_s, 0.001), 1.0
        )
        estimate.recent_work_s *= decay
        estimate.recent_run_time_s *= decay
    estimate.updated_at = now
    decay = max(1.0 - elapsed_s / RECENT_WINDOW_S, 0.0)
    estimate.recent_work_s = estimate.recent_work_s * decay + work_s
    estimate.recent_run_time_s = estimate.recent_run_time_s * decay + elapsed_s
    average = _average_speed(estimate)
    weight = 1.0
    if _recent_speed(estimate, average) < SLOW_RATIO * average:
        weight = SLOW_WEIGHT
    decay = max(1.0 - weight * elapsed_s / SPEED_WINDOW_S, 0.0)
    estimate.work_s = estimate.work_s * decay + weight * work_s
    estimate.run_time_s = estimate.run_time_s * decay + weight * elapsed_s


def _average_speed(estimate):
    return (estimate.work_s + SPEED_PRIOR_S * DEFAULT_SPEED) / (
        estimate.run_time_s + SPEED_PRIOR_S
    )


def _recent_speed(estimate, average):
    return (estimate.recent_work_s + RECENT_PRIOR_S * average) / (
        estimate.recent_run_time_s + RECENT_PRIOR_S
    )


def average_speed(node):
    """Return the ratio of declared to actual run time over the last minute."""
    return _average_speed(node.speed_estimate)


def is_slow(node):
    """Return whether the recent speed is far below the average."""
    average = _average_speed(node.speed_estimate)
    return _recent_speed(node.speed_estimate, average) < SLOW_RATIO * average


def speed(node, now):
    """Return the ratio of declared to actual run time.

    A slow worker stays slow until the next measurement, however old the last
    one is.
    """
    average = _average_speed(node.speed_estimate)
    if is_slow(node):
        return _recent_speed(node.speed_estimate, average)
    return average


def listed_remaining_s(run):
    """Return the expected remaining time of a run when last listed (s)."""
    progress = run.progress
    percent, at = progress.previous_sample
    if not at or progress.percent <= percent:
        percent, at = 0, run.requested_at
    rate = (progress.percent - percent) / max(progress.listed_at - at, 0.001)
    return (100 - progress.percent) / max(rate, 0.001)


def progress_steps(link, now):
    """Return the progress of an entry's runs as messages."""
    return [
        _step(run, now)
        for run in link.runs.values()
        if run.progress.percent or run.progress.stalled
    ]


def _step(run, now):
    progress = run.progress
    remaining_ms = -1
    if not progress.stalled:
        remaining_s = listed_remaining_s(run)
        remaining_ms = min(round(remaining_s * MS_PER_S), 2**31 - 1)
    return messages.RunStep(
        seq=run.order.seq,
        percent=progress.percent,
        elapsed_ms=round((progress.listed_at - run.requested_at) * MS_PER_S),
        remaining_ms=remaining_ms,
    )
