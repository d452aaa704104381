"""Fake worker that keeps leases, generations and run numbers."""

import asyncio
import json
import time

import attrs
import fakes

from mixed_fleet import _record

MAX_HOLD_MS = 2000
CPU = 8000
Reply = fakes.Reply


@attrs.frozen
class Run:
    """A run, with its processors (thousandths) and times (ms)."""

    cpu: int
    started_ms: int
    run_ms: int


@attrs.define(eq=False)
class LeasedWorker(fakes.FakeWorker):
    """Worker that stops its runs when its lease ends.

    Its specs are JSON objects with `ms` (run time), `cpu` (thousandths of a
    core) and, if the first run of the job's first task has to fail, `fails`.

    Attributes
    ----------
    fence : int
        Highest generation seen; lower ones are refused.
    lease_ms : int
        End of the lease on the worker's clock.
    runs : dict
        `Run` by (task, number).
    highest : dict
        Highest run number that was stopped or ended, by task.
    kind : str
        Label of the worker; a spec may require one (`label`).
    """

    name: str = ''
    record: object = None
    last_start_at: float = 0.0
    fence: int = 0
    lease_ms: int = 0
    runs: dict = attrs.field(factory=dict)
    highest: dict = attrs.field(factory=dict)
    kind: str = 'a'

    def restart(self, kind):
        """Begin a new incarnation, which knows nothing of the one before."""
        for task, number in list(self.runs):
            del self.runs[task, number]
            _record.on_end(self.record, self.name, task, number, 'lost')
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.fence = self.lease_ms = self.end_count = 0
        self.highest.clear()
        self.ended = []
        self.kind = kind
        self.silent = False

    def report(self, sequence):
        """Return the body of a heartbeat."""
        return {
            **super().report(sequence),
            'capacity': {'cpu': CPU, 'mem_mb': 4096, 'gpu': 0},
            'labels': [self.kind],
        }

    async def handle(self, req):
        """Answer a request of the endpoint process."""
        if self.silent:
            await asyncio.sleep(1.0)
            return None
        body = req.json()
        if body['fence_token'] < self.fence:
            return self._refuse('fence')
        self.fence = body['fence_token']
        if req.path == '/run-start':
            expected = req.headers.get('expect-instance', self.name)
            if expected != self.name:
                return Reply({'clock_ms': self.clock_ms()}, 421)
        return await _HANDLERS[req.path](self, body)

    def _refuse(self, reason):
        return Reply({'clock_ms': self.clock_ms(), 'reason': reason}, 409)

    def _extend_lease(self, deadline_ms):
        limit_ms = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit_ms))

    async def _start(self, body):
        task, number = body['task'], body['run_id']
        if (task, number) in self.runs:
            return Reply({'clock_ms': self.clock_ms()})
        if body['deadline_ms'] < self.clock_ms():
            return self._refuse('late')
        self._extend_lease(body['deadline_ms'])
        if number <= self.highest.get(task, 0):
            return self._refuse('old')
        spec = json.loads(body['spec'])
        used = sum(run.cpu for run in self.runs.values())
        if used + spec['cpu'] > CPU:
            _record.violate(
                self.record,
                'limit',
                f'{task} started on {self.name} beside {len(self.runs)} runs',
            )
        if spec.get('label', self.kind) != self.kind:
            _record.violate(
                self.record,
                'label',
                f'{task} started on {self.name}, which is {self.kind}',
            )
        loop = asyncio.get_running_loop()
        _record.on_start(self.record, self.name, task, number)
        self.last_start_at = loop.time()
        fails = (
            spec.get('fails')
            and task.endswith('.0')
            and not self.record.end_counts[task, 'failed']
        )
        self.runs[task, number] = Run(spec['cpu'], self.clock_ms(), spec['ms'])
        loop.call_later(
            spec['ms'] / 1000,
            self._end,
            task,
            number,
            'failed' if fails else 'done',
        )
        return Reply({'clock_ms': self.clock_ms()})

    def _end(self, task, number, how):
        self.highest[task] = max(self.highest.get(task, 0), number)
        if self.runs.pop((task, number), None) is None:
            return
        _record.on_end(self.record, self.name, task, number, how)
        self.end_count += 1
        self.ended.append([self.end_count, task, number, how, ''])
        self.changed.set()
        self.changed = asyncio.Event()

    def _percent(self, run):
        elapsed_ms = self.clock_ms() - run.started_ms
        return min(elapsed_ms * 100 // run.run_ms, 99)

    def end_lapsed(self):
        """End all runs if the lease has ended."""
        if self.runs and self.clock_ms() > self.lease_ms:
            for task, number in list(self.runs):
                self._end(task, number, 'lapsed')

    async def _stop(self, body):
        self._end(body['task'], body['run_id'], 'stopped')
        return Reply({'clock_ms': self.clock_ms()})

    async def _list(self, body):
        if 'deadline_ms' in body:
            self._extend_lease(body['deadline_ms'])
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
                    [*key, '', self._percent(run), 0]
                    for key, run in self.runs.items()
                ],
                'ended': self.ended,
            }
        )


_HANDLERS = {
    '/run-start': LeasedWorker._start,
    '/run-stop': LeasedWorker._stop,
    '/hold': LeasedWorker._list,
}
