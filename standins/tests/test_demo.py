"""Tests of the demo's batch and of stopping its processes."""

import os
import random
import subprocess
import sys

from azurepier import config
from standins import _fleet
from standins import demo


def start_process(code):
    """Return a fleet of one process that runs `code`."""
    args = [sys.executable, '-c', code]
    child = subprocess.Popen(args, stdout=subprocess.PIPE)
    # The process prints a line when it is ready to handle signals.
    child.stdout.readline()
    child_process = _fleet.Process('p', 'entry', child.pid, child=child)
    return _fleet.Fleet([child_process])


class TestBatch:
    def test_batch_is_mixed_and_reproducible(self):
        # Guards against a batch that leaves the fleet idle, or that differs
        # from run to run.
        jobs = demo.make_batch(random.Random(1))
        assert jobs == demo.make_batch(random.Random(1))
        assert len(jobs) >= 40
        assert {job.kind.urgent for job in jobs} == {True, False}
        assert max(max(job.task_ms) for job in jobs) > 1000
        assert 0.3 < demo.offered_load(jobs) < 0.9

    def test_tokens_match_the_sample_lists(self):
        # Guards against a demo whose jobs are all rejected.
        customers, plans = config.load_lists(
            _fleet.LISTS_DIR / 'customers.toml',
            _fleet.LISTS_DIR / 'plans.toml',
        )
        cfg = config.Configuration(1, 'e', '', customers, plans)
        owners = {
            name: cfg.customer_of_token(token).name
            for name, token in _fleet.TOKENS.items()
        }
        assert owners == {name: name for name in customers}


class TestStop:
    def test_exit_code_is_reported(self):
        # Guards against failed shutdowns that the demo does not report.
        clean = start_process(
            'import signal, sys\n'
            'signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))\n'
            'print(flush=True); signal.pause()'
        )
        killed = start_process(
            'import signal; print(flush=True); signal.pause()'
        )
        assert _fleet.stop(clean) == []
        assert _fleet.stop(killed) == ['p: exit code -15']

    def test_process_with_reused_pid_is_not_signalled(self):
        # Guards against signals to an unrelated process with the same pid.
        unrelated = _fleet.Process('entry-1', 'entry', os.getpid())
        assert _fleet.stop(_fleet.Fleet([unrelated])) == []
