"""The asynchronous client."""

import asyncio
import json
import math
import random
import time
import urllib.parse

import attrs

from azurepier.client import _decisions
from azurepier.client import _entries
from azurepier.client import _health
from azurepier.client import _transport
from azurepier import kernel

# Time that the client waits after the deadline for the verdict, which the
# entry sends when the deadline has passed.
VERDICT_GRACE_S = 1.0
# An attempt that would be shorter gets all of the remaining time.
MIN_ATTEMPT_S = 1.0
# Must be below 60 s, after which the HTTP library stops waiting for headers.
MAX_ATTEMPT_S = 30.0
MAX_FETCH_WAIT_S = 20.0
# Time for the response to a fetch to arrive after the wait has ended.
_FETCH_MARGIN_S = 2.0
_IDS_REQUEST_TIMEOUT_S = 5.0
DEFAULT_DEADLINE_S = 60.0
_MS_PER_S = 1000
_LOST_OWNER_TYPES = ('owner-lost', 'owner-unreachable')
_Kind = _decisions.Kind
_Step = _decisions.Step


@attrs.frozen
class Task:
    """A task to submit.

    Parameters
    ----------
    kind : str
    payload : object
        Any JSON value.
    duration_ms : float or None
        Expected run time; not declared if None.
    size : int or None
        Approximate size; not declared if None.
    """

    kind: str
    payload: object = None
    duration_ms: float | None = None
    size: int | None = None


@attrs.frozen
class Result:
    """Result of a complete job; `outputs` are JSON values in task order."""

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


def _check_arguments(tasks, deadline_s):
    if not 1 <= len(tasks) <= kernel.MAX_TASKS:
        reason = f'expected 1 to {kernel.MAX_TASKS} tasks, found {len(tasks)}'
        raise kernel.InvalidInputError('tasks', reason)
    if not 0 < deadline_s * _MS_PER_S <= kernel.MAX_DEADLINE_MS:
        reason = (
            'expected a number of seconds above 0 and at most '
            f'{kernel.MAX_DEADLINE_MS / _MS_PER_S:g}, found {deadline_s!r}'
        )
        raise kernel.InvalidInputError('deadline_s', reason)


@attrs.define
class _Submission:
    """State of one call of `submit`.

    `tasks_json` and `body` are JSON; `flags` are the boolean fields of the
    body. `url` is the entry to which the next request goes.
    """

    job: _decisions.Job
    task_count: int
    tasks_json: bytes
    flags: dict
    deadline_at: float
    url: str = ''
    job_id: str = ''
    body: bytes = b''


