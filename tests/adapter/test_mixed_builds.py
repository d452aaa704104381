"""Tests of two builds that run side by side during an upgrade."""

import json
import random
import signal
import types

import mixed_fleet
from mixed_fleet import _builds
from mixed_fleet import _fleet
from mixed_fleet import _logs
from mixed_fleet import _messages
from mixed_fleet import _record
from mixed_fleet import _run
import pytest

SEED = 1
# Each replacement takes its own time, 2 s or more for an entry that drains.
SECONDS = 20.0


class TestUpgrade:
    def test_production_build_to_the_working_copy(self, tmp_path):
        """Guards against messages that only one of the builds can read."""
        options = mixed_fleet.Options(
            mixed_fleet.PRODUCTION_COMMIT, SEED, SECONDS, tmp_path
        )
        report = mixed_fleet.run(options)
        assert report.violations == []
        assert report.steps[0][1:] == (6, 0)
        assert report.steps[-1][1:] == (0, 6)
        for phase in ('old', 'mixed', 'new'):
            assert report.outcomes[phase]['succeeded'] > 0

    def test_commit_that_the_history_lacks(self):
        """Guards against a run in a shallow clone that looks like a pass."""
        with pytest.raises(mixed_fleet.MissingCommitError, match='unshallow'):
            _builds.extract('0123456789abcdef')


class TestMessages:
    """Guards against a message that an upgrade makes unreadable.

    The usual causes are a new field that isn't optional, a field that was
    given another type or number, and a field that is no longer sent.
    """

    def test_new_build_reads_the_old_ones(self):
        """All message types of the old build still exist and are complete."""
        old = _builds.extract(mixed_fleet.PRODUCTION_COMMIT)
        assert _messages.unreadable(old, _builds.working_copy()) == {}

    def test_old_build_reads_the_new_ones(self):
        """New message types may not be sent to the build in production."""
        old = _builds.extract(mixed_fleet.PRODUCTION_COMMIT)
        assert _messages.unreadable(_builds.working_copy(), old) == {}


class TestPlan:
    @pytest.mark.parametrize('seed', range(20))
    def test_steps(self, seed):
        """Guards against orders in which the builds hardly meet."""
        machines = [
            types.SimpleNamespace(role=role, name=f'{role}-{domain}')
            for role in ('entry', 'endpoint')
            for domain in 'abc'
        ]
        plan = _run.make_plan(machines, random.Random(seed))
        builds = dict.fromkeys((m.name for m in machines), 'old')
        roles, killed = [], []
        for name, *arguments in plan:
            if name == 'replace':
                machine, build, signal_number = arguments
                assert builds[machine.name] != build
                builds[machine.name] = build
                roles.append(machine.role)
                if signal_number == signal.SIGKILL:
                    killed.append(machine.role)
            elif name != 'restore':
                entries = {
                    build
                    for machine, build in builds.items()
                    if machine.startswith('entry')
                }
                assert entries == {'old', 'new'}
        assert set(builds.values()) == {'new'}
        assert sorted(killed) == ['endpoint', 'entry']
        assert roles.count('entry') >= 3
        assert roles.count('endpoint') >= 3


def make_record():
    """Return a record with one job of two tasks."""
    record = _record.Record()
    record.jobs['j'] = _record.Job('j', 2, 'old', 0.0)
    return record


