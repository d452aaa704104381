"""Placement of tasks on endpoints, with the estimates that it is based on."""

from azurepier.placement import _breaker as breaker
from azurepier.placement import _estimates as estimates
from azurepier.placement._forecast import SlotForecast
from azurepier.placement._policies import HOLD
from azurepier.placement._policies import PlacementRequest

__all__ = ['HOLD', 'PlacementRequest', 'SlotForecast', 'breaker', 'estimates']
