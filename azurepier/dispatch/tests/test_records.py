"""Records of ended jobs, of which there are too many."""

from azurepier import dispatch
from azurepier.dispatch import _records
from azurepier import testing

PATIENT = testing.queue(stretch=1000)


def make_pool(monkeypatch, count):
    """Return a fleet with one entry that remembers so many jobs."""
    monkeypatch.setattr(_records, 'REMEMBERED_MAX', count)
    fleet = testing.make_pool(entries=1, speeds=(1.0,))
    return fleet, fleet.entries['e0'].node


def start_and_leave(fleet):
    """Submit a job whose caller leaves once it is started; return it."""
    call = fleet.submit(9.0, queue=PATIENT)
    call.abandoned = True
    fleet.run_for(0.1)
    assert fleet.ledger.started
    fleet.disconnect_caller(call)
    fleet.run_for(0.1)
    return call


class TestForgottenStarts:
    def test_number_of_records(self, monkeypatch):
        """Guards against ids that callers make an entry remember."""
        fleet, node = make_pool(monkeypatch, 3)
        for _ in range(8):
            start_and_leave(fleet)
        assert len(node.started_jobs) == 3

    def test_refusal_does_not_say_not_run(self, monkeypatch):
        """Guards against 'not run' for a job whose start was forgotten."""
        fleet, node = make_pool(monkeypatch, 1)
        first = start_and_leave(fleet)
        start_and_leave(fleet)
        assert first.job.id not in node.started_jobs
        verdicts = []
        for wait_s in (0.0, _records.STARTED_RETENTION_S):
            fleet.run_for(wait_s)
            # No worker has so many cores.
            refused = fleet.submit(1.0, cpu=99_000, queue=PATIENT)
            refused.abandoned = True
            verdicts.append(refused.body and refused.body.verdict)
        # A caller whose job may have run isn't told that it hasn't.
        assert verdicts == [None, dispatch.Verdict.NOT_RUN]

    def test_outcomes(self, monkeypatch):
        """Guards against outcomes of which there is any number."""
        fleet, node = make_pool(monkeypatch, 3)
        calls = [fleet.submit(0.01, queue=PATIENT) for _ in range(8)]
        fleet.run_for(1.0)
        assert all(call.body.succeeded for call in calls)
        assert len(node.recent_outcomes) == 3
