"""Stand-in for a worker that runs simulated tasks in a fixed number of slots.

Responses to ``PUT /tasks/{job}/{task}``:

* 200 ``{"output": ..., "run_ms": n}``: the task succeeded;
* 422 ``{"error": text, "run_ms": n}``: it ran and failed;
* 410 ``{"error": text}``: it was stopped, or its lease expired;
* 409 ``{"error": text}``: it was started before, and this start is counted;
* 429 ``{"error": text}``: no slot is free; it does not run;
* 400 ``{"error": text}``: the request is malformed; it does not run.

``PUT /tasks/{job}/{task}/lease`` ``{"lease_ms": n}`` renews the lease and
``DELETE /tasks/{job}/{task}`` stops the task. Both respond with 200
``{"running": true}``, or 404 if the task isn't running.
"""

import asyncio
import collections
import functools
import time

import attrs

from standins import _server

_MS_PER_S = 1000
_DEFAULT_LEASE_MS = 5000
_STOPPED = {'error': 'stopped'}
_EXPIRED = {'error': 'the lease expired'}


class TaskFailed(Exception):
    """A task ran and failed."""


@attrs.define
class Worker:
    """State of a worker.

    Parameters
    ----------
    speed : float
        A task of `n` ms takes ``n / speed`` ms.
    slots : int
        Largest number of concurrent tasks.
    starts : collections.Counter
        Number of starts by ``job/task``, including rejected second starts.
    running : dict
        Current runs by ``job/task``.
    most_running : int
        Largest number of concurrent tasks so far.
    fail_all, silent, delay_ms
        Faults: all tasks fail; no request gets a response; delay before each
        task.
    """

    speed: float = 1.0
    slots: int = 8
    starts: collections.Counter = attrs.field(factory=collections.Counter)
    running: dict = attrs.field(factory=dict)
    most_running: int = 0
    fail_all: bool = False
    silent: bool = False
    delay_ms: float = 0.0


@attrs.define
class _Run:
    reply: asyncio.Future
    lease_timer: object = None


async def _echo(worker, payload):
    return payload


async def _sleep(worker, payload):
    ms = payload.get('ms', 50) if isinstance(payload, dict) else 50
    await asyncio.sleep(float(ms) / worker.speed / _MS_PER_S)
    return {'slept_ms': ms}


async def _fail(worker, payload):
    raise TaskFailed('the kind fail always fails')


KINDS = {'echo': _echo, 'sleep': _sleep, 'fail': _fail}


async def _execute(worker, kind, payload):
    if worker.delay_ms:
        await asyncio.sleep(worker.delay_ms / _MS_PER_S)
    if worker.fail_all:
        raise TaskFailed('the worker fails every task')
    return await KINDS[kind](worker, payload)


def _set_reply(run, status, value):
    if not run.reply.done():
        run.reply.set_result((status, value))


def _set_lease(run, lease_ms):
    if run.lease_timer is not None:
        run.lease_timer.cancel()
    loop = asyncio.get_running_loop()
    run.lease_timer = loop.call_later(
        float(lease_ms) / _MS_PER_S, _set_reply, run, 410, _EXPIRED
    )


def _on_task_done(run, started_at, task):
    """Set the reply of a run when its task has ended."""
    if task.cancelled():
        return
    run_ms = round((time.monotonic() - started_at) * _MS_PER_S)
    exc = task.exception()
    if exc is None:
        _set_reply(run, 200, {'output': task.result(), 'run_ms': run_ms})
    else:
        _set_reply(run, 422, {'error': str(exc), 'run_ms': run_ms})


async def _start_task(worker, key, request):
    value = request.json()
    kind, payload = value['kind'], value.get('payload')
    lease_ms = float(value.get('lease_ms', _DEFAULT_LEASE_MS))
    if kind not in KINDS:
        raise ValueError(f'unknown kind {kind!r}')
    if len(worker.running) >= worker.slots and key not in worker.starts:
        return _server.Reply({'error': 'no slot is free'}, 429)
    worker.starts[key] += 1
    if worker.starts[key] > 1:
        return _server.Reply({'error': 'started before'}, 409)
    return await _run_in_slot(
        worker, key, _execute(worker, kind, payload), lease_ms
    )


async def _run_in_slot(worker, key, coroutine, lease_ms):
    loop = asyncio.get_running_loop()
    run = _Run(loop.create_future())
    worker.running[key] = run
    worker.most_running = max(worker.most_running, len(worker.running))
    _set_lease(run, lease_ms)
    task = loop.create_task(coroutine)
    task.add_done_callback(
        functools.partial(_on_task_done, run, time.monotonic())
    )
    try:
        status, value = await run.reply
    finally:
        run.lease_timer.cancel()
        task.cancel()
        del worker.running[key]
    return _server.Reply(value, status)


async def _stop_task(worker, key, request):
    run = worker.running.get(key)
    if run is None:
        return _server.Reply({'error': 'not running'}, 404)
    _set_reply(run, 410, _STOPPED)
    return _server.Reply({'running': True})


async def _renew_lease(worker, key, request):
    run = worker.running.get(key)
    if run is None:
        return _server.Reply({'error': 'not running'}, 404)
    _set_lease(run, request.json().get('lease_ms', _DEFAULT_LEASE_MS))
    return _server.Reply({'running': True})


async def _get_health(worker, request):
    return _server.Reply(
        {
            'ok': True,
            'running': len(worker.running),
            'most_running': worker.most_running,
        }
    )


async def _get_starts(worker, request):
    return _server.Reply(dict(worker.starts))


async def _set_faults(worker, request):
    value = request.json()
    worker.fail_all = bool(value.get('fail_all', worker.fail_all))
    worker.silent = bool(value.get('silent', worker.silent))
    worker.delay_ms = float(value.get('delay_ms', worker.delay_ms))
    return _server.Reply({'ok': True})


_TASK_ROUTES = {
    ('PUT', ''): _start_task,
    ('DELETE', ''): _stop_task,
    ('PUT', '/lease'): _renew_lease,
}
_ROUTES = {
    ('GET', '/healthz'): _get_health,
    ('GET', '/starts'): _get_starts,
    ('POST', '/fault'): _set_faults,
}


async def handle(worker, request):
    """Return the reply to a request.

    Parameters
    ----------
    worker : Worker
    request : Request

    Returns
    -------
    Reply
    """
    if worker.silent and request.path != '/fault':
        await asyncio.Event().wait()
    route = _ROUTES.get((request.method, request.path))
    if route is not None:
        return await route(worker, request)
    parts = request.path.split('/')
    if len(parts) in (4, 5) and parts[1] == 'tasks':
        subpath = '/' + parts[4] if len(parts) == 5 else ''
        route = _TASK_ROUTES.get((request.method, subpath))
        if route is not None:
            return await route(worker, f'{parts[2]}/{parts[3]}', request)
    return _server.Reply({'error': 'no such path'}, 404)


def main():
    """Run a worker until SIGTERM or SIGINT."""
    parser = _server.make_parser(__doc__.splitlines()[0])
    parser.add_argument('--speed', type=float, default=1.0)
    parser.add_argument('--slots', type=int, default=8)
    args = parser.parse_args()
    worker = Worker(speed=args.speed, slots=args.slots)
    asyncio.run(_server.serve(functools.partial(handle, worker), args.port))


if __name__ == '__main__':
    main()
