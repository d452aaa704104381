"""Differences between two configurations, as a JSON delta or as text."""

from azurepier.config import _checks
from azurepier.config import _json
from azurepier import kernel

_TABLE_KEYS = ('customers', 'plans')
_DELTA_KEYS = (
    'base',
    'base_edit_id',
    'version',
    'edit_id',
    'author',
    *_TABLE_KEYS,
)
_ADDED = 'added'
_REMOVED = 'removed'


def make_delta(old, new):
    """Return the delta between two configurations.

    Parameters
    ----------
    old, new : Configuration

    Returns
    -------
    bytes
        JSON with only the changed and removed customers and plans.
    """
    body = {
        'base': old.version,
        'base_edit_id': old.edit_id,
        'version': new.version,
        'edit_id': new.edit_id,
        'author': new.author,
    }
    for key in _TABLE_KEYS:
        before = getattr(old, key)
        after = getattr(new, key)
        changed = {k: v for k, v in after.items() if before.get(k) != v}
        body[key] = {
            'put': _checks.to_table(changed),
            'remove': sorted(before.keys() - after.keys()),
        }
    return _json.dumps(body)


def apply_delta(old, body):
    """Apply a delta to a configuration.

    Parameters
    ----------
    old : Configuration
    body : bytes
        Delta from `make_delta`, whose `old` had the same version and edit.

    Returns
    -------
    Configuration

    Raises
    ------
    InvalidInputError
        If `body` is malformed, has another base or results in an invalid
        configuration.
    """
    delta = _json.loads(body)
    _json.check_keys(delta, _DELTA_KEYS)
    base = (delta['base'], delta['base_edit_id'])
    if base != (old.version, old.edit_id):
        raise kernel.InvalidInputError(
            'base',
            f'expected version {old.version}, edit {old.edit_id}; the delta '
            'has another base',
        )
    _json.check_header(delta)
    tables = {
        key: _apply_patch(key, getattr(old, key), delta[key])
        for key in _TABLE_KEYS
    }
    header = {key: delta[key] for key in ('version', 'edit_id', 'author')}
    return _json.build_configuration(header | tables)


def _apply_patch(key, objects, patch):
    if not isinstance(patch, dict):
        raise kernel.InvalidInputError(
            key, f'expected a JSON object, found {type(patch).__name__}'
        )
    _json.check_keys(patch, ('put', 'remove'))
    put, remove = patch['put'], patch['remove']
    if not isinstance(put, dict):
        raise kernel.InvalidInputError(
            f'{key}.put', f'expected a JSON object, found {type(put).__name__}'
        )
    if not isinstance(remove, list) or not all(
        isinstance(name, str) and name in objects for name in remove
    ):
        raise kernel.InvalidInputError(
            f'{key}.remove', 'expected a list of existing names'
        )
    table = _checks.to_table(objects)
    for name in remove:
        table.pop(name, None)
    return table | put


def differences(old, new):
    """Describe the differences between two configurations as text.

    Parameters
    ----------
    old : Configuration or None
        None is treated as an empty configuration.
    new : Configuration

    Returns
    -------
    list of str
        One line per added or removed name and per changed field; plans
        come before customers, each sorted by name. Token digests are left
        out.
    """
    lines = []
    for kind, key in (('plan', 'plans'), ('customer', 'customers')):
        before = _checks.to_table(getattr(old, key)) if old else {}
        after = _checks.to_table(getattr(new, key))
        for name in sorted(before.keys() | after.keys()):
            changes = _describe_changes(before.get(name), after.get(name))
            lines += [f'{kind} {name}: {change}' for change in changes]
    return lines


def _describe_changes(before, after):
    if before is None:
        return [f'{_ADDED} ({_format_fields(after)})']
    if after is None:
        return [_REMOVED]
    return [
        _describe_field_change(field, before.get(field), after.get(field))
        for field in [*_checks.CUSTOMER_CHECKS, *_checks.PLAN_CHECKS]
        if before.get(field) != after.get(field)
    ]


def _describe_field_change(field, before, after):
    if field != 'token_sha256':
        return f'{field} {before} -> {after}'
    if before is None or after is None:
        return f'token {_ADDED if after else _REMOVED}'
    return 'token changed'


def _format_fields(fields):
    visible = {k: v for k, v in fields.items() if k != 'token_sha256'}
    return ', '.join(f'{key} {value}' for key, value in visible.items())


def same_content(old, new):
    """Return whether two configurations have equal customers and plans."""
    return (old.customers, old.plans) == (new.customers, new.plans)
