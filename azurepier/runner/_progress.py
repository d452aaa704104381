"""Progress of runs: the worker's speed, and runs that stand still.

Load pattern: workers that turn slow by a factor of four to seven within a
moment, and workers on which tasks stand still while the status is good. Ends
alone would show both only after the time that tasks take; the progress of
what runs shows them within a few lists.
"""

from azurepier.kernel import effects
from azurepier.kernel import messages

# Speed of a worker that nothing is known of, and its weight (s of run time).
# Workers of half the speed are a quarter of some pools; a higher weight lets
# their tasks be late for seconds after a start.
DEFAULT_SPEED = 1.0
PRIOR_S = 0.5
# Run time over which the speed is averaged (s). Declared times are wrong by
# about 40 %, alike for all tasks of a job, so dozens of jobs are needed.
MEMORY_S = 60.0
# Run time over which a sudden change shows, and the weight of the average
# beside it (s).
RECENT_S = 2.0
RECENT_PRIOR_S = 0.3
# A worker whose recent speed is below this share of its average has turned
# slow. Its average is kept meanwhile, but for a tenth of what is measured,
# so that it is used again soon after the fault.
TURNED_SLOW = 0.5
SLOW_WEIGHT = 0.1
# After a pause of this length (s) the measurements before it count for at most
# AGED_WEIGHT_S of run time, so that a tenth of a second of a trial at the
# usual speed shows that the worker has recovered.
RECENT_AGE_S = 1.0
AGED_WEIGHT_S = 0.6
# A run stands still if it should have made this much progress (percent)...
STANDING_PERCENT = 5
# ...and has made none for this time (s), which covers a late list.
STANDING_S = 0.25
# Before its first percent a run is taken to be this much longer than
# declared.
UNKNOWN_FACTOR = 4.0
# Time over which the present rate of a run is measured (s).
RATE_WINDOW_S = 0.2
MS_PER_S = 1000


def on_listed(node, run, percent, now):
    """Learn from a run that is listed as running."""
    progress = run.progress
    since = progress.listed_at or run.asked_at
    gained = max(percent - progress.percent, 0)
    _note_work(node, run, gained, now - since, now)
    progress.listed_at = now
    if now - (progress.before[1] or run.asked_at) >= RATE_WINDOW_S:
        progress.before = (progress.percent, since)
    if gained:
        progress.percent = percent
        progress.changed_at = now
        progress.standing = False
        return []
    if progress.standing or not _stands(run, now):
        return []
    progress.standing = True
    node.failed_jobs.add(run.order.task.partition('.')[0])
    node.failed_at = now
    node.changed = True
    node.count('runs_standing')
    fields = {
        'task': run.order.task,
        'percent': percent,
        'elapsed_ms': round((now - run.asked_at) * MS_PER_S),
        'declared_ms': run.order.expected_ms,
    }
    return [effects.Log('run_standing', fields)]


def _stands(run, now):
    progress = run.progress
    still = now - (progress.changed_at or run.asked_at)
    if still < STANDING_S:
        return False
    if progress.percent == 0:
        declared_s = run.order.expected_ms / MS_PER_S
        expected = 100 * still / max(declared_s * UNKNOWN_FACTOR, 0.001)
    else:
        elapsed = progress.changed_at - run.asked_at
        expected = progress.percent * still / max(elapsed, 0.001)
    return expected >= STANDING_PERCENT


def on_done(node, run, now):
    """Learn from a run that was done."""
    progress = run.progress
    since = progress.listed_at or run.asked_at
    _note_work(node, run, 100 - progress.percent, now - since, now)


def _note_work(node, run, percent, time_s, now):
    pace = node.pace
    work_s = run.order.expected_ms / MS_PER_S * percent / 100
    if work_s <= 0 and time_s <= 0:
        return
    if now - pace.at > RECENT_AGE_S:
        keep = min(AGED_WEIGHT_S / max(pace.recent_time, 0.001), 1.0)
        pace.recent_work *= keep
        pace.recent_time *= keep
    pace.at = now
    keep = max(1.0 - time_s / RECENT_S, 0.0)
    pace.recent_work = pace.recent_work * keep + work_s
    pace.recent_time = pace.recent_time * keep + time_s
    average = _average(pace)
    weight = 1.0
    if _recent(pace, average) < TURNED_SLOW * average:
        weight = SLOW_WEIGHT
    keep = max(1.0 - weight * time_s / MEMORY_S, 0.0)
    pace.work = pace.work * keep + weight * work_s
    pace.time = pace.time * keep + weight * time_s


def _average(pace):
    return (pace.work + PRIOR_S * DEFAULT_SPEED) / (pace.time + PRIOR_S)


def _recent(pace, average):
    return (pace.recent_work + RECENT_PRIOR_S * average) / (
        pace.recent_time + RECENT_PRIOR_S
    )


def usual_speed(node):
    """Return declared over actual run time, over the last minute."""
    return _average(node.pace)


def is_slow(node):
    """Tell whether the last measurements are far below the usual speed."""
    average = _average(node.pace)
    return _recent(node.pace, average) < TURNED_SLOW * average


def speed(node, now):
    """Return declared over actual run time.

    A worker that has turned slow counts as slow until another measurement,
    however long ago the last one was.
    """
    average = _average(node.pace)
    if is_slow(node):
        return _recent(node.pace, average)
    return average


def steps(link, now):
    """Return how far the runs of an entry are."""
    return [
        _step(run, now)
        for run in link.runs.values()
        if run.progress.percent or run.progress.standing
    ]


def _step(run, now):
    progress = run.progress
    remaining_ms = -1
    if not progress.standing:
        percent, at = progress.before
        if not at or progress.percent <= percent:
            percent, at = 0, run.asked_at
        rate = (progress.percent - percent) / max(
            progress.listed_at - at, 0.001
        )
        left_s = (100 - progress.percent) / max(rate, 0.001)
        remaining_ms = min(round(left_s * MS_PER_S), 2**31 - 1)
    return messages.RunStep(
        seq=run.order.seq,
        percent=progress.percent,
        elapsed_ms=round((progress.listed_at - run.asked_at) * MS_PER_S),
        remaining_ms=remaining_ms,
    )
