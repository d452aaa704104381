"""Utilisation and overshoot of customers' limits across several entries.

Run with::

    python -m benchmarks.bench_limits [--seed 1] [--quick]

Simulates entries on virtual time with a network delay of 0.5 to 1.5 ms; the
rates of their clocks are off by up to 2 %. Jobs of 10 tasks arrive at random
at 1.5 times the limit, evenly or mostly at one entry. The limit is either 1000
starts/s or 100 running tasks of 0.1 s. The benchmark compares these modes:

leases
    `azurepier.limits` unchanged.
no wait
    A new home grants leases immediately instead of waiting for reports of the
    leases that other entries hold.
static
    Each entry has an equal part of the limit.
none
    Each entry has the whole limit.

Figures
-------
used
    Started tasks over the number that the limit allows between 5 s and 25 s,
    and in parentheses during the 4 s after the fault at 10 s. The demand
    always exceeds the limit.
over
    Maximum excess of running tasks in percent of the limit, how long the
    limit was exceeded (s), and the maximum number of starts in excess of a
    token bucket (0.1 s of the limit or one job) in percent of the starts that
    the limit allows in 1 s.
messages
    Messages per second for one customer, in total and mean per entry.
"""

import json
import time

import attrs
import click

from azurepier.kernel import messages
from azurepier import limits
from benchmarks import _limits_cluster as clusters

MEASUREMENT_START_S = 5.0
FAULT_S = 10.0
RECOVERY_END_S = FAULT_S + 2 * limits.LEASE_S
MEASUREMENT_END_S = 25.0
FREEZE_DURATION_S = 6.0
OVERLOAD = 1.5
JOB_TASKS = 10
# Share of the jobs that always arrive at the first entry if demand is skewed.
SKEWED_SHARE = 0.8
# Range of the delay until other entries detect that one has failed (s).
KILL_DETECTION_S = (0.05, 0.2)
FREEZE_DETECTION_S = (1.5, 2.0)
ENTRY_COUNTS = (2, 3, 10, 100)
CUSTOMERS = 780
CPU_ROUNDS = 20
EXCHANGE_S = 4.0
# Number of entries, of customers and of entries at which tasks wait, for each
# measured exchange of quota messages.
EXCHANGE_SIZES = ((3, 780, 3), (3, 780, 1), (100, 100, 100))


@attrs.frozen
class LimitCase:
    """A limit and tasks that reach it.

    Parameters
    ----------
    name : str
    plan : Plan
    task_s : float
        Run time of the tasks.
    max_starts_per_s : float
        Rate of starts that the limit allows with these tasks.
    """

    name: str
    plan: clusters.Plan
    task_s: float
    max_starts_per_s: float


LIMIT_CASES = (
    LimitCase('starts', clusters.Plan(1000.0, 5000, 100), 0.1, 1000.0),
    LimitCase('running', clusters.Plan(5000.0, 100, 100), 0.1, 1000.0),
)


@attrs.frozen
class Scenario:
    """The parameters of one simulation."""

    case: LimitCase
    entries: int
    skewed: bool  # whether most jobs arrive at the first entry
    fault: str  # a key of FAULTS
    mode: str  # see the module docstring


