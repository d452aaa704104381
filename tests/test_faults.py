"""Tests of faults of real processes, checked by the starts at the workers.

The tests share a fleet because a new entry starts no tasks until earlier
quota leases have certainly expired.
"""

import contextlib
import functools
import signal
import time

import pytest

from azurepier import client
from tests import _processes

# Longer than every lease and than the timeout after which an entry gives up a
# run.
_FREEZE_S = 8.0
# Longer than the HTTP server waits for open requests after the drain.
_LONG_TASK_MS = 6000
_STARTS_PER_S = 5000
_wait_until = _processes.wait_until
_send_request = _processes.send_request


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    """Start two entries and two workers with their endpoint processes."""
    new_fleet = _processes.Fleet(tmp_path_factory.mktemp('fleet'))
    with contextlib.closing(new_fleet):
        new_fleet.platform = new_fleet.start_stand_in('platform', 'platform')
        new_fleet.apply_plan(_STARTS_PER_S)
        for name in ('e1', 'e2'):
            new_fleet.start_entry(name)
        for name in ('w1', 'w2'):
            new_fleet.start_endpoint(name)
        yield new_fleet


@pytest.fixture
def ready(fleet):
    """Return the fleet with two entries that can start tasks everywhere.

    Afterwards, checks that no task has started more than once.
    """
    while len(fleet.running_entries()) < 2:
        fleet.start_entry(f'e{len(fleet.entries) + 1}')
    _wait_until(lambda: _is_ready(fleet), 'the fleet is ready')
    yield fleet
    _wait_until(lambda: _is_idle(fleet), 'all tasks end')
    assert set(fleet.count_starts().values()) <= {1}


def _is_ready(fleet):
    entries = fleet.running_entries()
    alive = {p.name for p in fleet.endpoints if p.child.poll() is None}
    for entry in entries:
        status = entry.status()
        endpoint_views = status['endpoints']
        if {v['name'] for v in endpoint_views if v['connected']} != alive:
            return False
        if sum(p['connected'] for p in status['entries']) < len(entries) - 1:
            return False
    with client.Client([entries[0].url], _processes.CUSTOMER) as job_client:
        return job_client.submit([client.Task('echo', 1)]).outputs == [1]


def _is_idle(fleet):
    return not any(
        _send_request('GET', f'{worker.url}/healthz').value['running']
        for worker in fleet.workers.values()
    ) and not any(
        e.status()['unfinished_jobs'] for e in fleet.running_entries()
    )


def _new_ids(fleet, count):
    """Return new job ids, the entry that owns them and another entry."""
    url = fleet.running_entries()[0].url
    reply = _send_request('POST', f'{url}/v1/job-ids', {'count': count})
    ids = reply.value['ids']
    entry_by_incarnation = {
        entry.status()['incarnation']: entry
        for entry in fleet.running_entries()
    }
    owner = entry_by_incarnation.pop(ids[0].partition('-')[0])
    return ids, owner, next(iter(entry_by_incarnation.values()))


def _make_job(ms, count):
    """Return a job of `count` tasks that each last `ms`."""
    task = {'kind': 'sleep', 'payload': {'ms': ms}, 'duration_ms': ms}
    return {
        'customer': _processes.CUSTOMER,
        'deadline_ms': 30_000,
        'tasks': [task] * count,
    }


def _submit_jobs(fleet, entry, ids, job):
    """Submit jobs at the same time; return their futures by id."""
    url = f'{entry.url}/v1/jobs/'
    return {
        job_id: fleet.request_pool.submit(
            _send_request, 'PUT', url + job_id, job
        )
        for job_id in ids
    }


def _wait_for_replies(futures):
    return {job_id: future.result() for job_id, future in futures.items()}


def _failed_replies(replies):
    """Return the replies whose status isn't 200, and the missing replies."""
    return {
        job_id: reply
        for job_id, reply in replies.items()
        if reply is None or reply.status != 200
    }


def _count_started(fleet, ids, name=None):
    """Return the number of tasks of these jobs that have started."""
    starts = fleet.count_starts(name)
    return sum(key.partition('/')[0] in ids for key in starts)


def _check_verdicts(fleet, replies, count):
    """Check replies against the starts after all tasks have ended."""
    _wait_until(lambda: _is_idle(fleet), 'all tasks end')
    for job_id, reply in replies.items():
        started_count = _count_started(fleet, {job_id})
        if reply.status == 200:
            assert reply.value['state'] == 'complete'
            tasks = [r['task'] for r in reply.value['results']]
            assert tasks == list(range(count))
            assert started_count == count
        else:
            assert reply.value['state'] == 'failed', reply
            verdict = reply.value['verdict']
            assert verdict in ('not_run', 'may_have_run'), reply
            assert verdict != 'not_run' or not started_count, reply


class TestSilentConnection:
    def test_open_connections_go_silent(self, ready):
        # Guards against jobs that hang or start twice when connections stay
        # open but no longer carry data.
        ids, owner, _ = _new_ids(ready, 30)
        accepted = owner.relay.accepted
        futures = _submit_jobs(ready, owner, ids, _make_job(400, 2))
        _wait_until(lambda: _count_started(ready, ids) >= 8, 'tasks start')
        owner.relay.silence()
        replies = _wait_for_replies(futures)
        assert _failed_replies(replies) == {}
        assert owner.relay.accepted > accepted
        _check_verdicts(ready, replies, 2)


