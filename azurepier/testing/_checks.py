"""What must hold of every job, whatever failed meanwhile."""

from azurepier import kernel


def check_job(fleet, spec, answer, job_id=None):
    """Raise AssertionError if an answer breaks a promise.

    Parameters
    ----------
    fleet : Fleet
    spec : JobSpec
        The submission.
    answer : Complete, Refused or None
        None if the caller got none (its entry died).
    job_id : str, optional
        Needed if `answer` names no job.

    Notes
    -----
    Starts are counted by the workers and not by the product.
    """
    job_id = job_id or getattr(answer, 'job_id', None)
    started = {
        task: count
        for (job, task), count in fleet.starts.items()
        if job == job_id
    }
    assert all(count == 1 for count in started.values()), started
    if isinstance(answer, kernel.Complete):
        payloads = tuple(task.payload for task in spec.tasks)
        assert answer.outputs == payloads
        assert len(started) == len(spec.tasks)
    elif isinstance(answer, kernel.Refused):
        if answer.verdict is kernel.Verdict.NOT_RUN:
            assert not started, (answer, started)
        if answer.verdict is kernel.Verdict.RAN:
            assert started, answer


def check_no_double_start(fleet):
    """Raise AssertionError if any task was started twice."""
    twice = {key: n for key, n in fleet.starts.items() if n > 1}
    assert not twice, twice
