"""Mutation tests of the dispatch.

Each test must fail when the mechanism that it covers is disabled.
"""

import functools

import attrs
import pytest

from azurepier.dispatch import _bounds
from azurepier.dispatch import _cancel
from azurepier.dispatch import _cancel_checks
from azurepier.dispatch import _crashes
from azurepier.dispatch import _drain
from azurepier.dispatch import _evacuation
from azurepier.dispatch import _lookahead
from azurepier.dispatch import _node
from azurepier.dispatch import _pass
from azurepier.dispatch import _placement
from azurepier.dispatch import _progress
from azurepier.dispatch import _transfer
from azurepier.dispatch.tests import test_cancel as cancels
from azurepier.dispatch.tests import test_cancel_checks as checks
from azurepier.dispatch.tests import test_crashes as crashes
from azurepier.dispatch.tests import test_evacuation as evacuation
from azurepier.dispatch.tests import test_faults as faults
from azurepier.dispatch.tests import test_former_runs as former_runs
from azurepier.dispatch.tests import test_heartbeats as heartbeats
from azurepier.dispatch.tests import test_returned_worker as returned
from azurepier.dispatch.tests import test_start_under_way as under_way
from azurepier.dispatch.tests import test_transfer as transfer
from azurepier.dispatch.tests import test_unconfirmed_stops as stops
from azurepier.dispatch.tests import test_unsuitable_workers as unsuitable
from azurepier.dispatch.tests import test_waiting_orders as waits
from azurepier.kernel import messages
from azurepier.kernel import Status
from azurepier import membership
from azurepier import runner
from azurepier.runner import _cancels
from azurepier.runner import _capacity
from azurepier.runner import _crashes as runner_crashes
from azurepier.runner import _ends
from azurepier.runner import _evacuation as runner_evacuation
from azurepier.runner import _forecast
from azurepier.runner import _heartbeats
from azurepier.runner import _identity
from azurepier.runner import _lease
from azurepier.runner import _lists
from azurepier.runner import _node as runner_node
from azurepier.runner import _orders
from azurepier.runner import _reports
from azurepier.runner import _requests
from azurepier.runner import _requirements
from azurepier.runner import _stops
from azurepier.runner import _suspects
from azurepier.runner import _trial
from azurepier.runner import _waiting

CancelTests = cancels.TestCancel
CutOffTests = checks.TestCutOff
DrainingWorkerTests = heartbeats.TestDrain
LostEntryTests = checks.TestLostEntries
OtherPathTests = checks.TestOtherPaths
PropagationTests = evacuation.TestPropagation
EntryTests = faults.TestEntry
OtherKindTests = unsuitable.TestReturnAsAnotherKind
ReplacedTests = former_runs.TestReplacedProcess
EndpointProcessTests = faults.TestEndpointProcess
WorkerTests = faults.TestWorker
HeartbeatTests = returned.TestHeartbeatOfAnotherWriter
ReturnTests = under_way.TestReturnUnderTheSameId
WaitFaultTests = waits.TestFaults
WaitQueueTests = waits.TestQueue
WaitEntryTests = waits.TestEntry


def _no_effects(*args):
    return []


def _ask_at_once(monkeypatch):
    monkeypatch.setattr(_transfer, 'ASK_DELAY_S', 0.0)


def _ignore_answers_of_the_store(monkeypatch):
    monkeypatch.setattr(
        _transfer, '_is_store_answering', lambda node, now: False
    )


def _wait_for_any_answer(monkeypatch):
    monkeypatch.setattr(_transfer, 'ANSWER_MAX_S', 1000.0)


def _start_transfers_again(monkeypatch):
    on_peer_removed = _transfer.on_peer_removed

    def restart(node, peer):
        on_peer_removed(node, peer)
        if node.transfer is not None:
            node.transfer.restart()

    monkeypatch.setattr(_transfer, 'on_peer_removed', restart)


def _wait_for_lost_parts(monkeypatch):
    monkeypatch.setattr(_transfer, 'PART_TIMEOUT_S', 1000.0)


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