def _create(scenario, seed):
    plan = scenario.case.plan
    local_plans = None
    if scenario.mode == 'none':
        local_plans = {'a': plan}
    elif scenario.mode == 'static':
        plan_per_entry = clusters.Plan(
            plan.starts_per_s / scenario.entries,
            max(1, plan.concurrent // scenario.entries),
            max(1, plan.largest_job // scenario.entries),
        )
        local_plans = {'a': plan_per_entry}
    names = [f'e{index}' for index in range(scenario.entries)]
    home_waits = scenario.mode != 'no wait'
    return clusters.create(names, {'a': plan}, seed, home_waits, local_plans)


def _submit_job(cluster, scenario):
    """Submit a job to an entry that isn't frozen and schedule the next one."""
    rng = cluster.rng
    names = [
        name
        for name, node in cluster.nodes.items()
        if node.frozen_until <= cluster.now
    ]
    name = names[0]
    if not scenario.skewed or rng.random() >= SKEWED_SHARE:
        name = rng.choice(names)
    case = scenario.case
    clusters.submit(cluster, name, 'a', JOB_TASKS, case.task_s)
    jobs_per_s = case.max_starts_per_s * OVERLOAD / JOB_TASKS
    due_at = cluster.now + rng.expovariate(jobs_per_s)
    clusters.schedule(cluster, due_at, _submit_job, scenario)


def _remove_from_members(cluster, name, detection_s):
    others = [other for other in cluster.nodes if other != name]
    for other in others:
        due_at = cluster.now + cluster.rng.uniform(*detection_s)
        clusters.schedule(cluster, due_at, clusters.set_members, other, others)


def _kill(cluster, name):
    clusters.kill(cluster, name)
    _remove_from_members(cluster, name, KILL_DETECTION_S)


def _find_home(cluster):
    state = next(iter(cluster.nodes.values())).state
    return state.accounts['a'].home


def _kill_home(cluster):
    _kill(cluster, _find_home(cluster))


def _kill_busy(cluster):
    _kill(cluster, next(iter(cluster.nodes)))


def _freeze_busy(cluster):
    """Freeze the busy entry; the others remove it until it resumes."""
    name = next(iter(cluster.nodes))
    clusters.freeze(cluster, name, FREEZE_DURATION_S)
    _remove_from_members(cluster, name, FREEZE_DETECTION_S)
    names = list(cluster.nodes)
    for other in names:
        due_at = cluster.now + FREEZE_DURATION_S
        due_at += cluster.rng.uniform(*KILL_DETECTION_S)
        clusters.schedule(cluster, due_at, clusters.set_members, other, names)


FAULTS = {
    'none': lambda cluster: None,
    'home killed': _kill_home,
    'busy killed': _kill_busy,
    'busy frozen': _freeze_busy,
}


def run_scenario(scenario, seed):
    """Simulate one scenario.

    Returns
    -------
    dict
        The figures that the module docstring describes.
    """
    cluster = _create(scenario, seed)
    _submit_job(cluster, scenario)
    monitor = cluster.monitors['a']
    clusters.run_until(cluster, MEASUREMENT_START_S)
    messages_before, starts_before = cluster.messages_sent, monitor.starts
    clusters.run_until(cluster, FAULT_S)
    starts_at_fault = monitor.starts
    FAULTS[scenario.fault](cluster)
    clusters.run_until(cluster, RECOVERY_END_S)
    starts_after_fault = monitor.starts
    clusters.run_until(cluster, MEASUREMENT_END_S)
    starts_allowed = scenario.case.max_starts_per_s * (
        MEASUREMENT_END_S - MEASUREMENT_START_S
    )
    messages_per_s = (cluster.messages_sent - messages_before) / (
        MEASUREMENT_END_S - MEASUREMENT_START_S
    )
    plan = monitor.plan
    return {
        'used': (monitor.starts - starts_before) / starts_allowed,
        'used_after_fault': (starts_after_fault - starts_at_fault)
        / (scenario.case.max_starts_per_s * (RECOVERY_END_S - FAULT_S)),
        'over_running': max(0, monitor.over_running) / plan.concurrent,
        'over_running_s': monitor.over_s,
        'over_starts': max(0.0, monitor.over_tokens) / plan.starts_per_s,
        'messages_per_s': messages_per_s,
        'messages_per_s_and_entry': messages_per_s / scenario.entries,
    }


def make_scenarios(quick=False):
    """Yield all scenarios in the order of the table."""
    entry_counts = (3,) if quick else ENTRY_COUNTS
    for case in LIMIT_CASES:
        for count in entry_counts:
            for skewed in (False, True):
                for mode in ('leases', 'static', 'none'):
                    yield Scenario(case, count, skewed, 'none', mode)
        for count in entry_counts:
            for mode in ('leases', 'no wait'):
                yield Scenario(case, count, False, 'home killed', mode)
            for fault in list(FAULTS)[1:]:
                for mode in ('leases', 'no wait', 'static', 'none'):
                    yield Scenario(case, count, True, fault, mode)


def _measure_start_us():
    """Return the time of `may_start` and `record_start` per task (us).

    This is the minimum over several rounds.
    """
    state = limits.create('e0')
    names = [f'c{index}' for index in range(CUSTOMERS)]
    plan = clusters.Plan(1e6, 10**6, 140)
    limits.set_plans(state, dict.fromkeys(names, plan), 1.0)
    limits.set_members(state, ['e0', 'e1', 'e2'], 1.0)
    now = 100.0
    limits.on_tick(state, now)
    for name in names:
        limits.allowance(state, name, now)
    shortest_s = float('inf')
    for _ in range(CPU_ROUNDS):
        started_at = time.perf_counter()
        for name in names:
            if limits.may_start(state, name, now):
                limits.record_start(state, name, now)
        shortest_s = min(shortest_s, time.perf_counter() - started_at)
    return shortest_s / CUSTOMERS * 1e6


def _measure_exchange(entries, customers, busy):
    """Measure the quota messages for customers that exceed their limit.

    Parameters
    ----------
    entries, customers : int
    busy : int
        Number of entries at which tasks wait.

    Returns
    -------
    dict
        Messages per second and entry, and the CPU time per entry for ticks
        and messages, without encoding, in percent of a core.
    """
    names = [f'e{index}' for index in range(entries)]
    plans = {f'c{index}': LIMIT_CASES[0].plan for index in range(customers)}
    states = {name: limits.create(name) for name in names}
    for state in states.values():
        limits.set_plans(state, plans, 0.0)
        limits.set_members(state, names, 0.0)
    for name in names[:busy]:
        for customer in plans:
            limits.set_waiting(states[name], customer, 10**6, 0.0)
    _run_exchange(states, 0.0, MEASUREMENT_START_S)
    started_at = time.perf_counter()
    message_count = _run_exchange(
        states, MEASUREMENT_START_S, MEASUREMENT_START_S + EXCHANGE_S
    )
    elapsed_s = time.perf_counter() - started_at
    return {
        'entries': entries,
        'customers': customers,
        'busy': busy,
        'messages_per_s': message_count / EXCHANGE_S / entries,
        'cpu_percent': elapsed_s / EXCHANGE_S / entries * 100,
    }


def _run_exchange(states, start, end):
    """Run the ticks and deliver all messages; return their number."""
    handlers = {
        messages.QuotaRequest: limits.on_request,
        messages.QuotaGrant: limits.on_grant,
    }
    message_count = 0
    for tick in range(int((end - start) / limits.TICK_S)):
        now = start + tick * limits.TICK_S
        for source, state in states.items():
            queue = [
                (source, *addressed)
                for addressed in limits.on_tick(state, now)
            ]
            while queue:
                sender, target, msg = queue.pop()
                message_count += 1
                handler = handlers[type(msg)]
                replies = handler(states[target], sender, msg, now)
                queue += [(target, *reply) for reply in replies]
    return message_count


def measure(seed=1, quick=False):
    """Run all scenarios and measure the cost of the limits.

    Parameters
    ----------
    seed : int
    quick : bool
        Whether to run 3 entries only.

    Returns
    -------
    dict
        ``'runs'``: list of dicts with a scenario and its figures;
        ``'start_us'``: CPU time of `may_start` and `record_start` per task
        (us);
        ``'background'``: list of dicts with the cost of quota messages.
    """
    runs = []
    for scenario in make_scenarios(quick):
        labels = {
            'limit': scenario.case.name,
            'entries': scenario.entries,
            'demand': 'skewed' if scenario.skewed else 'even',
            'fault': scenario.fault,
            'mode': scenario.mode,
        }
        runs.append(labels | run_scenario(scenario, seed))
    return {
        'runs': runs,
        'start_us': _measure_start_us(),
        'background': [_measure_exchange(*sizes) for sizes in EXCHANGE_SIZES],
    }


def print_result(result):
    """Print the result of `measure` as a table."""
    print(
        f'{"limit":8}{"entries":>8}  {"demand":7} {"fault":14}{"mode":8}'
        f'{"used":>6}{"(fault)":>9}{"over run.":>10}{"for s":>7}'
        f'{"starts":>8}{"msg/s":>8}{"/entry":>8}'
    )
    for row in result['runs']:
        print(
            '{limit:8}{entries:8}  {demand:7} {fault:14}{mode:8}'
            '{used:6.3f}{used_after_fault:9.3f}'
            '{over_running:10.0%}{over_running_s:7.2f}{over_starts:8.1%}'
            '{messages_per_s:8.1f}{messages_per_s_and_entry:8.2f}'.format(
                **row
            )
        )
    print('may_start and record_start: {start_us:.2f} us'.format(**result))
    for row in result['background']:
        print(
            '{entries} entries, {customers} customers above their limit at'
            ' {busy}: {messages_per_s:.0f} messages/s and {cpu_percent:.1f} %'
            ' of a core per entry'.format(**row)
        )


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option('--quick', is_flag=True, help='Run 3 entries only.')
@click.option(
    '--output', type=click.File('w'), help='Also write the result as JSON.'
)
def main(seed, quick, output):
    """Measure how well limits are used and enforced across entries."""
    result = measure(seed, quick)
    print_result(result)
    if output:
        json.dump(result, output, indent=1)


if __name__ == '__main__':
    main()
