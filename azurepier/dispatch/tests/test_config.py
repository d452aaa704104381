"""Tests of how entries pass on the versions of the configuration."""

from azurepier import dispatch
from azurepier.dispatch import _config
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import testing
from azurepier.testing import queue

NEWEST = 5


def make_fleet(accepts=lambda process, number: True):
    """Return entries that decode the updates of each other.

    `accepts(process, number)` tells whether an entry can decode the update
    that is its number-th, counted from 1.
    """
    fleet = testing.make_pool()
    decoded = {}

    def decode(driver, process, effect):
        decoded[process.name] = decoded.get(process.name, 0) + 1
        if accepts(process, decoded[process.name]):
            routing = dispatch.Routing(int(effect.body), {}, effect.body)
            driver.feed(
                process, dispatch.RoutingLoaded(routing, effect.source)
            )

    fleet.driver.effect_handlers[effects.Decode] = decode
    return fleet, decoded


def load(fleet, name, version=NEWEST):
    """Let an entry read a version from the store."""
    routing = dispatch.Routing(
        version, {('h', '/q/'): queue()}, str(version).encode()
    )
    fleet.driver.feed(fleet.entries[name], dispatch.RoutingLoaded(routing))


def versions(fleet):
    """Return the versions that are in force."""
    return {
        name: process.node.routing.version
        for name, process in fleet.entries.items()
    }


def drop_updates(monkeypatch, fleet, count):
    """Lose updates on their way, on connections that stay open."""
    left = [count]
    send = fleet.driver.effect_handlers[effects.Send]

    def lose(driver, process, effect):
        if isinstance(effect.msg, messages.ConfigUpdate) and left[0]:
            left[0] -= 1
            return
        send(driver, process, effect)

    monkeypatch.setitem(fleet.driver.effect_handlers, effects.Send, lose)


class TestOffers:
    def test_version_that_a_peer_did_not_take(self):
        """Guards against a sent version that counts as known."""
        fleet, _ = make_fleet(lambda process, number: number > 1)
        load(fleet, 'e0')
        fleet.run_for(2.0)
        assert versions(fleet) == dict.fromkeys(fleet.entries, NEWEST)

    def test_update_that_was_lost(self, monkeypatch):
        """Guards against a lost update that is never repeated."""
        fleet, _ = make_fleet()
        drop_updates(monkeypatch, fleet, 2)
        load(fleet, 'e0')
        fleet.run_for(2.0)
        assert versions(fleet) == dict.fromkeys(fleet.entries, NEWEST)

    def test_applied_version_is_not_sent_again(self):
        """Guards against traffic for entries that have the version."""
        fleet, decoded = make_fleet()
        load(fleet, 'e0')
        fleet.run_for(30.0)
        assert max(decoded.values()) == 1

    def test_peer_that_never_takes_it(self):
        """Guards against a configuration that is sent without pause."""
        fleet, decoded = make_fleet(lambda process, number: False)
        load(fleet, 'e0')
        fleet.run_for(60.0)
        # At 0, 1.25, 3.75, 8.75, 18.75, 38.75 and 58.75 s, until the next
        # heartbeat each.
        assert 4 <= max(decoded.values()) <= 7

    def test_pause_after_many_attempts(self):
        """Guards against a pause that grows until it is no number.

        Entries of earlier builds are sent the whole text.
        """
        fleet, _ = make_fleet(lambda process, number: False)
        load(fleet, 'e0')
        node = fleet.entries['e0'].node
        (peer, *_), now = node.peers.values(), fleet.driver.now
        peer.sends_parts = False
        for _ in range(2000):
            now += _config.OFFER_TIMEOUT_MAX_S
            assert _config.offer(node, peer, now)

    def test_next_version_is_sent_at_once(self):
        """Guards against a pause that applies to a newer version."""
        fleet, _ = make_fleet(lambda process, number: number > 3)
        # These entries hear of versions from other entries alone.
        fleet.store_cut |= {'e1', 'e2'} & set(fleet.entries)
        load(fleet, 'e0')
        fleet.run_for(12.0)
        load(fleet, 'e0', NEWEST + 1)
        fleet.run_for(0.1)
        assert set(versions(fleet).values()) == {NEWEST + 1}


class TestHeard:
    def test_version_of_a_heartbeat(self):
        """Guards against a version that is known of and not looked for."""
        fleet, _ = make_fleet(lambda process, number: False)
        load(fleet, 'e0')
        fleet.run_for(3.0)
        node = fleet.entries['e1'].node
        now = fleet.driver.now
        assert dispatch.status(node, now)['config_heard'] == NEWEST
        assert _config.behind_s(node, now) > 2.0
        sources = [
            effect.fields['source']
            for _, name, effect in fleet.driver.log_effects
            if name == 'e1'
            and effect.event == 'config_heard'
            and effect.fields['version'] == NEWEST
        ]
        assert len(sources) == 1
