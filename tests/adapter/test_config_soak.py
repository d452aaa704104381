"""Days of random faults; undisturbed entries have the newest version.

The long run is started by hand, see `config_soak`.
"""

import logging

import config_soak
import pytest

from azurepier.testing import virtual_loop


@pytest.fixture(autouse=True)
def _quiet():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


class TestRandomFaults:
    @pytest.mark.parametrize('seed', range(1, 19))
    def test_newest_version_is_in_force(self, seed):
        """Guards against a version that is late, lost or comes back."""
        fleet = virtual_loop.run(lambda: config_soak.play_day(seed))
        assert not fleet.violations

    @pytest.mark.parametrize('seed', range(1, 7))
    def test_slow_links(self, seed):
        """Guards against copies of large texts that fill a slow link."""
        fleet = virtual_loop.run(lambda: config_soak.play_day(seed, True))
        assert not fleet.violations
