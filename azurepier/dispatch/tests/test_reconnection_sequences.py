"""Invariants after sequences of freezes, cuts and replaced connections."""

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from azurepier import dispatch
from azurepier.kernel import effects
from azurepier import testing

ENTRIES = 3
WORKERS = 3
CPU = 4000
# Time after the last fault in which all calls are answered (s): the longest
# freeze takes 8 s and the longest job 8 s.
SETTLE_S = 30.0

_entry = st.integers(0, ENTRIES - 1).map('e{}'.format)
_worker = st.integers(0, WORKERS - 1).map('w{}'.format)


class RunLedger(testing.Ledger):
    """Ledger that also records when each task was started."""

    def __init__(self):
        super().__init__()
        self.start_times = {}

    def begin(self, now, task, worker, number):
        """Record the start of a run."""
        super().begin(now, task, worker, number)
        self.start_times.setdefault((task, worker), []).append(now)

    def has_started(self, task, worker, since):
        """Return whether a task was started on a worker since a time (s)."""
        times = self.start_times.get((task, worker), ())
        # The logged times are rounded to a millisecond.
        return any(time > since - 0.001 for time in times)


def make_fleet(seed, jitter_s=0.0):
    """Return a fleet, its one-way cuts and the runs called refused wrongly.

    With a jitter, messages of one connection stay in order and those of
    different connections overtake each other. The peer of an aborted
    connection still receives what had been sent, as from the receive buffer of
    a socket.
    """
    fleet = testing.make_pool(
        seed=seed, entries=ENTRIES, speeds=(1.0,) * WORKERS, cpu=CPU
    )
    driver = fleet.driver
    driver.log_effects = None
    fleet.ledger = RunLedger()
    for worker in fleet.workers.values():
        worker.ledger = fleet.ledger
    refused_runs = []
    cuts = set()
    dead = set()
    send = driver.effect_handlers[effects.Send]

    def send_unless_cut(driver, process, effect):
        connection = process.connections.get(effect.conn)
        if connection is not None:
            peer = next(
                each for each, _ in connection.ends if each is not process
            )
            if (process.name, peer.name) in cuts:
                dead.add((connection, process.name))
            if (connection, process.name) in dead:
                # What follows a lost message can't be delivered either.
                return
        send(driver, process, effect)

    def close_later(driver, process, effect):
        connection = process.connections.pop(effect.conn, None)
        if connection is not None:
            delay_s = driver.rng.uniform(0.0, jitter_s)
            driver.after(delay_s, driver._close, connection)

    def check_refusal(driver, process, effect):
        fields = effect.fields
        if effect.event != 'run_not_done' or fields['status'] != 'refused':
            return
        ordered_at = driver.now - fields['ms'] / 1000
        started = fleet.ledger.has_started(
            fields['task'], fields['endpoint'], ordered_at
        )
        call = fleet.calls[int(fields['task'].partition('.')[0], 16)]
        # Another submission may have started the task on the same worker.
        if started and call.submissions == 1:
            refused_runs.append((round(driver.now, 4), fields))

    driver.effect_handlers[effects.Send] = send_unless_cut
    driver.effect_handlers[effects.Log] = check_refusal
    if jitter_s:
        base_delay = driver.delay
        driver.delay = lambda a, b: (
            base_delay(a, b)
            if a is b
            else base_delay(a, b) + driver.rng.uniform(0.0, jitter_s)
        )
        driver.effect_handlers[effects.Abort] = close_later
        driver.effect_handlers[effects.Close] = close_later
    return fleet, cuts, refused_runs


def _submit(fleet, cuts, work_ms, count, entry):
    fleet.submit(work_ms / 1000, count=count, cpu=1000, entry=entry)


def _occupy(fleet, cuts, entry, work_ms):
    fleet.submit(
        work_ms / 1000, count=WORKERS * CPU // 1000, cpu=1000, entry=entry
    )


def _wait(fleet, cuts, ms):
    fleet.run_for(ms / 1000)


