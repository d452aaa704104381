"""Tests of the way of a configuration to all entries, on virtual time."""

import asyncio
import random

from adapter import _store
import pytest

from azurepier.dispatch import _config
from azurepier.dispatch import _node
from azurepier import store
from azurepier.store import _follow
from azurepier.testing import virtual_loop

import config_soak
import propagation
import virtual_fleet

# Entries renew their registrations every 2 s from their start on, and return
# the connection to the pool then.
RENEWED_AT_S = 12.02


async def play_silence(change_s, silence_s):
    """Silence all connections between two changes.

    Parameters
    ----------
    change_s, silence_s : float
        Time of the first change before the silence, which starts the watches
        of all entries anew, and of the silence after the renewals (s).
    """
    async with virtual_fleet.running_fleet(seed=1, size=3) as fleet:
        loop = fleet.loop
        silent_at = RENEWED_AT_S + silence_s
        await asyncio.sleep(silent_at - change_s - loop.time())
        fleet.change()
        await asyncio.sleep(silent_at - loop.time())
        for entry in fleet.entries.values():
            fleet.silence(entry)
        await asyncio.sleep(0.4)
        fleet.change()
        await asyncio.sleep(6.0)
        return fleet.violations


class TestSilentConnections:
    @pytest.mark.parametrize('change_s', [0.9, 1.1, 1.3, 1.45])
    def test_retry_of_a_watch_on_another_silent_connection(self, change_s):
        """Guards against a wait for two silent connections in a row."""
        for silence_s in (0.05, 0.2, 0.4):
            assert not virtual_loop.run(
                lambda at=silence_s: play_silence(change_s, at)
            )


class TestAnswersOfTheStore:
    def test_change_that_an_answer_left_out(self):
        """Guards against a watch that continues beyond an unseen change."""

        async def play():
            async with virtual_fleet.running_fleet(seed=1, size=1) as fleet:
                fleet.store.hidden_after = fleet.store.revision
                fleet.change()
                # The watches expire meanwhile, with the newest revision.
                await asyncio.sleep(2.0)
                fleet.store.hidden_after = None
                await asyncio.sleep(virtual_fleet.APPLY_S)
                assert fleet.entries['e0'].version == fleet.version

        virtual_loop.run(play)


def fail_handler(monkeypatch, event_class, failures):
    """Let the entries' handler of an event fail a number of times."""
    handle = _node._EVENTS[event_class]
    left = [failures]

    def fail(node, event, now):
        if left[0]:
            left[0] -= 1
            raise RuntimeError('the handler fails')
        return handle(node, event, now)

    monkeypatch.setitem(_node._EVENTS, event_class, fail)


class TestFailedHandler:
    @pytest.mark.parametrize('failures', [1, 2])
    def test_version_whose_handler_failed(self, monkeypatch, failures):
        """Guards against a version that is delivered and never applied."""

        async def play():
            async with virtual_fleet.running_fleet(seed=1, size=1) as fleet:
                fail_handler(monkeypatch, _config.RoutingLoaded, failures)
                fleet.change()
                await asyncio.sleep(virtual_fleet.APPLY_S)
                assert fleet.entries['e0'].version == fleet.version

        virtual_loop.run(play)

    def test_handler_that_always_fails(self, monkeypatch):
        """Guards against a store that is read without pause, or no more."""

        def fail(node, event, now):
            raise RuntimeError('the handler fails')

        async def play():
            async with virtual_fleet.running_fleet(seed=1, size=1) as fleet:
                entry = fleet.entries['e0']
                monkeypatch.setitem(_node._EVENTS, _config.RoutingLoaded, fail)
                before = len(fleet.store.calls)
                fleet.change()
                await asyncio.sleep(60.0)
                # Of these, 30 are renewals and 12 reads of the entries.
                assert len(fleet.store.calls) - before < 80
                monkeypatch.undo()
                await asyncio.sleep(_follow.REAPPLY_MAX_S)
                assert entry.version == fleet.version

        virtual_loop.run(play)

    def test_pause_after_many_attempts(self):
        """Guards against a pause that grows until it is no number."""

        class Store:
            async def scan(self, prefix, stale_ok):
                return store.Page((), 1)

        async def play():
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(3 * 3600.0):
                    await store.follow(
                        Store(),
                        'op/',
                        lambda page, complete: False,
                        lambda reason: None,
                        random.Random(1),
                    )

        virtual_loop.run(play)

    def test_text_that_is_rejected(self):
        """Guards against a rejected text that hides a later version."""

        async def play():
            async with virtual_fleet.running_fleet(seed=1, size=1) as fleet:
                entry = fleet.entries['e0']
                fleet.store.put(_store.CONFIG_KEY, b'{"version": 99}')
                await asyncio.sleep(10.0)
                assert entry.shell.node.counters['configs_rejected'] == 1
                fleet.change()
                await asyncio.sleep(virtual_fleet.APPLY_S)
                assert entry.version == fleet.version

        virtual_loop.run(play)


