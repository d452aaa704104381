"""Stateful property test: random submissions and faults on a small fleet."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier import testing

ENTRIES = 3
ENDPOINTS = 3
QUIET_PERIOD_S = 90.0


class FleetMachine(stateful.RuleBasedStateMachine):
    """Guards against sequences of faults that violate an invariant.

    Jobs are submitted and resubmitted through all entries while processes
    freeze, drain and restart and connections fail.
    """

    def __init__(self):
        super().__init__()
        self.fleet = testing.make_fleet(
            entries=ENTRIES, speeds=(1.0, 2.0, 3.0), slots=2
        )
        self.driver = self.fleet.driver
        self.jobs = []  # (job id, spec)
        self.requests = []  # (entry process, req, job id, spec)
        self.restarts = 0

    def _submit(self, index, job_id, spec):
        process = self.fleet.entries[index]
        if not process.alive or process.stopped:
            return
        req = self.fleet.submit(index, spec, job_id)
        self.requests.append((process, req, job_id, spec))

    def _newest_entry(self, index):
        """Return the latest incarnation of the entry at an index."""
        return self.fleet.entries[index]

    @stateful.rule(
        index=st.integers(0, ENTRIES - 1),
        times_ms=st.lists(st.sampled_from([30, 200, 900, 9000]), max_size=5),
        urgent=st.booleans(),
    )
    def submit(self, index, times_ms, urgent):
        process = self._newest_entry(index)
        if not process.alive or process.frozen:
            return
        times_ms = [50 + len(self.jobs), *times_ms]
        spec = testing.spec(times_ms, urgent=urgent, deadline_ms=20_000)
        req = self.fleet.request(index, lambda req: events.NewIds(req, 1))
        self.driver.run_until(self.driver.now + 0.01)
        ids = self.fleet.answer(index, req)
        if getattr(ids, 'ids', None):
            self.jobs.append((ids.ids[0], spec))
            self._submit(index, ids.ids[0], spec)

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(index=st.integers(0, ENTRIES - 1), data=st.data())
    def resubmit(self, index, data):
        job_id, spec = data.draw(st.sampled_from(self.jobs))
        self._submit(index, job_id, spec)

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(index=st.integers(0, ENTRIES - 1), data=st.data())
    def cancel(self, index, data):
        job_id, _ = data.draw(st.sampled_from(self.jobs))
        if self._newest_entry(index).alive:
            self.fleet.request(
                index, lambda req: events.CancelJob(req, job_id, 'ash')
            )

    @stateful.rule(index=st.integers(0, ENTRIES - 1))
    def restart_entry(self, index):
        old = self._newest_entry(index)
        self.driver.kill(old)
        self.restarts += 1
        process = self.fleet.add_entry(old.name)
        self.fleet.entries.pop()
        self.fleet.entries[index] = process

    @stateful.rule(index=st.integers(0, ENDPOINTS - 1))
    def restart_endpoint(self, index):
        old = self.fleet.endpoints[index]
        self.driver.kill(old)
        process = self.fleet.add_endpoint(old.name, 1.0 + index, 2)
        self.fleet.endpoints.pop()
        self.fleet.endpoints[index] = process

    @stateful.rule(index=st.integers(0, ENDPOINTS - 1))
    def drain_endpoint(self, index):
        self.driver.feed(self.fleet.endpoints[index], events.Drain())

    @stateful.rule(
        index=st.integers(0, ENTRIES + ENDPOINTS - 1),
        seconds=st.sampled_from([0.3, 2.0, 6.0, 20.0]),
        reads_first=st.booleans(),
    )
    def freeze(self, index, seconds, reads_first):
        process = (self.fleet.entries + self.fleet.endpoints)[index]
        if process.alive and not process.frozen:
            self.driver.freeze(process)
            self.driver.after(seconds, self._thaw, process, reads_first)

    def _thaw(self, process, reads_first):
        if reads_first:
            # As an event loop does: connections go before timers.
            process.inbox.sort(key=lambda e: isinstance(e, events.Tick))
        if process.frozen:
            self.driver.thaw(process)

    @stateful.rule(
        index=st.integers(0, ENTRIES - 1),
        dialer=st.integers(0, ENTRIES + ENDPOINTS - 1),
        count=st.integers(1, 3),
    )
    def replace_connections(self, index, dialer, count):
        process = (self.fleet.entries + self.fleet.endpoints)[dialer]
        entry = self.fleet.entries[index]
        dial = effects.Dial(entry.address)
        for _ in range(count if process is not entry else 0):
            self.driver.effect_handlers[effects.Dial](
                self.driver, process, dial
            )

    @stateful.rule(
        first=st.integers(0, ENTRIES - 1),
        second=st.integers(0, ENTRIES + ENDPOINTS - 1),
        lasting_s=st.sampled_from([0.0, 0.1, 3.0, 10.0, 30.0]),
    )
    def lose_connection(self, first, second, lasting_s):
        entry = self.fleet.entries[first]
        peer = (self.fleet.entries + self.fleet.endpoints)[second]
        if lasting_s:
            self.driver.partition(entry, peer)
            self.driver.after(lasting_s, self.driver.heal, entry, peer)
        else:
            self.driver.silence(entry, peer)

    @stateful.rule(seconds=st.sampled_from([0.001, 0.04, 0.4, 2.0, 8.0]))
    def wait(self, seconds):
        self.driver.run_until(self.driver.now + seconds)

    @stateful.invariant()
    def no_task_starts_twice(self):
        testing.check_no_double_start(self.fleet)

    def teardown(self):
        self.driver.run_until(self.driver.now + QUIET_PERIOD_S)
        testing.check_no_double_start(self.fleet)
        for process, req, job_id, spec in self.requests:
            found = self.driver.answers.get((process.name, req))
            answer = found[1] if found else None
            testing.check_job(self.fleet, spec, answer, job_id)
            if process.alive:
                assert answer is not None, 'a caller received no answer'


TestFleet = FleetMachine.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
