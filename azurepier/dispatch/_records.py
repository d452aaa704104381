"""Records of jobs that have ended, for callers that submit them again.

Load pattern: callers that submit thousands of jobs a second and leave, each of
which leaves a record for 40 s. Their number is limited. An outcome that was
forgotten makes its job run again. If a start was forgotten, each job may have
run, until the record would have expired: 'not run' must be true.
"""

# Outcomes are kept this long for callers that resubmit a job (s).
OUTCOME_RETENTION_S = 15.0
# Jobs that were started and have no outcome are remembered this long (s);
# callers submit a job again for up to 40 s.
STARTED_RETENTION_S = 40.0
# Maximum number of records of each kind.
REMEMBERED_MAX = 20_000


def remember_outcome(node, job_id, answer, now):
    """Keep the outcome of a job."""
    outcomes = node.recent_outcomes
    outcomes[job_id] = now, answer
    outcomes.move_to_end(job_id)
    while (
        next(iter(outcomes.values()))[0] < now - OUTCOME_RETENTION_S
        or len(outcomes) > REMEMBERED_MAX
    ):
        outcomes.popitem(last=False)


def remember_start(node, job, now):
    """Remember that a job without an outcome was started, if it was."""
    started_jobs = node.started_jobs
    if job.has_started or job.started_before:
        started_jobs[job.request.id] = now
        started_jobs.move_to_end(job.request.id)
    while started_jobs:
        job_id, at = next(iter(started_jobs.items()))
        if at >= now - STARTED_RETENTION_S:
            if len(started_jobs) <= REMEMBERED_MAX:
                return
            node.start_forgotten_at = at
        del started_jobs[job_id]


def may_have_run(node, job_id, now):
    """Tell whether this entry knows that a job may have run."""
    return (
        job_id in node.jobs
        or job_id in node.started_jobs
        or job_id in node.recent_outcomes
        or is_start_forgotten(node, now)
    )


def is_start_forgotten(node, now):
    """Tell whether a job may have been started without a record of it."""
    return now - node.start_forgotten_at < STARTED_RETENTION_S
