"""What the client does after each outcome; no I/O.

`decide` finds the event that an outcome means for a job, looks up the rule
for the job's phase and that event, and returns the next step.
"""

import enum

import attrs

from azurepier.client import _errors
from azurepier import kernel

Verdict = kernel.Verdict

FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 2.0
_MAX_DOUBLINGS = 10
# Clients that were told the same time come back spread over this share.
_RETRY_JITTER = 0.1

# Refusals that another submission may escape.
_TEMPORARY_TYPES = frozenset(
    ('overloaded', 'queue-full', 'answers-full', 'draining', 'not-ready')
)
# An id that the client never used before can be refused for its age, or
# because its owner is gone and got nothing of the submission.
_STALE_TYPES = frozenset(('expired', 'unknown-job', 'owner-unreachable'))
# No other entry and no later request for job ids fares better.
_HOPELESS_TYPES = frozenset(
    ('unauthorized', 'forbidden', 'unknown-customer', 'invalid-input')
)
# Nobody waits for these jobs any more, so they are not run again.
_ENDED_TYPES = frozenset(('cancelled', 'deadline'))


class Kind(enum.Enum):
    """What became of one request."""

    COMPLETE = 'complete'
    RUNNING = 'running'
    REFUSED = 'refused'
    UNSENT = 'unsent'  # no connection; nothing left this process
    BROKEN = 'broken'  # sent, and the connection ended without an answer
    SILENT = 'silent'  # sent, and no answer within the limit


@attrs.frozen
class Outcome:
    """What became of one request.

    Parameters
    ----------
    kind : Kind
    result : list or None
        Outputs in task order, for `Kind.COMPLETE`.
    type, detail, verdict, retry_after_s
        From the problem document, for `Kind.REFUSED`.
    binding : bool
        The refusal holds for the job id: no other copy of the submission
        starts later. Otherwise it concerns this request alone.
    for_ids : bool
        The request asked for job ids and named no job.
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
    """What the client does next."""

    RETURN = 'return'
    RAISE = 'raise'
    RESUBMIT = 'resubmit'  # the same PUT
    NEW_ID = 'new id'  # PUT under another id
    FETCH = 'fetch'  # GET; not a submission


class Phase(enum.Enum):
    """Kind of the request that is open."""

    SUBMIT = 'submit'
    FETCH = 'fetch'


class Event(enum.Enum):
    """What an outcome means for a job."""

    COMPLETE = 'complete'
    RUNNING = 'running'
    NEVER_SENT = 'never sent'
    NO_CONTACT = 'no contact'
    SPENT = 'spent'
    REFUSED_ONCE = 'refused once'
    STALE = 'stale'
    UNKNOWN = 'unknown'
    LOST = 'lost'
    FINAL = 'final'


@attrs.define
class Budget:
    """Token bucket for submissions beyond the first of each job.

    Their total never exceeds `allowance` plus `share` of the jobs.
    """

    share: float = 0.1
    allowance: float = 3.0
    highest: float = 1000.0
    _tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._tokens = self.allowance

    def deposit(self):
        """Count one job."""
        self._tokens = min(self._tokens + self.share, self.highest)

    def take(self):
        """Take one token; return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@attrs.define
class Job:
    """What the client knows of one job.

    Parameters
    ----------
    idempotent : bool
    give_up_at : float
        No request starts later than this (s).
    phase : Phase
    sent : int
        Submissions sent under the current id.
    total_sent : int
        Submissions sent under all ids.
    unsure : bool
        A submission under the current id was not answered for good: it may
        be on its way, or the job runs.
    paid : int
        Tokens taken for submissions that have not been sent yet.
    reran : bool
        The job was submitted again after a `may_have_run`.
    exposed : Verdict
        What is known of the work under earlier ids.
    failures : int
        Requests in a row that brought the job no further.
    """

    idempotent: bool
    give_up_at: float
    phase: Phase = Phase.SUBMIT
    sent: int = 0
    total_sent: int = 0
    unsure: bool = False
    paid: int = 0
    reran: bool = False
    exposed: Verdict = Verdict.NOT_RUN
    failures: int = 0


@attrs.frozen
class Action:
    """The next step, after a pause of `delay_s`.

    With `other` the next request goes to another entry if there is one.
    """

    step: Step
    delay_s: float = 0.0
    other: bool = False
    result: object = None
    error: Exception | None = None


@attrs.frozen
class _Rule:
    """`step` if the budget allows it, otherwise `fallback`."""

    step: Step
    fallback: Step = Step.RAISE
    other: bool = False


_RETURN = _Rule(Step.RETURN)
_RAISE = _Rule(Step.RAISE)
_RERUN = _Rule(Step.NEW_ID)
_AGAIN = _Rule(Step.RESUBMIT, Step.FETCH, other=True)

_RULES = {
    Phase.SUBMIT: {
        Event.COMPLETE: _RETURN,
        Event.RUNNING: _Rule(Step.FETCH),
        Event.NEVER_SENT: _Rule(Step.NEW_ID, other=True),
        Event.NO_CONTACT: _AGAIN,
        Event.SPENT: _Rule(Step.NEW_ID, other=True),
        Event.REFUSED_ONCE: _Rule(Step.RESUBMIT, other=True),
        Event.STALE: _Rule(Step.NEW_ID),
        Event.UNKNOWN: _RAISE,
        Event.LOST: _RERUN,
        Event.FINAL: _RAISE,
    },
    Phase.FETCH: {
        Event.COMPLETE: _RETURN,
        Event.RUNNING: _Rule(Step.FETCH),
        # Only a submission lets another entry recover the whole answer.
        Event.NO_CONTACT: _AGAIN,
        Event.SPENT: _Rule(Step.NEW_ID, other=True),
        Event.REFUSED_ONCE: _Rule(Step.FETCH, other=True),
        Event.UNKNOWN: _Rule(Step.RESUBMIT),
        Event.LOST: _RERUN,
        Event.FINAL: _RAISE,
    },
}
_SUBMISSIONS = (Step.RESUBMIT, Step.NEW_ID)
_NO_ANSWER = (Kind.UNSENT, Kind.BROKEN, Kind.SILENT)


