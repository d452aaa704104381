"""Tests of the settings of the optional parts."""

import pytest

from azurepier import dispatch
from azurepier.dispatch import policy
from azurepier.kernel import SettingsError


class TestDecodePolicy:
    """Tables of a deployment's file."""

    def test_parts_without_a_table_are_off(self):
        """Guards against parts that run where no deployment asked for them."""
        assert dispatch.decode_policy('') == dispatch.Policy()
        part = dispatch.decode_policy('[waiting_orders]').waiting_orders
        assert part == policy.WaitingOrders()
        assert dispatch.load_policy('') == dispatch.Policy()

    @pytest.mark.parametrize(
        ('text', 'field'),
        [
            ('[waiting]', 'waiting'),
            ('waiting_orders = 1', 'waiting_orders'),
            ('[waiting_orders]\nwait_ms = 1', 'waiting_orders.wait_ms'),
            ('[waiting_orders]\nmax_wait_ms = 0', 'max_wait_ms'),
            ('[waiting_orders]\nmax_wait_ms = true', 'max_wait_ms'),
            ('[urgent_reserve]\nmax_share = 1', 'max_share'),
            ('[urgent_reserve', 'TOML'),
        ],
    )
    def test_errors_name_the_field(self, text, field):
        """A misspelt key must not switch a part off or to its default."""
        with pytest.raises(SettingsError, match=field):
            dispatch.decode_policy(text)

    def test_unreadable_file(self, tmp_path):
        """The error of a missing file must name it."""
        path = str(tmp_path / 'dispatch.toml')
        with pytest.raises(SettingsError, match='dispatch.toml'):
            dispatch.load_policy(path)


class TestIsInUse:
    """Deployments of different sizes with the same file."""

    def test_smaller_deployments_are_served_as_before(self):
        """Guards against parts in deployments below their size."""
        part = policy.WaitingOrders(min_entries=5)
        assert not policy.is_in_use(None, 13)
        assert not policy.is_in_use(part, 3)
        assert policy.is_in_use(part, 5)