def slow_down(fleet, names, link):
    """Give entries links of their own."""
    for name in names:
        link_copy = virtual_loop.Link(link.bytes_per_s, link.delay_s)
        fleet.loop.links[fleet.entries[name].host] = link_copy


class TestSlowLinks:
    @pytest.mark.parametrize('text_bytes', [300_000, 600_000, 900_000])
    def test_copies_of_a_text_fill_the_link(self, text_bytes):
        """Guards against copies that are sent again before they have arrived.

        Entries on the slowest links of a deployment never got a configuration
        that had grown, and no later one.
        """

        async def play():
            async with virtual_fleet.running_fleet(seed=1, size=12) as fleet:
                fleet.contact_s, fleet.apply_s = 4.0, 3.0
                link = virtual_loop.Link(bytes_per_s=9.5e6 / 8)
                slow_down(fleet, ['e1', 'e5', 'e9'], link)
                fleet.text_bytes = text_bytes
                for _ in range(3):
                    fleet.change()
                    await asyncio.sleep(7.0)
                return fleet.violations

        assert not virtual_loop.run(play)

    @pytest.mark.parametrize('entries', [1, 3])
    def test_answer_of_the_store_takes_longer_than_a_watch(self, entries):
        """Guards against an answer that is given up while it arrives.

        It would be asked for again from its start, for ever.
        """

        async def play():
            async with virtual_fleet.running_fleet(1, entries) as fleet:
                link = virtual_loop.Link(bytes_per_s=2e6 / 8)
                slow_down(fleet, fleet.entries, link)
                fleet.text_bytes = 500_000
                fleet.change()
                # The answer has 4/3 of the text and takes 2.7 s.
                await asyncio.sleep(4.0)
                return [
                    entry.name
                    for entry in fleet.entries.values()
                    if entry.version < fleet.version
                ]

        assert virtual_loop.run(play) == []


class TestDelayedLinks:
    @pytest.mark.parametrize('delay_s', [0.12, 0.19, 0.24, 0.3])
    def test_new_connections_over_a_delayed_link(self, delay_s):
        """Guards against attempts that all end before the answer arrives.

        An entry that had lost its connections opened none again while its
        round trips took longer than the limit of each attempt.
        """

        async def play():
            async with virtual_fleet.running_fleet(seed=1, size=12) as fleet:
                fleet.contact_s, fleet.apply_s = 4.0, 3.0
                link = virtual_loop.Link(delay_s=delay_s)
                slow_down(fleet, ['e1'], link)
                await asyncio.sleep(5.0)
                fleet.silence(fleet.entries['e1'])
                for _ in range(4):
                    fleet.change()
                    await asyncio.sleep(4.0)
                return fleet.violations

        assert not virtual_loop.run(play)

    @pytest.mark.parametrize('delay_s', [0.12, 0.3])
    def test_first_read_on_a_new_connection(self, delay_s):
        """Guards against a read whose limit counts the time to connect.

        A call that doesn't wait for a change has 1 s in all, and a new
        connection takes one round trip of it.
        """

        async def play():
            async with virtual_fleet.running_fleet(seed=1, size=1) as fleet:
                link = virtual_loop.Link(delay_s=delay_s)
                slow_down(fleet, ['e0'], link)
                fleet.kill('e0')
                await fleet.start_entry('e0')
                await asyncio.sleep(8.0)
                return fleet.entries['e0'].version == fleet.version

        assert virtual_loop.run(play)


