"""Invariants that hold for every job under all faults."""

from azurepier import kernel


def check_job(fleet, spec, answer, job_id=None):
    """Raise AssertionError if an answer violates a guarantee.

    Parameters
    ----------
    fleet : Fleet
    spec : JobSpec
        The submitted job.
    answer : Complete, Refused or None
        None if the caller got no answer because its entry was killed.
    job_id : str, optional
        Required if `answer` doesn't contain the job id.

    Notes
    -----
    The starts are counted by the simulated workers, independently of the code
    under test.
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
    """Raise AssertionError if any task was started more than once."""
    started_twice = {key: n for key, n in fleet.starts.items() if n > 1}
    assert not started_twice, started_twice
