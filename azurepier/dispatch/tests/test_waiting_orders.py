"""Orders that wait at an endpoint process, and the end of each wait."""

import random

import pytest

from azurepier import dispatch
from azurepier.dispatch.tests import test_cancel as cancels
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier.kernel import Status
from azurepier.runner import _reports
from azurepier import testing

POLICY = dispatch.decode_policy('[waiting_orders]\nmax_per_endpoint = 4')
CPU = 8000
# Sequence number beyond those that the entries use.
FIRST_SEQ = 10**6


class Worker:
    """A worker of 8 cores whose endpoint process gets orders directly."""

    def __init__(self, policy=POLICY, work_s=0.3, speeds=(1.0,)):
        self.fleet = testing.make_pool(speeds=speeds, policy=policy, cpu=CPU)
        self.process = self.fleet.endpoints['w0']
        self.seqs = {}
        self.links = {}
        if work_s:
            self.order('first', cpu=CPU, work_s=work_s, wait_ms=None)

    def order(
        self, task, cpu=4000, work_s=0.1, wait_ms=400, entry='e1', mem_mb=0
    ):
        """Send an order in the name of an entry."""
        self.fleet.work_by_spec[task] = (work_s, cpu, False)
        incarnation = self.fleet.entries[entry].node.incarnation
        link = self.links[task] = self.process.node.links[incarnation]
        seq = self.seqs[task] = FIRST_SEQ + len(self.seqs)
        order = messages.RunOrder(
            seq=seq,
            task=task,
            attempt=1,
            spec=0,
            cpu=cpu,
            mem_mb=mem_mb,
            gpu=0,
            expected_ms=round(work_s * 1000),
            wait_ms=wait_ms,
        )
        msg = messages.RunOrders(orders=[order], specs=[task])
        event = events.Received(link.conn, msg)
        self.fleet.driver.feed(self.process, event)

    def cancel(self, task):
        """Let the entry of an order report its job as canceled."""
        canceled = [messages.CanceledJob(job_id=task, age_ms=0)]
        msg = messages.Beat(config_version=1, demand=0.0, canceled=canceled)
        event = events.Received(self.links[task].conn, msg)
        self.fleet.driver.feed(self.process, event)

    def is_waiting(self, task):
        """Tell whether an order waits."""
        return task in self.process.node.waiting

    def refusal(self, task):
        """Return the reason of a refusal, or None."""
        for end in _reports.all_ends(self.links[task]):
            if end.seq == self.seqs[task]:
                assert end.status == int(Status.REFUSED)
                return end.reason
        return None

    def started(self, task):
        """Tell whether a task was started."""
        return bool(self.fleet.ledger.started.get(task))

    def check_never_starts(self, task, reason):
        """Check that an order was refused, and isn't started later."""
        assert self.refusal(task) == reason
        self.fleet.run_for(3.0)
        assert not self.started(task)


