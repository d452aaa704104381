"""What handlers read from a request: body, query, and its end."""

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
    Refusal
        If it is longer. The rest is not read into memory.
    """
    declared = request.get_first_header(b'content-length')
    # httptools has checked that the header is a number.
    if declared is not None and int(declared) > MAX_BODY_BYTES:
        raise _too_large()
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise _too_large()
    return bytes(body)


def _too_large():
    return _answers.refuse(
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
    # The bound on the length keeps int() fast.
    if text.isascii() and text.isdigit() and len(text) <= len(str(highest)):
        number = int(text)
        if number <= highest:
            return number
    raise kernel.InvalidInputError(
        name, f'expected an integer from 0 to {highest}'
    )


def wants_detach(request):
    """Tell whether the caller sent ``Prefer: respond-async``."""
    for value in request.get_headers(b'prefer'):
        tokens = (token.strip().lower() for token in value.split(b','))
        if _RESPOND_ASYNC in tokens:
            return True
    return False


class CallerGone(Exception):
    """The caller closed its connection before it got an answer."""


async def _until_disconnect(request):
    with contextlib.suppress(MessageAborted):
        while True:
            async for _ in request.content.stream():
                pass


async def while_connected(request, coro):
    """Await `coro`, and cancel it when the caller disconnects.

    Notes
    -----
    The server does not cancel handlers by itself. The coroutine runs in the
    handler's own task, which saves a task per request.

    Raises
    ------
    CallerGone
    """
    task = asyncio.current_task()
    gone = False

    def cancel(watch):
        nonlocal gone
        if not watch.cancelled():
            gone = True
            task.cancel()

    watch = asyncio.create_task(_until_disconnect(request))
    watch.add_done_callback(cancel)
    try:
        return await coro
    except asyncio.CancelledError:
        if not gone:
            raise
        task.uncancel()
        raise CallerGone from None
    finally:
        watch.remove_done_callback(cancel)
        watch.cancel()
