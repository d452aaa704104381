"""Tests of the transfer of configurations between entries."""

from azurepier import dispatch
from azurepier.dispatch import _transfer
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import testing

TEXT = b'5' + b' ' * 700_000
VERSION = 5


def make_fleet(entries=3, holders=('e0',)):
    """Return entries, some of which have a version with a large text.

    The others don't hear from the store; `parts` are all that were sent, with
    the names of the receivers.
    """
    fleet = testing.make_pool(entries=entries)
    parts = []
    send = fleet.driver.effect_handlers[effects.Send]

    def note_part(driver, process, effect):
        connection = process.connections.get(effect.conn)
        if connection is not None and isinstance(
            effect.msg, messages.ConfigUpdate
        ):
            (receiver,) = (
                end.name for end, _ in connection.ends if end is not process
            )
            parts.append((receiver, process.name, effect.msg))
        send(driver, process, effect)

    def decode(driver, process, effect):
        routing = dispatch.Routing(int(effect.body), {}, effect.body)
        event = dispatch.RoutingLoaded(routing, effect.source)
        driver.feed(process, event)

    fleet.driver.effect_handlers[effects.Send] = note_part
    fleet.driver.effect_handlers[effects.Decode] = decode
    fleet.store_cut |= set(fleet.entries) - set(holders)
    fleet.run_for(5.0)
    for name in holders:
        load(fleet, name)
    return fleet, parts


def load(fleet, name, version=VERSION, text=TEXT):
    """Let an entry read a version from the store."""
    routing = dispatch.Routing(version, {}, text)
    fleet.driver.feed(fleet.entries[name], dispatch.RoutingLoaded(routing))


def version_of(fleet, name):
    """Return the version that is in force at an entry."""
    return fleet.entries[name].node.routing.version


def feed_part(fleet, name, **changes):
    """Pass a part of the text to an entry; return what it logs."""
    node, now = fleet.entries[name].node, fleet.driver.now
    peer = next(iter(node.peers.values()))
    fields = {
        'version': VERSION,
        'total': 4,
        'checksum': 0,
        'offset': 0,
        'base': 0,
        'body': b'5   ',
    }
    part = messages.ConfigUpdate(**(fields | changes))
    return [
        effect
        for effect in _transfer.on_part(node, peer, part, now)
        if isinstance(effect, effects.Log)
    ]


def receive_chunks(fleet, name, count):
    """Let chunks of an answer of the store arrive, one every 0.1 s."""
    for _ in range(count):
        fleet.driver.feed(fleet.entries[name], dispatch.StoreAnswering())
        fleet.run_for(0.1)


class TestCopies:
    def test_several_entries_have_the_version(self):
        """Guards against a copy of the text from each other entry."""
        fleet, parts = make_fleet(6, ('e0', 'e1', 'e2', 'e3', 'e4'))
        fleet.run_for(2.0)
        assert version_of(fleet, 'e5') == VERSION
        sent = sum(len(part.body) for name, _, part in parts if name == 'e5')
        assert sent == len(TEXT)

    def test_store_sends_it(self):
        """Guards against a second copy beside that of the store."""
        fleet, parts = make_fleet(3, ('e0',))
        fleet.store_cut.clear()
        fleet.watch_store()
        fleet.run_for(0.2)
        for name in ('e1', 'e2'):
            load(fleet, name)
        fleet.run_for(2.0)
        assert not parts

    def test_answer_of_the_store_arrives(self):
        """Guards against a second copy that delays the one of the store."""
        fleet, parts = make_fleet(2)
        receive_chunks(fleet, 'e1', 20)
        sent = sum(len(part.body) for *_, part in parts)
        assert sent <= _transfer.REQUEST_BYTES
        # The answer goes silent.
        fleet.run_for(1.0)
        assert version_of(fleet, 'e1') == VERSION

    def test_answer_of_the_store_never_ends(self):
        """Guards against an entry that waits for a few bytes at a time."""
        fleet, _ = make_fleet(2)
        receive_chunks(fleet, 'e1', 80)
        assert version_of(fleet, 'e1') == VERSION

    def test_entry_of_an_earlier_build(self):
        """Guards against an entry that is never sent the text.

        Earlier builds don't ask for it.
        """
        fleet, parts = make_fleet(3, ())
        for process in fleet.entries.values():
            for peer in process.node.peers.values():
                peer.sends_parts = False
        load(fleet, 'e0')
        fleet.run_for(2.0)
        assert {part.offset for *_, part in parts} == {None}
        assert version_of(fleet, 'e1') == VERSION


