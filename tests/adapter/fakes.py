"""Fakes of the platform's store and of a worker, with faults."""

import asyncio
import base64
import os
import time
import urllib.parse

import attrs

from standins import _server

Reply = _server.Reply


def loopback_network():
    """Return the first three numbers of loopback addresses.

    They depend on the process id, so that the fleets of two test runs on one
    machine don't meet: the ports of the programs are fixed.
    """
    pid = os.getpid()
    return f'127.{80 + pid % 120}.{pid // 120 % 250}'


@attrs.define(eq=False)
class FakeStore:
    """Fake of the platform's metadata store.

    Attributes
    ----------
    fault : str
        '' or one of: 'unavailable' (503), 'rate_limited' (429), 'reset',
        'silent', 'answer_lost' (writes take effect but are not answered).
    raw_answer : bytes or None
        Replaces the body of all answers.
    page_size : int
        Maximum number of items in an answer.
    calls : list of str
        Paths of all requests.
    discarded_revision : int
        Watches after an earlier revision are answered with status 410.
    hidden_after : int or None
        Later changes are left out of the answers to watches.
    """

    fault: str = ''
    raw_answer: bytes | None = None
    page_size: int = 500
    revision: int = 10
    items: dict = attrs.field(factory=dict)
    changes: list = attrs.field(factory=list)
    discarded_revision: int = 0
    hidden_after: int | None = None
    leases: dict = attrs.field(factory=dict)
    lease_count: int = 0
    calls: list = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, key, value, lease=0):
        """Write a key, as the operator or a client would."""
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self.revision,
            'created_rev': self.revision,
            'lease_id': lease,
        }
        self.items[key] = item
        self.changes.append(item)
        self._notify_watchers()

    def remove(self, *keys):
        """Remove keys, as the operator or a client would."""
        for key in keys:
            del self.items[key]
            self.revision += 1
            self.changes.append(
                {'key': key, 'rev': self.revision, 'removed': True}
            )
        self._notify_watchers()

    def end_lease(self, lease):
        """Remove a lease and its keys."""
        self.leases.pop(lease, None)
        self.remove(
            *[k for k, v in self.items.items() if v['lease_id'] == lease]
        )

    def discard_history(self):
        """Discard the history of changes."""
        self.discarded_revision = self.revision
        self.changes.clear()

    def _notify_watchers(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, req):
        """Answer a request."""
        self.calls.append(req.path)
        if self.fault == 'unavailable':
            return Reply({}, 503)
        if self.fault == 'rate_limited':
            return Reply({}, 429)
        if self.fault == 'reset':
            return None
        if self.fault == 'silent':
            await asyncio.sleep(30)
            return None
        if self.raw_answer is not None:
            return Reply(self.raw_answer)
        query = dict(urllib.parse.parse_qsl(req.query))
        reply = await _STORE_HANDLERS[req.path.split('/')[1]](self, req, query)
        return None if self.fault == 'answer_lost' else reply

    async def _read_key(self, req, query):
        item = self.items.get(query['key'])
        if item is None:
            return Reply({'at_rev': self.revision}, 404)
        return Reply({**item, 'at_rev': self.revision})

    async def _scan(self, req, query):
        prefix = query['path_prefix']
        after = query.get('after', '')
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        matching = [self.items[key] for key in keys[: self.page_size]]
        return Reply(
            {
                'items': matching,
                'has_more': len(keys) > self.page_size,
                'at_rev': self.revision,
            }
        )

    async def _watch(self, req, query):
        after, prefix = int(query['after']), query['path_prefix']
        if after < self.discarded_revision:
            return Reply({}, 410)
        loop = asyncio.get_running_loop()
        expires_at = loop.time() + int(query['wait_ms']) / 1000
        expired = False
        while True:
            matching = [
                change
                for change in self.changes
                if change['rev'] > after and change['key'].startswith(prefix)
            ]
            if self.hidden_after is not None:
                matching = [
                    change
                    for change in matching
                    if change['rev'] <= self.hidden_after
                ]
            if matching or expired:
                return Reply({'events': matching, 'at_rev': self.revision})
            try:
                async with asyncio.timeout_at(expires_at):
                    await self.changed.wait()
            except TimeoutError:
                expired = True

    async def _commit(self, req, query):
        body = req.json()
        for write in body['writes']:
            lease = write.get('lease_id', 0)
            if lease and lease not in self.leases:
                return Reply({}, 404)
            self.put(write['key'], base64.b64decode(write['value']), lease)
        return Reply({'rev': self.revision})

    async def _grant_lease(self, req, query):
        self.lease_count += 1
        lease = 100 + self.lease_count
        self.leases[lease] = req.json()['ttl_ms']
        return Reply({'lease_id': lease, 'ttl_ms': req.json()['ttl_ms']})

    async def _revoke_lease(self, req, query):
        self.end_lease(int(req.path.rpartition('/')[2]))
        return Reply({})

    async def _renew_lease(self, req, query):
        lease = int(req.path.rpartition('/')[2])
        if lease not in self.leases:
            return Reply({}, 404)
        return Reply({'ttl_ms': self.leases[lease]})