class TestQueue:
    """Orders without enough free capacity."""

    def test_start_follows_the_end_of_a_run(self):
        """Guards against orders that are refused while runs are ending."""
        worker = Worker()
        worker.order('a')
        assert worker.is_waiting('a')
        worker.fleet.run_for(0.31)
        assert worker.started('a')
        assert worker.process.node.counters['waits_started'] == 1

    @pytest.mark.parametrize('policy', [POLICY, None])
    def test_refused_at_once_without_the_part(self, policy):
        """Guards against waits that an entry or deployment didn't ask for."""
        worker = Worker(policy)
        worker.order('a', wait_ms=None if policy else 400)
        assert not worker.is_waiting('a')
        worker.fleet.run_for(0.01)
        worker.check_never_starts('a', 'no_room')

    def test_sequence(self):
        """Guards against orders with little time behind those with more."""
        worker = Worker()
        worker.order('late', cpu=5000, wait_ms=400)
        worker.order('narrow', cpu=3000, wait_ms=350)
        worker.order('tight', cpu=4500, wait_ms=350)
        worker.fleet.run_for(0.31)
        assert worker.started('narrow') and worker.started('tight')
        assert worker.is_waiting('late')

    @pytest.mark.parametrize(
        ('work_s', 'starts'), [(0.05, True), (0.35, False)]
    )
    def test_backfilling(self, work_s, starts):
        """Guards against small tasks that delay a large one for ever."""
        worker = Worker(work_s=0)
        worker.order('first', cpu=6000, work_s=0.2)
        worker.order('large', cpu=7000, work_s=0.2, wait_ms=300)
        worker.order('small', cpu=2000, work_s=work_s, wait_ms=400)
        assert worker.is_waiting('large')
        worker.fleet.run_for(0.01)
        assert worker.started('small') == starts
        worker.fleet.run_for(0.21)
        assert worker.started('large')

    def test_wait_ends(self):
        """Guards against starts after the time that the entry allowed."""
        worker = Worker()
        worker.order('a', wait_ms=100, work_s=0.1)
        worker.order('b', wait_ms=290)
        # Expected after 0.3 s, too late for one of them; forecasts may be
        # wrong by more than the other lacks.
        assert not worker.is_waiting('a')
        assert worker.is_waiting('b')
        worker.fleet.run_for(0.295)
        assert worker.refusal('a') == 'no_room'
        worker.check_never_starts('b', 'no_room')
        assert not worker.started('a')

    def test_number_is_limited(self):
        """Guards against memory that grows with the orders of a burst."""
        worker = Worker()
        for index in range(6):
            worker.order(f't{index}', cpu=1000)
        assert len(worker.process.node.waiting) == 4
        worker.fleet.run_for(0.01)
        assert worker.refusal('t5') == 'no_room'

    def test_order_that_lacks_memory(self):
        """Guards against CPU that is reserved for want of memory."""
        worker = Worker()
        node = worker.process.node
        node.used_mem_mb = node.worker.mem_mb
        worker.order('a', mem_mb=1)
        assert not worker.is_waiting('a')

    def test_canceled_job(self):
        """Guards against a start after the cancel of a waiting order's job."""
        worker = Worker()
        worker.order('a')
        worker.cancel('a')
        assert not worker.is_waiting('a')
        worker.check_never_starts('a', 'canceled')

    def test_forecast(self):
        """The forecast must have the ends of runs and the waiting orders."""
        worker = Worker(work_s=0.09)
        link = next(iter(worker.process.node.by_conn.values()))
        worker.order('a', cpu=6000, work_s=0.2)
        now = worker.fleet.driver.now
        state = _reports._make_report(worker.process.node, link, now)
        assert state.forecast_cpu == [0, 0, 2000, 2000, 8000]
        assert (state.waiting_orders, state.free_cpu) == (1, 0)