class TestLostParts:
    def test_entry_that_was_asked_is_killed(self):
        """Guards against a transfer that starts again from its beginning."""
        fleet, parts = make_fleet(3, ('e0', 'e1'))
        while not any(name == 'e2' for name, *_ in parts):
            fleet.run_for(0.001)
        sender = next(sender for name, sender, _ in parts if name == 'e2')
        fleet.run_for(0.002)
        fleet.driver.kill(fleet.entries[sender])
        before = len(fleet.entries['e2'].node.transfer.data)
        assert before > 0
        del parts[:]
        fleet.run_for(2.0)
        assert version_of(fleet, 'e2') == VERSION
        assert min(part.offset for *_, part in parts) == before

    def test_part_is_lost(self):
        """Guards against a transfer that waits for a lost part for ever."""
        fleet, parts = make_fleet(2)
        send = fleet.driver.effect_handlers[effects.Send]
        left = [2]

        def lose(driver, process, effect):
            if isinstance(effect.msg, messages.ConfigUpdate) and left[0]:
                left[0] -= 1
                return
            send(driver, process, effect)

        fleet.driver.effect_handlers[effects.Send] = lose
        fleet.run_for(3.0)
        assert not left[0]
        assert version_of(fleet, 'e1') == VERSION

    def test_newer_version_while_a_text_is_sent(self):
        """Guards against a request for a version that nobody has any more."""
        fleet, parts = make_fleet(2)
        while not parts:
            fleet.run_for(0.001)
        load(fleet, 'e0', VERSION + 1, b'6' + TEXT[1:])
        fleet.run_for(1.0)
        assert version_of(fleet, 'e1') == VERSION + 1


class TestInvalidParts:
    def test_text_is_damaged(self):
        """Guards against a damaged text that is applied."""
        fleet, parts = make_fleet(2)
        send = fleet.driver.effect_handlers[effects.Send]
        damaged = []

        def damage(driver, process, effect):
            msg = effect.msg
            if isinstance(msg, messages.ConfigUpdate) and not damaged:
                damaged.append(msg)
                msg.body = b'x' + msg.body[1:]
            send(driver, process, effect)

        fleet.driver.effect_handlers[effects.Send] = damage
        fleet.run_for(4.0)
        assert damaged
        assert version_of(fleet, 'e1') == VERSION

    def test_part_beyond_the_text(self):
        """Guards against memory that a malformed part takes."""
        fleet, _ = make_fleet(2, ())
        node = fleet.entries['e1'].node
        node.config_heard = VERSION
        _transfer.update(node, fleet.driver.now)
        for changes in (
            {'total': _transfer.MAX_TEXT_BYTES + 1},
            {'total': -1},
            {'total': None},
            {'checksum': None},
            {'offset': -1},
            {'offset': 2},
            {'offset': 5},
        ):
            (rejected,) = feed_part(fleet, 'e1', **changes)
            assert rejected.event == 'config_part_rejected'
        assert not node.transfer.data

    def test_request_beyond_the_text(self):
        """Guards against an answer to an offset that the text doesn't have."""
        fleet, _ = make_fleet(2)
        node = fleet.entries['e0'].node
        peer = next(iter(node.peers.values()))
        for offset in (-1, len(TEXT) + 1):
            request = messages.ConfigRequest(0, VERSION, offset)
            (effect,) = _transfer.on_request(node, peer, request, 0.0)
            assert effect.event == 'config_request_rejected'


class TestStates:
    def test_transfer_without_an_entry_to_ask(self):
        """Guards against a wait that no later connection ends."""
        fleet, _ = make_fleet(2)
        fleet.driver.partition(fleet.entries['e0'], fleet.entries['e1'])
        fleet.run_for(10.0)
        assert version_of(fleet, 'e1') < VERSION
        fleet.driver.heal(fleet.entries['e0'], fleet.entries['e1'])
        fleet.run_for(4.0)
        assert version_of(fleet, 'e1') == VERSION
        assert fleet.entries['e1'].node.transfer is None