class TestPlatformOutage:
    def test_endpoint_leaves_and_another_comes(self, ready):
        # Guards against processes that can't join or leave without the
        # platform.
        ready.apply_plan(_STARTS_PER_S + 1)
        for process in ready.running_entries() + ready.endpoints:
            _wait_until(
                lambda: process.status()['config_version'] == 2,
                'configuration 2 is in force',
            )
        fault = f'{ready.platform.url}/fault'
        _send_request('POST', fault, {'down': True})
        try:
            self._replace_endpoint(ready, ready.endpoints[1])
        finally:
            _send_request('POST', fault, {'down': False})

    def _replace_endpoint(self, fleet, leaving):
        ids, owner, _ = _new_ids(fleet, 40)
        job = _make_job(1500, 1)
        futures = _submit_jobs(fleet, owner, ids[:20], job)
        has_started_tasks = functools.partial(
            _count_started, fleet, ids, leaving.name
        )
        _wait_until(has_started_tasks, 'the endpoint starts tasks')
        leaving.child.send_signal(signal.SIGTERM)
        # The counter of the endpoint process is used because starts may still
        # be in transit to the worker.
        _wait_until(
            lambda: leaving.status()['draining'], 'the endpoint drains'
        )
        starts = leaving.status()['counters']['starts']
        joining = fleet.start_endpoint('w3')
        futures |= _submit_jobs(fleet, owner, ids[20:], job)
        replies = _wait_for_replies(futures)
        assert leaving.child.wait(_processes.TIMEOUT_S) == 0
        fleet.endpoints.remove(leaving)
        assert {reply.status for reply in replies.values()} == {200}
        assert sum(fleet.count_starts(leaving.name).values()) == starts
        _wait_until(
            lambda: joining.status()['config_version'] == 2,
            'configuration 2 is in force',
        )
        assert _count_started(fleet, ids, joining.name)
        _check_verdicts(fleet, replies, 1)


class TestDrainCommand:
    def test_endpoint_drains_and_stops(self, ready):
        # Guards against a drain command that has no effect.
        process = ready.start_endpoint('w4')
        _wait_until(lambda: _is_ready(ready), 'the endpoint is connected')
        entry_url = ready.running_entries()[0].url
        args = ('drain', 'endpoint', 'w4', '--entry', entry_url)
        _processes.run_command(*args, '--wait', f'{_processes.TIMEOUT_S:g}')
        assert process.child.wait(_processes.TIMEOUT_S) == 0
        ready.endpoints.remove(process)


class TestFrozenEndpoint:
    def test_frozen_longer_than_every_lease(self, ready):
        # Guards against a resumed process that starts stale tasks or reports
        # results of runs that were already given up.
        frozen = ready.endpoints[0]
        ids, owner, _ = _new_ids(ready, 60)
        views = owner.status()['endpoints']
        futures = _submit_jobs(ready, owner, ids[:30], _make_job(500, 2))
        has_started_tasks = functools.partial(
            _count_started, ready, ids, frozen.name
        )
        _wait_until(
            has_started_tasks, f'the endpoint starts tasks; before: {views}'
        )
        frozen.child.send_signal(signal.SIGSTOP)
        try:
            resume_at = time.monotonic() + _FREEZE_S
            replies = _wait_for_replies(futures)
            futures = _submit_jobs(ready, owner, ids[30:], _make_job(100, 2))
            replies |= _wait_for_replies(futures)
            time.sleep(max(resume_at - time.monotonic(), 0.0))
        finally:
            frozen.child.send_signal(signal.SIGCONT)
        assert any(reply.status != 200 for reply in replies.values())
        failures = [replies[job_id] for job_id in ids[30:]]
        failures = [reply.value for reply in failures if reply.status != 200]
        assert not failures, failures[:3]
        _wait_until(lambda: _is_ready(ready), 'the endpoint is used again')
        _check_verdicts(ready, replies, 2)


class TestEntryLeaves:
    def test_requests_in_flight_are_answered(self, ready):
        # Guards against a shutdown that interrupts requests, and against a
        # rejection that doesn't name another entry.
        ids, owner, other = _new_ids(ready, 10)
        futures = _submit_jobs(ready, owner, ids, _make_job(_LONG_TASK_MS, 1))
        _wait_until(
            lambda: _count_started(ready, ids) == len(ids), 'all tasks start'
        )
        owner.child.send_signal(signal.SIGTERM)
        _wait_until(lambda: owner.status()['draining'], 'the entry drains')
        url = f'{owner.url}/v1/jobs'
        rejected = _send_request('POST', url, _make_job(10, 1))
        assert rejected.status == 503
        assert rejected.value['verdict'] == 'not_run'
        assert rejected.headers['Location'] == other.url
        replies = _wait_for_replies(futures)
        assert {reply.status for reply in replies.values()} == {200}
        assert owner.child.wait(_processes.TIMEOUT_S) == 0
        _check_verdicts(ready, replies, 1)


class TestEntryDies:
    def test_all_jobs_are_submitted_again(self, ready):
        # Guards against a second start of a task when its job is submitted
        # again under the same id.
        ids, owner, other = _new_ids(ready, 40)
        job = _make_job(300, 3)
        direct = _submit_jobs(ready, owner, ids[:20], job)
        forwarded = _submit_jobs(ready, other, ids[20:], job)
        _wait_until(lambda: _count_started(ready, ids) >= 24, 'tasks start')
        owner.child.send_signal(signal.SIGKILL)
        owner.child.wait()
        disconnected = [
            r for r in _wait_for_replies(direct).values() if r is None
        ]
        assert disconnected
        replies = _wait_for_replies(_submit_jobs(ready, other, ids, job))
        forwarded_replies = _wait_for_replies(forwarded)
        _check_verdicts(ready, replies, 3)
        _check_verdicts(ready, forwarded_replies, 3)
