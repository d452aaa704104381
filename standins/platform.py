"""Stand-in for the platform: the part of etcd v3's JSON gateway in use.

``POST /fault`` sets any of ``down`` (every connection breaks), ``silent``
(nothing is answered), ``delay_ms`` (each request takes effect this much
later) and ``lose_answers`` (the next n writes that take effect are not
answered). ``GET /calls`` returns the number of calls by path.
"""

import asyncio
import collections
import functools

import attrs

from standins import _server
from standins import _store

_MS_PER_S = 1000


@attrs.define
class Platform:
    """The store and the faults that are switched on."""

    store: _store.Store = attrs.field(factory=_store.Store)
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    values_sent: int = 0
    running: object = None
    down: bool = False
    silent: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0


def _now():
    return asyncio.get_running_loop().time()


async def _range(platform, value):
    answer = _store.read_range(platform.store, value)
    platform.values_sent += len(answer.get('kvs', ()))
    return _server.Reply(answer)


async def _txn(platform, value):
    before = platform.store.revision
    answer = _store.transaction(platform.store, value)
    if platform.store.revision != before:
        _perhaps_lose(platform)
    return _server.Reply(answer)


async def _grant(platform, value):
    answer = _store.grant(platform.store, value, _now())
    _perhaps_lose(platform)
    return _server.Reply(answer)


async def _keep_alive(platform, value):
    answer = _store.keep_alive(platform.store, value, _now())
    return _server.Reply({'result': answer})


class _Break(Exception):
    """The connection is to be broken without an answer."""


def _perhaps_lose(platform):
    if platform.lose_answers > 0:
        platform.lose_answers -= 1
        raise _Break


async def _watch(platform, value):
    request = value['create_request']

    async def lines():
        watch = _store.open_watch(platform.store, request)
        try:
            while True:
                yield {'result': await watch.get()}
        finally:
            platform.store.watches.remove(watch)

    return _server.Reply(lines=lines())


async def _fault(platform, value):
    for name in ('down', 'silent'):
        setattr(platform, name, bool(value.get(name, getattr(platform, name))))
    platform.delay_ms = float(value.get('delay_ms', platform.delay_ms))
    platform.lose_answers = int(
        value.get('lose_answers', platform.lose_answers)
    )
    if platform.down and platform.running is not None:
        # Runs after this request has been answered.
        loop = asyncio.get_running_loop()
        loop.call_later(0.01, platform.running.break_connections)
    return _server.Reply({'ok': True})


_CALLS = {
    '/v3/kv/range': _range,
    '/v3/kv/txn': _txn,
    '/v3/lease/grant': _grant,
    '/v3/lease/keepalive': _keep_alive,
    '/v3/watch': _watch,
}


async def handle(platform, request):
    """Answer a request; None breaks the connection."""
    if request.path == '/fault':
        return await _fault(platform, request.json())
    if request.path == '/calls':
        return _server.Reply(dict(platform.calls))
    call = _CALLS.get(request.path)
    if call is None:
        return _server.Reply({'error': 'no such path'}, 404)
    platform.calls[request.path] += 1
    if platform.delay_ms:
        await asyncio.sleep(platform.delay_ms / _MS_PER_S)
    if platform.silent:
        await asyncio.Event().wait()
    if platform.down:
        return None
    _store.expire_leases(platform.store, _now())
    try:
        return await call(platform, request.json())
    except _Break:
        return None
    except _store.GatewayError as exc:
        value = {'error': str(exc), 'code': exc.code, 'message': str(exc)}
        return _server.Reply(value, 400)


async def expire_forever(platform, every_s=0.1):
    """Let leases expire without a request."""
    while True:
        await asyncio.sleep(every_s)
        _store.expire_leases(platform.store, _now())


async def start(platform, port=0):
    """Serve a platform on a loopback port and return the `Running`."""
    handler = functools.partial(handle, platform)
    platform.running = await _server.start(handler, port)
    return platform.running


async def _main(port):
    platform = Platform()
    expiry = asyncio.create_task(expire_forever(platform))
    handler = functools.partial(handle, platform)
    await _server.serve(
        handler, port, functools.partial(setattr, platform, 'running')
    )
    expiry.cancel()


def main():
    """Run the platform until it is stopped by a signal."""
    parser = _server.parser(__doc__.splitlines()[0])
    asyncio.run(_main(parser.parse_args().port))


if __name__ == '__main__':
    main()