class AsyncClient:
    """Asynchronous client for the jobs of one customer.

    An instance must be used within one event loop.

    Parameters
    ----------
    urls : list of str
        Base URLs of entries or of a load balancer in front of them.
    customer : str
    token : str, optional
        Bearer token of the customer.
    retry_share : float
        Extra submissions that are allowed, as a share of the jobs.
    rng : random.Random, optional
        Source of the backoff jitter and the choice of the first entry.
    clock : callable
        Returns the monotonic time (s).
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
        self._entries = _entries.EntrySelector(
            urls, self._rng.randrange(len(urls))
        )
        self._ids = _entries.IdPool()
        self._refills = {}
        self._budget = _decisions.Budget(retry_share)
        self._pools = _transport.make_pools()
        self._health = _health.HealthChecker(
            self._probe,
            lambda url: self._entries.mark_suspect(url, self._clock()),
        )

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        await self.close()

    async def close(self):
        """Close all connections."""
        self._health.close()
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
            Whether the job is short and latency-sensitive.
        idempotent : bool
            Whether the tasks may run twice. Such a job is submitted once
            more under a new id if it failed and may have run.
        deadline_s : float
            Deadline of the job, relative to the call (s).

        Returns
        -------
        Result

        Raises
        ------
        JobError
            One of `NotRunError`, `MayHaveRunError` and `RanError`.
        InvalidInputError
            If an argument is invalid.
        """
        _check_arguments(tasks, deadline_s)
        flags = {'urgent': bool(urgent), 'idempotent': bool(idempotent)}
        deadline_at = self._clock() + deadline_s
        submission = _Submission(
            _decisions.Job(bool(idempotent), deadline_at + VERDICT_GRACE_S),
            len(tasks),
            _encode_tasks(tasks),
            flags,
            deadline_at,
        )
        self._budget.deposit()
        return await self._run(submission)

    async def _run(self, submission):
        action = _decisions.Action(_Step.NEW_ID)
        while True:
            if action.delay_s:
                await asyncio.sleep(action.delay_s)
            outcome = await self._execute(submission, action)
            action = _decisions.decide(
                submission.job, outcome, self._budget, self._rng, self._clock()
            )
            if action.step is _Step.RETURN:
                return Result(
                    submission.job_id, action.result, submission.job.total_sent
                )
            if action.step is _Step.RAISE:
                action.error.job_id = submission.job_id
                raise action.error

    async def _execute(self, submission, action):
        if action.step is _Step.NEW_ID:
            outcome = await self._take_id(submission, action.other_entry)
            if outcome is not None:
                return outcome
        elif action.other_entry:
            submission.url = self._entries.pick(
                self._clock(), avoid=submission.url
            )
        if action.step is _Step.FETCH:
            return await self._fetch(submission)
        return await self._put(submission)

    def _remaining_s(self, submission):
        return max(submission.job.give_up_at - self._clock(), 0.0)

    async def _put(self, submission):
        remaining_s = self._remaining_s(submission)
        # Half of the remaining time is reserved for another attempt.
        timeout_s = min(remaining_s / 2, MAX_ATTEMPT_S)
        if timeout_s < MIN_ATTEMPT_S:
            timeout_s = remaining_s
        path = f'/v1/jobs/{submission.job_id}'
        return await self._request_job(
            submission, 'PUT', path, submission.body, timeout_s
        )

    async def _fetch(self, submission):
        remaining_s = self._remaining_s(submission)
        wait_s = min(max(remaining_s - _FETCH_MARGIN_S, 0.0), MAX_FETCH_WAIT_S)
        query = {'wait_ms': int(wait_s * _MS_PER_S), **self._query}
        path = f'/v1/jobs/{submission.job_id}?{urllib.parse.urlencode(query)}'
        timeout_s = min(wait_s + _FETCH_MARGIN_S, remaining_s)
        return await self._request_job(submission, 'GET', path, b'', timeout_s)

    async def _request_job(self, submission, method, path, body, timeout_s):
        try:
            response = await self._exchange(
                submission.url, method, path, body, timeout_s
            )
        except _transport.NoResponseError as exc:
            return _decisions.Outcome(exc.kind, detail=str(exc))
        outcome = _transport.read_outcome(response, submission.task_count)
        if outcome.type in _LOST_OWNER_TYPES:
            self._ids.clear()
        return outcome

    async def _exchange(self, url, method, path, body, timeout_s):
        open_requests = []
        try:
            return await _transport.exchange(
                self._pools,
                method,
                url + path,
                self._headers,
                body,
                timeout_s,
                lambda timeout: open_requests.append(
                    self._health.add(url, timeout)
                ),
            )
        except _transport.NoResponseError:
            self._entries.mark_suspect(url, self._clock())
            self._ids.clear()
            raise
        finally:
            for request in open_requests:
                self._health.remove(request)

    async def _probe(self, url):
        """Probe an entry and tell whether it responds."""
        try:
            await _transport.exchange(
                self._pools,
                'GET',
                url + '/healthz',
                [],
                b'',
                _health.PROBE_TIMEOUT_S,
            )
        except _transport.NoResponseError:
            self._entries.mark_suspect(url, self._clock())
            return False
        self._entries.clear_suspect(url)
        return True

    async def _take_id(self, submission, other_entry):
        """Assign an unused id to a submission.

        Returns
        -------
        Outcome or None
            Outcome of the request for ids if no id was available.
        """
        now = self._clock()
        url = self._entries.pick(
            now, avoid=submission.url if other_entry else None
        )
        job_id = self._ids.take(url, now)
        if job_id is None:
            outcome = await self._wait_for_refill(submission, url)
            job_id = self._ids.take(url, self._clock())
            if job_id is None:
                submission.url = url
                return outcome
        if self._ids.needs_refill(url):
            self._refill(url)
        self._use_id(submission, url, job_id)
        return None

    def _use_id(self, submission, url, job_id):
        remaining_s = submission.deadline_at - self._clock()
        fields = {
            'customer': self._customer,
            'deadline_ms': max(math.ceil(remaining_s * _MS_PER_S), 1),
            **submission.flags,
        }
        submission.url = url
        submission.job_id = job_id
        submission.body = b'%b,"tasks":%b}' % (
            json.dumps(fields).encode()[:-1],
            submission.tasks_json,
        )

    def _refill(self, url):
        refill = self._refills.get(url)
        if refill is None or refill.done():
            refill = asyncio.create_task(self._request_ids(url))
            self._refills[url] = refill
        return refill

    async def _wait_for_refill(self, submission, url):
        refill = self._refill(url)
        # Other jobs may wait for the same refill, so it isn't cancelled.
        await asyncio.wait((refill,), timeout=self._remaining_s(submission))
        if not refill.done():
            return _decisions.Outcome(_Kind.TIMED_OUT, for_ids=True)
        return refill.result()

    async def _request_ids(self, url):
        """Request a block of ids from an entry and return the outcome."""
        count = self._ids.next_block_size(url, self._clock())
        body = json.dumps({'count': count}).encode()
        try:
            response = await self._exchange(
                url, 'POST', '/v1/job-ids', body, _IDS_REQUEST_TIMEOUT_S
            )
        except _transport.NoResponseError as exc:
            return _decisions.Outcome(exc.kind, detail=str(exc), for_ids=True)
        ids_or_outcome = _transport.read_ids(response)
        if isinstance(ids_or_outcome, _decisions.Outcome):
            return ids_or_outcome
        self._ids.add(url, *ids_or_outcome, self._clock())
        # Used by submissions that find no id, because others that waited for
        # the same refill have taken all ids.
        return _decisions.Outcome(_Kind.UNSENT, for_ids=True)
