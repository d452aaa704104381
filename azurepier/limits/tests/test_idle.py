"""Test of a customer that stays far below its limits between idle periods."""

from azurepier import limits
from azurepier.limits.tests import test_messages as exchange


class TestIdleCustomer:
    def test_starts_immediately_at_its_home(self):
        # Guards against a limit that counts as scarce because the share was 0
        # while no demand was reported, which delays the next job.
        home, *peers = exchange._create_home()
        now = exchange.START
        for step in range(60):
            for waiting in range(20, 0, -1):
                limits.set_waiting(home, 'a', waiting, now)
                assert limits.may_start(home, 'a', now), (step, waiting)
                limits.record_start(home, 'a', now)
            limits.set_waiting(home, 'a', 0, now)
            now += 0.05
            for _ in range(20):
                limits.record_end(home, 'a', now)
            for _ in range(1 + step % 20):
                now += 0.25
                for peer in peers:
                    exchange._send_report(home, peer, now, demand=0)
                limits.on_tick(home, now)
