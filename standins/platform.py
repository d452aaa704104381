"""Stand-in for the platform: a subset of etcd v3's JSON gateway.

``POST /fault`` sets any of ``down`` (every connection is aborted), ``silent``
(no request gets a response), ``delay_ms`` (delay before each request takes
effect) and ``lose_answers`` (the next n writes take effect, but their
connections are aborted without a response). ``GET /calls`` returns the number
of calls by path.
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
    """The store and the faults in force.

    Attributes
    ----------
    store : Store
    calls : collections.Counter
        Number of calls by path.
    values_sent : int
        Number of key-value pairs in responses to range requests.
    http_server : RunningServer or None
    down, silent, delay_ms, lose_answers
        Faults, as described above.
    """

    store: _store.Store = attrs.field(factory=_store.Store)
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    values_sent: int = 0
    http_server: object = None
    down: bool = False
    silent: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0


def _now():
    return asyncio.get_running_loop().time()


async def _read_range(platform, value):
    response = _store.read_range(platform.store, value)
    platform.values_sent += len(response.get('kvs', ()))
    return _server.Reply(response)


async def _run_transaction(platform, value):
    revision_before = platform.store.revision
    response = _store.run_transaction(platform.store, value)
    if platform.store.revision != revision_before:
        _maybe_lose_response(platform)
    return _server.Reply(response)


async def _grant_lease(platform, value):
    response = _store.grant_lease(platform.store, value, _now())
    _maybe_lose_response(platform)
    return _server.Reply(response)


async def _renew_lease(platform, value):
    response = _store.renew_lease(platform.store, value, _now())
    return _server.Reply({'result': response})


class _ConnectionAbort(Exception):
    """The connection is to be aborted without a response."""


def _maybe_lose_response(platform):
    if platform.lose_answers > 0:
        platform.lose_answers -= 1
        raise _ConnectionAbort


async def _open_watch(platform, value):
    request = value['create_request']

    async def lines():
        watch = _store.open_watch(platform.store, request)
        try:
            while True:
                yield {'result': await watch.get()}
        finally:
            platform.store.watches.remove(watch)

    return _server.Reply(lines=lines())


async def _set_faults(platform, value):
    for name in ('down', 'silent'):
        setattr(platform, name, bool(value.get(name, getattr(platform, name))))
    platform.delay_ms = float(value.get('delay_ms', platform.delay_ms))
    platform.lose_answers = int(
        value.get('lose_answers', platform.lose_answers)
    )
    if platform.down and platform.http_server is not None:
        # The delay lets the response to this request be sent first.
        loop = asyncio.get_running_loop()
        loop.call_later(0.01, platform.http_server.break_connections)
    return _server.Reply({'ok': True})


_HANDLERS = {
    '/v3/kv/range': _read_range,
    '/v3/kv/txn': _run_transaction,
    '/v3/lease/grant': _grant_lease,
    '/v3/lease/keepalive': _renew_lease,
    '/v3/watch': _open_watch,
}


async def handle(platform, request):
    """Return the reply to a request; None aborts the connection."""
    if request.path == '/fault':
        return await _set_faults(platform, request.json())
    if request.path == '/calls':
        return _server.Reply(dict(platform.calls))
    handler = _HANDLERS.get(request.path)
    if handler is None:
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
        return await handler(platform, request.json())
    except _ConnectionAbort:
        return None
    except _store.GatewayError as exc:
        value = {'error': str(exc), 'code': exc.code, 'message': str(exc)}
        return _server.Reply(value, 400)


async def expire_leases_forever(platform, interval_s=0.1):
    """Expire leases periodically, also while there are no requests."""
    while True:
        await asyncio.sleep(interval_s)
        _store.expire_leases(platform.store, _now())


async def start(platform, port=0):
    """Serve a platform on a loopback port and return the `RunningServer`."""
    handler = functools.partial(handle, platform)
    platform.http_server = await _server.start(handler, port)
    return platform.http_server


async def _main(port):
    platform = Platform()
    expiry = asyncio.create_task(expire_leases_forever(platform))
    handler = functools.partial(handle, platform)
    await _server.serve(
        handler, port, functools.partial(setattr, platform, 'http_server')
    )
    expiry.cancel()


def main():
    """Run the platform until SIGTERM or SIGINT."""
    parser = _server.make_parser(__doc__.splitlines()[0])
    asyncio.run(_main(parser.parse_args().port))


if __name__ == '__main__':
    main()
