"""Simulated experiments that compare policies of the dispatch to pools."""

from azurepier.experiment._faults import FAULTS
from azurepier.experiment._measure import difference
from azurepier.experiment._measure import Estimate
from azurepier.experiment._measure import table
from azurepier.experiment._page import render
from azurepier.experiment._play import Outcome
from azurepier.experiment._play import Play
from azurepier.experiment._play import play
from azurepier.experiment._policies import applied
from azurepier.experiment._policies import POLICIES
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
    'Play',
    'applied',
    'difference',
    'load',
    'play',
    'render',
    'table',
]
