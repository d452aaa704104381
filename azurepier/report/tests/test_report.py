"""Tests of the outcomes and causes that are derived from logs."""

import json

from click.testing import CliRunner
import pytest

from azurepier.cli import main
from azurepier import report


def log_line(event, **fields):
    record = {
        'time': '2026-01-02T03:04:05.500Z',
        'event': event,
        'process': 'edge-1',
        'job_id': 'a' * 16,
        'queue': 'q',
        **fields,
    }
    return json.dumps(record)


def ended_line(**fields):
    return log_line(
        'job_ended',
        **{
            'ms': 300,
            'objective_ms': 250,
            'first_start_ms': 1,
            'last_start_ms': 2,
            'declared_ms': 120,
            'work_ms': None,
            'outcome': 'succeeded',
            **fields,
        },
    )


def task_line(event, **fields):
    return log_line(event, task=f'{"a" * 16}.0.0.3', **fields)


CASES = {
    'in time': ([ended_line(ms=200)], 'in time', ''),
    'runs': ([ended_line()], 'late', 'its runs took too long'),
    'first': (
        [ended_line(first_start_ms=90, last_start_ms=90)],
        'late',
        'the first task waited',
    ),
    'last': ([ended_line(last_start_ms=90)], 'late', 'the last task waited'),
    'moved': (
        [task_line('run_moved'), ended_line()],
        'late',
        'a run was moved',
    ),
    'not done': (
        [
            task_line('run_not_done', status='lost', reason='endpoint_gone'),
            ended_line(),
        ],
        'late',
        'a run did not complete (lost: endpoint_gone)',
    ),
    'failed': ([ended_line(outcome='failed')], 'failed', 'a task failed'),
    'refused': (
        [log_line('job_rejected', ms=1, reason='overload', objective_ms=9)],
        'refused',
        'overload',
    ),
    'abandoned': (
        [log_line('job_abandoned', ms=5, running=2)],
        'abandoned',
        'the caller disconnected',
    ),
}


class TestJobs:
    @pytest.mark.parametrize('name', CASES)
    def test_outcome_and_cause(self, name):
        """Guards against a wrong outcome or cause."""
        lines, outcome, cause = CASES[name]
        (job,) = report.classify_jobs(report.read_log(lines))
        assert (job.outcome, job.cause) == (outcome, cause)

    def test_invalid_lines_are_skipped(self):
        """Guards against a report that fails because of one invalid line."""
        lines = [
            '',
            'text',
            '{"event": "job_en',
            f'12.5 edge-1 {ended_line()}',
        ]
        log = report.read_log(lines)
        assert len(report.classify_jobs(log)) == 1
        assert log.unparsed_lines == 1

    def test_windows_count_jobs_by_arrival(self):
        """Guards against counting jobs in the window in which they end."""
        lines = [
            ended_line(ms=100, job_id='b' * 16),
            ended_line(ms=4100, job_id='c' * 16),
        ]
        rows = report.count_by_window(
            report.classify_jobs(report.read_log(lines)), 2.0
        )
        assert [row[:2] for row in rows] == [[0.0, 1], [4.0, 1]]


class TestCommand:
    def test_text_and_json(self, tmp_path):
        """Guards against output without the causes or the slowest jobs."""
        path = tmp_path / 'log'
        path.write_text(
            '\n'.join([ended_line(), ended_line(ms=100, job_id='b' * 16)])
        )
        result = CliRunner().invoke(main, ['report', str(path)])
        assert result.exit_code == 0
        assert 'its runs took too long' in result.output
        result = CliRunner().invoke(main, ['report', str(path), '--json'])
        value = json.loads(result.output)
        assert value['queues'] == [['q', 2, 1, 1, 0, 0, 0]]
        assert value['slowest'][0]['ms'] == 300