def _start_without_confirmation(patch):
    patch.setitem(_node._TIMERS, 'pass', _pass.on_callers_confirmed)


def _keep_cancels(patch):
    patch.setattr(_cancel, '_pass_on', _no_effects)


def _forget_cancels(patch):
    patch.setattr(_cancel, 'send_all', _no_effects)
    patch.setattr(_cancels, '_send', _no_effects)
    _take_orders_of_canceled_jobs(patch)


def _forget_cancels_between_entries(patch):
    patch.setattr(_cancel, 'send_all', _no_effects)


def _keep_cancels_from_endpoints(patch):
    patch.setitem(_node._TIMERS, 'cancels', _no_effects)


def _keep_cancels_at_endpoints(patch):
    patch.setitem(runner_node._TIMERS, 'cancels', _no_effects)


def _take_orders_of_canceled_jobs(patch):
    patch.setattr(_cancels, 'refuses', lambda *args: False)


def _acknowledge_at_once(patch):
    patch.setattr(_cancel_checks, '_start', _confirm_all)


def _confirm_all(node, now):
    checks = node.cancel_checks
    check = _cancel_checks.Check(now, None)
    return [
        effect
        for req, wait in list(checks.waits.items())
        for effect in _cancel_checks._confirm(node, req, wait, check, now)
    ]


def _use_the_highest_number(patch):
    def add(self, report, now):
        latest = self._writers[0].latest if self._writers else None
        if latest is None or report.sequence > latest.sequence:
            self._writers = [_heartbeats._Writer(report, now)]
        return False

    patch.setattr(_heartbeats.Heartbeats, 'add', add)


def _forget_drains(patch):
    patch.setattr(_heartbeats, 'DRAIN_HOLD_S', 0.0)


def _wait_for_lost_links(patch):
    patch.setattr(_cancel_checks, 'on_peer_removed', _no_effects)


def _wait_for_all_entries(patch):
    patch.setattr(_cancel_checks, '_is_greater_part', lambda *args: False)


def _overlook_missing_entries(patch):
    patch.setattr(_cancel_checks, '_is_greater_part', lambda *args: True)


def _ignore_evacuation_at_endpoints(patch):
    patch.setattr(runner_evacuation, 'is_evacuated', lambda node: False)


def _accept_before_first_update(patch):
    patch.setattr(
        runner_evacuation,
        'takes_runs',
        lambda node: not runner_evacuation.is_evacuated(node),
    )


def _ignore_updates_of_peers(patch):
    patch.setattr(_evacuation, 'on_peer_update', _no_effects)


def _omit_evacuations(patch):
    patch.setattr(
        _evacuation,
        'make_heartbeat',
        lambda node, demand: messages.Beat(config_version=1, demand=demand),
    )


def _accept_older_updates(patch):
    patch.setattr(membership, 'is_newer', lambda *args: True)


def _disable_store_reads(patch):
    patch.setitem(runner_node._TIMERS, 'evacuations', _no_effects)


def _count_evacuated_supply(patch):
    patch.setattr(_placement, 'is_open', lambda each: each.accepting)
    patch.setattr(runner_evacuation, 'takes_runs', lambda node: True)


def _wait_for_evacuated_pool(patch):
    patch.setattr(_pass, '_reject_if_evacuated', _no_effects)


def _refuse_after_unanswered_starts(patch):
    def refuse(node, run, result, now):
        return _ends.end_run(node, run, Status.REFUSED, result.value, now)

    no_room = _orders._model.StartResult.NO_ROOM
    patch.setitem(_orders._ON_RESULT, no_room, refuse)


def _allow_starts_after_losses(patch):
    patch.setattr(_crashes, 'STARTS_AFTER_LOSSES', 10**9)


def _ignore_causes(patch):
    patch.setattr(_crashes, '_CAUSE_REASONS', frozenset())


def _suspect_all_lost_runs(patch):
    patch.setattr(runner_crashes, '_find_suspects', lambda runs, lost_at: runs)