_STORE_HANDLERS = {
    'kv-key': FakeStore._read_key,
    'kv-range': FakeStore._scan,
    'kv-watch': FakeStore._watch,
    'kv-txn': FakeStore._commit,
    'kv-lease': FakeStore._grant_lease,
    'kv-keep': FakeStore._renew_lease,
    'kv-lease-end': FakeStore._revoke_lease,
}


@attrs.define(eq=False)
class FakeWorker:
    """Fake worker; a task runs for the milliseconds given in its spec.

    Attributes
    ----------
    started : dict of str to int
        Number of starts by task.
    running : dict of str to int
        Number of the current run by task.
    ended : list of list
        Ended runs that the endpoint process has not acknowledged.
    start_reply : tuple of (int, dict) or None
        Status and body that replace the answer to all starts.
    hold_reply : tuple of (int, dict) or None
        Status and body that replace all lists.
    silent : bool
        Whether no request is answered.
    """

    born: int = 1_700_000_000_000
    started: dict = attrs.field(factory=dict)
    running: dict = attrs.field(factory=dict)
    ended: list = attrs.field(factory=list)
    end_count: int = 0
    start_reply: tuple | None = None
    hold_reply: tuple | None = None
    silent: bool = False
    requests: list = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def clock_ms(self):
        """Return the worker's clock (ms)."""
        return int(time.monotonic() * 1000) + 77_000

    def report(self, sequence):
        """Return the body of a heartbeat."""
        return {
            'service': 'pool',
            'address': '127.0.0.1:1',
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'capacity': {'cpu': 8000, 'mem_mb': 4096, 'gpu': 0},
            'labels': ['a'],
            'clock_ms': self.clock_ms(),
            'born': self.born,
            'sequence': sequence,
        }

    async def handle(self, req):
        """Answer a request of the endpoint process."""
        self.requests.append(req)
        if self.silent:
            await asyncio.sleep(1.0)
            return None
        return await _WORKER_HANDLERS[req.path](self, req.json())

    async def _start(self, body):
        if self.start_reply is not None:
            status, value = self.start_reply
            return Reply(value, status)
        task = body['task']
        if body['deadline_ms'] < self.clock_ms():
            return Reply({'reason': 'late', 'clock_ms': self.clock_ms()}, 409)
        self.started[task] = self.started.get(task, 0) + 1
        self.running[task] = body['run_id']
        loop = asyncio.get_running_loop()
        loop.call_later(
            int(body['spec']) / 1000,
            self._end_run,
            task,
            body['run_id'],
            'done',
        )
        return Reply({'clock_ms': self.clock_ms()})

    def _end_run(self, task, number, outcome):
        if self.running.get(task) != number:
            return
        del self.running[task]
        self.end_count += 1
        self.ended.append([self.end_count, task, number, outcome, ''])
        self.changed.set()
        self.changed = asyncio.Event()

    async def _stop(self, body):
        self._end_run(body['task'], body['run_id'], 'stopped')
        return Reply({'clock_ms': self.clock_ms()})

    async def _hold(self, body):
        if self.hold_reply is not None:
            status, value = self.hold_reply
            return Reply(value, status)
        acked = body.get('acked', 0)
        self.ended = [row for row in self.ended if row[0] > acked]
        if body.get('wait_ms') and not self.ended:
            try:
                await asyncio.wait_for(
                    self.changed.wait(), body['wait_ms'] / 1000
                )
            except TimeoutError:
                pass
        return Reply(
            {
                'clock_ms': self.clock_ms(),
                'born': self.born,
                'running': [
                    [task, number, '', 50, 0]
                    for task, number in self.running.items()
                ],
                'ended': self.ended,
            }
        )


_WORKER_HANDLERS = {
    '/run-start': FakeWorker._start,
    '/run-stop': FakeWorker._stop,
    '/hold': FakeWorker._hold,
}
