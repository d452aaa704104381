"""Experiments: their files, plays, figures and page."""

import math

import attrs
from click.testing import CliRunner
import pytest

from azurepier.cli import main
from azurepier.dispatch import _order
from azurepier import experiment as experiments
from azurepier.experiment import _arrivals
from azurepier.experiment import _measure
from azurepier.kernel import InvalidInputError

OUTCOMES = ('in time', 'late', 'refused')
TEXT = '''
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


def load(text=TEXT):
    return experiments.load(text, experiments.POLICIES, experiments.FAULTS)


class TestFile:
    @pytest.mark.parametrize(
        ('old', 'new', 'field'),
        [
            ('seconds = 2.0', 'seconds = ', 'experiment'),
            ('seconds = 2.0', 'secs = 2.0', 'experiment.secs'),
            ('seconds = 2.0', 'seconds = 0', 'seconds'),
            ('workers = 4', 'workers = -1', 'workers'),
            ('"random"', '"best"', 'policies'),
            ('times = 3.0', 'times = 3.0\nkinds = "x"', 'bursts[0].kinds'),
            ('per_s = 20', '', 'kinds[0]'),
            ('[[bursts]]', '[bursts]', 'bursts'),
            ('[[kinds]]', '[[sorts]]', 'kinds'),
        ],
    )
    def test_mistakes(self, old, new, field):
        """Guards against a field that is misspelt and has no effect."""
        with pytest.raises(InvalidInputError) as caught:
            load(TEXT.replace(old, new, 1))
        assert str(caught.value).startswith(field)

    def test_unknown_fault(self):
        """Guards against a fault that never happens."""
        text = TEXT + '[[faults]]\nwhat = "flood"\nat_s = 1.0\n'
        with pytest.raises(InvalidInputError, match='flood'):
            load(text)


class TestArrivals:
    def test_the_same_seed(self):
        """Guards against policies that get different jobs."""
        experiment = load()
        assert _arrivals.make(experiment, 1) == _arrivals.make(experiment, 1)
        assert _arrivals.make(experiment, 1) != _arrivals.make(experiment, 2)

    def test_burst(self):
        """Guards against a burst that is not played."""
        experiment = attrs.evolve(load(), seconds=40.0, bursts=())
        calm = len(_arrivals.make(experiment, 1))
        assert calm == pytest.approx(20 * 40, rel=0.15)
        burst = attrs.evolve(load().bursts[0], at_s=0.0, for_s=40.0)
        experiment = attrs.evolve(experiment, bursts=(burst,))
        found = len(_arrivals.make(experiment, 1))
        assert found == pytest.approx(3 * calm, rel=0.15)


class TestPlay:
    def test_every_job_has_an_outcome(self):
        """Guards against jobs that are lost from the figures."""
        experiment = load()
        play = experiments.play(experiment, 'azurepier', 1)
        assert len(play.outcomes) == len(_arrivals.make(experiment, 1))
        assert {row.what for row in play.outcomes} <= {*OUTCOMES}
        assert all(0 <= row.earned <= row.owed for row in play.outcomes)

    def test_policies_are_taken_back(self):
        """Guards against a policy that stays for the next play."""
        before = _order.find_unservable
        with experiments.applied('no refusals'):
            assert _order.find_unservable is not before
        assert _order.find_unservable is before

    @pytest.mark.parametrize('policy', experiments.POLICIES)
    def test_policies(self, policy):
        """Guards against a baseline that can't be played."""
        play = experiments.play(load(), policy, 1)
        done = [row for row in play.outcomes if row.what != 'failed']
        assert len(done) == len(play.outcomes)

    @pytest.mark.parametrize('what', experiments.FAULTS)
    def test_faults(self, what):
        """Guards against a fault after which nothing is served."""
        fault = experiments.Fault(what, at_s=0.3, for_s=0.5, share=0.3)
        experiment = attrs.evolve(load(), faults=(fault,), returns=1)
        play = experiments.play(experiment, 'azurepier', 1)
        late = [row for row in play.outcomes if row.at_s > 1.7]
        assert sum(row.what == 'in time' for row in late) > len(late) / 2

    def test_callers_return(self):
        """Guards against callers that never come back after a refusal."""
        burst = experiments.Burst(0.0, 2.0, 8.0)
        experiment = attrs.evolve(load(), bursts=(burst,), returns=2)
        play = experiments.play(experiment, 'azurepier', 1)
        assert max(row.tries for row in play.outcomes) > 1


class TestFigures:
    def test_interval(self):
        """Guards against intervals that are too narrow for few seeds."""
        found = _measure.estimate([1.0, 2.0, 3.0])
        assert found.mean == 2.0
        assert found.half == pytest.approx(4.30 / math.sqrt(3))
        assert _measure.estimate([1.0]).half == math.inf

    def test_command(self, tmp_path):
        """Guards against a page that needs other files."""
        path = tmp_path / 'run.toml'
        path.write_text(TEXT)
        page = tmp_path / 'page.html'
        args = ['experiment', str(path), '--output', str(page), '--json']
        found = CliRunner().invoke(main, args)
        assert found.exit_code == 0, found.output
        text = page.read_text()
        assert 'src="data:image/png;base64,' in text
        assert 'href=' not in text
        assert 'random' in text

    def test_command_with_a_mistake(self, tmp_path):
        """Guards against a traceback in place of the reason."""
        path = tmp_path / 'run.toml'
        path.write_text(TEXT.replace('"random"', '"best"'))
        found = CliRunner().invoke(main, ['experiment', str(path)])
        assert found.exit_code == 3
        assert "unknown policy 'best'" in found.output
