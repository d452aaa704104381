"""Tests of the decisions of the client."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from azurepier.client import _decisions
from azurepier import kernel

Kind = _decisions.Kind
Step = _decisions.Step
Verdict = kernel.Verdict
_SHARE, _ALLOWANCE = 0.1, 3.0
# One or two error types of each group that the client distinguishes.
_TYPES = (
    'unknown-job',
    'not-ready',
    'unauthorized',
    'overloaded',
    'draining',
    'expired',
    'owner-lost',
    'owner-unreachable',
    'cancelled',
    'task-failed',
)
_KINDS_BUT_REFUSED = [kind for kind in Kind if kind is not Kind.REFUSED]
_STALE = ('expired', 'unknown-job', 'owner-unreachable')


class TestTable:
    def test_each_phase_covers_its_events(self):
        """Guards against an outcome without a rule."""
        submit_only = {_decisions.Event.NEVER_SENT, _decisions.Event.STALE_ID}
        all_events = set(_decisions.Event)
        rules = _decisions._RULES
        assert set(rules[_decisions.Phase.SUBMIT]) == all_events
        assert set(rules[_decisions.Phase.FETCH]) == all_events - submit_only


class Decisions(stateful.RuleBasedStateMachine):
    """Submits jobs one after another; the rules simulate the entries.

    `work_state` is the actual state of the submissions under the current id:
    `none` (none ran or can run), `in transit` (one may still arrive) or `ran`
    (work may have run). `earlier_state` is the worst state of earlier ids.
    """

    def __init__(self):
        super().__init__()
        self.budget = _decisions.Budget(_SHARE, _ALLOWANCE)
        self.rng = random.Random(7)
        self.now = 0.0
        self.jobs = self.extra_submissions = 0
        self.job = None

    @stateful.precondition(lambda self: self.job is None)
    @stateful.rule(
        idempotent=strategies.booleans(),
        deadline_s=strategies.sampled_from([1.0, 60.0]),
    )
    def new_job(self, idempotent, deadline_s):
        self.jobs += 1
        self.budget.deposit()
        self.job = _decisions.Job(idempotent, self.now + deadline_s)
        self.step, self.work_state, self.earlier_state = (
            Step.NEW_ID,
            'none',
            'none',
        )
        self.puts = self.reruns = 0

    def _decide(self, outcome):
        action = _decisions.decide(
            self.job, outcome, self.budget, self.rng, self.now
        )
        self.step = action.step
        if action.step is Step.RETURN:
            assert outcome.kind is Kind.COMPLETE
            self.job = None
        elif action.step is Step.RAISE:
            if action.error.verdict is Verdict.NOT_RUN:
                assert (self.earlier_state, self.work_state) == (
                    'none',
                    'none',
                )
            self.job = None
        else:
            assert action.delay_s >= (outcome.retry_after_s or 0.0)
            self.now += action.delay_s
            assert self.now < self.job.give_up_at
            if action.step is Step.NEW_ID:
                self._use_new_id()

    def _use_new_id(self):
        if self.work_state != 'none':
            assert self.job.idempotent
            self.reruns += 1
            self.earlier_state = 'ran'
        assert self.reruns <= 1
        self.work_state = 'none'

    def _count_put(self):
        if self.step is not Step.FETCH:
            self.puts += 1
            self.extra_submissions += self.puts > 1

    @stateful.precondition(lambda self: self.job)
    @stateful.rule(kind=strategies.sampled_from(_KINDS_BUT_REFUSED))
    def request_ends(self, kind):
        if kind is not Kind.UNSENT:
            self._count_put()
            self.now += 0.5
        if kind is Kind.RUNNING:
            self.work_state = 'ran'
        elif (
            kind in (Kind.BROKEN, Kind.TIMED_OUT) and self.work_state == 'none'
        ):
            self.work_state = 'in transit'
        self._decide(_decisions.Outcome(kind))

    @stateful.precondition(lambda self: self.job)
    @stateful.rule(
        type_=strategies.sampled_from(_TYPES),
        verdict=strategies.sampled_from(list(Verdict)),
        retry_after_s=strategies.sampled_from([None, 0.0, 0.3, 50.0]),
        binding=strategies.booleans(),
    )
    def refusal(self, type_, verdict, retry_after_s, binding):
        first_submission = self.step is Step.NEW_ID
        self._count_put()
        if verdict is Verdict.NOT_RUN:
            if binding:
                self.work_state = 'none'
        elif not (first_submission and type_ in _STALE):
            self.work_state = 'ran'
        fields = (None, type_, '', verdict, retry_after_s, binding)
        self._decide(_decisions.Outcome(Kind.REFUSED, *fields))

    @stateful.precondition(lambda self: self.job)
    @stateful.rule(
        fields=strategies.sampled_from(
            [('owner-lost', Verdict.MAY_HAVE_RUN, None, True)]
            + [(type_, Verdict.NOT_RUN, None, False) for type_ in _TYPES]
        )
    )
    def frequent_refusal(self, fields):
        self.refusal(*fields)

    @stateful.precondition(lambda self: self.job and self.step is Step.NEW_ID)
    @stateful.rule(
        kind=strategies.sampled_from([Kind.REFUSED, Kind.TIMED_OUT]),
        type_=strategies.sampled_from(['draining', 'owner-lost', 'forbidden']),
    )
    def id_request_fails(self, kind, type_):
        self._decide(_decisions.Outcome(kind, type=type_, for_ids=True))

    @stateful.invariant()
    def extra_submissions_are_within_the_budget(self):
        """Guards against resubmissions that add to an overload."""
        assert self.extra_submissions <= _ALLOWANCE + _SHARE * self.jobs + 1e-6


TestDecisions = Decisions.TestCase
TestDecisions.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=400,
    stateful_step_count=30,
)
