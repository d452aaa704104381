"""Tests of the demo's batch and of the end of its processes."""

import os
import random
import subprocess
import sys

from azurepier import config
from standins import _fleet
from standins import demo


def process(code):
    """Return a fleet of one process that runs `code`."""
    args = [sys.executable, '-c', code]
    child = subprocess.Popen(args, stdout=subprocess.PIPE)
    # It has printed its line when it is ready for the signal.
    child.stdout.readline()
    found = _fleet.Process('p', 'entry', child.pid, child=child)
    return _fleet.Fleet([found])


class TestBatch:
    def test_jobs_are_mixed_and_repeatable(self):
        # Guards against a demo that shows an idle or another system.
        jobs = demo.make_batch(random.Random(1))
        assert jobs == demo.make_batch(random.Random(1))
        assert len(jobs) >= 40
        assert {job.kind.urgent for job in jobs} == {True, False}
        assert max(max(job.task_ms) for job in jobs) > 1000
        assert 0.3 < demo.load_of(jobs) < 0.9

    def test_tokens_belong_to_the_sample_lists(self):
        # Guards against samples whose jobs are all refused.
        customers, plans = config.load_lists(
            _fleet.LISTS / 'customers.toml', _fleet.LISTS / 'plans.toml'
        )
        cfg = config.Configuration(1, 'e', '', customers, plans)
        found = {
            name: cfg.customer_of_token(token).name
            for name, token in _fleet.TOKENS.items()
        }
        assert found == {name: name for name in customers}


class TestStop:
    def test_exit_code_is_reported(self):
        # Guards against a demo that hides a failed shutdown.
        clean = process(
            'import signal, sys\n'
            'signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))\n'
            'print(flush=True); signal.pause()'
        )
        killed = process('import signal; print(flush=True); signal.pause()')
        assert _fleet.stop(clean) == []
        assert _fleet.stop(killed) == ['p: exit code -15']

    def test_process_with_a_reused_number_is_left_alone(self):
        # Guards against a signal to a process of somebody else.
        stranger = _fleet.Process('entry-1', 'entry', os.getpid())
        assert _fleet.stop(_fleet.Fleet([stranger])) == []
