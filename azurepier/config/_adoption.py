"""Adoption of new configuration versions by a process."""

import attrs

from azurepier.config import _delta
from azurepier.config import _json
from azurepier import kernel

# An invalid value in the platform is read again every 2 s. Repetitions are
# dropped, so that the limit applies to distinct rejections.
_MAX_REJECTED_KEPT = 20


@attrs.frozen
class Rejected:
    """A rejected configuration. `version` is 0 if it is unknown."""

    version: int
    reason: str


@attrs.define
class Adoption:
    """The current configuration and the latest rejected ones.

    `current` is None until the first configuration is adopted.
    """

    current: object = None
    rejected: list = attrs.field(factory=list)


def adopt(adoption, cfg):
    """Make a configuration current if its version is higher.

    Parameters
    ----------
    adoption : Adoption
    cfg : Configuration
        Must be valid, as returned by `from_json` and `apply_delta`.

    Returns
    -------
    bool
        True if `cfg` has become the current configuration.
    """
    current = adoption.current
    if current is not None and cfg.version <= current.version:
        if cfg.version == current.version and cfg.edit_id != current.edit_id:
            reason = (
                f'edit {cfg.edit_id} has the same version as the current edit'
                f' {current.edit_id}'
            )
            _record_rejection(adoption, cfg.version, reason)
        return False
    adoption.current = cfg
    return True


def adopt_body(adoption, body, base=0):
    """Adopt a configuration received as JSON.

    Parameters
    ----------
    adoption : Adoption
    body : bytes
        A full configuration if `base` is 0, otherwise a delta.
    base : int
        Version to which the delta applies.

    Returns
    -------
    bool
        True if the configuration has become the current one. False also
        for a delta whose base is not the current version; the caller then
        has to request the full configuration if its version is higher.

    Notes
    -----
    An invalid value is recorded in `adoption.rejected` and ignored.
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
        _record_rejection(adoption, _parse_version(body), str(exc))
        return False
    return adopt(adoption, cfg)


def _parse_version(body):
    try:
        version = _json.loads(body).get('version')
    except kernel.InvalidInputError:
        return 0
    return version if type(version) is int else 0


def _record_rejection(adoption, version, reason):
    rejection = Rejected(version, reason)
    if rejection not in adoption.rejected:
        adoption.rejected.append(rejection)
        del adoption.rejected[:-_MAX_REJECTED_KEPT]
