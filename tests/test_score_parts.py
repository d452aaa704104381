"""Tests of the table that splits what a day lacks to a worth of 1."""

import importlib.util
import json
import pathlib

import pytest

PATH = pathlib.Path(__file__).parents[1] / 'tools' / 'score_parts.py'
_spec = importlib.util.spec_from_file_location('score_parts', PATH)
score_parts = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(score_parts)

DAY = {
    'name': 'trouble-1',
    'parts': [
        ['whole day', 0.4, 0.9],
        ['worst windows', 0.1, 0.5],
        ['worst class', 0.3, 0.8],
        ['worst zone', 0.2, 0.95],
    ],
    'prices': [
        ['machine-seconds', 100.0, 0.07],
        ['new connections to servers', 9.0, 0.01],
        ['duties missed', 0.0, None],
    ],
}


class TestScoreParts:
    def test_parts_add_up(self):
        """Guards against a loss that is counted twice or not at all."""
        row = score_parts.split_day(DAY)
        expected = 0.4 * 0.9 + 0.1 * 0.5 + 0.3 * 0.8 + 0.2 * 0.95 - 0.08
        assert row['worth'] == pytest.approx(expected)
        assert row['ceiling'] == pytest.approx(0.93)
        assert row['largest of them'].startswith('new connections')

    def test_days_that_were_not_played_are_left_out(self, tmp_path, capsys):
        """Guards against a mean over days without figures."""
        path = tmp_path / 'entry.json'
        days = [DAY, {**DAY, 'name': 'none', 'fault': 'does not start'}]
        path.write_text(json.dumps({'site': 's', 'why': 'w', 'days': days}))
        score_parts.main([str(path)])
        lines = capsys.readouterr().out.splitlines()
        assert not [line for line in lines if line.startswith('| none')]
        assert lines[-2].startswith('| mean | 0.760')
