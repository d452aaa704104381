"""A customer that uses little of its limits after it was idle."""

from azurepier import limits
from azurepier.limits.tests import test_messages as exchange


class TestIdleCustomer:
    def test_starts_at_once_at_its_home(self):
        # Guards against a share of nothing, given while nothing was asked
        # for, that counts as a scarce limit and holds the next job back.
        home, *peers = exchange._home()
        now = exchange.START
        for step in range(60):
            for waiting in range(20, 0, -1):
                limits.demand(home, 'a', waiting, now)
                assert limits.may_start(home, 'a', now), (step, waiting)
                limits.started(home, 'a', now)
            limits.demand(home, 'a', 0, now)
            now += 0.05
            for _ in range(20):
                limits.ended(home, 'a', now)
            for _ in range(1 + step % 20):
                now += 0.25
                for peer in peers:
                    exchange._say(home, peer, now, want=0)
                limits.on_tick(home, now)
