"""Choice of the endpoint for a task, and what it is based on."""

from azurepier.placement import _breaker as breaker
from azurepier.placement import _estimates as estimates
from azurepier.placement._plan import Plan
from azurepier.placement._policies import HOLD
from azurepier.placement._policies import Need

__all__ = ['HOLD', 'Need', 'Plan', 'breaker', 'estimates']
