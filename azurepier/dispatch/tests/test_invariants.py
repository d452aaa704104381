"""Invariants that must hold after random sequences of faults."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from azurepier import dispatch
from azurepier.kernel import events
from azurepier import testing

ENTRIES = 3
WORKERS = 3
WAITING = dispatch.decode_policy('[waiting_orders]')
# Time after the last fault in which all calls are answered (s): delayed starts
# take up to 12 s, the longest job 2 s.
SETTLE_S = 30.0

_entry = st.integers(0, ENTRIES - 1).map('e{}'.format)
_worker = st.integers(0, WORKERS - 1).map('w{}'.format)


def _submit(fleet, work_ms, count, entry):
    fleet.submit(work_ms / 1000, count=count, cpu=1500, entry=entry)


def _wait(fleet, ms):
    fleet.run_for(ms / 1000)


def _kill_entry(fleet, name, down_ms):
    if fleet.entries[name].alive:
        fleet.kill_entry(name)
        fleet.driver.after(down_ms / 1000, fleet.start_entry, name)


def _kill_endpoint(fleet, name, down_ms):
    if fleet.endpoints[name].alive:
        fleet.driver.kill(fleet.endpoints[name])
        fleet.driver.after(down_ms / 1000, fleet.start_endpoint, name)


def _freeze(fleet, process, ms):
    if process.alive and not process.frozen:
        fleet.driver.freeze(process)
        fleet.driver.after(ms / 1000, fleet.driver.thaw, process)


def _freeze_entry(fleet, name, ms):
    _freeze(fleet, fleet.entries[name], ms)


def _freeze_endpoint(fleet, name, ms):
    _freeze(fleet, fleet.endpoints[name], ms)


def _silence(fleet, entry, worker):
    fleet.driver.silence(fleet.entries[entry], fleet.endpoints[worker])


def _partition(fleet, entry, worker, ms):
    a, b = fleet.entries[entry], fleet.endpoints[worker]
    fleet.driver.partition(a, b)
    fleet.driver.after(ms / 1000, fleet.driver.heal, a, b)


def _crash_worker(fleet, name):
    fleet.workers[name].crash()


def _set_temporarily(fleet, name, field, value, ms):
    worker = fleet.workers[name]
    setattr(worker, field, value)
    fleet.driver.after(ms / 1000, setattr, worker, field, type(value)(0))


def _slow_down(fleet, name, factor, ms):
    worker = fleet.workers[name]
    worker.set_slowdown(factor)
    fleet.driver.after(ms / 1000, worker.set_slowdown, 1.0)


def _disconnect_caller(fleet, index):
    if fleet.calls:
        fleet.disconnect_caller(fleet.calls[index % len(fleet.calls)])


def _drain_entry(fleet, name):
    process = fleet.entries[name]
    if process.alive and not process.frozen and not process.node.draining:
        fleet.driver.feed(process, events.Drain())
        fleet.driver.after(6.0, _restart_entry, fleet, name, process)


def _restart_entry(fleet, name, process):
    if process.alive:
        fleet.kill_entry(name)
    if fleet.entries[name] is process:
        fleet.start_entry(name)


_ms = st.integers(50, 6000)
_ACTIONS = (
    st.tuples(
        st.just(_submit), st.integers(20, 2000), st.integers(1, 8), _entry
    ),
    st.tuples(st.just(_wait), st.integers(1, 1500)),
    st.tuples(st.just(_kill_entry), _entry, _ms),
    st.tuples(st.just(_kill_endpoint), _worker, _ms),
    st.tuples(st.just(_freeze_entry), _entry, _ms),
    st.tuples(st.just(_freeze_endpoint), _worker, _ms),
    st.tuples(st.just(_silence), _entry, _worker),
    st.tuples(st.just(_partition), _entry, _worker, _ms),
    st.tuples(st.just(_crash_worker), _worker),
    st.tuples(
        st.just(_set_temporarily),
        _worker,
        st.just('delayed_share'),
        st.floats(0.05, 0.6),
        _ms,
    ),
    st.tuples(
        st.just(_set_temporarily),
        _worker,
        st.just('lost_share'),
        st.floats(0.05, 0.6),
        _ms,
    ),
    st.tuples(
        st.just(_set_temporarily),
        _worker,
        st.just('failing'),
        st.just(True),
        _ms,
    ),
    st.tuples(
        st.just(_set_temporarily),
        _worker,
        st.just('unresponsive'),
        st.just(True),
        _ms,
    ),
    st.tuples(
        st.just(_slow_down),
        _worker,
        st.sampled_from((4.0, 8.0, float('inf'))),
        _ms,
    ),
    st.tuples(st.just(_disconnect_caller), st.integers(0, 30)),
    st.tuples(st.just(_drain_entry), _entry),
)
# Half of the steps submit a job or advance the time.
_step = st.one_of(st.one_of(_ACTIONS[:2]), st.one_of(_ACTIONS[2:]))


def run_steps(seed, steps, policy=None):
    """Execute a sequence of steps and check the invariants."""
    fleet = testing.make_pool(seed=seed, speeds=(1.0, 0.6, 1.5), policy=policy)
    fleet.driver.log_effects = None
    for action, *arguments in steps:
        action(fleet, *arguments)
    fleet.run_for(SETTLE_S)
    assert fleet.ledger.overlaps == []
    assert fleet.wrong_answers == []
    unanswered = [
        call.job.id
        for call in fleet.calls
        if call.body is None and not call.abandoned
    ]
    assert unanswered == []
    for worker in fleet.workers.values():
        assert worker.peak_cpu <= worker.cpu


class TestSequences:
    @settings(max_examples=120, deadline=None, derandomize=True)
    @given(st.integers(0, 1000), st.lists(_step, max_size=40))
    def test_invariants_hold(self, seed, steps):
        """Guards against concurrent runs of a task and unanswered calls."""
        run_steps(seed, steps)

    @settings(max_examples=120, deadline=None, derandomize=True)
    @given(st.integers(0, 1000), st.lists(_step, max_size=40))
    def test_invariants_hold_where_orders_wait(self, seed, steps):
        """Guards against orders that start after they were given up."""
        run_steps(seed, steps, WAITING)

    @pytest.mark.parametrize('policy', [None, WAITING])
    @pytest.mark.parametrize('seed', range(6))
    def test_many_faults_under_load(self, seed, policy):
        """Guards against failures that occur only on fully loaded workers."""
        steps = []
        for index in range(60):
            steps.append((_submit, 300 + 40 * (index % 9), 6, f'e{index % 3}'))
            steps.append((_wait, 40))
            if index % 10 == seed:
                steps.append((_kill_entry, f'e{seed % 3}', 700))
            if index % 15 == seed:
                steps.append((_freeze_endpoint, f'w{seed % 3}', 900))
            if index % 20 == seed:
                steps.append(
                    (
                        _set_temporarily,
                        f'w{index % 3}',
                        'delayed_share',
                        0.3,
                        900,
                    )
                )
            if index % 12 == seed:
                steps.append((_disconnect_caller, index))
        run_steps(seed, steps, policy)
