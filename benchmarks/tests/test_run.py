"""Tests of the output of all benchmarks."""

import json
import math

import pytest

from benchmarks import _simulate
from benchmarks import run

LOWER = run.MEASURES[0]
REFUSAL = next(m for m in run.MEASURES if m.key == 'crest_refusal_ms')


class TestOutput:
    """Guards against output that hides a miss or can't be read."""

    def output(self, values, seeds=(1,)):
        by_policy = {_simulate.DEFAULT: values, _simulate.BASELINES[0]: values}
        return run.entry_of(LOWER, 'prydderch', seeds, by_policy)

    def test_value_of_one_seed(self):
        out = self.output([1.5])
        assert (out['value'], out['target']) == (1.5, LOWER.target)
        assert out['baselines'] == {'random+fair': 1.5}
        assert 'by_seed' not in out

    def test_several_seeds_give_the_median_and_each_value(self):
        out = self.output([1.0, 9.0, 2.0], seeds=(4, 5, 6))
        assert out['value'] == 2.0
        assert out['by_seed'] == {4: 1.0, 5: 9.0, 6: 2.0}

    def test_value_that_does_not_exist_is_null_and_not_met(self):
        for value in (math.inf, math.nan):
            out = self.output([value])
            assert json.loads(json.dumps(out))['value'] is None
            assert run.verdict(out) == 'no value'

    @pytest.mark.parametrize(
        ('at_least', 'value', 'expected'),
        [
            (False, 1.0, 'met'),
            (False, 1.1, 'missed'),
            (True, 1.0, 'met'),
            (True, 0.9, 'missed'),
        ],
    )
    def test_verdict(self, at_least, value, expected):
        out = {'value': value, 'target': 1.0, 'at_least': at_least}
        assert run.verdict(out) == expected

    def test_refusals_may_take_a_client_round_trip_and_10_ms(self):
        assert run.target_of(REFUSAL, 'prydderch') == pytest.approx(16.0)
        assert run.target_of(REFUSAL, 'yastikevi') == pytest.approx(12.0)
