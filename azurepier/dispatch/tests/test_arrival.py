"""Return of endpoint processes, with the part `endpoint_arrival` in use.

The tests of failures show that they fail without their mechanism.
"""

import random

import attrs
import pytest

from azurepier import dispatch
from azurepier.dispatch import _arrival
from azurepier import runner
from azurepier import testing

Scenario = testing.returns.Scenario
POLICY = dispatch.decode_policy('[endpoint_arrival]')
FINISHED = dispatch.Finished(True)


def make_pool(workers=6, entries=2, policy=POLICY, **options):
    """Return a fleet whose processes were started with a policy."""
    fleet = testing.make_pool(
        entries=entries, speeds=(1.0,) * workers, cpu=16000, **options
    )
    fleet.policy = policy
    for name in list(fleet.entries):
        fleet.driver.kill(fleet.entries[name])
        fleet.start_entry(name)
    fleet.run_for(3.0)
    return fleet


def start_endpoint(fleet, name):
    """Start an endpoint process whose worker reports at once."""
    process = fleet.start_endpoint(name)
    report = fleet.workers[name].report()
    fleet.driver.feed(process, runner.WorkerReported(report))


def settled_logs(fleet, name):
    """Return time and fields of the log lines of an entry."""
    return [
        (at, effect.fields)
        for at, process, effect in fleet.driver.log_effects
        if process == name and effect.event == 'endpoints_settled'
    ]


def play(scenario, policy, seed=1):
    """Return the `Tally` of a loss on 9 entries and 36 workers."""
    fleet = testing.make_pool(
        seed=seed,
        entries=9,
        speeds=(1.0,) * 36,
        cpu=64000,
        domains=3,
        delay_s=0.0014,
    )
    fleet.policy = policy
    rng = random.Random(f'arrivals-{seed}')
    arrivals, at_s = [], 0.0
    while at_s < 3.0:
        at_s += rng.expovariate(180.0)
        work_s, count = rng.choice([(0.1, 8), (0.35, 2), (0.35, 2), (1.0, 4)])
        job = {'work_s': work_s, 'count': count, 'cpu': 6000}
        arrivals.append((at_s, job))
    return testing.returns.play(fleet, scenario, arrivals, seed, run_s=5.0)


class TestReturnUnderLoad:
    """All processes are lost under load; replays the observed return."""

    @pytest.mark.parametrize(
        'scenario',
        [
            Scenario(config_late_s=0.98),
            Scenario(entries_lead_s=0.0, config_late_s=0.98),
            Scenario(entries_lead_s=-0.3, config_late_s=0.98),
            Scenario(cut_off=True, config_late_s=0.98),
        ],
        ids=['entries first', 'together', 'entries last', 'entry cut off'],
    )
    def test_late_configuration(self, scenario):
        """Guards against refusals for overload while workers are idle."""
        present = play(scenario, dispatch.Policy())
        tally = play(scenario, POLICY)
        assert tally.overload_while_idle == 0
        assert tally.worth > present.worth
        assert tally.refused < present.refused
        assert tally.outcomes['unanswered'] == 0

    def test_present_way_refuses_while_idle(self):
        """Shows the fault that the part removes."""
        scenario = Scenario(entries_lead_s=-0.3, config_late_s=0.98)
        assert play(scenario, dispatch.Policy()).overload_while_idle > 0

    def test_jobs_in_time_go_before_late_ones(self, monkeypatch):
        """Guards against late jobs that make others late."""
        scenario = Scenario(config_late_s=0.98)
        in_time = play(scenario, POLICY).outcomes['in time']
        monkeypatch.setattr(
            _arrival.Review, 'is_late', lambda self, job: False
        )
        assert play(scenario, POLICY).outcomes['in time'] < in_time

    def test_late_jobs_leave_capacity_to_other_entries(self, monkeypatch):
        """Guards against entries that all take the same idle workers."""
        scenario = Scenario(config_late_s=0.98)
        in_time = play(scenario, POLICY).outcomes['in time']
        monkeypatch.setattr(_arrival, '_equal_share', lambda _: 1e9)
        assert play(scenario, POLICY).outcomes['in time'] < in_time

    def test_third_of_the_workers_missing(self, monkeypatch):
        """Guards against refusals before the other workers are back."""
        scenario = Scenario(missing_share=1 / 3)
        tally = play(scenario, POLICY)
        assert tally.overload_while_idle == 0
        assert tally.outcomes['unanswered'] == 0
        monkeypatch.setattr(_arrival, 'is_awaited', lambda *_: False)
        assert play(scenario, POLICY).overload_while_idle > 0


