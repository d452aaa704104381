"""Tests of the way of a configuration to all entries, on virtual time."""

import asyncio

import pytest

from azurepier.testing import virtual_loop

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
