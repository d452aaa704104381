"""Random faults of entries, of their connections and of the store.

Run by hand with a first and a last seed:
``python tests/adapter/config_soak.py 1 200``.
"""

import asyncio
import logging
import pathlib
import sys

_HERE = pathlib.Path(__file__).parent
_ROOT = _HERE.parents[1]
sys.path[:0] = [str(_ROOT / 'platform'), str(_HERE), str(_ROOT)]

from azurepier.testing import virtual_loop  # noqa: E402

import virtual_fleet  # noqa: E402

DAY_S = 60.0
# The rest of the day, in which what is late shows.
CALM_S = 10.0
SIZES = (3, 5, 12)
REFUSALS = ('unavailable', 'rate_limited', 'reset', 'silent')


async def silence(fleet, entry, duration_s):
    """Silence the connections of one entry."""
    fleet.silence(entry)


async def silence_all(fleet, entry, duration_s):
    """Silence all connections, those to the store too."""
    for each in fleet.entries.values():
        fleet.silence(each)
    fleet.disturb('')


async def cut(fleet, entry, duration_s, others):
    """Cut an entry off from other hosts."""
    pairs = {frozenset((entry.host, host)) for host in others}
    fleet.loop.cuts |= pairs
    hosts = {entry.host, *others} - {virtual_fleet.STORE_HOST}
    fleet.disturb(*hosts, for_s=duration_s)
    for end in fleet.loop.connections(entry.host):
        if end.other.host in others:
            end.silent = end.other.silent = True
    await asyncio.sleep(duration_s)
    fleet.loop.cuts -= pairs


async def cut_from_store(fleet, entry, duration_s):
    """Cut an entry off from the store."""
    await cut(fleet, entry, duration_s, [virtual_fleet.STORE_HOST])


async def cut_from_entries(fleet, entry, duration_s):
    """Cut an entry off from the other entries."""
    hosts = {each.host for each in fleet.entries.values()} - {entry.host}
    await cut(fleet, entry, duration_s, hosts)


async def refuse(fleet, entry, duration_s):
    """Let the store refuse half of the entries."""
    names = fleet.rng.sample(list(fleet.entries), len(fleet.entries) // 2)
    await _refuse(fleet, [fleet.entries[n].host for n in names], duration_s)


async def _refuse(fleet, hosts, duration_s):
    how = fleet.rng.choice(REFUSALS)
    fleet.disturb(*hosts, for_s=duration_s)
    fleet.store_faults |= dict.fromkeys(hosts, how)
    await asyncio.sleep(duration_s)
    for host in hosts:
        fleet.store_faults.pop(host, None)


async def store_down(fleet, entry, duration_s):
    """Let the store refuse all entries."""
    fleet.disturb('', for_s=duration_s)
    hosts = [each.host for each in fleet.entries.values()]
    await _refuse(fleet, hosts, duration_s)


async def lose_history(fleet, entry, duration_s):
    """Let the store drop its history while a change is made."""
    if fleet.held_watches is None:
        await fleet.lose_history()


async def restart(fleet, entry, duration_s):
    """Kill an entry and start it again."""
    if fleet.entries.get(entry.name) is entry:
        fleet.kill(entry.name)
        await asyncio.sleep(duration_s)
        await fleet.start_entry(entry.name)


async def restart_all(fleet, entry, duration_s):
    """Kill all entries and start them again."""
    for each in list(fleet.entries.values()):
        fleet.loop.create_task(restart(fleet, each, duration_s))


FAULTS = (
    silence,
    silence_all,
    cut_from_store,
    cut_from_entries,
    refuse,
    store_down,
    lose_history,
    restart,
    restart_all,
)


async def _make_changes(fleet):
    while True:
        longest_s = fleet.rng.choice((0.6, 5.0, 9.0))
        await asyncio.sleep(fleet.rng.uniform(0.1, longest_s))
        fleet.change()


async def play_day(seed):
    """Play a day; return the fleet."""
    size = SIZES[seed % len(SIZES)]
    async with virtual_fleet.running_fleet(seed, size) as fleet:
        rng, loop = fleet.rng, fleet.loop
        changes = loop.create_task(_make_changes(fleet))
        end_at = loop.time() + DAY_S
        while loop.time() < end_at:
            await asyncio.sleep(rng.uniform(0.2, 6.0))
            if not fleet.entries:
                continue
            entry = rng.choice(list(fleet.entries.values()))
            duration_s = rng.uniform(0.1, rng.choice((1.5, 6.0)))
            fault = rng.choice(FAULTS)
            loop.create_task(fault(fleet, entry, duration_s))
        changes.cancel()
        await asyncio.sleep(CALM_S)
        return fleet


def main(first, last):
    """Play the days of some seeds and print what is wrong."""
    logging.disable(logging.CRITICAL)
    broken, worst_s = 0, 0.0
    for seed in range(first, last + 1):
        fleet = virtual_loop.run(lambda seed=seed: play_day(seed))
        worst_s = max(worst_s, fleet.worst_recovery_s)
        if fleet.violations:
            broken += 1
            print(f'seed {seed}: {fleet.violations[0]}', flush=True)
    print(
        f'{last - first + 1} days, {broken} with a late version; the longest '
        f'recovery took {worst_s:.2f} s'
    )


if __name__ == '__main__':
    main(*map(int, sys.argv[1:3]))
