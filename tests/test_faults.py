"""Faults of real processes, counted by the starts at the workers.

The tests share a fleet because a new entry starts no tasks at first, until
earlier leases of quotas are sure to be over.
"""

import contextlib
import functools
import signal
import time

import pytest

from azurepier import client
from tests import _processes

# Longer than every lease and than the time after which an entry gives up.
_FREEZE_S = 8.0
# Longer than the HTTP server waits for open requests once the drain ended.
_LONG_MS = 6000
_RATE = 5000
_until = _processes.until
_call = _processes.call


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    """Give a fleet of two entries and two endpoints that is ready."""
    made = _processes.Fleet(tmp_path_factory.mktemp('fleet'))
    with contextlib.closing(made):
        made.platform = made.stand_in('platform', 'platform')
        made.apply(_RATE)
        for name in ('e1', 'e2'):
            made.entry(name)
        for name in ('w1', 'w2'):
            made.endpoint(name)
        yield made


@pytest.fixture
def ready(fleet):
    """Give the fleet with two entries that start tasks everywhere."""
    while len(fleet.live_entries()) < 2:
        fleet.entry(f'e{len(fleet.entries) + 1}')
    _until(lambda: _is_ready(fleet), 'the fleet is ready')
    yield fleet
    _until(lambda: _is_idle(fleet), 'all tasks end')
    assert set(fleet.starts().values()) <= {1}


def _is_ready(fleet):
    entries = fleet.live_entries()
    alive = {p.name for p in fleet.endpoints if p.child.poll() is None}
    for entry in entries:
        status = entry.status()
        views = status['endpoints']
        if {v['name'] for v in views if v['connected']} != alive:
            return False
        if sum(p['connected'] for p in status['entries']) < len(entries) - 1:
            return False
    with client.Client([entries[0].url], _processes.CUSTOMER) as caller:
        return caller.submit([client.Task('echo', 1)]).outputs == [1]


def _is_idle(fleet):
    return not any(
        _call('GET', f'{worker.url}/healthz').value['running']
        for worker in fleet.workers.values()
    ) and not any(e.status()['unfinished_jobs'] for e in fleet.live_entries())


def _new_ids(fleet, count):
    """Return new job ids, the entry that owns them and another entry."""
    url = fleet.live_entries()[0].url
    reply = _call('POST', f'{url}/v1/job-ids', {'count': count})
    ids = reply.value['ids']
    owned = {
        entry.status()['incarnation']: entry for entry in fleet.live_entries()
    }
    owner = owned.pop(ids[0].partition('-')[0])
    return ids, owner, next(iter(owned.values()))


def _job(ms, count):
    """Return a job of `count` tasks that each last `ms`."""
    task = {'kind': 'sleep', 'payload': {'ms': ms}, 'duration_ms': ms}
    return {
        'customer': _processes.CUSTOMER,
        'deadline_ms': 30_000,
        'tasks': [task] * count,
    }


def _put(fleet, entry, ids, value):
    """Submit jobs at the same time; return their futures by id."""
    url = f'{entry.url}/v1/jobs/'
    return {
        job_id: fleet.pool.submit(_call, 'PUT', url + job_id, value)
        for job_id in ids
    }


def _replies(futures):
    return {job_id: future.result() for job_id, future in futures.items()}


def _not_ok(replies):
    """Return the replies with another status than 200, for the message."""
    return {
        job_id: reply
        for job_id, reply in replies.items()
        if reply is None or reply.status != 200
    }


def _started(fleet, ids, name=None):
    """Return how many tasks of these jobs have started."""
    starts = fleet.starts(name)
    return sum(key.partition('/')[0] in ids for key in starts)


def _check_verdicts(fleet, replies, count):
    """Check answers against the starts, after all tasks have ended."""
    _until(lambda: _is_idle(fleet), 'all tasks end')
    for job_id, reply in replies.items():
        started = _started(fleet, {job_id})
        if reply.status == 200:
            assert reply.value['state'] == 'complete'
            numbers = [r['task'] for r in reply.value['results']]
            assert numbers == list(range(count))
            assert started == count
        else:
            assert reply.value['state'] == 'failed', reply
            verdict = reply.value['verdict']
            assert verdict in ('not_run', 'may_have_run'), reply
            assert verdict != 'not_run' or not started, reply


class TestSilentConnection:
    def test_open_connections_go_silent(self, ready):
        # Guards against jobs that hang or start again when connections
        # stay open but carry nothing.
        ids, owner, _ = _new_ids(ready, 30)
        accepted = owner.relay.accepted
        futures = _put(ready, owner, ids, _job(400, 2))
        _until(lambda: _started(ready, ids) >= 8, 'tasks start')
        owner.relay.silence()
        replies = _replies(futures)
        assert _not_ok(replies) == {}
        assert owner.relay.accepted > accepted
        _check_verdicts(ready, replies, 2)


