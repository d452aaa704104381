"""Connections, quota messages and platform reads by number of entries."""

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
# Times between the end of an entry and its restart, shorter and longer than
# the time after which an endpoint process removes an unreachable entry from
# its directory (about 60 s).
SHORT_DOWNTIME_S = 5.0
LONG_DOWNTIME_S = 80.0
RECONNECT_S = 10.0
OUTAGE_S = 60.0
QUOTA_ENTRIES = (6, 24)
QUOTA_CUSTOMERS = 20
QUOTA_WARMUP_S = 12.0
QUOTA_MEASUREMENT_S = 5.0
QUOTA_STARTS_PER_TICK = 10


def _make_entry_info(number):
    return messages.EntryInfo(
        name=f'entry-{number}',
        incarnation=f'{number:016x}',
        address=f'10.0.0.{number}:7000',
        web_address='',
        domain=f'domain-{number % DOMAINS}',
        draining=False,
    )


def _choose_subsets(entry_numbers):
    """Return the names of the entries that each endpoint connects to."""
    directory = membership.Directory(seeds=())
    for number in entry_numbers:
        membership.learn(directory, _make_entry_info(number), 0.0)
    return [
        {
            info.name
            for info in membership.choose_entries(
                directory, f'endpoint-{number}', f'domain-{number % DOMAINS}'
            )
        }
        for number in range(ENDPOINTS)
    ]


def measure_connection_moves():
    """Return how many connections change when entries are added or removed.

    `ENDPOINTS` endpoint processes choose among `ENTRIES` entries.
    """
    cpu_start_s = time.process_time()
    subsets_before = _choose_subsets(range(ENTRIES))
    cpu_used_s = time.process_time() - cpu_start_s
    changed_entries = {
        'entry_gone': range(1, ENTRIES),
        'entry_added': range(ENTRIES + 1),
        'domain_gone': [n for n in range(ENTRIES) if n % DOMAINS],
    }
    result = {
        'entries': ENTRIES,
        'connections': sum(map(len, subsets_before)),
        'subset_us': cpu_used_s / ENDPOINTS * 1e6,
        'by_entry': _connections_per_entry(subsets_before),
    }
    for name, numbers in changed_entries.items():
        subsets_after = _choose_subsets(numbers)
        result[name] = sum(
            len(new - old) for old, new in zip(subsets_before, subsets_after)
        )
    return result


def _connections_per_entry(subsets):
    counts = collections.Counter(name for names in subsets for name in names)
    return {'least': min(counts.values()), 'most': max(counts.values())}


def measure_rolling_restart(downtime_s):
    """Return the connections before and after a restart of each entry.

    Parameters
    ----------
    downtime_s : float
        Time between the end of an entry and its restart (s).
    """
    fleet = testing.make_fleet(SMALL_ENTRIES, (1.0,) * SMALL_ENDPOINTS)
    driver = fleet.driver
    connections_before = _connections_per_endpoint(fleet)
    for process in list(fleet.entries):
        driver.kill(process)
        driver.run_until(driver.now + downtime_s)
        fleet.entries.remove(process)
        fleet.add_entry(process.name)
        driver.run_until(driver.now + RECONNECT_S)
    leader = next(entry for entry in fleet.entries if entry.node.leads)
    return {
        'entries': SMALL_ENTRIES,
        'endpoints': SMALL_ENDPOINTS,
        'down_s': downtime_s,
        'before': connections_before,
        'after': _connections_per_endpoint(fleet),
        'leader_reaches': len(leader.node.by_conn),
    }


def _connections_per_endpoint(fleet):
    counts = [len(p.node.by_conn) for p in fleet.endpoints]
    return {'mean': sum(counts) / len(counts), 'most': max(counts)}


def measure_platform_reads():
    """Return the reads of the platform per endpoint process.

    Returns
    -------
    dict
        Reads during the start with a reachable entry, and reads per second
        while no entry is reachable.
    """
    fleet = testing.make_fleet(1, ())
    read_times = []
    driver = fleet.driver
    driver.on_platform_read = lambda process: read_times.append(driver.now)
    for number in range(SMALL_ENDPOINTS):
        fleet.add_endpoint(f'endpoint-{number}')
    driver.run_until(driver.now + RECONNECT_S)
    reads_at_start = len(read_times)
    driver.kill(fleet.entries[0])
    driver.run_until(driver.now + OUTAGE_S)
    reads_without_entry = len(read_times) - reads_at_start
    return {
        'at_start': reads_at_start / SMALL_ENDPOINTS,
        'per_s_without_entry': reads_without_entry
        / SMALL_ENDPOINTS
        / OUTAGE_S,
    }


@attrs.define
class _QuotaNetwork:
    states: dict
    message_count: int = 0


def _deliver(network, sender, addressed_msgs, now):
    """Deliver (receiver, message) pairs and all replies to them."""
    queue = collections.deque((sender, *item) for item in addressed_msgs)
    while queue:
        source, target, msg = queue.popleft()
        network.message_count += 1
        handler = (
            limits.on_request
            if isinstance(msg, messages.QuotaRequest)
            else limits.on_grant
        )
        replies = handler(network.states[target], source, msg, now)
        queue.extend((target, *item) for item in replies)


def _start_tasks(state, customer, now):
    """Start tasks within the quota of a customer; others keep waiting."""
    for _ in range(QUOTA_STARTS_PER_TICK):
        if limits.may_start(state, customer, now):
            limits.record_start(state, customer, now)
    limits.set_waiting(state, customer, QUOTA_STARTS_PER_TICK, now)


def _end_tasks(state, customer, now):
    running = state.accounts[customer].running
    for _ in range(running):
        limits.record_end(state, customer, now)


def measure_quota_messages():
    """Return the number and cost of quota messages by number of entries.

    Every entry has waiting tasks of every customer at all times.
    """
    return {count: _measure_quota(count) for count in QUOTA_ENTRIES}


def _measure_quota(entries):
    names = [f'entry-{n}' for n in range(entries)]
    plan = config.Plan(
        name='basic', starts_per_s=4000.0, concurrent=1000, queue=1000
    )
    customers = [f'team-{n}' for n in range(QUOTA_CUSTOMERS)]
    network = _QuotaNetwork({name: limits.create(name) for name in names})
    for state in network.states.values():
        limits.set_members(state, names, 0.0)
        limits.set_plans(state, dict.fromkeys(customers, plan), 0.0)
    now, messages_before, cpu_used_s = 0.0, 0, 0.0
    while now < QUOTA_WARMUP_S + QUOTA_MEASUREMENT_S:
        if now == QUOTA_WARMUP_S:
            messages_before, cpu_used_s = network.message_count, 0.0
        for name, state in network.states.items():
            for customer in customers:
                _start_tasks(state, customer, now)
            cpu_start_s = time.process_time()
            _deliver(network, name, limits.on_tick(state, now), now)
            cpu_used_s += time.process_time() - cpu_start_s
            for customer in customers:
                _end_tasks(state, customer, now)
        now += limits.TICK_S
    sent = network.message_count - messages_before
    return {
        'per_s_and_customer': sent / QUOTA_MEASUREMENT_S / QUOTA_CUSTOMERS,
        'per_s_customer_and_entry': sent
        / QUOTA_MEASUREMENT_S
        / QUOTA_CUSTOMERS
        / entries,
        'us_per_message': cpu_used_s / max(sent, 1) * 1e6,
    }