class TestFaults:
    """What ends the wait of an order, without a start."""

    def test_connection_is_closed(self):
        """Guards against starts that the entry can't stop any more."""
        worker = Worker()
        worker.order('a')
        process, entry = worker.process, worker.fleet.entries['e1']
        conn = worker.links['a'].conn
        worker.fleet.driver._close(process.connections[conn])
        worker.fleet.run_for(0.02)
        assert not worker.is_waiting('a')
        worker.fleet.run_for(0.1)
        # The next connection has told the entry of the refusal.
        assert worker.links['a'].conn not in (None, conn)
        assert entry.alive and not worker.links['a'].unreported_ends
        worker.check_never_starts('a', 'disconnected')

    def test_connection_is_replaced(self):
        """Guards against an order that is neither running nor refused.

        The entry takes an order that is missing in the first report on a new
        connection for a run whose end is unknown.
        """
        worker = Worker()
        worker.order('a')
        link, entry = worker.links['a'], worker.fleet.entries['e1']
        hello = entry.node.hello(99)
        event = events.ConnectionOpened(10**9, hello)
        worker.fleet.driver.feed(worker.process, event)
        assert not worker.is_waiting('a') and not link.unreported_ends
        worker.check_never_starts('a', 'reconnected')

    def test_entry_is_silent(self):
        """Guards against starts for an entry that may be gone."""
        policy = dispatch.decode_policy('[waiting_orders]\nmax_wait_ms=3000')
        worker = Worker(policy, work_s=0.7)
        worker.order('a', wait_ms=2000)
        worker.fleet.driver.silence(worker.process, worker.fleet.entries['e1'])
        worker.fleet.run_for(0.69)
        worker.check_never_starts('a', 'disconnected')

    def test_entry_is_silent_until_a_run_ends(self):
        """The silence counts before the next heartbeat notices it."""
        policy = dispatch.decode_policy('[waiting_orders]\nmax_wait_ms=3000')
        worker = Worker(policy, work_s=0.55)
        worker.order('a', wait_ms=2000)
        worker.links['a'].last_received_at = worker.fleet.driver.now
        entry = worker.fleet.entries['e1']
        worker.fleet.driver.freeze(entry)
        worker.process.node.timers.set(
            'heartbeat', worker.fleet.driver.now + 0.6
        )
        worker.fleet.run_for(0.58)
        assert not worker.started('a')

    def test_entry_is_replaced(self):
        """A successor must not share the worker with its predecessor."""
        worker = Worker()
        worker.order('a')
        worker.fleet.driver.freeze(worker.fleet.entries['e1'])
        successor = worker.fleet.start_entry('e1')
        event = events.ConnectionOpened(10**9, successor.node.hello(1))
        worker.fleet.driver.feed(worker.process, event)
        worker.check_never_starts('a', 'entry_restarted')

    def test_stop(self):
        """Guards against the start of a task whose caller has left."""
        worker = Worker()
        worker.order('a')
        link = worker.links['a']
        msg = messages.RunStops(seqs=[worker.seqs['a']])
        worker.fleet.driver.feed(
            worker.process, events.Received(link.conn, msg)
        )
        worker.fleet.run_for(0.01)
        worker.check_never_starts('a', 'asked')

    @pytest.mark.parametrize(
        'fault', ['drain', 'evacuation', 'leaving', 'restart', 'unhealthy']
    )
    def test_worker_accepts_no_runs(self, fault):
        """Guards against orders that wait for a worker that takes none."""
        worker = Worker()
        worker.order('a')
        fleet, node = worker.fleet, worker.process.node
        fleet.run_for(0.01)
        reason = 'not_accepting'
        if fault == 'drain':
            fleet.driver.feed(worker.process, events.Drain())
        elif fault == 'evacuation':
            fleet.evacuate('d0')
            fleet.run_for(0.02)
            reason = 'evacuated'
        elif fault == 'leaving':
            fleet.workers['w0'].leaving = True
            fleet._heartbeat('w0')
        elif fault == 'restart':
            fleet.workers['w0'].crash()
            fleet._heartbeat('w0')
            fleet.run_for(0.02)
            reason = 'worker_restarted'
        else:
            node.unhealthy_until = fleet.driver.now + 5.0
            fleet.driver.feed(worker.process, events.Tick())
        assert worker.refusal('a') == reason
        worker.fleet.run_for(0.39)
        assert not worker.started('a')

    def test_worker_is_suspect(self):
        """Guards against orders that wait beside a worker's trials."""
        worker = Worker()
        worker.order('a')
        worker.process.node.failed_jobs.update({'x', 'y'})
        worker.process.node.changed = True
        worker.fleet.driver.feed(worker.process, events.Tick())
        worker.check_never_starts('a', 'on_trial')

    def test_endpoint_process_is_paused(self):
        """Guards against starts by a process whose entries gave it up."""
        worker = Worker(work_s=0.3)
        worker.order('a')
        worker.fleet.driver.freeze(worker.process)
        worker.fleet.run_for(0.45)
        worker.fleet.driver.thaw(worker.process)
        assert not worker.is_waiting('a')
        worker.check_never_starts('a', 'disconnected')


class _LowestRandom(random.Random):
    """Draws with which an entry uses each forecast."""

    def random(self):
        return 0.0


