"""Decisions of the client after each request; performs no I/O.

`decide` classifies the outcome of a request as an event, looks up the rule for
the job's phase and this event, and returns the next step.
"""

import enum

import attrs

from azurepier.client import _errors
from azurepier import kernel

Verdict = kernel.Verdict

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
_MAX_DOUBLINGS = 10
# Spreads the retries of clients that received the same retry-after time over
# this share of it.
_RETRY_JITTER = 0.1

# Refusals after which another submission may succeed.
_TEMPORARY_TYPES = frozenset(
    ('overloaded', 'queue-full', 'answers-full', 'draining', 'not-ready')
)
# Refusals of an id on its first use: the id is too old, or its owner is gone
# and did not receive the submission.
_STALE_TYPES = frozenset(('expired', 'unknown-job', 'owner-unreachable'))
# Refusals that would recur at any other entry and for any later request for
# job ids.
_PERMANENT_TYPES = frozenset(
    ('unauthorized', 'forbidden', 'unknown-customer', 'invalid-input')
)
# Jobs with these errors are not rerun, because no caller waits for them.
_ENDED_TYPES = frozenset(('cancelled', 'deadline'))


class Kind(enum.Enum):
    """Kind of the outcome of a request."""

    COMPLETE = 'complete'
    RUNNING = 'running'
    REFUSED = 'refused'
    UNSENT = 'unsent'  # no connection; nothing was sent
    BROKEN = 'broken'  # sent; connection lost or response malformed
    TIMED_OUT = 'timed out'  # sent; no response in time


@attrs.frozen
class Outcome:
    """Outcome of a request.

    Parameters
    ----------
    kind : Kind
    result : list or None
        Outputs in task order, for `Kind.COMPLETE`.
    type, detail, verdict, retry_after_s
        Fields of the problem document, for `Kind.REFUSED`.
    binding : bool
        Whether the refusal holds for the job id, so that no other copy of
        the submission starts later. Otherwise it holds for this request only.
    for_ids : bool
        Whether this was a request for job ids, without a job.
    """

    kind: Kind
    result: object = None
    type: str = ''
    detail: str = ''
    verdict: Verdict = Verdict.NOT_RUN
    retry_after_s: float | None = None
    binding: bool = False
    for_ids: bool = False


class Step(enum.Enum):
    """Next step of the client."""

    RETURN = 'return'
    RAISE = 'raise'
    RESUBMIT = 'resubmit'  # PUT under the same id
    NEW_ID = 'new id'  # PUT under another id
    FETCH = 'fetch'  # GET, which submits nothing


class Phase(enum.Enum):
    """Kind of the current request for a job."""

    SUBMIT = 'submit'
    FETCH = 'fetch'


class Event(enum.Enum):
    """Meaning of an outcome for a job."""

    COMPLETE = 'complete'
    RUNNING = 'running'
    NEVER_SENT = 'never sent'  # no submission under this id was sent
    NO_RESPONSE = 'not answered'
    ID_REFUSED = 'id refused'  # no copy starts under this id
    REQUEST_REFUSED = 'request refused'  # an earlier copy may still start
    STALE_ID = 'stale id'
    UNKNOWN_JOB = 'unknown job'
    RERUN_ALLOWED = 'rerun allowed'  # may have run, and is idempotent
    FINAL = 'final'


