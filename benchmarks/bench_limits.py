"""Use and overshoot of customers' limits over several entries.

Run with::

    python -m benchmarks.bench_limits [--seed 1] [--quick]

Entries run on virtual time and are joined by a network with 0.5 to 1.5 ms
delay; their clocks differ by up to 2 %. Jobs of 10 tasks arrive at random
with 1.5 times the limit, evenly or mostly at one entry. The limit is either
one of 1000 starts/s or one of 100 running tasks of 0.1 s. Compared are:

leases
    `azurepier.limits` as it is.
no wait
    The same, but a new home lends at once instead of waiting until it knows
    what the other entries hold.
static
    Each entry has the limit divided by the number of entries.
none
    Each entry has the whole limit.

Figures
-------
used
    Tasks started over what the limit allows, from 5 s to 25 s; the demand is
    more at all times. In brackets the 4 s after the fault at 10 s.
over
    Largest number of running tasks above the limit or of starts beyond the
    token bucket (0.1 s of the limit or one job), in percent of the limit (of
    1 s), and how long running tasks were above it.
messages
    Per second and customer: in all, and sent by each entry on average.
"""

import json
import time

import attrs
import click

from azurepier.kernel import messages
from azurepier import limits
from benchmarks import _limits_cluster as clusters

START_S = 5.0
FAULT_S = 10.0
AFTER_S = FAULT_S + 2 * limits.LEASE_S
END_S = 25.0
FREEZE_S = 6.0
OVERLOAD = 1.5
JOB_TASKS = 10
SKEW = 0.8  # part of the jobs that arrive at one entry
# Seconds until the other entries see that one is gone.
DEATH_SEEN_S = (0.05, 0.2)
FREEZE_SEEN_S = (1.5, 2.0)
COUNTS = (2, 3, 10, 100)
CUSTOMERS = 780
CPU_ROUNDS = 20
BACKGROUND_S = 4.0
BACKGROUNDS = ((3, 780, 3), (3, 780, 1), (100, 100, 100))


@attrs.frozen
class Case:
    """A limit and the run time of the tasks that reach it."""

    name: str
    plan: clusters.Plan
    task_s: float
    per_s: float


CASES = (
    Case('starts', clusters.Plan(1000.0, 5000, 100), 0.1, 1000.0),
    Case('running', clusters.Plan(5000.0, 100, 100), 0.1, 1000.0),
)


@attrs.frozen
class Setting:
    """One run of the benchmark."""

    case: Case
    count: int
    skewed: bool
    fault: str  # a key of FAULTS
    mode: str


