"""The asynchronous client."""

import asyncio
import json
import math
import random
import time
import urllib.parse

import attrs

from azurepier.client import _decisions
from azurepier.client import _supply
from azurepier.client import _transport
from azurepier.client import _watch
from azurepier import kernel

# After the deadline the entry answers with the verdict; this long the client
# waits for it.
GRACE_S = 1.0
SHORTEST_ATTEMPT_S = 1.0
# The HTTP library gives up waiting for headers after 60 s.
LONGEST_ATTEMPT_S = 30.0
LONGEST_FETCH_S = 20.0
_FETCH_MARGIN_S = 2.0
_IDS_LIMIT_S = 5.0
DEFAULT_DEADLINE_S = 60.0
_MS_PER_S = 1000
_LOST_OWNER_TYPES = ('owner-lost', 'owner-unreachable')
_Kind = _decisions.Kind
_Step = _decisions.Step


@attrs.frozen
class Task:
    """One task to submit; `payload` is any JSON value.

    `duration_ms` and `size` are declared only if they are not None.
    """

    kind: str
    payload: object = None
    duration_ms: float | None = None
    size: int | None = None


@attrs.frozen
class Result:
    """A complete job; `outputs` are JSON values in task order."""

    job_id: str
    outputs: list
    submissions: int = 1


def _task_to_dict(task):
    if not isinstance(task, Task):
        return task
    declared = {'duration_ms': task.duration_ms, 'size': task.size}
    value = {'kind': task.kind, 'payload': task.payload}
    return value | {k: v for k, v in declared.items() if v is not None}


def _encode_tasks(tasks):
    try:
        text = json.dumps(
            [_task_to_dict(task) for task in tasks],
            separators=(',', ':'),
            allow_nan=False,
        )
    except (TypeError, ValueError) as exc:
        raise kernel.InvalidInputError('tasks', f'not JSON: {exc}') from None
    return text.encode()


def _check(tasks, deadline_s):
    if not 1 <= len(tasks) <= kernel.MAX_TASKS:
        reason = f'expected 1 to {kernel.MAX_TASKS} tasks'
        raise kernel.InvalidInputError('tasks', reason)
    if not 0 < deadline_s * _MS_PER_S <= kernel.MAX_DEADLINE_MS:
        reason = f'expected a time up to {kernel.MAX_DEADLINE_MS} ms'
        raise kernel.InvalidInputError('deadline_s', reason)


@attrs.define
class _Submission:
    """One call of `submit`: the job's decisions and its current request."""

    job: _decisions.Job
    count: int
    tasks: bytes
    flags: dict
    deadline_at: float
    url: str = ''
    job_id: str = ''
    body: bytes = b''


