"""Stand-ins for the platform's store and a worker, with their faults."""

import asyncio
import base64
import time
import urllib.parse

import attrs

from standins import _server

Reply = _server.Reply


@attrs.define(eq=False)
class Store:
    """The metadata store.

    Attributes
    ----------
    fault : str
        '' or one of: 'busy' (503), 'many' (429), 'reset', 'silent',
        'lost' (writes are done and not answered).
    raw : bytes or None
        Body of all answers in place of the usual ones.
    page : int
        Items of an answer at most.
    """

    fault: str = ''
    raw: bytes | None = None
    page: int = 500
    revision: int = 10
    items: dict = attrs.field(factory=dict)
    changes: list = attrs.field(factory=list)
    forgotten: int = 0
    leases: dict = attrs.field(factory=dict)
    granted: int = 0
    calls: list = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, key, value, lease=0):
        """Write a key, as the operator does."""
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
        self._wake()

    def end_lease(self, lease):
        """Remove a lease and its keys."""
        self.leases.pop(lease, None)
        for key in [
            k for k, v in self.items.items() if v['lease_id'] == lease
        ]:
            del self.items[key]
            self.revision += 1
            self.changes.append(
                {'key': key, 'rev': self.revision, 'removed': True}
            )
        self._wake()

    def forget(self):
        """Discard the history."""
        self.forgotten = self.revision
        self.changes.clear()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, req):
        """Answer a request."""
        self.calls.append(req.path)
        if self.fault == 'busy':
            return Reply({}, 503)
        if self.fault == 'many':
            return Reply({}, 429)
        if self.fault == 'reset':
            return None
        if self.fault == 'silent':
            await asyncio.sleep(30)
            return None
        if self.raw is not None:
            return Reply(self.raw)
        query = dict(urllib.parse.parse_qsl(req.query))
        reply = await _STORE[req.path.split('/')[1]](self, req, query)
        return None if self.fault == 'lost' else reply

    async def _key(self, req, query):
        item = self.items.get(query['key'])
        if item is None:
            return Reply({'at_rev': self.revision}, 404)
        return Reply({**item, 'at_rev': self.revision})

    async def _range(self, req, query):
        prefix = query['path_prefix']
        after = query.get('after', '')
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        found = [self.items[key] for key in keys[: self.page]]
        return Reply(
            {
                'items': found,
                'has_more': len(keys) > self.page,
                'at_rev': self.revision,
            }
        )

    async def _watch(self, req, query):
        after, prefix = int(query['after']), query['path_prefix']
        if after < self.forgotten:
            return Reply({}, 410)
        end = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            found = [
                change
                for change in self.changes
                if change['rev'] > after and change['key'].startswith(prefix)
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return Reply({'events': found, 'at_rev': self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    async def _txn(self, req, query):
        body = req.json()
        for write in body['writes']:
            lease = write.get('lease_id', 0)
            if lease and lease not in self.leases:
                return Reply({}, 404)
            self.put(write['key'], base64.b64decode(write['value']), lease)
        return Reply({'rev': self.revision})

    async def _lease(self, req, query):
        self.granted += 1
        lease = 100 + self.granted
        self.leases[lease] = req.json()['ttl_ms']
        return Reply({'lease_id': lease, 'ttl_ms': req.json()['ttl_ms']})

    async def _end(self, req, query):
        self.end_lease(int(req.path.rpartition('/')[2]))
        return Reply({})

    async def _keep(self, req, query):
        lease = int(req.path.rpartition('/')[2])
        if lease not in self.leases:
            return Reply({}, 404)
        return Reply({'ttl_ms': self.leases[lease]})


_STORE = {
    'kv-key': Store._key,
    'kv-range': Store._range,
    'kv-watch': Store._watch,
    'kv-txn': Store._txn,
    'kv-lease': Store._lease,
    'kv-keep': Store._keep,
    'kv-lease-end': Store._end,
}


@attrs.define(eq=False)
class Worker:
    """A worker whose tasks take the milliseconds that their spec names.

    Attributes
    ----------
    started : dict of str to int
        Starts by task.
    reply : tuple of (int, dict) or None
        Answer to all starts instead of the usual one.
    """

    born: int = 1_700_000_000_000
    started: dict = attrs.field(factory=dict)
    running: dict = attrs.field(factory=dict)
    ended: list = attrs.field(factory=list)
    count: int = 0
    reply: tuple | None = None
    requests: list = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def clock(self):
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
            'clock_ms': self.clock(),
            'born': self.born,
            'sequence': sequence,
        }

    async def handle(self, req):
        """Answer a call of the endpoint process."""
        self.requests.append(req)
        return await _WORKER[req.path](self, req.json())

    async def _start(self, body):
        if self.reply is not None:
            code, value = self.reply
            return Reply(value, code)
        task = body['task']
        if body['deadline_ms'] < self.clock():
            return Reply({'reason': 'late', 'clock_ms': self.clock()}, 409)
        self.started[task] = self.started.get(task, 0) + 1
        self.running[task] = body['run_id']
        loop = asyncio.get_running_loop()
        loop.call_later(
            int(body['spec']) / 1000, self._end, task, body['run_id'], 'done'
        )
        return Reply({'clock_ms': self.clock()})

    def _end(self, task, run, how):
        if self.running.get(task) != run:
            return
        del self.running[task]
        self.count += 1
        self.ended.append([self.count, task, run, how, ''])
        self.changed.set()
        self.changed = asyncio.Event()

    async def _stop(self, body):
        self._end(body['task'], body['run_id'], 'stopped')
        return Reply({'clock_ms': self.clock()})

    async def _hold(self, body):
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
                'clock_ms': self.clock(),
                'born': self.born,
                'running': [
                    [t, r, '', 50, 0] for t, r in self.running.items()
                ],
                'ended': self.ended,
            }
        )


_WORKER = {
    '/run-start': Worker._start,
    '/run-stop': Worker._stop,
    '/hold': Worker._hold,
}
