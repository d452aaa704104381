"""Jobs: ownership, once-only execution, retention and recovery."""

from azurepier.jobs._codec import answer_from_json
from azurepier.jobs._codec import answer_to_json
from azurepier.jobs._codec import spec_from_json
from azurepier.jobs._codec import spec_to_json
from azurepier.jobs import _recovery as recovery
from azurepier.jobs._recovery import Recovery
from azurepier.jobs import _table as table
from azurepier.jobs._table import Job
from azurepier.jobs._table import Table

__all__ = [
    'Job',
    'Recovery',
    'Table',
    'answer_from_json',
    'answer_to_json',
    'recovery',
    'spec_from_json',
    'spec_to_json',
    'table',
]