class AsyncClient:
    """Submits jobs of one customer; use it within one event loop.

    Parameters
    ----------
    urls : list of str
        Base URLs of entries or of a load balancer before them.
    customer : str
    token : str, optional
        Bearer token of the customer.
    retry_share : float
        Extra submissions as a share of the jobs.
    rng : random.Random, optional
        For the pauses between requests and the first entry.
    clock : callable
        Monotonic time (s).
    """

    def __init__(
        self,
        urls,
        customer,
        token=None,
        *,
        retry_share=0.1,
        rng=None,
        clock=time.monotonic,
    ):
        if not urls or isinstance(urls, str):
            raise kernel.InvalidInputError('urls', 'expected a list of URLs')
        self._customer = customer
        self._query = {} if token else {'customer': customer}
        self._headers = []
        if token:
            header = (b'authorization', f'Bearer {token}'.encode())
            self._headers.append(header)
        self._rng = rng or random.Random()
        self._clock = clock
        urls = tuple(url.rstrip('/') for url in urls)
        self._entries = _supply.Entries(urls, self._rng.randrange(len(urls)))
        self._ids = _supply.IdPool()
        self._refills = {}
        self._budget = _decisions.Budget(retry_share)
        self._pools = _transport.make_pools()
        self._watch = _watch.Watch(
            self._probe, lambda url: self._entries.suspect(url, self._clock())
        )

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        await self.close()

    async def close(self):
        """Close all connections."""
        self._watch.close()
        for refill in self._refills.values():
            refill.cancel()
        await self._pools.dispose()

    async def submit(
        self,
        tasks,
        urgent=False,
        idempotent=False,
        deadline_s=DEFAULT_DEADLINE_S,
    ):
        """Run a job and return its result.

        Parameters
        ----------
        tasks : list of Task or dict
            1 to 140 tasks; a dict has the fields of the HTTP interface.
        urgent : bool
            The job is short and someone waits for it.
        idempotent : bool
            The tasks may run twice. Such a job is submitted once more if
            it failed and may have run.
        deadline_s : float
            The job is abandoned after this time.

        Returns
        -------
        Result

        Raises
        ------
        JobError
            One of `NotRunError`, `MayHaveRunError` and `RanError`.
        InvalidInputError
            If an argument can't be sent.
        """
        _check(tasks, deadline_s)
        flags = {'urgent': bool(urgent), 'idempotent': bool(idempotent)}
        deadline_at = self._clock() + deadline_s
        submission = _Submission(
            _decisions.Job(bool(idempotent), deadline_at + GRACE_S),
            len(tasks),
            _encode_tasks(tasks),
            flags,
            deadline_at,
        )
        self._budget.deposit()
        return await self._run(submission)

    async def _run(self, sub):
        action = _decisions.Action(_Step.NEW_ID)
        while True:
            if action.delay_s:
                await asyncio.sleep(action.delay_s)
            outcome = await self._carry_out(sub, action)
            action = _decisions.decide(
                sub.job, outcome, self._budget, self._rng, self._clock()
            )
            if action.step is _Step.RETURN:
                return Result(sub.job_id, action.result, sub.job.total_sent)
            if action.step is _Step.RAISE:
                action.error.job_id = sub.job_id
                raise action.error

    async def _carry_out(self, sub, action):
        if action.step is _Step.NEW_ID:
            outcome = await self._take_id(sub, action.other)
            if outcome is not None:
                return outcome
        elif action.other:
            sub.url = self._entries.pick(self._clock(), avoid=sub.url)
        if action.step is _Step.FETCH:
            return await self._fetch(sub)
        return await self._put(sub)

    # Requests about a job

    def _left_s(self, sub):
        return max(sub.job.give_up_at - self._clock(), 0.0)

    async def _put(self, sub):
        left_s = self._left_s(sub)
        # Half of the time is kept for another attempt.
        limit_s = min(left_s / 2, LONGEST_ATTEMPT_S)
        if limit_s < SHORTEST_ATTEMPT_S:
            limit_s = left_s
        path = f'/v1/jobs/{sub.job_id}'
        return await self._about_job(sub, 'PUT', path, sub.body, limit_s)

    async def _fetch(self, sub):
        left_s = self._left_s(sub)
        wait_s = min(max(left_s - _FETCH_MARGIN_S, 0.0), LONGEST_FETCH_S)
        query = {'wait_ms': int(wait_s * _MS_PER_S), **self._query}
        path = f'/v1/jobs/{sub.job_id}?{urllib.parse.urlencode(query)}'
        limit_s = min(wait_s + _FETCH_MARGIN_S, left_s)
        return await self._about_job(sub, 'GET', path, b'', limit_s)

    async def _about_job(self, sub, method, path, body, limit_s):
        try:
            answer = await self._exchange(sub.url, method, path, body, limit_s)
        except _transport.NoContactError as exc:
            return _decisions.Outcome(exc.kind, detail=str(exc))
        outcome = _transport.read_outcome(answer, sub.count)
        if outcome.type in _LOST_OWNER_TYPES:
            self._ids.clear()
        return outcome

    async def _exchange(self, url, method, path, body, limit_s):
        waits = []
        try:
            return await _transport.exchange(
                self._pools,
                method,
                url + path,
                self._headers,
                body,
                limit_s,
                lambda timeout: waits.append(self._watch.begin(url, timeout)),
            )
        except _transport.NoContactError:
            self._entries.suspect(url, self._clock())
            self._ids.clear()
            raise
        finally:
            for wait in waits:
                self._watch.end(wait)

    async def _probe(self, url):
        """Tell whether an entry answers; until then nothing new goes there."""
        try:
            await _transport.exchange(
                self._pools,
                'GET',
                url + '/healthz',
                [],
                b'',
                _watch.PROBE_LIMIT_S,
            )
        except _transport.NoContactError:
            self._entries.suspect(url, self._clock())
            return False
        self._entries.clear(url)
        return True

    # Job ids

    async def _take_id(self, sub, other):
        """Give a submission an unused id; return an outcome on failure."""
        now = self._clock()
        url = self._entries.pick(now, avoid=sub.url if other else None)
        job_id = self._ids.take(url, now)
        if job_id is None:
            outcome = await self._wait_for_refill(sub, url)
            job_id = self._ids.take(url, self._clock())
            if job_id is None:
                sub.url = url
                return outcome
        if self._ids.wants_more(url):
            self._refill(url)
        self._use_id(sub, url, job_id)
        return None

    def _use_id(self, sub, url, job_id):
        left_s = sub.deadline_at - self._clock()
        head = {
            'customer': self._customer,
            'deadline_ms': max(math.ceil(left_s * _MS_PER_S), 1),
            **sub.flags,
        }
        sub.url = url
        sub.job_id = job_id
        sub.body = b'%b,"tasks":%b}' % (
            json.dumps(head).encode()[:-1],
            sub.tasks,
        )

    def _refill(self, url):
        refill = self._refills.get(url)
        if refill is None or refill.done():
            refill = asyncio.create_task(self._request_ids(url))
            self._refills[url] = refill
        return refill

    async def _wait_for_refill(self, sub, url):
        refill = self._refill(url)
        # Other jobs may wait for the same request, so it goes on.
        await asyncio.wait((refill,), timeout=self._left_s(sub))
        if not refill.done():
            return _decisions.Outcome(_Kind.SILENT, for_ids=True)
        return refill.result()

    async def _request_ids(self, url):
        """Take a block of ids from an entry; return the outcome."""
        count = self._ids.size(url, self._clock())
        body = json.dumps({'count': count}).encode()
        try:
            answer = await self._exchange(
                url, 'POST', '/v1/job-ids', body, _IDS_LIMIT_S
            )
        except _transport.NoContactError as exc:
            return _decisions.Outcome(exc.kind, detail=str(exc), for_ids=True)
        found = _transport.read_ids(answer)
        if isinstance(found, _decisions.Outcome):
            return found
        self._ids.put(url, *found, self._clock())
        # Others that waited may take all of them first.
        return _decisions.Outcome(_Kind.UNSENT, for_ids=True)