def _refusal_event(job, outcome):
    if outcome.for_ids:
        hopeless = outcome.type in _HOPELESS_TYPES
        return Event.FINAL if hopeless else Event.SPENT
    if outcome.verdict is Verdict.NOT_RUN and (
        outcome.type in _TEMPORARY_TYPES
    ):
        sealed = outcome.binding or not job.unsure
        return Event.SPENT if sealed else Event.REFUSED_ONCE
    if outcome.type in _STALE_TYPES and job.sent == 1 and not job.unsure:
        if job.phase is Phase.SUBMIT:
            return Event.STALE
    if outcome.type == 'unknown-job':
        return Event.UNKNOWN
    if outcome.verdict is Verdict.MAY_HAVE_RUN and _may_rerun(job, outcome):
        return Event.LOST
    return Event.FINAL


def _may_rerun(job, outcome):
    if outcome.type in _ENDED_TYPES:
        return False
    return job.idempotent and not job.reran


def _event(job, outcome):
    if outcome.kind is Kind.REFUSED:
        return _refusal_event(job, outcome)
    if outcome.kind in _NO_ANSWER:
        return Event.NO_CONTACT if job.sent else Event.NEVER_SENT
    return Event[outcome.kind.name]


def _count(job, outcome):
    """Record what the outcome says about copies of the submission."""
    unanswered = outcome.kind in _NO_ANSWER
    if outcome.kind is Kind.RUNNING:
        job.failures = 0
        job.unsure = True
    else:
        job.failures += 1
    if outcome.for_ids or job.phase is Phase.FETCH:
        return
    if outcome.kind is Kind.UNSENT:
        return
    job.sent += 1
    job.total_sent += 1
    job.paid = max(job.paid - 1, 0)
    job.unsure = job.unsure or unanswered


def _may_submit(job, budget):
    """Tell whether one more submission is within the budget."""
    if job.total_sent == 0 or job.paid:
        return True
    if not budget.take():
        return False
    job.paid += 1
    return True


def _delay(job, outcome, rng):
    if outcome.retry_after_s is not None:
        return outcome.retry_after_s * (1 + _RETRY_JITTER * rng.random())
    # The first failure says nothing about the other entries.
    if job.failures == 1 and outcome.kind in _NO_ANSWER:
        return 0.0
    doublings = min(max(job.failures - 2, 0), _MAX_DOUBLINGS)
    longest = min(FIRST_BACKOFF_S * 2**doublings, LONGEST_BACKOFF_S)
    return longest * (0.5 + 0.5 * rng.random())


def decide(job, outcome, budget, rng, now):
    """Return the next step after an outcome.

    Parameters
    ----------
    job : Job
        Is updated for the next step.
    outcome : Outcome
    budget : Budget
    rng : random.Random
    now : float
        Monotonic time (s).

    Returns
    -------
    Action
    """
    _count(job, outcome)
    event = _event(job, outcome)
    rule = _RULES[job.phase][event]
    if rule.step is Step.RETURN:
        return Action(Step.RETURN, result=outcome.result)
    delay_s = _delay(job, outcome, rng)
    step = rule.step
    if now + delay_s >= job.give_up_at:
        step = Step.RAISE
    elif step in _SUBMISSIONS and not _may_submit(job, budget):
        step = rule.fallback
    if step is Step.RAISE:
        return Action(Step.RAISE, error=_error(job, outcome, event))
    _enter(job, outcome, event, step)
    return Action(step, delay_s, rule.other)


def _enter(job, outcome, event, step):
    job.phase = Phase.FETCH if step is Step.FETCH else Phase.SUBMIT
    if step is Step.NEW_ID:
        if event is Event.LOST:
            job.reran = True
            job.exposed = _worse(job.exposed, outcome.verdict)
        job.sent = 0
        job.unsure = False


_SEVERITY = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def _worse(first, second):
    return max(first, second, key=_SEVERITY.get)


def _error(job, outcome, event):
    verdict = job.exposed
    if outcome.kind is Kind.RUNNING:
        verdict = _worse(verdict, Verdict.MAY_HAVE_RUN)
        return _errors.make_error('deadline', 'the job still runs', verdict)
    if outcome.kind is not Kind.REFUSED:
        if job.unsure:
            verdict = _worse(verdict, Verdict.MAY_HAVE_RUN)
        detail = outcome.detail or f'the last request was {event.value}'
        return _errors.make_error('unreachable', detail, verdict)
    # The only copy of a stale submission was answered without starting it.
    if event is not Event.STALE:
        verdict = _worse(verdict, outcome.verdict)
    if job.unsure and not outcome.binding:
        verdict = _worse(verdict, Verdict.MAY_HAVE_RUN)
    return _errors.make_error(
        outcome.type, outcome.detail, verdict, '', outcome.retry_after_s
    )
