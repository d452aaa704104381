"""Mutation tests: invariant tests fail when a mechanism is disabled.

Guards against tests that pass without the mechanism that they cover.
"""

import pytest

from azurepier import config
from azurepier.endpoint import _drain as endpoint_drain
from azurepier.endpoint import _node as endpoint_node
from azurepier.endpoint import _retention
from azurepier.entry import _acceptance
from azurepier.entry import _callers
from azurepier.entry import _node as entry_node
from azurepier.entry import _outcomes
from azurepier.entry.tests import test_faults as faults
from azurepier.entry.tests import test_invariants as invariants
from azurepier.entry.tests import test_lost_memory as lost_memory
from azurepier.jobs import _recovery
from azurepier.jobs import _table
from azurepier import kernel
from azurepier.kernel import messages
from azurepier.placement import _breaker

Status = kernel.Status


def _resend_lost(patch):
    handlers = _outcomes._STATUS_HANDLERS
    patch.setitem(handlers, Status.LOST, _outcomes._on_not_run)


def _no_tombstones(patch):
    patch.setattr(_table, 'add_tombstone', lambda *args: None)


def _no_final_refusals(patch):
    patch.setattr(_callers, '_FINAL_REFUSALS', frozenset())


def _no_digest_check(patch):
    patch.setattr(_callers, '_join_job', _join_any_content)


def _join_any_content(node, waiter, job, spec, detach):
    return _callers._add_waiter(node, waiter, job, detach)


def _adopt_any(patch):
    def adopt(adoption, cfg):
        adoption.current = cfg
        return True

    patch.setattr(config._adoption, 'adopt', adopt)


def _no_breaker(patch):
    patch.setattr(_breaker, 'OPEN_AFTER_FAILURES', 10**9)


def _no_discovery_wait(patch):
    patch.setattr(_acceptance, 'ENDPOINT_DISCOVERY_S', -1.0)


def _no_resume(patch):
    def report(node, link, now):
        link.unacked.clear()
        return original(node, link, now)

    original = endpoint_node._resume_report
    patch.setattr(endpoint_node, '_resume_report', report)


def _partial_is_complete(patch):
    patch.setattr(_recovery, '_is_complete', lambda recovery: bool(recovery))


def _drain_drops_waiting(patch):
    patch.setattr(endpoint_drain, 'stop_if_drained', _stop_at_once)


def _stop_at_once(node, now):
    return endpoint_drain.stop(node) if node.draining else []


def _unbounded_memory(patch):
    patch.setattr(_table, 'is_full', lambda table, extra: False)


def _unverified_recovery(patch):
    patch.setattr(_recovery, '_content_differs', lambda recovery: False)


def _no_fencing(patch):
    patch.setattr(_retention, 'fence', lambda *args: None)


def _no_highest_seqs(patch):
    patch.setattr(_retention, 'take_highest_seq', lambda *args: 0)


def _no_settled_starts(patch):
    def report(node, view, msg, now):
        out = original(node, view, msg, now)
        view.settled_seq = 0
        return out

    original = entry_node._ENDPOINT_MESSAGES[messages.ResumeReport]
    patch.setitem(entry_node._ENDPOINT_MESSAGES, messages.ResumeReport, report)


_PROOF = invariants.TestProofOfNotRun()
_SUBMISSION = invariants.TestSubmission()
_RECOVERY = invariants.TestRecovery()
_WORKER = faults.TestFailingWorker()
_IMPOSSIBLE = faults.TestImpossibleJob()
_DRAIN = faults.TestDrain()
_FORGOTTEN = lost_memory.TestForgottenEntry()

MECHANISMS = {
    'lost tasks are not sent again': (
        _resend_lost,
        _PROOF.test_dead_endpoint_may_have_run,
    ),
    'used ids are recorded': (
        _no_tombstones,
        _SUBMISSION.test_nothing_starts_after_retention,
    ),
    'refused ids stay refused': (
        _no_final_refusals,
        _SUBMISSION.test_refused_id_stays_refused,
    ),
    'submissions are compared by digest': (
        _no_digest_check,
        _SUBMISSION.test_other_content_is_refused,
    ),
    'outcomes are kept until acknowledged': (
        _no_resume,
        _PROOF.test_lost_outcome_is_sent_again_in_the_next_session,
    ),
    'only a higher version is adopted': (
        _adopt_any,
        faults.TestConfiguration().test_never_reverts,
    ),
    'the breaker opens': (
        _no_breaker,
        _WORKER.test_attracts_no_more_work_within_20_failures,
    ),
    'a new entry waits before it refuses infeasible jobs': (
        _no_discovery_wait,
        _IMPOSSIBLE.test_is_not_refused_by_an_entry_that_has_just_started,
    ),
    'a leaving endpoint finishes its tasks': (
        _drain_drops_waiting,
        _DRAIN.test_leaving_endpoint_finishes_without_new_starts,
    ),
    'recovered results are compared with the submission': (
        _unverified_recovery,
        _RECOVERY.test_other_content_is_refused,
    ),
    'highest numbers are kept after the outcomes': (
        _no_highest_seqs,
        _FORGOTTEN.test_replaced_connections_prove_nothing,
    ),
    'a report settles the starts of earlier sessions': (
        _no_settled_starts,
        lost_memory.TestLostStarts().test_do_not_occupy_slots,
    ),
    'recovery fences the job': (
        _no_fencing,
        _RECOVERY.test_nothing_starts_after_the_recovered_answer,
    ),
}


@pytest.mark.parametrize('name', MECHANISMS)
class TestMechanism:
    def test_fails_without_it(self, name, monkeypatch):
        disable, run_test = MECHANISMS[name]
        run_test()
        disable(monkeypatch)
        with pytest.raises(AssertionError):
            run_test()


class TestMemoryBound:
    def test_fails_without_it(self, monkeypatch):
        _unbounded_memory(monkeypatch)
        scenario = faults.TestMemory()
        with pytest.raises(AssertionError):
            scenario.test_refusal_when_answers_fill_the_memory(monkeypatch)


class TestPartialAnswers:
    def test_fails_without_the_check(self, monkeypatch):
        _partial_is_complete(monkeypatch)
        with pytest.raises((AssertionError, KeyError)):
            invariants.TestRecovery().test_partial_results_fail()
