"""Short run of the soak with real processes; see `process_soak`."""

import process_soak
import pytest


class TestRandomFaults:
    @pytest.mark.parametrize('seed', [1, 2])
    def test_workers_see_no_violation(self, seed, tmp_path):
        """Guards against second runs and unsuitable starts under faults."""
        record, faults = process_soak.run(tmp_path, (3, 6, 8), 12.0, seed)
        assert record.violations == []
        assert record.ended['done'] > 100
        assert faults['return_worker'] and faults['send_foreign_heartbeat']

    def test_with_crowds(self, tmp_path):
        """Guards against the same beside clients outside the limits."""
        record, counts = process_soak.run(
            tmp_path, (3, 6, 8), 12.0, 4, crowds=True
        )
        assert record.violations == []
        assert record.ended['done'] > 100
        assert counts['jobs_of_leaving_callers']

    def test_with_the_optional_parts(self, tmp_path):
        """Guards against the same with orders that wait for capacity."""
        policy = tmp_path / 'dispatch.toml'
        policy.write_text(
            '[waiting_orders]\n[endpoint_arrival]\n[urgent_reserve]\n'
        )
        record, _ = process_soak.run(
            tmp_path, (3, 6, 8), 12.0, 3, policy=policy
        )
        assert record.violations == []
        assert record.ended['done'] > 100
