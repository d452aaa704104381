"""A fake entry with scripted responses."""

import asyncio
import json

import attrs

# Scripted failures of an entry.
CLOSE = 'close'
NO_RESPONSE = 'no response'
BAD_GATEWAY = 'bad gateway'
# Difference between the first id numbers of successive requests.
IDS_PER_REQUEST = 10_000


def complete(*outputs):
    """Return the response for a complete job."""
    results = [{'task': i, 'output': o} for i, o in enumerate(outputs)]
    return 200, {'results': results}


def refused(type_, verdict='not_run', retry_after_ms=None):
    """Return a refusal."""
    document = {'type': f'urn:azurepier:error:{type_}', 'verdict': verdict}
    if retry_after_ms is not None:
        document['retry_after_ms'] = retry_after_ms
    return 429, document


@attrs.define
class FakeEntry:
    """Responds to job requests from `script`, then with `complete(1)`.

    `requests` holds (method, job id, body) of all job requests. A frozen
    entry accepts connections and does not respond.
    """

    script: list = attrs.field(factory=list)
    requests: list = attrs.field(factory=list)
    id_requests: int = 0
    frozen: bool = False
    server: object = None
    writers: list = attrs.field(factory=list)

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self

    async def stop(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        # Lets the event loop deliver the end of the connections to the client.
        await asyncio.sleep(0.01)

    @property
    def url(self):
        host, port = self.server.sockets[0].getsockname()
        return f'http://{host}:{port}'

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while await self._handle_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _handle_request(self, reader, writer):
        header_lines = (
            (await reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
        )
        method, path, _ = header_lines[0].split()
        fields = dict(
            line.lower().split(': ') for line in header_lines[1:] if line
        )
        body = await reader.readexactly(int(fields.get('content-length', 0)))
        response = self._respond(method, path, body)
        if response == CLOSE:
            return False
        if response == NO_RESPONSE:
            await reader.read()
            return False
        if response == BAD_GATEWAY:
            response = 502, 'bad gateway'
        content = json.dumps(response[1]).encode()
        writer.write(
            b'HTTP/1.1 %d X\r\ncontent-type: application/json\r\n'
            b'content-length: %d\r\n\r\n%b'
            % (response[0], len(content), content)
        )
        await writer.drain()
        return True

    def _respond(self, method, path, body):
        if self.frozen:
            return NO_RESPONSE
        if path == '/healthz':
            return 200, 'ok'
        if path == '/v1/job-ids':
            base = self.id_requests * IDS_PER_REQUEST
            self.id_requests += 1
            port = self.url.rpartition(':')[2]
            numbers = range(base, base + json.loads(body)['count'])
            ids = [f'{port}-{number}' for number in numbers]
            return 200, {'ids': ids, 'expires_in_s': 600}
        job_id = path.split('?')[0].rpartition('/')[2]
        self.requests.append((method, job_id, body))
        return self.script.pop(0) if self.script else complete(1)
