"""Random faults of entries, of their connections and of the store.

Run by hand with a first and a last seed:
``python tests/adapter/config_soak.py 1 200``. With ``links`` as a third
argument, some entries have slow or delayed links and the texts are large.
"""

import asyncio
import logging
import math
import pathlib
import random
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


# Days with slow links are those of deployments with these links (bytes/s),
# delays (s) and bounds (s), and with texts of these sizes (bytes).
LINKS = (9.5e6 / 8, 12.5e6 / 8, 31e6 / 8, math.inf)
DELAYS_S = (0.0, 0.0, 0.005, 0.02)
CONTACT_S = 4.0
APPLY_S = 3.0
TEXTS_BYTES = (10_000, 285_000, 561_000, 837_000)

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


def vary_links(fleet, seed):
    """Give each entry a link of its own."""
    # A generator of its own, so that the faults are those of the seed.
    rng = random.Random(f'links-{seed}')
    fleet.contact_s, fleet.apply_s = CONTACT_S, APPLY_S
    fleet.text_sizes = TEXTS_BYTES
    for entry in fleet.entries.values():
        link = virtual_loop.Link(rng.choice(LINKS), rng.choice(DELAYS_S))
        fleet.loop.links[entry.host] = link


async def _make_changes(fleet):
    # Changes in quick succession would need more than a slow link carries.
    shortest_s, lengths_s = 0.1, (0.6, 5.0, 9.0)
    if fleet.text_sizes:
        shortest_s, lengths_s = 2.0, (3.0, 5.0, 9.0)
    while True:
        longest_s = fleet.rng.choice(lengths_s)
        await asyncio.sleep(fleet.rng.uniform(shortest_s, longest_s))
        if fleet.text_sizes:
            fleet.text_bytes = fleet.rng.choice(fleet.text_sizes)
        fleet.change()


async def play_day(seed, links=False):
    """Play a day; return the fleet.

    Parameters
    ----------
    seed : int
    links : bool, optional
        Whether entries have slow and delayed links, and texts are large.
    """
    size = SIZES[seed % len(SIZES)]
    async with virtual_fleet.running_fleet(seed, size) as fleet:
        rng, loop = fleet.rng, fleet.loop
        if links:
            vary_links(fleet, seed)
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


def main(first, last, links=False):
    """Play the days of some seeds and print what is wrong."""
    logging.disable(logging.CRITICAL)
    broken, worst_s = 0, 0.0
    for seed in range(first, last + 1):
        fleet = virtual_loop.run(lambda seed=seed: play_day(seed, links))
        worst_s = max(worst_s, fleet.worst_recovery_s)
        if fleet.violations:
            broken += 1
            print(f'seed {seed}: {fleet.violations[0]}', flush=True)
    print(
        f'{last - first + 1} days, {broken} with a late version; the longest '
        f'recovery took {worst_s:.2f} s'
    )


if __name__ == '__main__':
    main(*map(int, sys.argv[1:3]), sys.argv[3:] == ['links'])
