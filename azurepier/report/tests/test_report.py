"""What the logs of entries tell of jobs."""

import json

from click.testing import CliRunner
import pytest

from azurepier.cli import main
from azurepier import report


def line(event, **fields):
    found = {
        'time': '2026-01-02T03:04:05.500Z',
        'event': event,
        'process': 'edge-1',
        'job_id': 'a' * 16,
        'queue': 'q',
        **fields,
    }
    return json.dumps(found)


def ended(**fields):
    return line(
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
    return line(event, task=f'{"a" * 16}.0.0.3', **fields)


CASES = {
    'in time': ([ended(ms=200)], 'in time', ''),
    'runs': ([ended()], 'late', 'its runs took long'),
    'first': (
        [ended(first_start_ms=90, last_start_ms=90)],
        'late',
        'the first task waited',
    ),
    'last': ([ended(last_start_ms=90)], 'late', 'the last task waited'),
    'moved': ([task_line('run_moved'), ended()], 'late', 'a run was moved'),
    'not done': (
        [
            task_line('run_not_done', status='lost', reason='endpoint_gone'),
            ended(),
        ],
        'late',
        'a run ended lost: endpoint_gone',
    ),
    'failed': ([ended(outcome='failed')], 'failed', 'a task failed'),
    'refused': (
        [line('job_rejected', ms=1, reason='overload', objective_ms=9)],
        'refused',
        'overload',
    ),
    'abandoned': (
        [line('job_abandoned', ms=5, running=2)],
        'abandoned',
        'the caller left',
    ),
}


class TestJobs:
    @pytest.mark.parametrize('name', CASES)
    def test_outcome_and_cause(self, name):
        """Guards against a cause that the lines do not show."""
        lines, outcome, cause = CASES[name]
        (job,) = report.jobs(report.read(lines))
        assert (job.outcome, job.cause) == (outcome, cause)

    def test_lines_that_are_no_objects(self):
        """Guards against a report that one broken line ends."""
        lines = ['', 'text', '{"event": "job_en', f'12.5 edge-1 {ended()}']
        log = report.read(lines)
        assert len(report.jobs(log)) == 1
        assert log.unread == 1

    def test_windows(self):
        """Guards against jobs that are counted when they end."""
        lines = [
            ended(ms=100, job_id='b' * 16),
            ended(ms=4100, job_id='c' * 16),
        ]
        rows = report.windows(report.jobs(report.read(lines)), 2.0)
        assert [row[:2] for row in rows] == [[0.0, 1], [4.0, 1]]


class TestCommand:
    def test_text_and_json(self, tmp_path):
        """Guards against tables that lack the cause."""
        path = tmp_path / 'log'
        path.write_text('\n'.join([ended(), ended(ms=100, job_id='b' * 16)]))
        found = CliRunner().invoke(main, ['report', str(path)])
        assert found.exit_code == 0
        assert 'its runs took long' in found.output
        found = CliRunner().invoke(main, ['report', str(path), '--json'])
        value = json.loads(found.output)
        assert value['queues'] == [['q', 2, 1, 1, 0, 0, 0]]
        assert value['slowest'][0]['ms'] == 300
