"""Tests of experiments: their files, simulation, statistics and page."""

import math

import attrs
from click.testing import CliRunner
import pytest

from azurepier.cli import main
from azurepier.dispatch import _order
from azurepier import experiment as experiments
from azurepier.experiment import _arrivals
from azurepier.experiment import _measure
from azurepier.experiment import _simulation
from azurepier.kernel import InvalidInputError

STATUSES = ('in time', 'late', 'refused')
SPEC = '''
name = "small"
seconds = 2.0
seeds = 2
policies = ["azurepier", "random"]
[fleet]
workers = 4
cores = [16]
speeds = [1.0, 0.5]
[[kinds]]
name = "short"
per_s = 20
tasks = 3
task_ms = 100
cores = 2
[[bursts]]
at_s = 0.5
for_s = 0.5
times = 3.0
'''


def load(text=SPEC):
    return experiments.load(text, experiments.POLICIES, experiments.FAULTS)


class TestLoad:
    @pytest.mark.parametrize(
        ('old', 'new', 'field'),
        [
            ('seconds = 2.0', 'seconds = ', 'experiment'),
            ('seconds = 2.0', 'secs = 2.0', 'experiment.secs'),
            ('seconds = 2.0', 'seconds = 0', 'seconds'),
            ('workers = 4', 'workers = -1', 'workers'),
            ('"random"', '"best"', 'policies'),
            ('times = 3.0', 'times = 3.0\nkinds = "x"', 'bursts[0].kinds'),
            ('per_s = 20', '', 'kinds[0].per_s: is missing'),
            ('name = "small"', '', 'experiment.name: is missing'),
            ('[[bursts]]', '[bursts]', 'bursts'),
            ('[[kinds]]', '[[sorts]]', 'kinds'),
        ],
    )
    def test_invalid_fields(self, old, new, field):
        """Guards against misspelt or invalid fields that are ignored."""
        with pytest.raises(InvalidInputError) as caught:
            load(SPEC.replace(old, new, 1))
        assert str(caught.value).startswith(field)

    def test_parts_of_the_dispatch(self):
        """Guards against a fleet without the parts that the file names."""
        spec = load(f'{SPEC}[policy.waiting_orders]\nmax_wait_ms = 7')
        assert spec.policy.waiting_orders.max_wait_ms == 7
        fleet = _simulation._make_fleet(spec, 1)
        processes = [*fleet.entries.values(), *fleet.endpoints.values()]
        assert {each.node.options.policy for each in processes} == {
            spec.policy
        }
        with pytest.raises(InvalidInputError, match='waiting_orders.wait'):
            load(f'{SPEC}[policy.waiting_orders]\nwait = 7')

    def test_unknown_fault(self):
        """Guards against faults that are ignored because of a wrong name."""
        text = SPEC + '[[faults]]\nwhat = "flood"\nat_s = 1.0\n'
        with pytest.raises(InvalidInputError, match='flood'):
            load(text)


class TestArrivals:
    def test_same_seed_gives_same_arrivals(self):
        """Guards against policies that are compared on different jobs."""
        experiment = load()
        assert _arrivals.generate(experiment, 1) == _arrivals.generate(
            experiment, 1
        )
        assert _arrivals.generate(experiment, 1) != _arrivals.generate(
            experiment, 2
        )

    def test_burst_raises_the_rate(self):
        """Guards against bursts that leave the arrival rate unchanged."""
        experiment = attrs.evolve(load(), seconds=40.0, bursts=())
        base_count = len(_arrivals.generate(experiment, 1))
        assert base_count == pytest.approx(20 * 40, rel=0.15)
        burst = attrs.evolve(load().bursts[0], at_s=0.0, for_s=40.0)
        experiment = attrs.evolve(experiment, bursts=(burst,))
        burst_count = len(_arrivals.generate(experiment, 1))
        assert burst_count == pytest.approx(3 * base_count, rel=0.15)


class TestSimulate:
    def test_every_job_has_an_outcome(self):
        """Guards against jobs that are missing from the statistics."""
        experiment = load()
        result = experiments.simulate(experiment, 'azurepier', 1)
        assert len(result.outcomes) == len(_arrivals.generate(experiment, 1))
        assert {row.status for row in result.outcomes} <= {*STATUSES}
        assert all(0 <= row.worth <= row.max_worth for row in result.outcomes)

    def test_patches_are_reverted(self):
        """Guards against patches that remain in force for the next policy."""
        before = _order.find_unservable
        with experiments.apply_policy('no refusals'):
            assert _order.find_unservable is not before
        assert _order.find_unservable is before

    @pytest.mark.parametrize('policy', experiments.POLICIES)
    def test_policy_can_be_simulated(self, policy):
        """Guards against policies whose patches break the dispatch."""
        result = experiments.simulate(load(), policy, 1)
        answered = [row for row in result.outcomes if row.status != 'failed']
        assert len(answered) == len(result.outcomes)

    @pytest.mark.parametrize('what', experiments.FAULTS)
    def test_jobs_are_served_after_fault(self, what):
        """Guards against faults that do not end."""
        fault = experiments.Fault(what, at_s=0.3, for_s=0.5, share=0.3)
        experiment = attrs.evolve(load(), faults=(fault,), returns=1)
        result = experiments.simulate(experiment, 'azurepier', 1)
        after_fault = [row for row in result.outcomes if row.at_s > 1.7]
        assert (
            sum(row.status == 'in time' for row in after_fault)
            > len(after_fault) / 2
        )

    def test_rejected_jobs_are_resubmitted(self):
        """Guards against rejected jobs that are not submitted again."""
        burst = experiments.Burst(0.0, 2.0, 8.0)
        experiment = attrs.evolve(load(), bursts=(burst,), returns=2)
        result = experiments.simulate(experiment, 'azurepier', 1)
        assert max(row.submissions for row in result.outcomes) > 1


class TestStatistics:
    def test_confidence_interval(self):
        """Guards against intervals that are too narrow for few seeds.

        They must use Student's t-distribution.
        """
        estimate = _measure.estimate([1.0, 2.0, 3.0])
        assert estimate.mean == 2.0
        assert estimate.half_width == pytest.approx(4.30 / math.sqrt(3))
        assert _measure.estimate([1.0]).half_width == math.inf

    def test_command_writes_page(self, tmp_path):
        """Guards against a page that depends on other files."""
        path = tmp_path / 'run.toml'
        path.write_text(SPEC)
        page = tmp_path / 'page.html'
        args = ['experiment', str(path), '--output', str(page), '--json']
        result = CliRunner().invoke(main, args)
        assert result.exit_code == 0, result.output
        text = page.read_text()
        assert 'src="data:image/png;base64,' in text
        assert 'href=' not in text
        assert 'random' in text

    def test_command_reports_invalid_file(self, tmp_path):
        """Guards against a traceback instead of an error message."""
        path = tmp_path / 'run.toml'
        path.write_text(SPEC.replace('"random"', '"best"'))
        result = CliRunner().invoke(main, ['experiment', str(path)])
        assert result.exit_code == 3
        assert "unknown policy 'best'" in result.output