class TestRecord:
    """Guards against a run that passes because its checks see nothing."""

    def rules(self, record):
        return [text.split()[3].rstrip(':') for text in record.violations]

    def test_two_runs_at_the_same_time(self):
        """The second run may be on another worker."""
        record = make_record()
        _record.on_start(record, 'w1', 'j.0.0.0', 1)
        _record.on_start(record, 'w2', 'j.0.0.0', 2)
        assert self.rules(record) == ['twice']

    def test_one_run_after_the_other(self):
        """A task may run again when its run has ended."""
        record = make_record()
        _record.on_start(record, 'w1', 'j.0.0.0', 1)
        _record.on_end(record, 'w1', 'j.0.0.0', 1, 'lapsed')
        _record.on_start(record, 'w2', 'j.0.0.0', 2)
        assert record.violations == []

    def test_success_without_all_ends(self):
        """Each task needs a run that has ended done."""
        record = make_record()
        _record.on_start(record, 'w1', 'j.0.0.0', 1)
        _record.on_end(record, 'w1', 'j.0.0.0', 1, 'done')
        _record.on_answer(record, record.jobs['j'], 'succeeded')
        assert self.rules(record) == ['not_done']

    def test_refused_job_that_ran(self):
        """A job of which every attempt was refused has no start."""
        record = make_record()
        job = record.jobs['j']
        job.attempts[:] = ['503', '503']
        _record.on_start(record, 'w1', 'j.0.0.1', 1)
        _record.on_end(record, 'w1', 'j.0.0.1', 1, 'stopped')
        _record.on_answer(record, job, 'refused')
        _record.check_end(record)
        assert self.rules(record) == ['refused']

    def test_job_without_an_answer(self):
        """Each job is answered."""
        record = make_record()
        record.jobs['j'].attempts.append('broken')
        _record.check_end(record)
        assert self.rules(record) == ['unanswered']

    def test_task_that_nobody_submitted(self):
        """Its job is not known, so it is a violation of its own."""
        record = make_record()
        _record.on_start(record, 'w1', 'k.0.0.0', 1)
        assert self.rules(record) == ['unasked']


class TestLogs:
    def check_log(self, folder, lines):
        """Return the record of a run with one process that logs lines."""
        files = [
            str(folder / part)
            for part in ('platform/adapter/x.py', 'azurepier/x.py')
        ]
        imported = json.dumps({'event': 'build_imported', 'files': files})
        return self.check_text(folder, '\n'.join([imported, *lines]) + '\n')

    def check_text(self, folder, text):
        build = _builds.Build('old', 'c', folder)
        record = _record.Record()
        fleet = _fleet.Fleet(folder, record, {'old': build})
        log = folder / 'entry-a-1-old.log'
        log.write_text(text)
        machine = _fleet.Machine('entry', 'entry-a', '127.0.0.1', 'a')
        machine.lives.append(('old', log))
        fleet.machines.append(machine)
        _logs.check(fleet)
        return record

    @pytest.mark.parametrize(
        'line',
        [
            '{"event": "handler_failed", "level": "ERROR"}',
            '{"event": "recovery_failed", "level": "ERROR"}',
            '{"event": "connection_failed", "reason": "malformed Beat"}',
            'Traceback (most recent call last):',
        ],
    )
    def test_forbidden_line(self, line, tmp_path):
        """Guards against a log of which only known events are checked."""
        record = self.check_log(tmp_path, [line])
        assert len(record.violations) == 1

    @pytest.mark.parametrize(
        ('lines', 'violations'),
        [(('stopped', 'task'), 0), (('task', 'stopped'), 1)],
    )
    def test_connection_at_the_end(self, lines, violations, tmp_path):
        """Guards against an exception that hides lines of other times."""
        texts = {
            'stopped': '{"event": "stopped"}',
            'task': json.dumps(
                {
                    'level': 'ERROR',
                    'event': 'Task was destroyed but it is pending!\ntask: '
                    'coro=<BaseSelectorEventLoop._accept_connection2()',
                }
            ),
        }
        record = self.check_log(tmp_path, [texts[line] for line in lines])
        assert len(record.violations) == violations

    @pytest.mark.parametrize(
        ('started', 'violations'), [('05.000', 0), ('00.000', 1)]
    )
    def test_handshake_during_a_start(self, started, violations, tmp_path):
        """Guards against handshakes that fail with a process that runs."""
        day = '2026-12-04T10:00:'
        lines = [
            {'event': 'started', 'time': f'{day}{started}Z'},
            {
                'event': 'connection_failed',
                'reason': 'the handshake timed out',
                'address': '127.0.0.1:17320',
                'time': f'{day}04.500Z',
            },
        ]
        record = self.check_log(tmp_path, map(json.dumps, lines))
        assert len(record.violations) == violations

    def test_other_sources(self, tmp_path):
        """Guards against an old process that runs the new code."""
        text = (
            '{"event": "build_imported", "files": ["/new/platform/adapter/'
            '__init__.py", "/new/azurepier/__init__.py"]}\n'
        )
        record = self.check_text(tmp_path, text)
        assert 'imports' in record.violations[0]
