"""Tests of the output of all benchmarks."""

import json
import math

import pytest

from benchmarks import _simulate
from benchmarks import run

METRIC = run.METRICS[0]
REFUSAL_METRIC = next(
    metric for metric in run.METRICS if metric.key == 'crest_refusal_ms'
)


class TestOutput:
    """Guards against output that hides a missed target or isn't valid JSON."""

    def summarise(self, values, seeds=(1,)):
        by_policy = {
            _simulate.DEFAULT_POLICY: values,
            _simulate.BASELINE_POLICIES[0]: values,
        }
        return run.summarise_metric(METRIC, 'prydderch', seeds, by_policy)

    def test_value_of_one_seed(self):
        summary = self.summarise([1.5])
        assert (summary['value'], summary['target']) == (1.5, METRIC.target)
        assert summary['baselines'] == {'random+fair': 1.5}
        assert 'by_seed' not in summary

    def test_several_seeds_give_the_median_and_each_value(self):
        summary = self.summarise([1.0, 9.0, 2.0], seeds=(4, 5, 6))
        assert summary['value'] == 2.0
        assert summary['by_seed'] == {4: 1.0, 5: 9.0, 6: 2.0}

    def test_value_that_does_not_exist_is_null_and_not_met(self):
        for value in (math.inf, math.nan):
            summary = self.summarise([value])
            assert json.loads(json.dumps(summary))['value'] is None
            assert run.target_status(summary) == 'no value'

    @pytest.mark.parametrize(
        ('at_least', 'value', 'expected'),
        [
            (False, 1.0, 'met'),
            (False, 1.1, 'missed'),
            (True, 1.0, 'met'),
            (True, 0.9, 'missed'),
        ],
    )
    def test_target_status(self, at_least, value, expected):
        summary = {'value': value, 'target': 1.0, 'at_least': at_least}
        assert run.target_status(summary) == expected

    def test_refusals_may_take_a_client_round_trip_and_10_ms(self):
        assert run.target_for(REFUSAL_METRIC, 'prydderch') == pytest.approx(
            16.0
        )
        assert run.target_for(REFUSAL_METRIC, 'yastikevi') == pytest.approx(
            12.0
        )
