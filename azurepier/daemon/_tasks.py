"""Tasks that run on the worker, their leases and the worker's health."""

import asyncio

import attrs

from azurepier.daemon import _http
from azurepier.daemon import _logs
from azurepier.daemon import _worker
from azurepier.kernel import events
from azurepier.kernel import Status

LEASE_S = 3.0
LEASE_MS = 3000
LEASE_RENEW_AGE_S = 1.0
# Interval of the check for leases to renew.
LEASE_CHECK_INTERVAL_S = 0.5
# After this time without renewal the worker has stopped the task; the margin
# covers clock drift.
LEASE_EXPIRED_S = LEASE_S + 1.0
# The request of a stopped task is cancelled if it has no response after this
# time.
STOP_TIMEOUT_S = 2.0
STOP_RETRY_DELAY_S = 0.1
CONTROL_TIMEOUT_S = 1.0
HEALTH_CHECK_INTERVAL_S = 1.0
# Consecutive failed health checks after which the worker is unhealthy: a busy
# worker may miss one. A refused connection makes it unhealthy immediately.
UNHEALTHY_AFTER_FAILURES = 2
_MS_PER_S = 1000

_log = _logs.EventLog('azurepier.daemon.worker')


@attrs.define(eq=False)
class Run:
    """One task on the worker.

    `renewed_at` is the time at which the request that last set the lease, the
    start or a renewal, was sent. `stop_timer` cancels the request of a stopped
    task.
    """

    start: object
    started_at: float
    renewed_at: float
    stopping: bool = False
    request: asyncio.Task | None = None
    stop_timer: asyncio.TimerHandle | None = None


@attrs.define(eq=False)
class Runner:
    """State of the tasks on one worker and of the worker's health.

    Parameters
    ----------
    client : azurepier.daemon._worker.Client
    feed : callable
        Called with the events `TaskEnded` and `WorkerHealthChanged`.
    observe_run : callable
        ``observe_run(status, seconds)``, for the metrics.

    Attributes
    ----------
    runs : dict of object to Run
        Running tasks, by the key in the effect `RunTask`.
    healthy : bool
        Health that was last reported to the node.
    failed_checks : int
        Number of consecutive failed health checks.
    """

    client: object
    feed: object
    observe_run: object
    loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.get_running_loop
    )
    runs: dict = attrs.field(factory=dict)
    healthy: bool = True
    failed_checks: int = 0
    _background: set = attrs.field(factory=set)

    def run_in_background(self, coro):
        """Run a coroutine as a task that is not awaited."""
        task = self.loop.create_task(coro)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def close(self):
        """Cancel the background tasks and close the connections."""
        for task in tuple(self._background):
            task.cancel()
        self.client.pool.close()


def run_task(runner, key, start):
    """Start a task on the worker; `TaskEnded` always follows."""
    now = runner.loop.time()
    run = runner.runs[key] = Run(start, now, now)
    run.request = runner.run_in_background(_run_to_end(runner, key, run))


def stop_task(runner, key):
    """Stop a task; `TaskEnded` follows unless it has ended already."""
    run = runner.runs.get(key)
    if run is not None and not run.stopping:
        run.stopping = True
        run.stop_timer = runner.loop.call_later(
            STOP_TIMEOUT_S, _cancel_request, run
        )
        runner.run_in_background(_stop_until_confirmed(runner, key, run))


async def _stop_until_confirmed(runner, key, run):
    # Repeat the stop: one that arrives before the request to run the task has
    # no effect.
    while runner.runs.get(key) is run:
        call = _worker.stop(runner.client, run.start)
        if await _call_worker('stop', call):
            return
        await asyncio.sleep(STOP_RETRY_DELAY_S)


def _cancel_request(run):
    run.request.cancel()


async def _run_to_end(runner, key, run):
    try:
        status, output = await _request_run(runner, run)
    except asyncio.CancelledError:
        # The request was cancelled after a stop, an expired lease or at
        # exit.
        status, output = Status.LOST, b'the worker did not answer'
    except Exception as exc:
        _log.error('task_request_failed', exc_info=exc, error=repr(exc))
        status, output = Status.LOST, repr(exc).encode()
    if run.stop_timer is not None:
        run.stop_timer.cancel()
    if run.stopping and status is Status.LOST:
        status = Status.STOPPED
    del runner.runs[key]
    seconds = runner.loop.time() - run.started_at
    runner.observe_run(status, seconds)
    run_ms = round(seconds * _MS_PER_S)
    runner.feed(events.TaskEnded(key, status, output, run_ms))


async def _request_run(runner, run):
    """Return status and output of one request, which is not retried."""
    try:
        return await _worker.run(runner.client, run.start, LEASE_MS)
    except _http.NotSentError as exc:
        _set_health(runner, False, str(exc))
        return Status.REFUSED, str(exc).encode()
    except _http.ResponseError as exc:
        return Status.LOST, str(exc).encode()


async def renew_leases(runner):
    """Renew the leases of running tasks until cancelled.

    The request of a task whose lease has expired is cancelled, because the
    worker has stopped the task by then.
    """
    while True:
        await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
        now = runner.loop.time()
        for run in runner.runs.values():
            age_s = now - run.renewed_at
            if age_s > LEASE_EXPIRED_S:
                run.request.cancel()
            elif age_s >= LEASE_RENEW_AGE_S and not run.stopping:
                runner.run_in_background(_renew_lease(runner, run))


async def _renew_lease(runner, run):
    sent_at = runner.loop.time()
    call = _worker.renew_lease(runner.client, run.start, LEASE_MS)
    if await _call_worker('renew', call):
        run.renewed_at = max(run.renewed_at, sent_at)


async def _call_worker(name, call):
    """Await a short request and return its result, or False if it fails."""
    try:
        async with asyncio.timeout(CONTROL_TIMEOUT_S):
            return await call
    except (TimeoutError, _http.ResponseError, _http.NotSentError) as exc:
        reason = str(exc) or 'no answer in time'
        _log.warning('worker_call_failed', call=name, reason=reason)
        return False


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
    """Check the worker's health once."""
    reason = 'the worker reports that it is unhealthy'
    try:
        async with asyncio.timeout(CONTROL_TIMEOUT_S):
            healthy = await _worker.is_healthy(runner.client)
    except _http.NotSentError as exc:
        _set_health(runner, False, str(exc))
        return
    except (TimeoutError, _http.ResponseError) as exc:
        healthy = False
        reason = str(exc) or 'no answer in time'
    runner.failed_checks = 0 if healthy else runner.failed_checks + 1
    if healthy:
        _set_health(runner, True)
    elif runner.failed_checks >= UNHEALTHY_AFTER_FAILURES:
        _set_health(runner, False, reason)


async def watch_health(runner):
    """Check the worker's health once a second until cancelled."""
    while True:
        next_at = runner.loop.time() + HEALTH_CHECK_INTERVAL_S
        await check_health(runner)
        await asyncio.sleep(max(0.0, next_at - runner.loop.time()))
