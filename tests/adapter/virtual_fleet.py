"""Entries as whole programs on virtual time, beside a store with faults.

A change has to be in force `APPLY_S` after the store has acknowledged it, at
each entry that has run undisturbed for `CONTACT_S` with a store that was sound
for as long.
"""

import asyncio
import contextlib
import functools
import random

from adapter import _entry
from adapter import _listening
from adapter import _process
from adapter import _settings
from adapter import _store
import attrs
import orjson

from azurepier.testing import virtual_loop
from standins import _server

import fakes

CONTACT_S = 3.0
APPLY_S = 2.0
# Time of an answer of the store (s), and time before a loss of its history in
# which no watch is answered (s).
ANSWER_S = 0.004
HELD_S = 1.26
SAMPLE_S = 0.05
STORE_HOST = '10.200.1.7'


def config_body(version, text_bytes=0):
    """Return a configuration with one route, of a minimum size."""
    route = {
        'name': 'r',
        'hostname': 'h',
        'path_prefix': f'/v{version}/',
        'service': 'pool',
    }
    cfg = {'version': version, 'routes': [route]}
    # An unknown field, which is ignored.
    return orjson.dumps(cfg | {'filler': 'x' * text_bytes})


@attrs.define(eq=False)
class Entry:
    """A running entry process."""

    name: str
    host: str
    shell: object

    @property
    def version(self):
        """Version of the configuration in force, -1 for none."""
        routing = self.shell.node.routing
        return -1 if routing is None else routing.version


