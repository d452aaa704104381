"""What grows with the number of entries: connections, quotas and reads."""

import collections
import time

import attrs

from azurepier import config
from azurepier.kernel import messages
from azurepier import limits
from azurepier import membership
from azurepier import testing

ENDPOINTS = 17_000
DOMAINS = 22
ENTRIES = 48
SMALL_ENTRIES = 9
SMALL_ENDPOINTS = 16
# An endpoint process forgets an entry that is gone after about 60 s.
SHORT_DOWN_S = 5.0
LONG_DOWN_S = 80.0
RESTART_S = 10.0
OUTAGE_S = 60.0
QUOTA_ENTRIES = (6, 24)
QUOTA_CUSTOMERS = 20
QUOTA_WARMUP_S = 12.0
QUOTA_S = 5.0
QUOTA_STARTS_PER_TICK = 10


# Connections -------------------------------------------------------------


def _info(number):
    return messages.EntryInfo(
        name=f'entry-{number}',
        incarnation=f'{number:016x}',
        address=f'10.0.0.{number}:7000',
        web_address='',
        domain=f'domain-{number % DOMAINS}',
        draining=False,
    )


def _subsets(numbers):
    directory = membership.Directory(seeds=())
    for number in numbers:
        membership.learn(directory, _info(number), 0.0)
    return [
        {
            info.name
            for info in membership.choose_entries(
                directory, f'endpoint-{number}', f'domain-{number % DOMAINS}'
            )
        }
        for number in range(ENDPOINTS)
    ]


def connection_moves():
    """Return how many connections are new when entries come or go.

    All endpoint processes of the design size choose among `ENTRIES`.
    """
    began = time.process_time()
    base = _subsets(range(ENTRIES))
    used = time.process_time() - began
    changes = {
        'entry_gone': range(1, ENTRIES),
        'entry_added': range(ENTRIES + 1),
        'domain_gone': [n for n in range(ENTRIES) if n % DOMAINS],
    }
    found = {
        'entries': ENTRIES,
        'connections': sum(map(len, base)),
        'subset_us': used / ENDPOINTS * 1e6,
        'by_entry': _spread(base),
    }
    for name, numbers in changes.items():
        after = _subsets(numbers)
        found[name] = sum(len(new - old) for old, new in zip(base, after))
    return found


def _spread(subsets):
    counts = collections.Counter(name for names in subsets for name in names)
    return {'least': min(counts.values()), 'most': max(counts.values())}


def rolling_restart(down_s):
    """Return the connections after each entry has restarted in turn.

    Parameters
    ----------
    down_s : float
        Time between the end of an entry and its next start (s).
    """
    fleet = testing.make_fleet(SMALL_ENTRIES, (1.0,) * SMALL_ENDPOINTS)
    driver = fleet.driver
    first = _connections(fleet)
    for process in list(fleet.entries):
        driver.kill(process)
        driver.run_until(driver.now + down_s)
        fleet.entries.remove(process)
        fleet.add_entry(process.name)
        driver.run_until(driver.now + RESTART_S)
    leader = next(p for p in fleet.entries if p.node.leads)
    return {
        'entries': SMALL_ENTRIES,
        'endpoints': SMALL_ENDPOINTS,
        'down_s': down_s,
        'before': first,
        'after': _connections(fleet),
        'leader_reaches': len(leader.node.by_conn),
    }


def _connections(fleet):
    counts = [len(p.node.by_conn) for p in fleet.endpoints]
    return {'mean': sum(counts) / len(counts), 'most': max(counts)}


def platform_reads():
    """Return reads of the platform per endpoint process.

    At a start beside an entry that can be reached, and while no entry can
    be reached.
    """
    fleet = testing.make_fleet(1, ())
    reads = []
    driver = fleet.driver
    driver.on_platform_read = lambda process: reads.append(driver.now)
    for number in range(SMALL_ENDPOINTS):
        fleet.add_endpoint(f'endpoint-{number}')
    driver.run_until(driver.now + RESTART_S)
    at_start = len(reads)
    driver.kill(fleet.entries[0])
    driver.run_until(driver.now + OUTAGE_S)
    lost = len(reads) - at_start
    return {
        'at_start': at_start / SMALL_ENDPOINTS,
        'per_s_without_entry': lost / SMALL_ENDPOINTS / OUTAGE_S,
    }


# Quotas ------------------------------------------------------------------


@attrs.define
class _Traffic:
    states: dict
    count: int = 0


def _deliver(traffic, sender, addressed, now):
    queue = collections.deque((sender, *item) for item in addressed)
    while queue:
        source, target, msg = queue.popleft()
        traffic.count += 1
        handler = (
            limits.on_request
            if isinstance(msg, messages.QuotaRequest)
            else limits.on_grant
        )
        found = handler(traffic.states[target], source, msg, now)
        queue.extend((target, *item) for item in found)


def _use(state, customer, now):
    """Keep tasks of a customer running and start some of them anew."""
    for _ in range(QUOTA_STARTS_PER_TICK):
        if limits.may_start(state, customer, now):
            limits.record_start(state, customer, now)
    limits.set_waiting(state, customer, QUOTA_STARTS_PER_TICK, now)


def _end(state, customer, now):
    running = state.accounts[customer].running
    for _ in range(running):
        limits.record_end(state, customer, now)


def quota_messages():
    """Return the messages of the quotas by number of entries.

    Every entry has work of every customer all the time.
    """
    return {count: _quota(count) for count in QUOTA_ENTRIES}


def _quota(entries):
    names = [f'entry-{n}' for n in range(entries)]
    plan = config.Plan(
        name='basic', starts_per_s=4000.0, concurrent=1000, queue=1000
    )
    customers = [f'team-{n}' for n in range(QUOTA_CUSTOMERS)]
    traffic = _Traffic({name: limits.create(name) for name in names})
    for state in traffic.states.values():
        limits.set_members(state, names, 0.0)
        limits.set_plans(state, dict.fromkeys(customers, plan), 0.0)
    now, count, used = 0.0, 0, 0.0
    while now < QUOTA_WARMUP_S + QUOTA_S:
        if now == QUOTA_WARMUP_S:
            count, used = traffic.count, 0.0
        for name, state in traffic.states.items():
            for customer in customers:
                _use(state, customer, now)
            began = time.process_time()
            _deliver(traffic, name, limits.on_tick(state, now), now)
            used += time.process_time() - began
            for customer in customers:
                _end(state, customer, now)
        now += limits.TICK_S
    sent = traffic.count - count
    return {
        'per_s_and_customer': sent / QUOTA_S / QUOTA_CUSTOMERS,
        'per_s_customer_and_entry': sent / QUOTA_S / QUOTA_CUSTOMERS / entries,
        'us_per_message': used / max(sent, 1) * 1e6,
    }
