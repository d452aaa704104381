"""Which configuration is in force in a process."""

import attrs

from azurepier.config import _delta
from azurepier.config import _json
from azurepier import kernel

# The same invalid value is read again every 2 s; only distinct ones are kept.
_MAX_REJECTED = 20


@attrs.frozen
class Rejected:
    """A configuration that was ignored. `version` is 0 if unknown."""

    version: int
    reason: str


@attrs.define
class Adoption:
    """The configuration in force and the latest ones that were refused.

    `current` is None until a configuration is known.
    """

    current: object = None
    rejected: list = attrs.field(factory=list)


def adopt(adoption, cfg):
    """Put a configuration in force if its version is higher.

    Parameters
    ----------
    adoption : Adoption
    cfg : Configuration
        Comes from `from_json` or `apply_delta`, which check it.

    Returns
    -------
    bool
        True if `cfg` is in force now and was not before.
    """
    current = adoption.current
    if current is not None and cfg.version <= current.version:
        if cfg.version == current.version and cfg.edit_id != current.edit_id:
            reason = f'edit {cfg.edit_id}, but {current.edit_id} is in force'
            _reject(adoption, cfg.version, reason)
        return False
    adoption.current = cfg
    return True


def adopt_body(adoption, body, base=0):
    """Put a configuration received as JSON in force.

    Parameters
    ----------
    adoption : Adoption
    body : bytes
        A whole configuration if `base` is 0, otherwise a delta.
    base : int
        Version to which the delta applies.

    Returns
    -------
    bool
        As `adopt`. False also for a delta to another base than the version
        in force: the sender must be asked for the whole configuration if
        its version is higher. An invalid value is recorded and ignored.
    """
    current = adoption.current
    if base and (current is None or current.version != base):
        return False
    try:
        if base:
            cfg = _delta.apply_delta(current, body)
        else:
            cfg = _json.from_json(body)
    except kernel.InvalidInputError as exc:
        _reject(adoption, _version_of(body), str(exc))
        return False
    return adopt(adoption, cfg)


def _version_of(body):
    try:
        version = _json.loads(body).get('version')
    except kernel.InvalidInputError:
        return 0
    return version if type(version) is int else 0


def _reject(adoption, version, reason):
    rejected = Rejected(version, reason)
    if rejected not in adoption.rejected:
        adoption.rejected.append(rejected)
        del adoption.rejected[:-_MAX_REJECTED]