def _start_suspects_beside_others(patch):
    patch.setattr(_suspects, 'refusal_reason', lambda *args: None)
    patch.setattr(_suspects, 'record_start', _no_effects)


def _take_silence_for_crash(patch):
    record = runner_crashes.record_failed_call
    patch.setattr(
        runner_crashes,
        'record_failed_call',
        lambda node, now, refused=False: record(node, now, True),
    )


def _forget_lost_tasks(patch):
    patch.setattr(runner_crashes, '_remember', _no_effects)


def _use_unconfirmed_reports(patch):
    def use(node, reported, now):
        seen = _heartbeats.Heartbeats(reported.id)
        seen.add(reported, now)
        node.unconfirmed_reports[reported.born] = seen
        event = runner.RunsListed(now, 0, reported.born, (), (), 0)
        return _lists._check_incarnation(node, event, set(), now)

    patch.setattr(_identity, '_await_confirmation', use)


def _end_runs_on_return(patch):
    patch.setitem(
        runner_crashes._MAY_BEGIN, 'worker_restarted', lambda *args: False
    )


def _end_unresolved_runs_with_the_lease(patch):
    patch.setattr(runner_crashes, 'LATE_START_MAX_S', -1.0)


def _ignore_requirements(patch):
    patch.setattr(_requirements, '_REQUIREMENTS', {})


def _start_on_any_incarnation(patch):
    make_effect = _orders._start_effect
    patch.setattr(
        _orders,
        '_start_effect',
        lambda *args: attrs.evolve(make_effect(*args), born=None),
    )


def _ignore_refused_connections(patch):
    patch.setattr(_requests, 'mark_unreachable', _no_effects)


def _accept_beside_orphaned_runs(patch):
    accepts = _capacity.accepts

    def accept(node, now):
        orphaned, node.orphaned_runs = node.orphaned_runs, {}
        accepting = accepts(node, now)
        node.orphaned_runs = orphaned
        return accepting

    patch.setattr(_capacity, 'accepts', accept)
    # Beside orphaned runs the lease isn't renewed, so that starts come late.
    patch.setattr(_lease, 'is_withheld', lambda node, now: False)


def _report_orphaned_runs_once(patch):
    patch.setattr(_reports, 'ORPHANED_RUNS_CHECK_S', 1e9)


def _renew_leases_always(patch):
    patch.setattr(_lease, 'is_withheld', lambda node, now: False)


def _repeat_urgent_stops_late(patch):
    patch.setattr(_stops, 'URGENT_STOP_RETRY_S', _stops.STOP_RETRY_S)


def _keep_runs_that_never_began(patch):
    patch.setattr(_lease, 'is_over', lambda node, now: False)


def _count_silence_as_crash(patch):
    patch.setattr(_crashes, '_SILENT_REASONS', frozenset())


def _forget_silent_tasks(patch):
    patch.setattr(runner_crashes, '_note_crash', lambda node: None)


def _keep_waiting_orders(patch):
    patch.setattr(_waiting, 'drop', _no_effects)


def _keep_orders_of_lost_workers(patch):
    patch.setattr(_waiting, 'drop_all', _no_effects)


def _ignore_stops_of_waiting_orders(patch):
    patch.setitem(runner_node._MESSAGES, messages.RunStops, lambda *args: [])


def _check_orders_only_once(patch):
    patch.setattr(_orders, '_waiting_refusal_reason', lambda *args: None)


def _start_for_silent_entries(patch):
    patch.setattr(_waiting, 'is_link_alive', lambda link, now: True)


def _refuse_without_capacity(patch):
    patch.setattr(_waiting, 'may_wait', lambda *args: False)


def _start_small_tasks_first(patch):
    patch.setattr(_forecast.Profile, 'occupy', lambda *args: None)


def _start_in_order_of_arrival(patch):
    patch.setattr(
        _waiting,
        'sequence',
        lambda node: sorted(
            node.waiting.values(), key=lambda each: each.order.seq
        ),
    )


