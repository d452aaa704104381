"""Each promise of the pools breaks when the mechanism behind it is off.

Guards against tests that would pass without the mechanism they are for.
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

ENTRY = faults.TestEntry
PROCESS = faults.TestEndpointProcess
WORKER = faults.TestWorker


def _nothing(*args):
    return []


def _no_orphans(patch):
    patch.setitem(runner_node._TIMERS, 'reconnect_timeout', _nothing)


def _no_wait_for_ends(patch):
    patch.setattr(_bounds, 'RUNS_OVER_S', 0.0)


def _no_silence(patch):
    patch.setattr(_bounds, 'SILENCE_S', 1e9)


def _long_lease(patch):
    patch.setattr(_bounds, 'LEASE_S', 60.0)


def _no_drain_end(patch):
    patch.setitem(_node._TIMERS, 'drain_end', _nothing)


def _no_drain_refusal(patch):
    patch.setattr(_drain, 'refusal', lambda *args: None)


def _accept_while_ending(patch):
    patch.setattr(
        _capacity, 'accepts', lambda node, now: node.worker is not None
    )


def _no_suspicion(patch):
    patch.setattr(_trial, 'FAILURES_MAX', 10**9)


def _no_trials(patch):
    patch.setitem(runner_node._TIMERS, 'trial', _nothing)


def _no_moves(patch):
    patch.setattr(_progress, 'MOVES_MAX', 0)


def _stop_what_was_not_answered(patch):
    def refuse(node, run, result, now):
        return _lists._on_start_not_listed(node, run, now)

    patch.setitem(
        _orders._ON_RESULT, _orders._model.StartResult.NO_ANSWER, refuse
    )


# Mechanism, how it is turned off, and the promise that then breaks.
MECHANISMS = {
    'runs of a silent entry are stopped': (
        _no_orphans,
        ENTRY().test_killed,
    ),
    'a task waits until its run can not exist': (
        _no_wait_for_ends,
        PROCESS().test_killed_beside_a_living_worker,
    ),
    'silent connections are given up': (
        _no_silence,
        ENTRY().test_cut_from_a_worker_for_long,
    ),
    'leases end': (
        _long_lease,
        PROCESS().test_killed_and_never_started_again,
    ),
    'an ending entry gives work back': (
        _no_drain_end,
        ENTRY().test_asked_to_stop_with_work_that_is_too_long,
    ),
    'an ending entry refuses what it can not finish': (
        _no_drain_refusal,
        ENTRY().test_work_too_long_for_what_is_left_is_refused_at_once,
    ),
    'an ending endpoint process takes no runs': (
        _accept_while_ending,
        PROCESS().test_asked_to_stop,
    ),
    'a leaving worker gets no runs': (
        _accept_while_ending,
        WORKER().test_leaves,
    ),
    'workers that fail are suspect': (
        _no_suspicion,
        WORKER().test_fails_everything,
    ),
    'suspect workers get trials': (_no_trials, WORKER().test_works_again),
    'runs that stand still are moved': (
        _no_moves,
        WORKER().test_stands_still,
    ),
    'a list settles unanswered starts': (
        _stop_what_was_not_answered,
        WORKER().test_lost_answers,
    ),
}


@pytest.mark.parametrize('name', MECHANISMS)
class TestMechanism:
    def test_promise_breaks_without_it(self, name, monkeypatch):
        turn_off, promise = MECHANISMS[name]
        promise()
        turn_off(monkeypatch)
        # A caller without an answer is a missing key in some of the tests.
        with pytest.raises((AssertionError, KeyError)):
            promise()
