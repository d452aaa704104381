"""Tasks that run on the worker, their leases, and the worker's health."""

import asyncio

import attrs

from azurepier.daemon import _http
from azurepier.daemon import _logs
from azurepier.daemon import _worker
from azurepier.kernel import events
from azurepier.kernel import Status

LEASE_S = 3.0
LEASE_MS = 3000
RENEW_AFTER_S = 1.0
# How often tasks are checked for leases to renew.
RENEW_CHECK_S = 0.5
# A task whose lease was not renewed for so long has been stopped by the
# worker; the margin covers clocks that run at different speeds.
LEASE_OVER_S = LEASE_S + 1.0
# A stopped task whose request is not answered in this time is given up.
STOP_LIMIT_S = 2.0
STOP_RETRY_S = 0.1
CONTROL_LIMIT_S = 1.0
HEALTH_INTERVAL_S = 1.0
# A busy worker may miss one health check; a refused connection counts at
# once.
HEALTH_MISSES = 2
_MS_PER_S = 1000

_log = _logs.EventLog('azurepier.daemon.worker')


@attrs.define(eq=False)
class Run:
    """One task on the worker.

    `renewed_at` is when the request that last set the lease was sent.
    """

    start: object
    began_at: float
    renewed_at: float
    stopping: bool = False
    request: asyncio.Task | None = None
    given_up: asyncio.TimerHandle | None = None


@attrs.define(eq=False)
class Runner:
    """State of everything that runs on one worker.

    Parameters
    ----------
    client : azurepier.daemon._worker.Client
    feed : callable
        Takes `TaskEnded` and `WorkerHealthChanged`.
    observe : callable
        ``observe(status, seconds)`` for the metrics.
    """

    client: object
    feed: object
    observe: object
    loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.get_running_loop
    )
    runs: dict = attrs.field(factory=dict)
    healthy: bool = True
    misses: int = 0
    _background: set = attrs.field(factory=set)

    def spawn(self, coro):
        """Run a coroutine that nobody awaits."""
        task = self.loop.create_task(coro)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def close(self):
        """Drop everything that still runs."""
        for task in tuple(self._background):
            task.cancel()
        self.client.pool.close()


# Running -----------------------------------------------------------------


def run_task(runner, key, start):
    """Start a task on the worker; `TaskEnded` follows in any case."""
    now = runner.loop.time()
    run = runner.runs[key] = Run(start, now, now)
    run.request = runner.spawn(_run(runner, key, run))


def stop_task(runner, key):
    """Stop a task; `TaskEnded` follows."""
    run = runner.runs.get(key)
    if run is not None and not run.stopping:
        run.stopping = True
        run.given_up = runner.loop.call_later(STOP_LIMIT_S, _give_up, run)
        runner.spawn(_stop(runner, key, run))


async def _stop(runner, key, run):
    # The worker does not know a task whose request is still on its way.
    while runner.runs.get(key) is run:
        call = _worker.stop(runner.client, run.start)
        if await _control('stop', call):
            return
        await asyncio.sleep(STOP_RETRY_S)


def _give_up(run):
    run.request.cancel()


async def _run(runner, key, run):
    try:
        status, output = await _attempt(runner, run)
    except asyncio.CancelledError:
        # Given up after a stop or an expired lease, or at exit.
        status, output = Status.LOST, b'the worker did not answer'
    except Exception as exc:
        _log.error('task_request_failed', exc_info=exc, error=repr(exc))
        status, output = Status.LOST, repr(exc).encode()
    if run.given_up is not None:
        run.given_up.cancel()
    if run.stopping and status is Status.LOST:
        status = Status.STOPPED
    del runner.runs[key]
    seconds = runner.loop.time() - run.began_at
    runner.observe(status, seconds)
    run_ms = round(seconds * _MS_PER_S)
    runner.feed(events.TaskEnded(key, status, output, run_ms))


async def _attempt(runner, run):
    """Return status and output of one request; it is never repeated."""
    try:
        return await _worker.run(runner.client, run.start, LEASE_MS)
    except _http.NotSentError as exc:
        _set_health(runner, False, str(exc))
        return Status.REFUSED, str(exc).encode()
    except _http.AnswerError as exc:
        return Status.LOST, str(exc).encode()


# Leases ------------------------------------------------------------------


async def keep_leases(runner):
    """Renew the leases of running tasks until cancelled."""
    while True:
        await asyncio.sleep(RENEW_CHECK_S)
        now = runner.loop.time()
        for run in runner.runs.values():
            age_s = now - run.renewed_at
            if age_s > LEASE_OVER_S:
                run.request.cancel()
            elif age_s >= RENEW_AFTER_S and not run.stopping:
                runner.spawn(_renew(runner, run))


async def _renew(runner, run):
    sent_at = runner.loop.time()
    call = _worker.renew(runner.client, run.start, LEASE_MS)
    if await _control('renew', call):
        run.renewed_at = max(run.renewed_at, sent_at)


async def _control(name, call):
    """Await a short request; return what it returns, False on a fault."""
    try:
        async with asyncio.timeout(CONTROL_LIMIT_S):
            return await call
    except (TimeoutError, _http.AnswerError, _http.NotSentError) as exc:
        reason = str(exc) or 'no answer in time'
        _log.warning('worker_call_failed', call=name, reason=reason)
        return False


# Health ------------------------------------------------------------------


def _set_health(runner, healthy, reason=''):
    if healthy == runner.healthy:
        return
    runner.healthy = healthy
    if healthy:
        _log.info('worker_up')
    else:
        _log.warning('worker_down', reason=reason)
    runner.feed(events.WorkerHealthChanged(healthy))


async def check_health(runner):
    """Ask for the worker's health once."""
    reason = 'it says that it is not healthy'
    try:
        async with asyncio.timeout(CONTROL_LIMIT_S):
            healthy = await _worker.is_healthy(runner.client)
    except _http.NotSentError as exc:
        _set_health(runner, False, str(exc))
        return
    except (TimeoutError, _http.AnswerError) as exc:
        healthy = False
        reason = str(exc) or 'no answer in time'
    runner.misses = 0 if healthy else runner.misses + 1
    if healthy:
        _set_health(runner, True)
    elif runner.misses >= HEALTH_MISSES:
        _set_health(runner, False, reason)


async def watch_health(runner):
    """Check the worker's health once a second until cancelled."""
    while True:
        next_at = runner.loop.time() + HEALTH_INTERVAL_S
        await check_health(runner)
        await asyncio.sleep(max(0.0, next_at - runner.loop.time()))
