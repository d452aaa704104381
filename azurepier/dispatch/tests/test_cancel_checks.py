"""Acknowledgement of cancels by entries that don't have the job."""

import pytest

from azurepier import dispatch
from azurepier.dispatch import _cancel_checks
from azurepier.kernel import events
from azurepier import testing

# The operators' limits: a cancel has to be acknowledged within `ACK_S` of
# undisturbed time, and no task starts `CANCEL_S` after that.
ACK_S = 4.0
CANCEL_S = 3.0
PROMPT_S = 0.05
CONFIRMED = dispatch.CancelConfirmed
UNCONFIRMED = dispatch.CancelUnconfirmed(_cancel_checks.RETRY_AFTER_S)


def cancel(fleet, name, job_id, knows_route=True):
    """Send a cancel to an entry; return the number of the request."""
    fleet.last_req += 1
    req = 10_000 + fleet.last_req
    event = dispatch.CancelJob(job_id, req, knows_route)
    fleet.driver.feed(fleet.entries[name], event)
    return req


def wait(fleet, name, req, limit_s=ACK_S):
    """Return the time until the answer to a cancel (s), and the answer."""
    sent_at = fleet.driver.now
    while (name, req) not in fleet.driver.answers:
        fleet.run_for(0.005)
        assert fleet.driver.now - sent_at < limit_s
    at, answer = fleet.driver.answers[name, req]
    return at - sent_at, answer


def isolate(fleet, name, from_endpoints=True):
    """Cut an entry off from all other entries, and endpoint processes."""
    process = fleet.entries[name]
    others = [each for each in fleet.entries.values() if each is not process]
    if from_endpoints:
        others += fleet.endpoints.values()
    for other in others:
        fleet.driver.partition(process, other)
    return others


def count_starts(fleet, call):
    """Return how often tasks of a job were started."""
    names = testing.task_names(call.job)
    return sum(fleet.ledger.started.get(name, 0) for name in names)


def submit_many(fleet, entry):
    """Submit a job that goes on starting tasks for many seconds."""
    call = fleet.submit(1.0, count=100, entry=entry)
    fleet.run_for(0.5)
    return call