@attrs.define
class Budget:
    """Token bucket for submissions beyond the first of each job.

    Their total never exceeds `allowance` plus `share` times the number of
    jobs.
    """

    share: float = 0.1
    allowance: float = 3.0
    max_tokens: float = 1000.0
    _tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._tokens = self.allowance

    def deposit(self):
        """Add the tokens of one job."""
        self._tokens = min(self._tokens + self.share, self.max_tokens)

    def take(self):
        """Take one token; return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@attrs.define
class Job:
    """State of a job in the client.

    Parameters
    ----------
    idempotent : bool
    give_up_at : float
        Time after which no request starts (s).
    phase : Phase
    sent : int
        Submissions sent under the current id.
    total_sent : int
        Submissions sent under all ids.
    unresolved : bool
        Whether a submission under the current id has no final answer: it
        may be in transit, or the job runs.
    reserved_tokens : int
        Tokens taken for submissions that have not been sent yet.
    was_rerun : bool
        Whether the job was submitted again after the verdict `may_have_run`.
    earlier_verdict : Verdict
        Worst verdict on the work under earlier ids.
    failures : int
        Number of consecutive requests without progress.
    """

    idempotent: bool
    give_up_at: float
    phase: Phase = Phase.SUBMIT
    sent: int = 0
    total_sent: int = 0
    unresolved: bool = False
    reserved_tokens: int = 0
    was_rerun: bool = False
    earlier_verdict: Verdict = Verdict.NOT_RUN
    failures: int = 0


@attrs.frozen
class Action:
    """Next step, to be taken after `delay_s`.

    With `other_entry` the next request goes to another entry if possible.
    """

    step: Step
    delay_s: float = 0.0
    other_entry: bool = False
    result: object = None
    error: Exception | None = None


@attrs.frozen
class _Rule:
    """Step to take, or `fallback` if the budget is exhausted."""

    step: Step
    fallback: Step = Step.RAISE
    other_entry: bool = False


_RETURN = _Rule(Step.RETURN)
_RAISE = _Rule(Step.RAISE)
_RERUN = _Rule(Step.NEW_ID)
_RESUBMIT = _Rule(Step.RESUBMIT, Step.FETCH, other_entry=True)

_RULES = {
    Phase.SUBMIT: {
        Event.COMPLETE: _RETURN,
        Event.RUNNING: _Rule(Step.FETCH),
        Event.NEVER_SENT: _Rule(Step.NEW_ID, other_entry=True),
        Event.NO_RESPONSE: _RESUBMIT,
        Event.ID_REFUSED: _Rule(Step.NEW_ID, other_entry=True),
        Event.REQUEST_REFUSED: _Rule(Step.RESUBMIT, other_entry=True),
        Event.STALE_ID: _Rule(Step.NEW_ID),
        Event.UNKNOWN_JOB: _RAISE,
        Event.RERUN_ALLOWED: _RERUN,
        Event.FINAL: _RAISE,
    },
    Phase.FETCH: {
        Event.COMPLETE: _RETURN,
        Event.RUNNING: _Rule(Step.FETCH),
        # Another entry can recover the complete answer only from a submission.
        Event.NO_RESPONSE: _RESUBMIT,
        Event.ID_REFUSED: _Rule(Step.NEW_ID, other_entry=True),
        Event.REQUEST_REFUSED: _Rule(Step.FETCH, other_entry=True),
        Event.UNKNOWN_JOB: _Rule(Step.RESUBMIT),
        Event.RERUN_ALLOWED: _RERUN,
        Event.FINAL: _RAISE,
    },
}
_SUBMISSION_STEPS = (Step.RESUBMIT, Step.NEW_ID)
_NO_RESPONSE_KINDS = (Kind.UNSENT, Kind.BROKEN, Kind.TIMED_OUT)


def _classify_refusal(job, outcome):
    if outcome.for_ids:
        permanent = outcome.type in _PERMANENT_TYPES
        return Event.FINAL if permanent else Event.ID_REFUSED
    if outcome.verdict is Verdict.NOT_RUN and (
        outcome.type in _TEMPORARY_TYPES
    ):
        conclusive = outcome.binding or not job.unresolved
        return Event.ID_REFUSED if conclusive else Event.REQUEST_REFUSED
    if outcome.type in _STALE_TYPES and job.sent == 1 and not job.unresolved:
        if job.phase is Phase.SUBMIT:
            return Event.STALE_ID
    if outcome.type == 'unknown-job':
        return Event.UNKNOWN_JOB
    if outcome.verdict is Verdict.MAY_HAVE_RUN and _may_rerun(job, outcome):
        return Event.RERUN_ALLOWED
    return Event.FINAL


def _may_rerun(job, outcome):
    if outcome.type in _ENDED_TYPES:
        return False
    return job.idempotent and not job.was_rerun


def _classify(job, outcome):
    if outcome.kind is Kind.REFUSED:
        return _classify_refusal(job, outcome)
    if outcome.kind in _NO_RESPONSE_KINDS:
        return Event.NO_RESPONSE if job.sent else Event.NEVER_SENT
    return Event[outcome.kind.name]


def _record_outcome(job, outcome):
    """Update the state of the submissions of a job after a request."""
    no_response = outcome.kind in _NO_RESPONSE_KINDS
    if outcome.kind is Kind.RUNNING:
        job.failures = 0
        job.unresolved = True
    else:
        job.failures += 1
    if outcome.for_ids or job.phase is Phase.FETCH:
        return
    if outcome.kind is Kind.UNSENT:
        return
    job.sent += 1
    job.total_sent += 1
    job.reserved_tokens = max(job.reserved_tokens - 1, 0)
    job.unresolved = job.unresolved or no_response


def _may_submit(job, budget):
    """Tell whether the budget allows a submission; reserve its token."""
    if job.total_sent == 0 or job.reserved_tokens:
        return True
    if not budget.take():
        return False
    job.reserved_tokens += 1
    return True


def _backoff_s(job, outcome, rng):
    if outcome.retry_after_s is not None:
        return outcome.retry_after_s * (1 + _RETRY_JITTER * rng.random())
    # The first failure of an entry says nothing about the other entries.
    if job.failures == 1 and outcome.kind in _NO_RESPONSE_KINDS:
        return 0.0
    doublings = min(max(job.failures - 2, 0), _MAX_DOUBLINGS)
    max_delay_s = min(INITIAL_BACKOFF_S * 2**doublings, MAX_BACKOFF_S)
    return max_delay_s * (0.5 + 0.5 * rng.random())


def decide(job, outcome, budget, rng, now):
    """Return the next step after the outcome of a request.

    Parameters
    ----------
    job : Job
        Updated for the next step.
    outcome : Outcome
    budget : Budget
    rng : random.Random
    now : float
        Monotonic time (s).

    Returns
    -------
    Action
    """
    _record_outcome(job, outcome)
    event = _classify(job, outcome)
    rule = _RULES[job.phase][event]
    if rule.step is Step.RETURN:
        return Action(Step.RETURN, result=outcome.result)
    delay_s = _backoff_s(job, outcome, rng)
    step = rule.step
    if now + delay_s >= job.give_up_at:
        step = Step.RAISE
    elif step in _SUBMISSION_STEPS and not _may_submit(job, budget):
        step = rule.fallback
    if step is Step.RAISE:
        return Action(Step.RAISE, error=_build_error(job, outcome, event))
    _apply_step(job, outcome, event, step)
    return Action(step, delay_s, rule.other_entry)


def _apply_step(job, outcome, event, step):
    job.phase = Phase.FETCH if step is Step.FETCH else Phase.SUBMIT
    if step is Step.NEW_ID:
        if event is Event.RERUN_ALLOWED:
            job.was_rerun = True
            job.earlier_verdict = _worse(job.earlier_verdict, outcome.verdict)
        job.sent = 0
        job.unresolved = False


_SEVERITY = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def _worse(first, second):
    return max(first, second, key=_SEVERITY.get)


def _build_error(job, outcome, event):
    verdict = job.earlier_verdict
    if outcome.kind is Kind.RUNNING:
        verdict = _worse(verdict, Verdict.MAY_HAVE_RUN)
        return _errors.make_error(
            'deadline', 'the job is still running', verdict
        )
    if outcome.kind is not Kind.REFUSED:
        if job.unresolved:
            verdict = _worse(verdict, Verdict.MAY_HAVE_RUN)
        detail = outcome.detail or f'the last request was {event.value}'
        return _errors.make_error('unreachable', detail, verdict)
    # The only submission under a stale id was refused and never started.
    if event is not Event.STALE_ID:
        verdict = _worse(verdict, outcome.verdict)
    if job.unresolved and not outcome.binding:
        verdict = _worse(verdict, Verdict.MAY_HAVE_RUN)
    return _errors.make_error(
        outcome.type, outcome.detail, verdict, '', outcome.retry_after_s
    )
