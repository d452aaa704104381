"""Customer and plan lists, configuration versions and their adoption."""

from azurepier.config._adoption import adopt
from azurepier.config._adoption import adopt_body
from azurepier.config._adoption import Adoption
from azurepier.config._adoption import Rejected
from azurepier.config._checks import Problem
from azurepier.config._delta import apply_delta
from azurepier.config._delta import differences
from azurepier.config._delta import make_delta
from azurepier.config._json import from_json
from azurepier.config._json import to_json
from azurepier.config._lists import ListsError
from azurepier.config._lists import load_lists
from azurepier.config._model import Configuration
from azurepier.config._model import Customer
from azurepier.config._model import Plan

__all__ = [
    'Adoption',
    'Configuration',
    'Customer',
    'ListsError',
    'Plan',
    'Problem',
    'Rejected',
    'adopt',
    'adopt_body',
    'apply_delta',
    'differences',
    'from_json',
    'load_lists',
    'make_delta',
    'to_json',
]