class TestKnownCapacity:
    """When the capacity counts as known."""

    def test_counted_from_the_first_configuration(self, monkeypatch):
        """Guards against a wait that ends before the store answers."""

        def settled_after():
            fleet = make_pool()
            fleet.kill_entry('e0')
            fleet.start_entry('e0', configured=False)
            fleet.run_for(1.0)
            configured_at = fleet.driver.now
            fleet.configure('e0')
            fleet.run_for(1.0)
            return settled_logs(fleet, 'e0')[-1][0] - configured_at

        assert settled_after() >= 0.0
        settle_s = POLICY.endpoint_arrival.settle_ms / 1000

        def is_awaited(node, now):
            # Counted from the start of the process.
            node.arrival.since = node.started_at
            return now - node.started_at < settle_s

        monkeypatch.setattr(_arrival, 'is_awaited', is_awaited)
        assert settled_after() < 0.0

    def returns_in_two_groups(self):
        """Return the time at which e0 settles after the second group."""
        fleet = make_pool()
        for process in fleet.endpoints.values():
            fleet.driver.kill(process)
        fleet.run_for(1.0)
        for name in ('w0', 'w1', 'w2'):
            start_endpoint(fleet, name)
        fleet.run_for(0.6)
        second_at = fleet.driver.now
        for name in ('w3', 'w4', 'w5'):
            start_endpoint(fleet, name)
        fleet.run_for(3.0)
        return [at - second_at for at, _ in settled_logs(fleet, 'e0')][-1]

    def test_former_connections_are_expected(self, monkeypatch):
        """Guards against a wait that ends between two groups of machines."""
        assert 0.0 < self.returns_in_two_groups() < 0.3
        monkeypatch.setattr(_arrival, 'EXPECTED_SHARE', 0.0)
        assert self.returns_in_two_groups() < 0.0

    def expected_after_restart(self, cut_off=False):
        """Return how many endpoint processes a restarted entry expects."""
        fleet = make_pool(entries=3)
        fleet.run_for(1.0)
        fleet.kill_entry('e0')
        if cut_off:
            for name in ('e1', 'e2'):
                pair = frozenset(('e0', name))
                fleet.driver.partitions.add(pair)
        fleet.run_for(1.0)
        for process in fleet.endpoints.values():
            fleet.driver.freeze(process)
        fleet.start_entry('e0')
        fleet.run_for(0.4)
        return fleet.entries['e0'].node.arrival.expected

    def test_other_entries_tell_the_former_number(self, monkeypatch):
        """Guards against a restarted entry that has to guess."""
        assert self.expected_after_restart() == 5
        monkeypatch.setattr(_arrival, 'send_former_count', lambda *_: [])
        assert self.expected_after_restart() == 0

    def test_entry_that_is_cut_off_falls_back(self):
        """Guards against a wait for news that can't come."""
        assert self.expected_after_restart(cut_off=True) == 0
        fleet = make_pool(entries=1)
        at, fields = settled_logs(fleet, 'e0')[-1]
        assert fields['endpoints'] == 6
        assert fields['waited_ms'] < 1500

    def test_some_never_return(self, monkeypatch):
        """Guards against an endless wait for machines that are gone."""

        def reason():
            fleet = make_pool()
            for process in fleet.endpoints.values():
                fleet.driver.kill(process)
            fleet.run_for(1.0)
            start_endpoint(fleet, 'w0')
            fleet.run_for(1.7)
            for _ in range(40):
                fleet.submit(0.3, count=4, cpu=4000, entry='e0')
            fleet.run_for(0.3)
            rejected = [
                call.body.reason
                for call in fleet.calls
                if isinstance(call.body, dispatch.Rejected)
            ]
            return set(rejected)

        assert reason() == {'overload'}
        monkeypatch.setattr(_arrival, 'is_awaited', lambda node, now: True)
        assert reason() == set()

    def test_impossible_only_once_known(self, monkeypatch):
        """Guards against "impossible" while the large workers are away."""

        def answer():
            fleet = make_pool(workers=2)
            fleet.workers['w1'].cpu = 32000
            for process in fleet.endpoints.values():
                fleet.driver.kill(process)
            fleet.run_for(1.0)
            start_endpoint(fleet, 'w0')
            fleet.run_for(0.05)
            call = fleet.submit(0.3, cpu=30000, entry='e0')
            fleet.run_for(0.1)
            start_endpoint(fleet, 'w1')
            fleet.run_for(2.0)
            return call.body

        assert answer() == FINISHED
        monkeypatch.setattr(_arrival, 'is_pending', lambda *_: False)
        assert answer().reason == 'impossible'

    def test_useless_jobs_are_refused_at_once(self, monkeypatch):
        """Guards against jobs that wait although nothing helps them."""

        def answer():
            fleet = make_pool()
            for process in fleet.endpoints.values():
                fleet.driver.kill(process)
            fleet.run_for(1.0)
            call = fleet.submit(0.05, entry='e0')
            fleet.run_for(0.3)
            assert call.body is None
            fleet.run_for(0.3)
            return call.body

        assert answer().reason == 'too_late'
        assert answer().verdict is dispatch.Verdict.NOT_RUN
        monkeypatch.setattr(_arrival, 'MAX_LATENESS_RATIO', 1e9)
        assert answer() is None

    def test_memory_of_entries_is_bounded(self):
        """Guards against growth with the entries that were ever connected."""
        arrival = _arrival.Arrival()
        for number in range(1000):
            _arrival._remember(arrival, f'e{number}', 3, 1.0)
        assert len(arrival.peers_had) == _arrival.REMEMBERED_ENTRIES_MAX

    def test_incarnations_are_not_kept(self):
        """Guards against growth with the restarts of endpoint processes."""
        fleet = make_pool()
        for _ in range(5):
            fleet.driver.kill(fleet.endpoints['w0'])
            start_endpoint(fleet, 'w0')
            fleet.run_for(2.0)
        assert len(fleet.entries['e0'].node.arrival.arrived) <= 6


class TestOff:
    """Without the part nothing changes."""

    def test_beats_are_as_before(self):
        """Guards against fields that builds of other ages don't expect."""
        fleet = make_pool(policy=dispatch.Policy())
        node = fleet.entries['e0'].node
        assert _arrival.own_count(node) is None
        assert node.arrival.known_at is None
        assert not node.arrival.arrived
        assert _arrival.status(node, fleet.driver.now) == {}

    def test_too_few_entries(self):
        """Guards against a part in use below `min_entries`."""
        part = attrs.evolve(POLICY.endpoint_arrival, min_entries=3)
        policy = dispatch.Policy(endpoint_arrival=part)
        fleet = make_pool(policy=policy)
        assert not _arrival.is_in_use(fleet.entries['e0'].node)
