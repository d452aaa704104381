"""Reading of a request's body and query, and detection of disconnections."""

import asyncio
import contextlib

from blacksheep.exceptions import MessageAborted

from azurepier import kernel
from azurepier.web import _answers

MAX_BODY_BYTES = 2 * 1024 * 1024
_RESPOND_ASYNC = b'respond-async'


async def read_body(request):
    """Return the body, at most `MAX_BODY_BYTES`.

    Raises
    ------
    RefusedError
        If it is longer; the rest is not read into memory.
    """
    content_length = request.get_first_header(b'content-length')
    # httptools has already validated the header as a number.
    if content_length is not None and int(content_length) > MAX_BODY_BYTES:
        raise _too_large_error()
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise _too_large_error()
    return bytes(body)


def _too_large_error():
    return _answers.refused_error(
        'too-large', f'body: longer than {MAX_BODY_BYTES} bytes'
    )


def query_value(request, name, default=''):
    """Return the last value of a query parameter."""
    values = request.query.get(name)
    return values[-1] if values else default


def query_integer(request, name, default, highest):
    """Return a query parameter as an integer from 0 to `highest`.

    Raises
    ------
    InvalidInputError
    """
    text = query_value(request, name)
    if not text:
        return default
    # Limiting the length bounds the time that int() takes.
    if text.isascii() and text.isdigit() and len(text) <= len(str(highest)):
        number = int(text)
        if number <= highest:
            return number
    raise kernel.InvalidInputError(
        name, f'expected an integer from 0 to {highest}, found {text!r:.40}'
    )


def wants_detach(request):
    """Tell whether the caller sent ``Prefer: respond-async``."""
    for value in request.get_headers(b'prefer'):
        tokens = (token.strip().lower() for token in value.split(b','))
        if _RESPOND_ASYNC in tokens:
            return True
    return False


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the answer was sent."""


async def _wait_for_disconnect(request):
    with contextlib.suppress(MessageAborted):
        while True:
            async for _ in request.content.stream():
                pass


async def while_connected(request, coro):
    """Await `coro`, but cancel it if the caller disconnects.

    Notes
    -----
    The server does not cancel the handler of a closed connection. The
    coroutine runs in the task of the handler, which saves one task per
    request.

    Raises
    ------
    CallerDisconnectedError
    """
    task = asyncio.current_task()
    disconnected = False

    def on_disconnect(watcher):
        nonlocal disconnected
        if not watcher.cancelled():
            disconnected = True
            task.cancel()

    watcher = asyncio.create_task(_wait_for_disconnect(request))
    watcher.add_done_callback(on_disconnect)
    try:
        return await coro
    except asyncio.CancelledError:
        if not disconnected:
            raise
        task.uncancel()
        raise CallerDisconnectedError from None
    finally:
        watcher.remove_done_callback(on_disconnect)
        watcher.cancel()