def _take_any_number_of_orders(patch):
    def may_wait(node, link, order):
        return bool(order.wait_ms)

    patch.setattr(_waiting, 'may_wait', may_wait)


def _use_old_forecasts(patch):
    patch.setattr(_lookahead, 'MAX_AGE_S', 1e9)


def _order_by_free_capacity_only(patch):
    patch.setattr(_lookahead, 'choose', lambda *args: None)


# By mechanism: the function that disables it, and a test that then fails.
MECHANISMS = {
    'callers are confirmed before their tasks are started': (
        _start_without_confirmation,
        EntryTests().test_frozen_before_callers_submit_and_leave,
    ),
    'cancels are passed on': (
        _keep_cancels,
        CancelTests().test_cancel_reaches_distant_entries,
    ),
    'new connections get the canceled jobs': (
        _forget_cancels,
        CancelTests().test_restarted_entry_gets_the_job_again,
    ),
    'entries send canceled jobs to new entries': (
        _forget_cancels_between_entries,
        CancelTests().test_new_entry_without_endpoint_processes,
    ),
    'endpoint processes hear of cancels': (
        _keep_cancels_from_endpoints,
        functools.partial(
            OtherPathTests().test_cancel_over_endpoint_processes, 3
        ),
    ),
    'endpoint processes pass cancels on': (
        _keep_cancels_at_endpoints,
        OtherPathTests().test_entry_without_the_job,
    ),
    'endpoint processes refuse canceled jobs': (
        _take_orders_of_canceled_jobs,
        OtherPathTests().test_order_before_its_entry_knows,
    ),
    'an acknowledgement waits for a confirmation': (
        _acknowledge_at_once,
        functools.partial(CutOffTests().test_isolated_entry, 3, 0.3),
    ),
    'a smaller part does not acknowledge': (
        _overlook_missing_entries,
        CutOffTests().test_half_of_the_workers,
    ),
    'an entry that is gone does not block acknowledgements': (
        _wait_for_all_entries,
        functools.partial(
            LostEntryTests().test_cancel_is_acknowledged, 3, 'kill', 0.0
        ),
    ),
    'a lost link does not block a check': (
        _wait_for_lost_links,
        functools.partial(CutOffTests().test_others_acknowledge, 0.0),
    ),
    'a higher number does not hide the reports of the worker': (
        _use_the_highest_number,
        functools.partial(
            DrainingWorkerTests().test_other_writer_says_ready,
            step=10**6,
            times=1,
        ),
    ),
    'a drain lasts until the next heartbeat': (
        _forget_drains,
        DrainingWorkerTests().test_number_after_that_of_the_drain,
    ),
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
    'a refusal after an unanswered start is checked': (
        _refuse_after_unanswered_starts,
        WorkerTests().test_refused_after_an_unanswered_start,
    ),
    'endpoint processes refuse orders in an evacuated domain': (
        _ignore_evacuation_at_endpoints,
        PropagationTests().test_entry_without_store_and_peers,
    ),
    'a start is not repeated in an evacuated domain': (
        _ignore_evacuation_at_endpoints,
        evacuation.TestEndpointProcess().test_start_is_not_repeated,
    ),
    'an endpoint process accepts no order before the first update': (
        _accept_before_first_update,
        PropagationTests().test_restarted_endpoint_process_without_updates,
    ),
    'endpoint processes read the store if no entry does': (
        _disable_store_reads,
        PropagationTests().test_no_entry_reaches_the_store,
    ),
    'entries apply the evacuations that others know': (
        _ignore_updates_of_peers,
        PropagationTests().test_entry_learns_from_peers,
    ),
    'evacuations are sent on new connections': (
        _omit_evacuations,
        PropagationTests().test_restarted_entry_without_store,
    ),
    'older updates are ignored': (
        _accept_older_updates,
        lambda: PropagationTests().test_older_updates_are_ignored('entry'),
    ),
    'older updates are ignored by endpoint processes': (
        _accept_older_updates,
        lambda: PropagationTests().test_older_updates_are_ignored('endpoint'),
    ),
    'evacuated capacity is not counted': (
        _count_evacuated_supply,
        evacuation.TestPlacement().test_supply_shrinks_at_once,
    ),
    'starts after lost workers are limited': (
        _allow_starts_after_losses,
        crashes.TestBound().test_slow_to_crash,
    ),
    'the cause of a crash is given up': (
        _ignore_causes,
        crashes.TestBound().test_cause_is_given_up_after_two_crashes,
    ),
    'only recent starts are suspect': (
        _suspect_all_lost_runs,
        crashes.TestInnocentTasks().test_workers_that_crash_by_themselves,
    ),
    'suspect tasks are started alone': (
        _start_suspects_beside_others,
        crashes.TestInnocentTasks().test_started_together_with_a_deadly_task,
    ),
    'a silent worker names no suspects': (
        _take_silence_for_crash,
        crashes.TestInnocentTasks().test_worker_that_falls_silent,
    ),
    'endpoint processes remember lost tasks': (
        _forget_lost_tasks,
        crashes.TestBound().test_entry_is_killed,
    ),
    'a report is confirmed by a list': (
        _use_unconfirmed_reports,
        HeartbeatTests().test_runs_are_not_ended_by_a_report,
    ),
    'a run ends once a returned worker refuses its starts': (
        _end_runs_on_return,
        lambda: ReturnTests().test_run_is_not_started_elsewhere(0.25),
    ),
    'a run with an unresolved start outlives the lease of a silent worker': (
        _end_unresolved_runs_with_the_lease,
        ReturnTests().test_return_after_the_lease,
    ),
    'orders for the former kind of a worker are refused': (
        _ignore_requirements,
        lambda: OtherKindTests().test_order_for_the_former_kind('labels'),
    ),
    'orders for the former pool of a worker are refused': (
        _ignore_requirements,
        lambda: OtherKindTests().test_order_for_the_former_kind('pool'),
    ),
    'endpoint processes count the tasks of a step': (
        _ignore_requirements,
        unsuitable.TestStepLimit().test_job_at_two_entries,
    ),
    'a start is meant for one incarnation of the worker': (
        _start_on_any_incarnation,
        unsuitable.TestReturnWithoutRuns().test_order_before_the_first_report,
    ),
    'a worker that refuses connections gets no start': (
        _ignore_refused_connections,
        lambda: OtherKindTests().test_return_that_is_not_reported_yet(0),
    ),
    'runs of an earlier process rule out starts': (
        _accept_beside_orphaned_runs,
        ReplacedTests().test_former_runs_count_until_they_have_ended,
    ),
    'entries learn of the end of orphaned runs': (
        _report_orphaned_runs_once,
        ReplacedTests().test_orders_are_accepted_once_they_have_ended,
    ),
    'the lease ends runs that are not stopped': (
        _renew_leases_always,
        stops.TestOverlap().test_entry_is_killed,
    ),
    'stops that the lease waits for are repeated sooner': (
        _repeat_urgent_stops_late,
        stops.TestCost().test_other_runs_survive,
    ),
    'a run that never began ends with the lease': (
        _keep_runs_that_never_began,
        stops.TestCost().test_run_that_never_began,
    ),
    'a silent worker has not crashed': (
        _count_silence_as_crash,
        crashes.TestInnocentTasks().test_worker_that_often_falls_silent,
    ),
    'a silent worker that has restarted has crashed': (
        _forget_silent_tasks,
        crashes.TestBound().test_crashed_worker_is_silent,
    ),
    'the store has time to send a version': (
        _ask_at_once,
        transfer.TestCopies().test_store_sends_it,
    ),
    'no entry is asked while the store answers': (
        _ignore_answers_of_the_store,
        transfer.TestCopies().test_answer_of_the_store_arrives,
    ),
    'an endless answer does not keep from asking': (
        _wait_for_any_answer,
        transfer.TestCopies().test_answer_of_the_store_never_ends,
    ),
    'parts that have arrived are kept': (
        _start_transfers_again,
        transfer.TestLostParts().test_entry_that_was_asked_is_killed,
    ),
    'lost parts are asked for again': (
        _wait_for_lost_parts,
        transfer.TestLostParts().test_part_is_lost,
    ),
    'orders without enough capacity wait': (
        _refuse_without_capacity,
        WaitQueueTests().test_start_follows_the_end_of_a_run,
    ),
    'waiting orders start in the sequence of their ends': (
        _start_in_order_of_arrival,
        WaitQueueTests().test_sequence,
    ),
    'a waiting order reserves capacity': (
        _start_small_tasks_first,
        lambda: WaitQueueTests().test_backfilling(0.35, False),
    ),
    'a wait ends': (
        _check_orders_only_once,
        WaitQueueTests().test_wait_ends,
    ),
    'the number of waiting orders is limited': (
        _take_any_number_of_orders,
        WaitQueueTests().test_number_is_limited,
    ),
    'waiting orders end with their connection': (
        _keep_waiting_orders,
        WaitFaultTests().test_connection_is_closed,
    ),
    'waiting orders end with a replaced connection': (
        _keep_waiting_orders,
        WaitFaultTests().test_connection_is_replaced,
    ),
    'waiting orders end with a silent connection': (
        _keep_waiting_orders,
        WaitFaultTests().test_entry_is_silent,
    ),
    'nothing starts for an entry that is silent': (
        _start_for_silent_entries,
        WaitFaultTests().test_entry_is_silent_until_a_run_ends,
    ),
    'a successor ends the waiting orders of its predecessor': (
        _keep_waiting_orders,
        WaitFaultTests().test_entry_is_replaced,
    ),
    'a stop ends a waiting order': (
        _ignore_stops_of_waiting_orders,
        WaitFaultTests().test_stop,
    ),
    'a draining endpoint process refuses waiting orders': (
        _check_orders_only_once,
        lambda: WaitFaultTests().test_worker_accepts_no_runs('drain'),
    ),
    'waiting orders are refused in an evacuated domain': (
        _check_orders_only_once,
        lambda: WaitFaultTests().test_worker_accepts_no_runs('evacuation'),
    ),
    'waiting orders for a leaving worker are refused': (
        _check_orders_only_once,
        lambda: WaitFaultTests().test_worker_accepts_no_runs('leaving'),
    ),
    'waiting orders for an unhealthy worker are refused': (
        _check_orders_only_once,
        lambda: WaitFaultTests().test_worker_accepts_no_runs('unhealthy'),
    ),
    'waiting orders end with the worker': (
        _keep_orders_of_lost_workers,
        lambda: WaitFaultTests().test_worker_accepts_no_runs('restart'),
    ),
    'waiting orders for a suspect worker are refused': (
        _check_orders_only_once,
        WaitFaultTests().test_worker_is_suspect,
    ),
    'waiting orders end with a pause of the process': (
        _keep_waiting_orders,
        WaitFaultTests().test_endpoint_process_is_paused,
    ),
    'tasks are ordered before their capacity is free': (
        _order_by_free_capacity_only,
        WaitEntryTests().test_order_is_sent_before_the_capacity_is_free,
    ),
    'waiting orders of a caller that has left are stopped': (
        _ignore_stops_of_waiting_orders,
        WaitEntryTests().test_caller_leaves,
    ),
    'waiting orders of a canceled job are stopped': (
        _ignore_stops_of_waiting_orders,
        WaitEntryTests().test_cancel,
    ),
    'old forecasts are not used': (
        _use_old_forecasts,
        WaitEntryTests().test_old_forecast,
    ),
    'waiting orders end with their entry': (
        _keep_waiting_orders,
        WaitEntryTests().test_entry_is_killed,
    ),
    'jobs that wait for an evacuated pool are rejected': (
        _wait_for_evacuated_pool,
        evacuation.TestAllDomains().test_waiting_jobs_are_rejected_at_once,
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
