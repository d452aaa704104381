"""Differences between two versions, for processes and for people."""

from azurepier.config import _checks
from azurepier.config import _json
from azurepier import kernel

_TABLES = ('customers', 'plans')
_KEYS = ('base', 'base_edit_id', 'version', 'edit_id', 'author', *_TABLES)
_ADDED = 'added'
_REMOVED = 'removed'


def make_delta(old, new):
    """Return what changed between two versions.

    Parameters
    ----------
    old, new : Configuration

    Returns
    -------
    bytes
        JSON with the changed customers and plans only.
    """
    body = {
        'base': old.version,
        'base_edit_id': old.edit_id,
        'version': new.version,
        'edit_id': new.edit_id,
        'author': new.author,
    }
    for key in _TABLES:
        before = getattr(old, key)
        after = getattr(new, key)
        changed = {k: v for k, v in after.items() if before.get(k) != v}
        body[key] = {
            'put': _checks.to_table(changed),
            'remove': sorted(before.keys() - after.keys()),
        }
    return _json.dumps(body)


def apply_delta(old, body):
    """Return the configuration that `body` makes of `old`.

    Parameters
    ----------
    old : Configuration
    body : bytes
        Made by `make_delta` from an equal configuration.

    Returns
    -------
    Configuration

    Raises
    ------
    InvalidInputError
        If `body` is malformed, was made from another base or leads to an
        invalid configuration.
    """
    delta = _json.loads(body)
    _json.check_keys(delta, _KEYS)
    base = (delta['base'], delta['base_edit_id'])
    if base != (old.version, old.edit_id):
        raise kernel.InvalidInputError('base', f'is not {old.version}')
    _json.check_header(delta)
    tables = {
        key: _patched(key, getattr(old, key), delta[key]) for key in _TABLES
    }
    header = {key: delta[key] for key in ('version', 'edit_id', 'author')}
    return _json.from_tables(header | tables)


def _patched(key, objects, patch):
    if not isinstance(patch, dict):
        raise kernel.InvalidInputError(key, 'expected a JSON object')
    _json.check_keys(patch, ('put', 'remove'))
    put, remove = patch['put'], patch['remove']
    if not isinstance(put, dict):
        raise kernel.InvalidInputError(f'{key}.put', 'expected an object')
    if not isinstance(remove, list) or not all(
        isinstance(name, str) and name in objects for name in remove
    ):
        raise kernel.InvalidInputError(
            f'{key}.remove', 'expected a list of names that exist'
        )
    table = _checks.to_table(objects)
    for name in remove:
        table.pop(name, None)
    return table | put


def differences(old, new):
    """Return the differences as readable lines.

    Parameters
    ----------
    old : Configuration or None
        None stands for an empty configuration.
    new : Configuration

    Returns
    -------
    list of str
        One line per added or removed name and per changed field, sorted by
        kind and name. Token digests are not shown.
    """
    lines = []
    for kind, key in (('plan', 'plans'), ('customer', 'customers')):
        before = _checks.to_table(getattr(old, key)) if old else {}
        after = _checks.to_table(getattr(new, key))
        for name in sorted(before.keys() | after.keys()):
            changes = _changes(before.get(name), after.get(name))
            lines += [f'{kind} {name}: {change}' for change in changes]
    return lines


def _changes(before, after):
    if before is None:
        return [f'{_ADDED} ({_summary(after)})']
    if after is None:
        return [_REMOVED]
    return [
        _change(field, before.get(field), after.get(field))
        for field in [*_checks.CUSTOMER_FIELDS, *_checks.PLAN_FIELDS]
        if before.get(field) != after.get(field)
    ]


def _change(field, before, after):
    if field != 'token_sha256':
        return f'{field} {before} -> {after}'
    if before is None or after is None:
        return f'token {_ADDED if after else _REMOVED}'
    return 'token changed'


def _summary(fields):
    shown = {k: v for k, v in fields.items() if k != 'token_sha256'}
    return ', '.join(f'{key} {value}' for key, value in shown.items())


def same_content(old, new):
    """Tell whether two configurations hold the same customers and plans."""
    return (old.customers, old.plans) == (new.customers, new.plans)