def _pairs(fleet, name):
    if name in fleet.entries:
        entry = fleet.entries[name]
        return [(entry, each) for each in fleet.endpoints.values()]
    endpoint = fleet.endpoints[name]
    return [(each, endpoint) for each in fleet.entries.values()]


def _connect(fleet, name):
    for entry, endpoint in _pairs(fleet, name):
        fleet.driver._connect(endpoint, entry.address)


def _reset(fleet, name):
    process = fleet.entries.get(name) or fleet.endpoints[name]
    for connection in list(process.connections.values()):
        fleet.driver._close(connection)


def _reset_several_times(fleet, cuts, name, gaps_ms):
    for gap_ms in gaps_ms:
        _reset(fleet, name)
        fleet.run_for(gap_ms / 1000)
        _connect(fleet, name)
        fleet.run_for(gap_ms / 1000)


def _replace_several_times(fleet, cuts, name, gaps_ms):
    for gap_ms in gaps_ms:
        _connect(fleet, name)
        fleet.run_for(gap_ms / 1000)


def _thaw(fleet, process, gaps_ms):
    fleet.driver.thaw(process)
    if process.alive:
        _connect(fleet, process.name)
        at = 0.0
        for gap_ms in gaps_ms:
            at += gap_ms / 1000
            fleet.driver.after(at, _reset, fleet, process.name)
            at += gap_ms / 1000
            fleet.driver.after(at, _connect, fleet, process.name)


def _freeze_busy(fleet, cuts, entry, ms, gaps_ms):
    """Freeze an entry whose runs end meanwhile, under full workers."""
    fleet.submit(0.3, count=4, cpu=1000, entry=entry)
    fleet.run_for(0.1)
    _freeze(fleet, cuts, entry, ms, gaps_ms)
    fleet.run_for(1.0)
    _occupy(fleet, cuts, f'e{(int(entry[1:]) + 1) % ENTRIES}', ms + 1000)


def _freeze(fleet, cuts, name, ms, gaps_ms):
    process = fleet.entries.get(name) or fleet.endpoints[name]
    if process.alive and not process.frozen:
        fleet.driver.freeze(process)
        fleet.driver.after(ms / 1000, _thaw, fleet, process, gaps_ms)


def _partition(fleet, cuts, entry, worker, ms, gaps_ms):
    fleet.submit(0.2, count=6, cpu=1000, entry=entry)
    fleet.run_for(0.15)
    a, b = fleet.entries[entry], fleet.endpoints[worker]
    fleet.driver.partition(a, b)
    fleet.run_for(ms / 1000)
    fleet.driver.heal(a, b)
    fleet.driver._connect(b, a.address)
    fleet.run_for(0.02)
    fleet.submit(1.0, count=6, cpu=1000, entry=entry)
    fleet.run_for(0.02)
    _reset_several_times(fleet, cuts, worker, gaps_ms)


def _cut_one_way(fleet, cuts, entry, worker, from_entry, ms):
    cut = (entry, worker) if from_entry else (worker, entry)
    cuts.add(cut)
    fleet.driver.after(ms / 1000, cuts.discard, cut)


def _kill_entry(fleet, cuts, name, down_ms):
    if fleet.entries[name].alive:
        fleet.kill_entry(name)
        fleet.driver.after(down_ms / 1000, fleet.start_entry, name)


def _kill_endpoint(fleet, cuts, name, down_ms):
    if fleet.endpoints[name].alive:
        fleet.driver.kill(fleet.endpoints[name])
        fleet.driver.after(down_ms / 1000, fleet.start_endpoint, name)


def _disconnect_caller(fleet, cuts, index):
    if fleet.calls:
        fleet.disconnect_caller(fleet.calls[index % len(fleet.calls)])


