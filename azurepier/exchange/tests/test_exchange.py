"""Requests for configurations between processes."""

from azurepier import config
from azurepier import exchange
from azurepier.kernel import messages
from azurepier import testing


def make_pair():
    """Return exchange and adoption of two processes with version 1."""
    pair = []
    for _ in range(2):
        adoption = config.Adoption()
        config.adopt(adoption, testing.configuration(version=1))
        state = exchange.ConfigExchange()
        exchange.record_current(state, adoption)
        pair.append((state, adoption))
    return pair


def request(state, adoption, version, now):
    """Return the request that a heartbeat with a newer version leads to."""
    (send,) = exchange.on_version(state, adoption, 1, version, now)
    return send.msg


class TestDelta:
    def test_asked_for_again_after_a_full_configuration(self):
        """Guards against full configurations for good after one failure."""
        (state, adoption), (peer_state, peer_adoption) = make_pair()
        broken = messages.ConfigUpdate(version=2, base=1, body=b'{}')
        assert not exchange.on_update(state, adoption, broken)
        for version, have in ((2, 0), (3, 2)):
            cfg = testing.configuration(version=version)
            config.adopt(peer_adoption, cfg)
            exchange.record_current(peer_state, peer_adoption)
            msg = request(state, adoption, version, 10.0 * version)
            assert msg.have == have
            (send,) = exchange.on_request(peer_state, peer_adoption, 1, msg)
            assert exchange.on_update(state, adoption, send.msg)
            assert adoption.current.version == version
