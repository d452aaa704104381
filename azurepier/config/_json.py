"""JSON form of the configuration, as kept in the platform."""

import json

import attrs

from azurepier.config import _checks
from azurepier.config import _model
from azurepier import kernel

_MAX_VERSION = 2**62
_MAX_TEXT_CHARS = 200
_KEYS = ('version', 'edit_id', 'author', 'customers', 'plans')


def dumps(value):
    """Return compact JSON with sorted keys as bytes."""
    return json.dumps(value, separators=(',', ':'), sort_keys=True).encode()


def loads(body):
    """Return the JSON object in `body`.

    Raises
    ------
    InvalidInputError
        If `body` is not a JSON object.
    """
    try:
        value = json.loads(body)
    except (ValueError, TypeError, RecursionError) as exc:
        raise kernel.InvalidInputError('(body)', f'not JSON: {exc}') from None
    if not isinstance(value, dict):
        raise kernel.InvalidInputError('(body)', 'expected a JSON object')
    return value


def to_json(cfg):
    """Return the configuration as JSON bytes; equal objects give equal bytes.

    Parameters
    ----------
    cfg : Configuration

    Returns
    -------
    bytes
    """
    return dumps(
        {
            'version': cfg.version,
            'edit_id': cfg.edit_id,
            'author': cfg.author,
            'customers': _checks.to_table(cfg.customers),
            'plans': _checks.to_table(cfg.plans),
        }
    )


def from_json(body):
    """Read and check a configuration.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    Configuration

    Raises
    ------
    InvalidInputError
        If any part of it is invalid; it names the first such field.
    """
    return from_tables(loads(body))


def from_tables(value):
    """Check a configuration given as a dict and build it."""
    check_keys(value, _KEYS)
    check_header(value)
    for cls, key in ((_model.Plan, 'plans'), (_model.Customer, 'customers')):
        _raise_first(key, _checks.table_problems(cls, value[key]))
    _raise_first(
        'customers',
        _checks.reference_problems(value['customers'], value['plans']),
    )
    return _model.Configuration(
        version=value['version'],
        edit_id=value['edit_id'],
        author=value['author'],
        customers=_checks.build(_model.Customer, value['customers']),
        plans=_checks.build(_model.Plan, value['plans']),
    )


def check_keys(value, expected):
    """Refuse a dict whose keys are not exactly the expected ones."""
    for key in value:
        if key not in expected:
            raise kernel.InvalidInputError(key, 'unknown field')
    for key in expected:
        if key not in value:
            raise kernel.InvalidInputError(key, 'missing')


def check_header(value):
    """Check the version, edit id and author of a configuration."""
    version = value['version']
    if type(version) is not int or not 1 <= version <= _MAX_VERSION:
        raise kernel.InvalidInputError('version', 'expected an integer > 0')
    for key in ('edit_id', 'author'):
        text = value[key]
        if not isinstance(text, str) or len(text) > _MAX_TEXT_CHARS:
            reason = f'expected a string of up to {_MAX_TEXT_CHARS} characters'
            raise kernel.InvalidInputError(key, reason)


def _raise_first(prefix, problems):
    for problem in problems:
        path = attrs.evolve(problem, path=(prefix, *problem.path)).field
        raise kernel.InvalidInputError(path, problem.reason)
