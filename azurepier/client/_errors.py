"""Exceptions raised instead of returning a result."""

from azurepier import kernel

Verdict = kernel.Verdict


class JobError(kernel.AzurepierError):
    """Base class: a job ended without a result.

    Parameters
    ----------
    type : str
        Error type, a key of `azurepier.kernel.ERROR_TYPES`, or
        ``unreachable`` if no entry responded.
    detail : str
        Human-readable description.
    verdict : Verdict
        Whether work of the job may have run.
    job_id : str
        Last id under which the job was submitted, or empty.
    retry_after_s : float or None
        Time after which the job may be submitted again (s).
    """

    def __init__(self, type, detail, verdict, job_id='', retry_after_s=None):
        super().__init__(f'{type}: {detail} ({verdict.value})')
        self.type = type
        self.detail = detail
        self.verdict = verdict
        self.job_id = job_id
        self.retry_after_s = retry_after_s


class NotRunError(JobError):
    """No work of the job ran."""


class InvalidJobError(NotRunError):
    """The job can't run as it was submitted."""


class NotAuthorizedError(NotRunError):
    """The token or the customer was rejected."""


class OverloadedError(NotRunError):
    """The job was rejected temporarily; retry after `retry_after_s`."""


class MayHaveRunError(JobError):
    """Some or all of the work of the job may have run."""


class RanError(JobError):
    """The job ran and failed."""


_NOT_RUN_CLASSES = {
    'invalid-input': InvalidJobError,
    'too-large': InvalidJobError,
    'job-too-large': InvalidJobError,
    'impossible': InvalidJobError,
    'content-differs': InvalidJobError,
    'unauthorized': NotAuthorizedError,
    'forbidden': NotAuthorizedError,
    'unknown-customer': NotAuthorizedError,
    'overloaded': OverloadedError,
    'queue-full': OverloadedError,
    'answers-full': OverloadedError,
    'draining': OverloadedError,
    'not-ready': OverloadedError,
}


def make_error(type_, detail, verdict, job_id='', retry_after_s=None):
    """Return the exception for an error type and a verdict."""
    classes = {
        Verdict.NOT_RUN: _NOT_RUN_CLASSES.get(type_, NotRunError),
        Verdict.MAY_HAVE_RUN: MayHaveRunError,
        Verdict.RAN: RanError,
    }
    return classes[verdict](type_, detail, verdict, job_id, retry_after_s)