def _create(setting, seed):
    plan = setting.case.plan
    alone = None
    if setting.mode == 'none':
        alone = {'a': plan}
    elif setting.mode == 'static':
        part = clusters.Plan(
            plan.starts_per_s / setting.count,
            max(1, plan.concurrent // setting.count),
            max(1, plan.largest_job // setting.count),
        )
        alone = {'a': part}
    names = [f'e{index}' for index in range(setting.count)]
    wait = setting.mode != 'no wait'
    return clusters.create(names, {'a': plan}, seed, wait, alone)


def _arrive(cluster, setting):
    """Let a job arrive at a working entry and schedule the next one."""
    rng = cluster.rng
    names = [
        name
        for name, node in cluster.nodes.items()
        if node.frozen_until <= cluster.now
    ]
    name = names[0]
    if not setting.skewed or rng.random() >= SKEW:
        name = rng.choice(names)
    case = setting.case
    clusters.submit(cluster, name, 'a', JOB_TASKS, case.task_s)
    rate = case.per_s * OVERLOAD / JOB_TASKS
    due = cluster.now + rng.expovariate(rate)
    clusters.at(cluster, due, _arrive, setting)


def _see_without(cluster, name, delays):
    others = [other for other in cluster.nodes if other != name]
    for other in others:
        due = cluster.now + cluster.rng.uniform(*delays)
        clusters.at(cluster, due, clusters.see, other, others)


def _kill(cluster, name):
    clusters.kill(cluster, name)
    _see_without(cluster, name, DEATH_SEEN_S)


def _home(cluster):
    state = next(iter(cluster.nodes.values())).state
    return state.accounts['a'].home


def _kill_home(cluster):
    _kill(cluster, _home(cluster))


def _kill_loaded(cluster):
    _kill(cluster, next(iter(cluster.nodes)))


def _freeze_loaded(cluster):
    """Freeze an entry, which the others remove; it joins them later."""
    name = next(iter(cluster.nodes))
    clusters.freeze(cluster, name, FREEZE_S)
    _see_without(cluster, name, FREEZE_SEEN_S)
    names = list(cluster.nodes)
    for other in names:
        due = cluster.now + FREEZE_S
        due += cluster.rng.uniform(*DEATH_SEEN_S)
        clusters.at(cluster, due, clusters.see, other, names)


FAULTS = {
    'none': lambda cluster: None,
    'home dies': _kill_home,
    'loaded dies': _kill_loaded,
    'loaded frozen': _freeze_loaded,
}


def run(setting, seed):
    """Run one setting.

    Returns
    -------
    dict
        The figures of the module's description.
    """
    cluster = _create(setting, seed)
    _arrive(cluster, setting)
    watch = cluster.watches['a']
    clusters.run(cluster, START_S)
    sent, begun = cluster.sent, watch.starts
    clusters.run(cluster, FAULT_S)
    before = watch.starts
    FAULTS[setting.fault](cluster)
    clusters.run(cluster, AFTER_S)
    after = watch.starts
    clusters.run(cluster, END_S)
    allowed = setting.case.per_s * (END_S - START_S)
    rate = (cluster.sent - sent) / (END_S - START_S)
    plan = watch.limit
    return {
        'used': (watch.starts - begun) / allowed,
        'used_after_fault': (after - before)
        / (setting.case.per_s * (AFTER_S - FAULT_S)),
        'over_running': max(0, watch.over_running) / plan.concurrent,
        'over_running_s': watch.over_s,
        'over_starts': max(0.0, watch.over_tokens) / plan.starts_per_s,
        'messages_per_s': rate,
        'messages_per_s_and_entry': rate / setting.count,
    }


def settings(quick=False):
    """Yield the settings of all runs, in the order of the table."""
    counts = (3,) if quick else COUNTS
    for case in CASES:
        for count in counts:
            for skewed in (False, True):
                for mode in ('leases', 'static', 'none'):
                    yield Setting(case, count, skewed, 'none', mode)
        for count in counts:
            for mode in ('leases', 'no wait'):
                yield Setting(case, count, False, 'home dies', mode)
            for fault in list(FAULTS)[1:]:
                for mode in ('leases', 'no wait', 'static', 'none'):
                    yield Setting(case, count, True, fault, mode)


def _hot_path_us():
    """Return the least time of `may_start` and `record_start` of one task."""
    state = limits.create('e0')
    names = [f'c{index}' for index in range(CUSTOMERS)]
    plan = clusters.Plan(1e6, 10**6, 140)
    limits.set_plans(state, dict.fromkeys(names, plan), 1.0)
    limits.set_members(state, ['e0', 'e1', 'e2'], 1.0)
    now = 100.0
    limits.on_tick(state, now)
    for name in names:
        limits.allowance(state, name, now)
    best = float('inf')
    for _ in range(CPU_ROUNDS):
        begun = time.perf_counter()
        for name in names:
            if limits.may_start(state, name, now):
                limits.record_start(state, name, now)
        best = min(best, time.perf_counter() - begun)
    return best / CUSTOMERS * 1e6


def _background(entries, customers, busy):
    """Measure the exchange for customers that want more than their limit.

    Parameters
    ----------
    entries, customers : int
    busy : int
        Entries with demand.

    Returns
    -------
    dict
        Messages per second and the CPU time for ticks and messages, in
        percent of a core and without the encoding, per entry.
    """
    names = [f'e{index}' for index in range(entries)]
    plans = {f'c{index}': CASES[0].plan for index in range(customers)}
    states = {name: limits.create(name) for name in names}
    for state in states.values():
        limits.set_plans(state, plans, 0.0)
        limits.set_members(state, names, 0.0)
    for name in names[:busy]:
        for customer in plans:
            limits.set_waiting(states[name], customer, 10**6, 0.0)
    _exchange(states, 0.0, START_S)
    begun = time.perf_counter()
    sent = _exchange(states, START_S, START_S + BACKGROUND_S)
    spent = time.perf_counter() - begun
    return {
        'entries': entries,
        'customers': customers,
        'busy': busy,
        'messages_per_s': sent / BACKGROUND_S / entries,
        'cpu_percent': spent / BACKGROUND_S / entries * 100,
    }


def _exchange(states, start, end):
    """Let the entries tick and handle all messages; return their number."""
    handlers = {
        messages.QuotaRequest: limits.on_request,
        messages.QuotaGrant: limits.on_grant,
    }
    sent = 0
    for tick in range(int((end - start) / limits.TICK_S)):
        now = start + tick * limits.TICK_S
        for source, state in states.items():
            queue = [(source, *out) for out in limits.on_tick(state, now)]
            while queue:
                sender, name, msg = queue.pop()
                sent += 1
                handle = handlers[type(msg)]
                out = handle(states[name], sender, msg, now)
                queue += [(name, *answer) for answer in out]
    return sent


def measure(seed=1, quick=False):
    """Run all settings.

    Parameters
    ----------
    seed : int
    quick : bool
        Whether to run 3 entries only.

    Returns
    -------
    dict
        ``'runs'``: list of dicts with the setting and its figures;
        ``'start_us'``: CPU time of `may_start` and `record_start` per task
        (us);
        ``'background'``: list of dicts with the cost of the exchange.
    """
    found = []
    for setting in settings(quick):
        label = {
            'limit': setting.case.name,
            'entries': setting.count,
            'demand': 'skewed' if setting.skewed else 'even',
            'fault': setting.fault,
            'mode': setting.mode,
        }
        found.append(label | run(setting, seed))
    return {
        'runs': found,
        'start_us': _hot_path_us(),
        'background': [_background(*sizes) for sizes in BACKGROUNDS],
    }


def show(found):
    """Print the table of a measurement."""
    print(
        f'{"limit":8}{"entries":>8}  {"demand":7} {"fault":14}{"mode":8}'
        f'{"used":>6}{"(fault)":>9}{"over run.":>10}{"for s":>7}'
        f'{"starts":>8}{"msg/s":>8}{"/entry":>8}'
    )
    for row in found['runs']:
        print(
            '{limit:8}{entries:8}  {demand:7} {fault:14}{mode:8}'
            '{used:6.3f}{used_after_fault:9.3f}'
            '{over_running:10.0%}{over_running_s:7.2f}{over_starts:8.1%}'
            '{messages_per_s:8.1f}{messages_per_s_and_entry:8.2f}'.format(
                **row
            )
        )
    print('may_start and record_start: {start_us:.2f} us'.format(**found))
    for row in found['background']:
        print(
            '{entries} entries, {customers} customers above their limit at'
            ' {busy}: {messages_per_s:.0f} messages/s and {cpu_percent:.1f} %'
            ' of a core per entry'.format(**row)
        )


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option('--quick', is_flag=True, help='Run 3 entries only.')
@click.option('--output', type=click.File('w'), help='Write JSON there.')
def main(seed, quick, output):
    """Measure how well the limits hold over several entries."""
    found = measure(seed, quick)
    show(found)
    if output:
        json.dump(found, output, indent=1)


if __name__ == '__main__':
    main()