_gaps_ms = st.lists(
    st.sampled_from((0.0, 0.4, 0.8, 1.2, 2.0, 5.0, 20.0)), max_size=4
)
_process = st.one_of(_entry, _worker)
_WORK = (
    st.tuples(
        st.just(_submit), st.integers(20, 1500), st.integers(1, 6), _entry
    ),
    st.tuples(st.just(_occupy), _entry, st.integers(200, 8000)),
    st.tuples(st.just(_wait), st.integers(1, 900)),
)
_FAULTS = (
    st.tuples(st.just(_freeze), _process, st.integers(100, 8000), _gaps_ms),
    st.tuples(
        st.just(_freeze_busy), _entry, st.integers(1500, 8000), _gaps_ms
    ),
    st.tuples(st.just(_reset_several_times), _process, _gaps_ms),
    st.tuples(st.just(_replace_several_times), _process, _gaps_ms),
    st.tuples(
        st.just(_partition),
        _entry,
        _worker,
        st.integers(1200, 3000),
        _gaps_ms,
    ),
    st.tuples(
        st.just(_cut_one_way),
        _entry,
        _worker,
        st.booleans(),
        st.integers(50, 3000),
    ),
    st.tuples(st.just(_kill_entry), _entry, st.integers(20, 700)),
    st.tuples(st.just(_kill_endpoint), _worker, st.integers(20, 700)),
    st.tuples(st.just(_disconnect_caller), st.integers(0, 30)),
)
_steps = st.lists(st.one_of(st.one_of(_WORK), st.one_of(_FAULTS)), max_size=25)


def run_steps(seed, steps, jitter_s=0.0):
    """Execute a sequence of steps and check the invariants."""
    fleet, cuts, refused_runs = make_fleet(seed, jitter_s)
    for action, *arguments in steps:
        action(fleet, cuts, *arguments)
    fleet.run_for(SETTLE_S)
    assert refused_runs == []
    assert fleet.wrong_answers == []
    assert fleet.ledger.overlaps == []
    for call in fleet.calls:
        assert call.abandoned or call.body is not None
        # No task of these sequences fails.
        assert call.body != dispatch.Finished(False)
    for worker in fleet.workers.values():
        assert worker.peak_cpu <= worker.cpu


class TestReconnectionSequences:
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.integers(0, 1000), _steps)
    @example(1, [(_freeze_busy, 'e0', 7000, [])])
    @example(1, [(_freeze_busy, 'e0', 4000, [0.8, 0.8])])
    @example(1, [(_partition, 'e0', 'w0', 1800, [0.0])])
    def test_invariants_hold(self, seed, steps):
        """Guards against wrong conclusions from a report on a return."""
        run_steps(seed, steps)

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.integers(0, 1000), _steps)
    def test_invariants_hold_if_messages_overtake_each_other(
        self, seed, steps
    ):
        """Guards against reports of a connection that was replaced."""
        run_steps(seed, steps, jitter_s=0.008)


class TestReplacedConnections:
    def replace_connections(self, seed):
        """Replace the connections of an entry while it orders runs."""
        jitter_s = 0.004
        fleet, _, refused_runs = make_fleet(seed, jitter_s)
        fleet.submit(0.02, count=6, cpu=1000, entry='e0')
        fleet.run_for(0.2)
        rng = fleet.driver.rng
        for index in range(30):
            work_s = rng.uniform(0.01, 0.3)
            fleet.submit(work_s, cpu=1000, entry='e0')
            if index % 2 == 0:
                _connect(fleet, 'e0')
            if index % 4 == 0:
                _connect(fleet, 'e0')
            fleet.run_for(rng.uniform(0.0, 2 * jitter_s))
        fleet.run_for(5.0)
        return fleet, refused_runs

    def test_runs_on_a_crossed_connection_are_not_called_refused(self):
        """Guards against reports that are older than the last order.

        If both sides keep different connections, an order reaches the
        endpoint process after it has made the report on the other one.
        """
        refused, overlaps = [], []
        for seed in range(40):
            fleet, refused_runs = self.replace_connections(seed)
            refused += refused_runs
            overlaps += fleet.ledger.overlaps
        assert refused == []
        assert overlaps == []
