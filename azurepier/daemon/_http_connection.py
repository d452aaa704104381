"""Connection of the HTTP/1.1 client, and the errors of its requests."""

import asyncio

import httptools

from azurepier import kernel


class NotSentError(kernel.AzurepierError):
    """The server could not be reached; nothing was sent to it."""


class ResponseError(kernel.AzurepierError):
    """The response did not arrive, is malformed or is too long.

    The server may have acted on the request.
    """


class UnidentifiedError(NotSentError):
    """The server did not show its identity; the request was not sent."""


class OtherServerError(NotSentError):
    """Another server than the intended one answers; nothing was sent to it."""


class ResponseTooLongError(ResponseError):
    """The response is longer than the limit.

    Parameters
    ----------
    status : int
        HTTP status of the response, 0 if its head is too long.
    """

    def __init__(self, status, max_response_bytes):
        super().__init__(
            f'the answer is longer than {max_response_bytes} bytes'
        )
        self.status = status


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    The parser of httptools calls the methods ``on_...``.

    Parameters
    ----------
    max_response_bytes : int
    open_conns : set of Connection
        The connection adds itself while it is open.

    Attributes
    ----------
    identity : object or None
        Identity of the server that has accepted the connection, if known.
    responded_at : float
        Time of the last response (s).
    on_progress : callable or None
        Called when a chunk of a response has arrived that isn't its last.
    """

    def __init__(self, max_response_bytes, open_conns):
        self.transport = None
        self.max_response_bytes = max_response_bytes
        self.open_conns = open_conns
        self.parser = None
        self.received_bytes = 0
        self.status = 0
        self.body = []
        self.on_response = None
        self.idle_since = 0.0
        self.reusable = False
        self.identity = None
        self.responded_at = 0.0
        self.on_progress = None

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport
        self.open_conns.add(self)

    def send(self, request, on_response):
        """Send a request; ``on_response(response, error)`` is called once."""
        self.reusable = False
        self.received_bytes = self.status = 0
        self.body.clear()
        self.parser = httptools.HttpResponseParser(self)
        self.on_response = on_response
        self.transport.write(request)

    def data_received(self, data):
        """Parse a chunk of the response."""
        if self.on_response is None:
            self._fail(ResponseError('unexpected data on an idle connection'))
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(ResponseError(f'the answer is malformed: {exc}'))
            return
        if self.received_bytes > self.max_response_bytes:
            self._fail(
                ResponseTooLongError(self.status, self.max_response_bytes)
            )
        elif self.on_response is not None and self.on_progress is not None:
            self.on_progress()

    def on_headers_complete(self):
        """Store the status of the response."""
        self.status = self.parser.get_status_code()

    def on_body(self, data):
        """Store a chunk of the body."""
        self.body.append(data)

    def on_message_complete(self):
        """Deliver the response unless it is an interim (1xx) one."""
        if self.status < 200:
            return
        if self.received_bytes > self.max_response_bytes:
            self._fail(
                ResponseTooLongError(self.status, self.max_response_bytes)
            )
            return
        self.reusable = self.parser.should_keep_alive()
        self._complete((self.status, b''.join(self.body)), None)

    def _complete(self, response, error):
        on_response, self.on_response = self.on_response, None
        if on_response is not None:
            on_response(response, error)

    def _fail(self, error):
        self.reusable = False
        self.transport.abort()
        self._complete(None, error)

    def abort(self):
        """Close the connection and drop the pending request."""
        self.on_response = None
        self.reusable = False
        self.transport.abort()

    def connection_lost(self, exc):
        """Fail the pending request."""
        self.open_conns.discard(self)
        self._fail(ResponseError(str(exc or 'the connection was closed')))
