"""Fake shell without a node, and requests without a network."""

import asyncio
import hashlib
import json
import types

import attrs

from azurepier import config
from azurepier import kernel
from azurepier import timeline

TOKEN = 'tok-ash'
JOB_ID = kernel.ids.make('00000000000000aa', 600, 1, b'secret')


def make_config():
    """Return a configuration where `ash` has a token and `open` has none."""
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    plan = config.Plan('gold', starts_per_s=100, concurrent=50, queue=1000)
    customers = [
        config.Customer('ash', 'gold', digest),
        config.Customer('open', 'gold'),
    ]
    return config.Configuration(
        7, 'e1', 'op', {c.name: c for c in customers}, {'gold': plan}
    )


def _make_node():
    return types.SimpleNamespace(
        adoption=config.Adoption(make_config()),
        draining=False,
        incarnation='00000000000000aa',
        options=types.SimpleNamespace(name='entry-1'),
    )


@attrs.define
class FakeShell:
    """Shell that answers each event with `answer(event)`.

    An exception is raised; None leaves the event without an answer.
    """

    answer: object
    node: object = attrs.field(factory=_make_node)
    ring: object = attrs.field(factory=lambda: timeline.Ring(10, 'entry-1'))
    events: list = attrs.field(factory=list)
    keys: object = tuple
    stops: int = 0

    def stop(self):
        self.stops += 1

    async def ask(self, make_event):
        event = make_event(len(self.events) + 1)
        self.events.append(event)
        answer = self.answer(event)
        if isinstance(answer, Exception):
            raise answer
        if answer is not None:
            return answer
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.events.append(kernel.events.Abandon(event.req))
            raise

    def status(self):
        return {'queued': 3}

    def config_json(self):
        return config.to_json(self.node.adoption.current)


@attrs.frozen
class Reply:
    """Response that the application sent."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)


def make_job(**changes):
    """Return a valid submission with the given top-level fields."""
    task = {'kind': 'echo', 'payload': {'b': 1, 'a': [2]}, 'duration_ms': 50}
    value = {'customer': 'ash', 'deadline_ms': 5000, 'tasks': [task]}
    return value | changes


def call(
    app,
    method,
    path,
    body=b'',
    token=TOKEN,
    headers=(),
    disconnect=False,
    peer=None,
):
    """Call the ASGI application with one request and return its `Reply`.

    `body` is bytes, a list of chunks, or a JSON value. With `disconnect` the
    caller disconnects after the body. `peer` is the caller's IP address.
    """
    if not isinstance(body, (bytes, list)):
        body = json.dumps(body).encode()
    chunks = body if isinstance(body, list) else [body]
    path, _, query = path.partition('?')
    if token:
        auth = (b'authorization', f'Bearer {token}'.encode())
        headers = [*headers, auth]
    scope = {
        'type': 'http',
        'method': method,
        'path': path,
        'raw_path': path.encode(),
        'query_string': query.encode(),
        'headers': list(headers),
        'client': (peer, 1234) if peer else None,
    }
    return asyncio.run(_run_request(app, scope, chunks, disconnect))


async def _run_request(app, scope, chunks, disconnect):
    pending = [
        {'type': 'http.request', 'body': chunk, 'more_body': i < len(chunks)}
        for i, chunk in enumerate(chunks, 1)
    ]
    if disconnect:
        pending.append({'type': 'http.disconnect'})
    sent = []

    async def receive():
        if not pending:
            await asyncio.Event().wait()
        return pending.pop(0)

    async def send(message):
        sent.append(message)

    await app(scope, receive, send)
    body = b''.join(message.get('body', b'') for message in sent)
    return Reply(sent[0]['status'], dict(sent[0]['headers']), body)
