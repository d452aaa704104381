"""Unexpected exceptions in handlers, and malformed messages."""

import pytest

from azurepier import dispatch
from azurepier.dispatch import _node
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier import runner
from azurepier.runner import _node as runner_node
from azurepier import testing

TABLES = {
    'entry': (_node._EVENTS, _node._ENDPOINT_MESSAGES, _node._TIMERS),
    'endpoint': (
        runner_node._EVENTS,
        runner_node._MESSAGES,
        runner_node._TIMERS,
    ),
}
# Handlers that run only while a process drains or when the store is read, or
# that the simulation does not use.
_NOT_EXERCISED = {
    events.Drain,
    events.MembersSeen,
    'drain_check',
    'drain_end',
    'no_entry',
}
HANDLERS = [
    (role, index, key)
    for role, tables in TABLES.items()
    for index, table in enumerate(tables)
    for key in table
    if key not in _NOT_EXERCISED
]


def handler_name(value):
    return getattr(value, '__name__', str(value))


def make_pool():
    """Return a fleet whose nodes recover from failed handlers."""
    fleet = testing.make_pool(entries=2, speeds=(1.0,) * 3)
    for process in fleet.entries.values():
        process.recover = dispatch.recover
    for process in fleet.endpoints.values():
        process.recover = runner.recover
    return fleet


def submit_jobs(fleet, count=24):
    """Submit jobs over a period of 2.4 s and abandon some of them."""
    calls = []
    for number in range(count):
        calls.append(fleet.submit(0.2, count=3, cpu=1500))
        fleet.run_for(0.1)
        if number % 8 == 5:
            fleet.disconnect_caller(calls[-1])
        if number == 10:
            fleet.workers['w0'].set_slowdown(float('inf'))
        if number == 16:
            fleet.workers['w0'].set_slowdown(1.0)
    return calls


@pytest.mark.parametrize('calls_before', [0, 7])
@pytest.mark.parametrize(
    ('role', 'index', 'key'),
    HANDLERS,
    ids=[f'{role}-{handler_name(key)}' for role, _, key in HANDLERS],
)
class TestFailedHandler:
    def test_process_continues(
        self, monkeypatch, role, index, key, calls_before
    ):
        """Guards against an error that affects more than one request.

        The handler raises after it has run, so that its effects are lost.
        """
        fleet = make_pool()
        table = TABLES[role][index]
        handler = table[key]
        seen = []

        def fail_once(*args):
            result = handler(*args)
            seen.append(1)
            if len(seen) == calls_before + 1:
                raise RuntimeError('unexpected')
            return result

        monkeypatch.setitem(table, key, fail_once)
        submit_jobs(fleet)
        fleet.run_for(20.0)
        assert fleet.ledger.overlaps == []
        assert fleet.wrong_answers == []
        unanswered = [
            call
            for call in fleet.calls
            if call.body is None and not self._answer_is_lost(fleet, call)
        ]
        assert unanswered == []
        # The shell answers requests whose answer was lost.
        assert sum(call.body is None for call in fleet.calls) <= 2
        rejected = testing.count_rejected(fleet)
        assert rejected <= 2
        # Later jobs are served as usual.
        calls = [fleet.submit(0.1, count=2) for _ in range(6)]
        fleet.run_for(2.0)
        done = [call.body == dispatch.Finished(True) for call in calls]
        assert all(done)

    def _answer_is_lost(self, fleet, call):
        process = fleet.entries[call.entry]
        return not dispatch.knows(process.node, call.req)


class TestFaultyJob:
    def test_job_that_always_raises_in_a_handler(self, monkeypatch):
        """A job that always raises must be rejected and not tried again."""
        fleet = make_pool()
        from azurepier.dispatch import _placement

        choose = _placement.choose

        def fail_for_one(endpoints, job, *args, **kwargs):
            if job.request.spec == 'job-0':
                raise RuntimeError('unexpected')
            return choose(endpoints, job, *args, **kwargs)

        monkeypatch.setattr(_placement, 'choose', fail_for_one)
        faulty_call = fleet.submit(0.1, entry='e0')
        fleet.run_for(0.5)
        assert faulty_call.body.reason == 'internal'
        assert fleet.entries['e0'].handler_failures == 1
        calls = [fleet.submit(0.1, entry='e0') for _ in range(5)]
        fleet.run_for(1.0)
        assert all(call.body == dispatch.Finished(True) for call in calls)


class TestMalformedOrders:
    @pytest.mark.parametrize('index', [-1, 1, 2**31 - 1])
    def test_spec_index_out_of_range(self, index):
        """Guards against a malformed order that affects other orders."""
        fleet = testing.make_pool()
        process = fleet.endpoints['w0']
        link = next(iter(process.node.by_conn.values()))
        order = messages.RunOrder(
            seq=1,
            task='t',
            attempt=1,
            spec=index,
            cpu=1,
            mem_mb=1,
            gpu=0,
            expected_ms=1,
        )
        msg = messages.RunOrders(orders=[order], specs=['s'])
        fleet.driver.feed(process, events.Received(link.conn, msg))
        fleet.run_for(1.0)
        assert fleet.workers['w0'].highest_numbers == {}
        assert len(process.node.by_conn) == 3


class TestUnknownStatus:
    """Guards against an upgrade that breaks what the old build still serves.

    A later build may end runs with a status that this one doesn't know.
    """

    def end_run(self, fleet, call, on_new_connection):
        """End the run of a job with an unknown status; return the entry."""
        process = fleet.entries[call.entry]
        endpoint, run = next(
            (endpoint, run)
            for endpoint in process.node.by_conn.values()
            for run in endpoint.runs.values()
        )
        sender = fleet.endpoints[endpoint.name]
        link = next(
            link
            for link in sender.node.links.values()
            if link.name == process.node.options.name
        )
        state = runner_node._capacity.pool_state(
            sender.node, link, fleet.driver.now
        )
        end = messages.RunEnd(seq=run.seq, status=99, run_ms=1, reason='new')
        msg = messages.RunEnds(ends=[end], state=state)
        if on_new_connection:
            msg = messages.RunsKnown(running=[], ends=[end], state=state)
        fleet.driver.feed(process, events.Received(endpoint.conn, msg))
        return process

    @pytest.mark.parametrize('on_new_connection', [False, True])
    def test_end_of_a_run(self, on_new_connection):
        """The task may have run, so it is started again, on one connection."""
        fleet = testing.make_pool(entries=1, speeds=(1.0,) * 3)
        fleet.run_for(1.0)
        call = fleet.submit(0.5, count=1, entry='e0')
        fleet.run_for(0.1)
        process = self.end_run(fleet, call, on_new_connection)
        job = process.node.jobs[call.job.id]
        assert job.may_have_run
        fleet.run_for(5.0)
        assert call.body == dispatch.Finished(True)
        assert len(process.node.by_conn) == 3
        assert process.handler_failures == 0