class TestUndisturbed:
    @pytest.mark.parametrize('entries', [1, 3, 12, 30])
    def test_acknowledgement_is_prompt(self, entries):
        """Guards against callers that wait for entries that don't exist."""
        fleet = testing.make_pool(entries=entries, speeds=(1.0,) * 6)
        fleet.run_for(12.0)
        for name in list(fleet.entries)[:: max(entries // 4, 1)]:
            waited_s, answer = wait(fleet, name, cancel(fleet, name, 'job'))
            assert answer == CONFIRMED(had_job=False)
            assert waited_s < PROMPT_S

    def test_entry_of_the_job_answers_by_itself(self):
        """Guards against a cancel that waits although its job has stopped."""
        fleet = testing.make_pool()
        call = submit_many(fleet, 'e0')
        isolate(fleet, 'e0', from_endpoints=False)
        waited_s, answer = wait(
            fleet, 'e0', cancel(fleet, 'e0', call.job.id), 0.1
        )
        assert answer == CONFIRMED(had_job=True)
        assert waited_s == 0.0

    def test_unknown_route(self):
        """Guards against 404 for a job whose route this entry never had."""
        fleet = testing.make_pool(entries=12)
        call = submit_many(fleet, 'e0')
        req = cancel(fleet, 'e7', call.job.id, knows_route=False)
        assert wait(fleet, 'e7', req)[1] == CONFIRMED(had_job=True)
        req = cancel(fleet, 'e7', 'never', knows_route=False)
        assert wait(fleet, 'e7', req)[1] == CONFIRMED(had_job=False)

    def test_number_of_messages(self):
        """Guards against a check for each of many cancels at once."""
        fleet = testing.make_pool(entries=12)
        fleet.run_for(12.0)
        sent = fleet.driver.sent['Beat']
        for number in range(200):
            cancel(fleet, 'e0', f'job-{number}')
        fleet.run_for(0.02)
        links = sum(len(each.node.peers) for each in fleet.entries.values())
        # The cancels at e0 are separate messages to its peers and theirs.
        checks = fleet.driver.sent['Beat'] - sent - 200 * links
        assert checks <= 3 * links


class TestCutOff:
    @pytest.mark.parametrize('entries', [2, 3, 12, 30])
    @pytest.mark.parametrize('delay_s', [0.0, 0.3, 2.0, 8.0, 35.0])
    def test_isolated_entry(self, entries, delay_s):
        """Guards against an acknowledged cancel that has no effect."""
        fleet = testing.make_pool(entries=entries)
        call = submit_many(fleet, 'e1')
        isolate(fleet, 'e0')
        fleet.run_for(delay_s)
        req = cancel(fleet, 'e0', call.job.id)
        assert wait(fleet, 'e0', req)[1] == UNCONFIRMED

    @pytest.mark.parametrize('delay_s', [0.0, 0.3, 2.0])
    def test_others_acknowledge(self, delay_s):
        """Guards against an entry that is away and blocks all cancels."""
        fleet = testing.make_pool(entries=12)
        call = submit_many(fleet, 'e1')
        isolate(fleet, 'e0')
        fleet.run_for(delay_s)
        req = cancel(fleet, 'e2', call.job.id)
        assert wait(fleet, 'e2', req)[1] == CONFIRMED(had_job=False)
        assert not fleet.entries['e1'].node.jobs
        waited_s, _ = wait(fleet, 'e2', cancel(fleet, 'e2', 'next'))
        assert waited_s < PROMPT_S

    def test_half_of_the_entries(self):
        """Guards against two parts that both count as the deployment."""
        fleet = testing.make_pool(entries=3)
        call = submit_many(fleet, 'e0')
        first, second = fleet.entries['e1'], fleet.entries['e2']
        for each in (first, second):
            for other in [fleet.entries['e0'], *fleet.endpoints.values()]:
                fleet.driver.partition(each, other)
        fleet.driver.partition(first, second)
        req = cancel(fleet, 'e1', call.job.id)
        assert wait(fleet, 'e1', req)[1] == UNCONFIRMED

    def test_half_of_the_workers(self):
        """Guards against an entry that overlooks the workers of another."""
        fleet = testing.make_pool(entries=2)
        call = submit_many(fleet, 'e1')
        fleet.driver.partition(*fleet.entries.values())
        fleet.driver.partition(fleet.entries['e0'], fleet.endpoints['w0'])
        fleet.driver.partition(fleet.entries['e1'], fleet.endpoints['w1'])
        fleet.driver.partition(fleet.entries['e1'], fleet.endpoints['w2'])
        req = cancel(fleet, 'e0', call.job.id)
        assert wait(fleet, 'e0', req)[1] == UNCONFIRMED

    def test_caller_leaves(self):
        """Guards against waits that are kept for callers that have left."""
        fleet = testing.make_pool()
        isolate(fleet, 'e0')
        req = cancel(fleet, 'e0', 'job')
        node = fleet.entries['e0'].node
        assert dispatch.knows(node, req)
        event = events.Abandon(req)
        fleet.driver.feed(fleet.entries['e0'], event)
        assert not dispatch.knows(node, req)


class TestOtherPaths:
    @pytest.mark.parametrize('entries', [2, 3, 12])
    def test_cancel_over_endpoint_processes(self, entries):
        """Guards against a cancel that only links of entries pass on."""
        fleet = testing.make_pool(entries=entries, speeds=(1.0,) * 12)
        call = submit_many(fleet, 'e0')
        isolate(fleet, 'e0', from_endpoints=False)
        cancel(fleet, 'e1', call.job.id)
        fleet.run_for(0.5)
        assert not fleet.entries['e0'].node.jobs
        assert call.body == dispatch.Canceled()

    def test_entry_without_the_job(self):
        """Guards against a resubmission to an entry that knows nothing."""
        fleet = testing.make_pool(entries=2)
        fleet.driver.partition(*fleet.entries.values())
        cancel(fleet, 'e1', 'job')
        fleet.run_for(0.3)
        assert 'job' in fleet.entries['e0'].node.canceled_jobs

    def test_order_before_its_entry_knows(self):
        """Guards against starts between a cancel and its arrival."""
        fleet = testing.make_pool(entries=2)
        fleet.driver.partition(*fleet.entries.values())
        job_id = f'{len(fleet.calls):016x}'
        cancel(fleet, 'e1', job_id)
        fleet.run_for(0.06)
        call = fleet.submit(1.0, count=2, entry='e0')
        assert call.job.id == job_id
        fleet.run_for(0.03)
        assert call.body == dispatch.Canceled()
        assert count_starts(fleet, call) == 0

    def test_entry_ends_after_the_cancel(self):
        """Guards against a cancel that is lost with the entry that took it."""
        fleet = testing.make_pool(entries=2)
        fleet.driver.partition(fleet.entries['e0'], fleet.entries['e1'])
        call = submit_many(fleet, 'e0')
        cancel(fleet, 'e1', call.job.id)
        fleet.run_for(0.06)
        fleet.kill_entry('e1')
        fleet.run_for(0.5)
        assert call.body == dispatch.Canceled()

    def test_endpoint_process_refuses_canceled_jobs(self):
        """Guards against starts for an entry that nobody else reaches."""
        fleet = testing.make_pool(entries=2)
        call = submit_many(fleet, 'e0')
        endpoints = list(fleet.endpoints.values())
        for endpoint in endpoints[1:]:
            fleet.driver.partition(fleet.entries['e0'], endpoint)
        isolate(fleet, 'e0', from_endpoints=False)
        cancel(fleet, 'e1', call.job.id)
        fleet.run_for(CANCEL_S)
        starts = count_starts(fleet, call)
        fleet.run_for(3.0)
        assert count_starts(fleet, call) == starts
        assert not fleet.entries['e0'].node.jobs

    def test_restarted_endpoint_process_and_entry(self):
        """Guards against records that a new connection doesn't carry."""
        fleet = testing.make_pool(entries=2)
        cancel(fleet, 'e0', 'job')
        fleet.run_for(0.5)
        fleet.driver.kill(fleet.endpoints['w0'])
        fleet.start_endpoint('w0')
        fleet.run_for(1.0)
        assert 'job' in fleet.endpoints['w0'].node.canceled_jobs
        for name in ('e0', 'e1'):
            fleet.kill_entry(name)
        fleet.run_for(0.2)
        fleet.start_entry('e1')
        fleet.run_for(2.0)
        assert 'job' in fleet.entries['e1'].node.canceled_jobs

    def test_checks_keep_no_ids(self):
        """Guards against ids that each check keeps for seconds."""
        fleet = testing.make_pool(entries=3)
        reqs = [
            cancel(fleet, 'e0', f'unknown{number}', knows_route=False)
            for number in range(50)
        ]
        wait(fleet, 'e0', reqs[-1])
        for process in fleet.entries.values():
            checks = process.node.cancel_checks.checks
            assert checks
            assert not any(check.job_ids for check in checks.values())

    def test_records_are_forgotten(self):
        """Guards against memory that endpoint processes keep for good."""
        fleet = testing.make_pool()
        cancel(fleet, 'e0', 'first')
        fleet.run_for(62.0)
        cancel(fleet, 'e0', 'second')
        fleet.run_for(0.5)
        for endpoint in fleet.endpoints.values():
            assert list(endpoint.node.canceled_jobs) == ['second']


class TestLostEntries:
    @pytest.mark.parametrize('entries', [2, 3, 12])
    @pytest.mark.parametrize('fault', ['kill', 'freeze', 'drain', 'restart'])
    @pytest.mark.parametrize('delay_s', [0.0, 0.5, 3.0])
    def test_cancel_is_acknowledged(self, entries, fault, delay_s):
        """Guards against an entry that is away and blocks all cancels."""
        fleet = testing.make_pool(entries=entries)
        process = fleet.entries['e1']
        if fault == 'freeze':
            fleet.driver.freeze(process)
        elif fault == 'drain':
            fleet.driver.feed(process, events.Drain())
        else:
            fleet.kill_entry('e1')
        if fault == 'restart':
            fleet.driver.after(0.4, fleet.start_entry, 'e1')
        fleet.run_for(delay_s)
        _, answer = wait(fleet, 'e0', cancel(fleet, 'e0', 'job'))
        assert answer == CONFIRMED(had_job=False)

    @pytest.mark.parametrize('fault', ['kill', 'freeze'])
    def test_first_cancel_after_the_loss(self, fault):
        """Guards against a wait for an entry that is known to be away."""
        fleet = testing.make_pool(entries=3)
        if fault == 'kill':
            fleet.kill_entry('e1')
        else:
            fleet.driver.freeze(fleet.entries['e1'])
        fleet.run_for(6.0)
        waited_s, _ = wait(fleet, 'e0', cancel(fleet, 'e0', 'job'))
        assert waited_s < PROMPT_S

    def test_only_one_entry_is_left(self):
        """Guards against a minority with all workers that refuses cancels."""
        fleet = testing.make_pool(entries=3)
        fleet.kill_entry('e1')
        fleet.kill_entry('e2')
        _, answer = wait(fleet, 'e0', cancel(fleet, 'e0', 'job'))
        assert answer == CONFIRMED(had_job=False)

    def test_wait_for_a_lost_entry_is_not_repeated(self):
        """Guards against a wait with each cancel while an entry is away."""
        fleet = testing.make_pool(entries=3)
        fleet.run_for(12.0)
        fleet.kill_entry('e1')
        wait(fleet, 'e0', cancel(fleet, 'e0', 'job'))
        for number in range(3):
            fleet.run_for(1.0)
            job_id = f'job-{number}'
            waited_s, _ = wait(fleet, 'e0', cancel(fleet, 'e0', job_id))
            assert waited_s < PROMPT_S

    def test_frozen_entry_that_wakes(self):
        """Guards against starts by an entry that slept during the cancel."""
        fleet = testing.make_pool(entries=3)
        call = submit_many(fleet, 'e1')
        fleet.driver.freeze(fleet.entries['e1'])
        _, answer = wait(fleet, 'e0', cancel(fleet, 'e0', call.job.id))
        assert answer == CONFIRMED(had_job=False)
        starts = count_starts(fleet, call)
        fleet.driver.thaw(fleet.entries['e1'])
        fleet.run_for(3.0)
        assert count_starts(fleet, call) == starts

    def test_entry_that_is_gone_for_good(self):
        """Guards against addresses that are waited for without an end."""
        fleet = testing.make_pool(entries=12)
        fleet.kill_entry('e1')
        fleet.run_for(70.0)
        waited_s, _ = wait(fleet, 'e0', cancel(fleet, 'e0', 'job'))
        assert waited_s < PROMPT_S


def make_older(process):
    """Let a process say that it is of a build without checks."""
    make_hello = process.node.hello

    def hello(session):
        msg = make_hello(session)
        msg.relays_cancels = None
        return msg

    object.__setattr__(process, 'node', _Older(process.node, hello))


class _Older:
    """A node with another first message."""

    def __init__(self, node, hello):
        self.__dict__['_node'], self.__dict__['hello'] = node, hello

    def __getattr__(self, name):
        return getattr(self._node, name)

    def __setattr__(self, name, value):
        setattr(self._node, name, value)


class TestOlderBuilds:
    @pytest.mark.parametrize('older', [1, 5, 11])
    def test_cancel_is_acknowledged(self, older):
        """Guards against cancels that fail while a build is rolled out."""
        fleet = testing.make_pool(entries=12)
        names = list(fleet.entries)[1 : older + 1]
        for name in names:
            fleet.kill_entry(name)
        fleet.run_for(0.2)
        for name in names:
            make_older(fleet.start_entry(name))
        fleet.run_for(5.0)
        waited_s, answer = wait(fleet, 'e0', cancel(fleet, 'e0', 'job'))
        assert answer == CONFIRMED(had_job=False)
        assert waited_s <= _cancel_checks.CONFIRM_WAIT_S + 0.3