class TestEntry:
    """Jobs that begin on free capacity and whose other tasks wait."""

    def submit(self, policy=POLICY, **options):
        """Return a worker, a call and the name of its task that waits."""
        worker = Worker(policy, work_s=0)
        worker.order('first', cpu=4000, work_s=0.09, wait_ms=None)
        worker.fleet.run_for(0.005)
        worker.fleet.entries['e1'].node.rng = _LowestRandom()
        call = worker.fleet.submit(0.5, count=2, cpu=4000, entry='e1')
        worker.fleet.run_for(0.005)
        return worker, call, f'{call.job.id}.0.0.1'

    def test_order_is_sent_before_the_capacity_is_free(self):
        """Guards against capacity that is idle until the next report."""
        worker, call, task = self.submit()
        assert worker.is_waiting(task)
        worker.fleet.run_for(0.085)
        assert task in worker.fleet.workers['w0'].runs
        worker.fleet.run_for(1.0)
        assert call.body == dispatch.Finished(True)
        ended = [
            effect.fields
            for _, _, effect in worker.fleet.driver.log_effects
            if effect.event == 'job_ended'
        ]
        assert ended[0]['orders_to_wait'] == 1

    def test_caller_leaves(self):
        """Guards against runs that overlap with the next submission."""
        worker, call, task = self.submit()
        worker.fleet.disconnect_caller(call, entry='e2')
        worker.fleet.run_for(1.0)
        assert not worker.is_waiting(task) and not worker.started(task)
        worker.fleet.run_for(3.0)
        assert call.body == dispatch.Finished(True)
        assert worker.fleet.ledger.overlaps == []

    def test_cancel(self):
        """Guards against tasks that start after the cancel."""
        worker, call, task = self.submit()
        cancels.cancel(worker.fleet, call, 'e2')
        worker.fleet.run_for(0.05)
        assert call.body == dispatch.Canceled()
        worker.fleet.run_for(1.0)
        assert not worker.started(task)

    def test_entry_is_killed(self):
        """Guards against orders that outlive their entry."""
        worker, call, task = self.submit()
        worker.fleet.kill_entry('e1')
        worker.fleet.run_for(0.3)
        assert not worker.is_waiting(task) and not worker.started(task)
        worker.fleet.run_for(4.0)
        assert call.body == dispatch.Finished(True)
        assert worker.fleet.ledger.overlaps == []

    def test_earlier_endpoint_process(self):
        """Guards against a wait at a process that refuses at once."""
        worker = Worker(None, work_s=0)
        worker.fleet.policy = POLICY
        worker.fleet.kill_entry('e1')
        worker.fleet.start_entry('e1')
        worker.fleet.run_for(1.0)
        worker.order('first', cpu=4000, work_s=0.09, wait_ms=None)
        worker.fleet.run_for(0.005)
        worker.fleet.entries['e1'].node.rng = _LowestRandom()
        call = worker.fleet.submit(0.5, count=2, cpu=4000, entry='e1')
        worker.fleet.run_for(0.05)
        node = worker.fleet.entries['e1'].node
        assert not node.counters['orders_to_wait']
        worker.fleet.run_for(2.0)
        assert call.body == dispatch.Finished(True)

    def test_old_forecast(self):
        """Guards against orders to an endpoint process that is silent."""
        worker = Worker(work_s=0)
        worker.order('first', cpu=4000, work_s=0.09, wait_ms=None)
        worker.fleet.run_for(0.005)
        worker.fleet.driver.freeze(worker.process)
        worker.fleet.run_for(0.51)
        worker.fleet.entries['e1'].node.rng = _LowestRandom()
        worker.fleet.submit(0.5, count=2, cpu=4000, entry='e1')
        worker.fleet.run_for(0.01)
        node = worker.fleet.entries['e1'].node
        assert node.counters['starts'] == 1
        assert not node.counters['orders_to_wait']


class TestBurst:
    """A burst of wide jobs at many entries, to 1.03 times the capacity."""

    def play(self, policy):
        """Return the numbers of refused orders and of completed jobs."""
        fleet = testing.make_pool(
            entries=9, speeds=[1.0] * 18, cpu=64000, policy=policy
        )
        fleet.driver.log_effects = None
        rng = random.Random(1)
        at = fleet.driver.now
        for _ in range(600):
            at += rng.expovariate(300)
            work_s = rng.uniform(0.05, 0.15)
            fleet.driver.at(at, _submit, fleet, work_s, rng.randrange(9))
        fleet.run_for(6.0)
        assert fleet.ledger.overlaps == fleet.wrong_answers == []
        assert all(call.body is not None for call in fleet.calls)
        refused = sum(
            each.node.counters['refused_no_room']
            for each in fleet.endpoints.values()
        )
        completed = sum(
            call.body == dispatch.Finished(True) for call in fleet.calls
        )
        return refused, completed

    def test_fewer_orders_and_jobs_are_refused(self):
        """Guards against orders that find the capacity taken by others."""
        refused, completed = self.play(
            dispatch.decode_policy('[waiting_orders]')
        )
        refused_before, completed_before = self.play(None)
        assert refused < refused_before
        assert completed > completed_before


def _submit(fleet, work_s, entry):
    fleet.submit(work_s, count=6, cpu=6600, entry=f'e{entry}')