# Paths on which a version may come after each fault of the soak.
FAULTS = {
    '': ['the watch is answered'],
    'silence_all': ['the watch is silent', 'the entries are silent'],
    'cut_from_store': ['the watch is silent', 'the store is unreachable'],
    'restart': ['the entry starts'],
    'refuse': ['the watch is silent', 'the store refuses'],
    'lose_history': [
        'the history is lost',
        'an answer has an older version',
    ],
}


async def measure(fault, network, size, after_s):
    """Return how long a change takes to be in force everywhere.

    Parameters
    ----------
    fault : str
        Function of `config_soak` that disturbs the entries, '' for none.
    network : Network
        Of one entry, which is the one that is disturbed.
    size : int
    after_s : float
        Time from the start of a watch to the fault (s). The change follows
        0.3 s after it.

    Returns
    -------
    float
        Time since the later of the change and the end of the disturbance (s).
    """
    async with virtual_fleet.running_fleet(seed=1, size=size) as fleet:
        loop, entry = fleet.loop, fleet.entries['e0']
        link = virtual_loop.Link(network.bytes_per_s, network.delay_s)
        slow_down(fleet, ['e0'], link)
        fleet.text_bytes = network.text_bytes
        fleet.change()
        await asyncio.sleep(6.0 + after_s)
        if fault:
            disturb = getattr(config_soak, fault)
            loop.create_task(disturb(fleet, entry, 1.0))
        await asyncio.sleep(0.3)
        fleet.change()
        await asyncio.sleep(15.0)
        assert {each.version for each in fleet.entries.values()} == {
            fleet.version
        }
        return fleet.worst_recovery_s


MEGABIT = 1e6 / 8
# Bandwidth of the slowest links (bytes/s), time after a disturbance from which
# on changes have to be followed, and time in which they have to be (s).
DEPLOYMENTS = {
    'small': (500 * MEGABIT, 3.0, 2.0),
    'grown': (9.5 * MEGABIT, 4.0, 3.0),
    'large': (10 * MEGABIT, 5.0, 4.0),
    'design scale': (2 * MEGABIT, 18.0, 18.0),
}
MAX_TEXT_BYTES = 2**20


class TestBounds:
    @pytest.mark.parametrize('name', DEPLOYMENTS)
    def test_sums_of_waits(self, name):
        """Guards against waits in a row that nothing bounds.

        The largest text that the store holds has to come on each path.
        """
        bytes_per_s, contact_s, apply_s = DEPLOYMENTS[name]
        network = propagation.Network(bytes_per_s, 0.0, MAX_TEXT_BYTES)
        for paths, limit_s in (
            (propagation.UNDISTURBED, apply_s),
            (propagation.DISTURBED, contact_s),
        ):
            bounds = propagation.bounds(paths, network)
            assert max(bounds.values()) <= limit_s, bounds

    @pytest.mark.parametrize('size', [1, 12])
    @pytest.mark.parametrize('text_bytes', [10_000, 900_000])
    @pytest.mark.parametrize('fault', FAULTS)
    def test_measured_waits(self, fault, text_bytes, size):
        """Guards against a path with a wait that its bound doesn't have."""
        network = propagation.Network(9.5 * MEGABIT, 0.0, text_bytes)
        bounds = propagation.bounds(
            propagation.UNDISTURBED | propagation.DISTURBED, network
        )
        limit_s = max(bounds[name] for name in FAULTS[fault])
        for step in range(6):
            waited_s = virtual_loop.run(
                lambda step=step: measure(fault, network, size, 0.25 * step)
            )
            assert waited_s <= limit_s, (step, bounds)
