"""Simulated experiments that compare policies of the dispatch to pools."""

from azurepier.experiment._faults import FAULTS
from azurepier.experiment._measure import Estimate
from azurepier.experiment._measure import estimate_difference
from azurepier.experiment._measure import estimate_measures
from azurepier.experiment._page import render_page
from azurepier.experiment._policies import apply_policy
from azurepier.experiment._policies import POLICIES
from azurepier.experiment._simulation import Outcome
from azurepier.experiment._simulation import simulate
from azurepier.experiment._simulation import SimulationResult
from azurepier.experiment._spec import Burst
from azurepier.experiment._spec import Experiment
from azurepier.experiment._spec import Fault
from azurepier.experiment._spec import Fleet
from azurepier.experiment._spec import Kind
from azurepier.experiment._spec import load

__all__ = [
    'Burst',
    'Estimate',
    'Experiment',
    'FAULTS',
    'Fault',
    'Fleet',
    'Kind',
    'Outcome',
    'POLICIES',
    'SimulationResult',
    'apply_policy',
    'estimate_difference',
    'estimate_measures',
    'load',
    'render_page',
    'simulate',
]
