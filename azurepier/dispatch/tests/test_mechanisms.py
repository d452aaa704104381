"""Mutation tests of the dispatch.

Each test must fail when the mechanism that it covers is disabled.
"""

import pytest

from azurepier.dispatch import _bounds
from azurepier.dispatch import _drain
from azurepier.dispatch import _node
from azurepier.dispatch import _progress
from azurepier.dispatch.tests import test_faults as faults
from azurepier.runner import _capacity
from azurepier.runner import _lists
from azurepier.runner import _node as runner_node
from azurepier.runner import _orders
from azurepier.runner import _trial

EntryTests = faults.TestEntry
EndpointProcessTests = faults.TestEndpointProcess
WorkerTests = faults.TestWorker


def _no_effects(*args):
    return []


def _disable_reconnect_timeout(patch):
    patch.setitem(runner_node._TIMERS, 'reconnect_timeout', _no_effects)


def _disable_run_expiry(patch):
    patch.setattr(_bounds, 'RUN_EXPIRY_S', 0.0)


def _disable_silence_timeout(patch):
    patch.setattr(_bounds, 'SILENCE_S', 1e9)


def _lengthen_lease(patch):
    patch.setattr(_bounds, 'LEASE_S', 60.0)


def _disable_drain_end(patch):
    patch.setitem(_node._TIMERS, 'drain_end', _no_effects)


def _disable_drain_rejections(patch):
    patch.setattr(_drain, 'find_rejection', lambda *args: None)


def _accept_always(patch):
    patch.setattr(
        _capacity, 'accepts', lambda node, now: node.worker is not None
    )


def _disable_suspicion(patch):
    patch.setattr(_trial, 'FAILURES_MAX', 10**9)


def _disable_trials(patch):
    patch.setitem(runner_node._TIMERS, 'trial', _no_effects)


def _disable_moves(patch):
    patch.setattr(_progress, 'MOVES_MAX', 0)


def _stop_unanswered_starts(patch):
    def stop(node, run, result, now):
        return _lists._on_start_not_listed(node, run, now)

    patch.setitem(
        _orders._ON_RESULT, _orders._model.StartResult.NO_ANSWER, stop
    )


# By mechanism: the function that disables it, and a test that then fails.
MECHANISMS = {
    'runs of a disconnected entry are stopped': (
        _disable_reconnect_timeout,
        EntryTests().test_killed,
    ),
    'a task is not restarted before its run has expired': (
        _disable_run_expiry,
        EndpointProcessTests().test_killed_while_the_worker_keeps_running,
    ),
    'silent connections are closed': (
        _disable_silence_timeout,
        EntryTests().test_partitioned_from_a_worker,
    ),
    'leases expire': (
        _lengthen_lease,
        EndpointProcessTests().test_killed_and_not_restarted,
    ),
    'a draining entry rejects unfinished jobs': (
        _disable_drain_end,
        EntryTests().test_drain_with_unfinishable_job,
    ),
    'a draining entry rejects long jobs': (
        _disable_drain_rejections,
        EntryTests().test_drain_rejects_jobs_longer_than_the_time_left,
    ),
    'a draining endpoint process refuses runs': (
        _accept_always,
        EndpointProcessTests().test_drain,
    ),
    'a leaving worker gets no runs': (
        _accept_always,
        WorkerTests().test_leaves,
    ),
    'failing workers become suspect': (
        _disable_suspicion,
        WorkerTests().test_all_tasks_fail,
    ),
    'suspect workers get trial tasks': (
        _disable_trials,
        WorkerTests().test_recovers,
    ),
    'stalled runs are moved': (
        _disable_moves,
        WorkerTests().test_stalls,
    ),
    'unanswered starts are resolved by a list of runs': (
        _stop_unanswered_starts,
        WorkerTests().test_lost_answers,
    ),
}


@pytest.mark.parametrize('name', MECHANISMS)
class TestDisabledMechanism:
    def test_guarantee_fails(self, name, monkeypatch):
        disable, guarantee = MECHANISMS[name]
        guarantee()
        disable(monkeypatch)
        # In some tests a missing answer raises KeyError.
        with pytest.raises((AssertionError, KeyError)):
            guarantee()
