"""JSON format in which the platform stores the configuration."""

import json

import attrs

from azurepier.config import _checks
from azurepier.config import _model
from azurepier import kernel

_MAX_VERSION = 2**62
_MAX_TEXT_CHARS = 200
_CONFIGURATION_KEYS = ('version', 'edit_id', 'author', 'customers', 'plans')


def dumps(value):
    """Serialise to compact JSON with sorted keys."""
    return json.dumps(value, separators=(',', ':'), sort_keys=True).encode()


def loads(body):
    """Parse a JSON object.

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
        raise kernel.InvalidInputError(
            '(body)', f'expected a JSON object, found {type(value).__name__}'
        )
    return value


def to_json(cfg):
    """Serialise a configuration to JSON.

    Parameters
    ----------
    cfg : Configuration

    Returns
    -------
    bytes
        Equal configurations have equal JSON.
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
    """Parse and validate a configuration.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    Configuration

    Raises
    ------
    InvalidInputError
        If any part is invalid; the error names the first invalid field.
    """
    return build_configuration(loads(body))


def build_configuration(value):
    """Validate a dict and convert it to a `Configuration`."""
    check_keys(value, _CONFIGURATION_KEYS)
    check_header(value)
    for cls, key in ((_model.Plan, 'plans'), (_model.Customer, 'customers')):
        _raise_first_problem(key, _checks.find_table_problems(cls, value[key]))
    _raise_first_problem(
        'customers',
        _checks.find_reference_problems(value['customers'], value['plans']),
    )
    return _model.Configuration(
        version=value['version'],
        edit_id=value['edit_id'],
        author=value['author'],
        customers=_checks.build_objects(_model.Customer, value['customers']),
        plans=_checks.build_objects(_model.Plan, value['plans']),
    )


def check_keys(value, expected):
    """Raise an error unless the keys are exactly the expected ones."""
    for key in value:
        if key not in expected:
            raise kernel.InvalidInputError(
                key, f'unknown field; expected one of: {", ".join(expected)}'
            )
    for key in expected:
        if key not in value:
            raise kernel.InvalidInputError(key, 'required field is missing')


def check_header(value):
    """Validate the version, edit id and author of a configuration."""
    version = value['version']
    if type(version) is not int or not 1 <= version <= _MAX_VERSION:
        raise kernel.InvalidInputError(
            'version', f'expected an integer from 1 to {_MAX_VERSION}'
        )
    for key in ('edit_id', 'author'):
        text = value[key]
        if not isinstance(text, str) or len(text) > _MAX_TEXT_CHARS:
            reason = f'expected a string of up to {_MAX_TEXT_CHARS} characters'
            raise kernel.InvalidInputError(key, reason)


def _raise_first_problem(prefix, problems):
    for problem in problems:
        path = attrs.evolve(problem, path=(prefix, *problem.path)).field
        raise kernel.InvalidInputError(path, problem.reason)
