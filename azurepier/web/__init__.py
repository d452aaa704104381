"""HTTP interface for callers and operators."""

from azurepier.web._answers import make_refusal_body
from azurepier.web._app import create_app
from azurepier.web._app import create_operators_app
from azurepier.web._drain import drain_proof
from azurepier.web._parse import parse_ids_request
from azurepier.web._parse import parse_job
from azurepier.web._requests import MAX_BODY_BYTES

__all__ = [
    'MAX_BODY_BYTES',
    'create_app',
    'create_operators_app',
    'drain_proof',
    'make_refusal_body',
    'parse_ids_request',
    'parse_job',
]