class TestPlatformOutage:
    def test_endpoint_leaves_and_another_comes(self, ready):
        # Guards against processes that need the platform to come or go.
        ready.apply(_RATE + 1)
        for process in ready.live_entries() + ready.endpoints:
            _until(lambda: process.status()['config_version'] == 2, 'version')
        fault = f'{ready.platform.url}/fault'
        _call('POST', fault, {'down': True})
        try:
            self._replace(ready, ready.endpoints[1])
        finally:
            _call('POST', fault, {'down': False})

    def _replace(self, fleet, leaving):
        ids, owner, _ = _new_ids(fleet, 40)
        job = _job(1500, 1)
        futures = _put(fleet, owner, ids[:20], job)
        started = functools.partial(_started, fleet, ids, leaving.name)
        _until(started, 'the endpoint has work')
        leaving.child.send_signal(signal.SIGTERM)
        # Its counter, because a start may still be on its way to the worker.
        _until(lambda: leaving.status()['draining'], 'the endpoint drains')
        starts = leaving.status()['counters']['starts']
        coming = fleet.endpoint('w3')
        futures |= _put(fleet, owner, ids[20:], job)
        replies = _replies(futures)
        assert leaving.child.wait(_processes.LIMIT_S) == 0
        fleet.endpoints.remove(leaving)
        assert {reply.status for reply in replies.values()} == {200}
        assert sum(fleet.starts(leaving.name).values()) == starts
        _until(lambda: coming.status()['config_version'] == 2, 'version')
        assert _started(fleet, ids, coming.name)
        _check_verdicts(fleet, replies, 1)


class TestDrainCommand:
    def test_endpoint_drains_and_stops(self, ready):
        # Guards against a command that no process obeys.
        process = ready.endpoint('w4')
        _until(lambda: _is_ready(ready), 'the endpoint is known')
        entry = ready.live_entries()[0].url
        args = ('drain', 'endpoint', 'w4', '--entry', entry)
        _processes.command(*args, '--wait', f'{_processes.LIMIT_S:g}')
        assert process.child.wait(_processes.LIMIT_S) == 0
        ready.endpoints.remove(process)


class TestFrozenEndpoint:
    def test_frozen_longer_than_every_lease(self, ready):
        # Guards against a process that resumes and starts old tasks or
        # reports results that were already given up.
        frozen = ready.endpoints[0]
        ids, owner, _ = _new_ids(ready, 60)
        futures = _put(ready, owner, ids[:30], _job(500, 2))
        started = functools.partial(_started, ready, ids, frozen.name)
        _until(started, 'the endpoint has work')
        frozen.child.send_signal(signal.SIGSTOP)
        try:
            thaw_at = time.monotonic() + _FREEZE_S
            replies = _replies(futures)
            futures = _put(ready, owner, ids[30:], _job(100, 2))
            replies |= _replies(futures)
            time.sleep(max(thaw_at - time.monotonic(), 0.0))
        finally:
            frozen.child.send_signal(signal.SIGCONT)
        assert any(reply.status != 200 for reply in replies.values())
        late = [replies[job_id] for job_id in ids[30:]]
        late = [reply.value for reply in late if reply.status != 200]
        assert not late, late[:3]
        _until(lambda: _is_ready(ready), 'the endpoint is back')
        _check_verdicts(ready, replies, 2)


class TestEntryLeaves:
    def test_requests_in_flight_are_answered(self, ready):
        # Guards against a shutdown that interrupts requests, and against
        # a refusal that doesn't say where to go.
        ids, owner, other = _new_ids(ready, 10)
        futures = _put(ready, owner, ids, _job(_LONG_MS, 1))
        _until(lambda: _started(ready, ids) == len(ids), 'all tasks start')
        owner.child.send_signal(signal.SIGTERM)
        _until(lambda: owner.status()['draining'], 'the entry drains')
        url = f'{owner.url}/v1/jobs'
        refused = _call('POST', url, _job(10, 1))
        assert refused.status == 503
        assert refused.value['verdict'] == 'not_run'
        assert refused.headers['Location'] == other.url
        replies = _replies(futures)
        assert {reply.status for reply in replies.values()} == {200}
        assert owner.child.wait(_processes.LIMIT_S) == 0
        _check_verdicts(ready, replies, 1)


class TestEntryDies:
    def test_all_jobs_are_submitted_again(self, ready):
        # Guards against a task that starts again under the same job id.
        ids, owner, other = _new_ids(ready, 40)
        job = _job(300, 3)
        direct = _put(ready, owner, ids[:20], job)
        passed_on = _put(ready, other, ids[20:], job)
        _until(lambda: _started(ready, ids) >= 24, 'tasks start')
        owner.child.send_signal(signal.SIGKILL)
        owner.child.wait()
        broken = [r for r in _replies(direct).values() if r is None]
        assert broken
        replies = _replies(_put(ready, other, ids, job))
        first = _replies(passed_on)
        _check_verdicts(ready, replies, 3)
        _check_verdicts(ready, first, 3)