@attrs.define(eq=False)
class Fleet:
    """Entries, their store and the operator.

    Attributes
    ----------
    shells : dict of str to Shell
        The latest one that was made on each host.
    store_faults : dict of str to str
        Fault of the store by host: 'unavailable' (503), 'rate_limited' (429),
        'reset' or 'silent'.
    calm_since : dict of str to float
        Time of the end of the latest disturbance by host; '' is the store (s).
    held_watches : asyncio.Event or None
        While the store answers no watch: is set when it resets them.
    acknowledged : list of tuple
        Time and version of each change.
    violations : list of str
    worst_lag_s : float
        Longest time from a change to its effect at an undisturbed entry (s).
    worst_recovery_s : float
        Longest time until a change was in force at an entry that ran, counted
        from the change or the end of the latest disturbance (s).
    text_bytes : int
        Minimum size of the next configurations.
    text_sizes : tuple of int
        Sizes of which days of random faults choose, empty for small ones.
    contact_s, apply_s : float
        Time without a disturbance after which an entry has to follow changes,
        and time in which it has to (s).
    """

    loop: object
    rng: random.Random
    store: object = attrs.field(factory=fakes.FakeStore)
    entries: dict = attrs.field(factory=dict)
    shells: dict = attrs.field(factory=dict)
    store_faults: dict = attrs.field(factory=dict)
    calm_since: dict = attrs.field(factory=dict)
    acknowledged: list = attrs.field(factory=list)
    violations: list = attrs.field(factory=list)
    worst_lag_s: float = 0.0
    worst_recovery_s: float = 0.0
    held_watches: asyncio.Event | None = None
    version: int = 0
    text_bytes: int = 0
    text_sizes: tuple = ()
    contact_s: float = CONTACT_S
    apply_s: float = APPLY_S

    def disturb(self, *hosts, for_s=0.0):
        """Note a disturbance of hosts that lasts for some time from now."""
        end = self.loop.time() + for_s
        for host in hosts:
            self.calm_since[host] = max(self.calm_since.get(host, 0.0), end)

    def change(self):
        """Write a configuration, as the operator does."""
        self.version += self.rng.randint(1, 4)
        self.store.put(
            _store.CONFIG_KEY, config_body(self.version, self.text_bytes)
        )
        self.acknowledged.append((self.loop.time(), self.version))

    async def _handle(self, host, req):
        await asyncio.sleep(ANSWER_S)
        fault = self.store_faults.get(host)
        if fault == 'silent':
            await self.loop.create_future()
        if fault == 'reset':
            return None
        if fault is not None:
            return _server.Reply(
                {}, {'unavailable': 503, 'rate_limited': 429}[fault]
            )
        reply = await self.store.handle(req)
        if self.held_watches is not None and req.path == '/kv-watch':
            await self.held_watches.wait()
            return None
        return reply

    async def start_entry(self, name):
        """Start or restart an entry."""
        number = int(name[1:])
        host = f'10.0.0.{number + 1}'
        self.disturb(host)
        context_host = virtual_loop.HOST.set(STORE_HOST)
        server = await _server.start(functools.partial(self._handle, host))
        virtual_loop.HOST.set(host)
        # The stand-in listens on loopback, as seen from every host.
        sock = virtual_loop.ListeningSocket(STORE_HOST, server.port)
        self.loop.servers[sock.getsockname()] = server._server
        settings = _settings.Settings(
            name=name,
            domain=f'd{number % 3}',
            ip=host,
            inner_port=7000,
            seed_hosts=tuple(f'10.0.0.{each}' for each in (1, 2, 3)),
            front=f'{host}:8161',
            ready=f'{host}:8167',
            control=None,
            worker=None,
            pool='',
            store=f'{STORE_HOST}:{server.port}',
            grace_s=6.0,
        )
        sockets = _listening.ListeningSockets(
            **{
                key: virtual_loop.ListeningSocket(host, port)
                for key, port in (
                    ('metrics', 9464),
                    ('front', 8161),
                    ('ready', 8167),
                    ('inner', 7000),
                )
            }
        )
        rng = random.Random(self.rng.random())
        self.shells.pop(host, None)
        self.loop.create_task(_entry.run_entry(settings, sockets, rng))
        virtual_loop.HOST.reset(context_host)
        while host not in self.shells:
            await asyncio.sleep(0)
        self.entries[name] = Entry(name, host, self.shells[host])

    def kill(self, name):
        """Kill an entry."""
        entry = self.entries.pop(name)
        entry.shell.closing = True
        self.loop.kill(entry.host)

    async def lose_history(self):
        """Leave watches unanswered, make a change, drop the history."""
        self.disturb('', for_s=HELD_S)
        self.held_watches = asyncio.Event()
        await asyncio.sleep(HELD_S * self.rng.random())
        self.change()
        await asyncio.sleep(HELD_S / 2)
        self.store.discard_history()
        held, self.held_watches = self.held_watches, None
        held.set()

    def silence(self, entry):
        """Let all open connections of an entry go silent for good."""
        for end in self.loop.connections(entry.host):
            end.silent = end.other.silent = True
            self.disturb(*{end.host, end.other.host} - {STORE_HOST})

    async def check(self):
        """Compare the entries with what was acknowledged."""
        while True:
            await asyncio.sleep(SAMPLE_S)
            for entry in self.entries.values():
                if entry.version >= 0:
                    self._check_entry(entry)

    def _check_entry(self, entry):
        now = self.loop.time()
        missing = [
            each for each in self.acknowledged if each[1] > entry.version
        ]
        if not missing:
            return
        changed_at, version = missing[0]
        calm_since = max(
            self.calm_since.get('', 0.0), self.calm_since[entry.host]
        )
        recovery_s = now - max(changed_at, calm_since)
        self.worst_recovery_s = max(self.worst_recovery_s, recovery_s)
        if now - calm_since < self.contact_s:
            return
        lag_s = now - changed_at
        self.worst_lag_s = max(self.worst_lag_s, lag_s)
        if lag_s > self.apply_s:
            self.violations.append(
                f'{now:.2f} s: {entry.name} has {entry.version}, but '
                f'{version} was acknowledged {lag_s:.2f} s before'
            )


@contextlib.contextmanager
def _keeping_shells(fleet):
    """Note the shells of all processes that start meanwhile."""
    make_shell = _process.make_shell

    def keep_shell(module, node):
        shell = make_shell(module, node)
        fleet.shells[virtual_loop.HOST.get()] = shell
        return shell

    _process.make_shell = keep_shell
    try:
        yield
    finally:
        _process.make_shell = make_shell


@contextlib.asynccontextmanager
async def running_fleet(seed, size):
    """Yield a fleet that has been running for some seconds."""
    loop = asyncio.get_running_loop()
    fleet = Fleet(loop, random.Random(seed))
    with _keeping_shells(fleet):
        fleet.change()
        for index in range(size):
            await fleet.start_entry(f'e{index}')
        await asyncio.sleep(5.0)
        check = loop.create_task(fleet.check())
        try:
            yield fleet
        finally:
            check.cancel()
            for name in list(fleet.entries):
                fleet.kill(name)
