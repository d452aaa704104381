"""Application of the operators' lists as a new configuration."""

import attrs

from azurepier import config
from azurepier import kernel


@attrs.frozen
class Applied:
    """Result of `apply`.

    Parameters
    ----------
    changed : bool
        False if nothing was written: the content was the same or the change
        was not approved.
    version : int
        Version in the platform after the call.
    lines : tuple of str
        Differences between the previous version and the lists.
    """

    changed: bool
    version: int
    lines: tuple


async def read_current_config(client):
    """Return the configuration in the platform and its revision.

    Returns
    -------
    cfg : Configuration or None
    revision : int

    Raises
    ------
    PlatformError
        If the platform fails or holds an invalid configuration.
    """
    body, revision = await client.read_config()
    if body is None:
        return None, revision
    try:
        return config.from_json(body), revision
    except kernel.InvalidInputError as exc:
        text = f'the platform holds an invalid configuration: {exc}'
        raise kernel.PlatformError(text) from exc


async def apply(
    client, lists, author, expected_version=None, approve=None, above=0
):
    """Write the lists to the platform as the next version.

    Parameters
    ----------
    client : Client
    lists : tuple
        Customers and plans, from `azurepier.config.load_lists`.
    author : str
        Name of the operator, recorded in the history.
    expected_version : int, optional
        The change is refused if the platform has another version; 0 means
        that it has none.
    approve : callable, optional
        Called with the differences; nothing is written if it returns a
        false value.
    above : int
        The new version is higher than this one. This is needed after the
        platform lost its data, because processes adopt only versions higher
        than their current one.

    Returns
    -------
    Applied

    Raises
    ------
    ConflictError
        If another operator made a change in the meantime; the message lists
        the differences.
    PlatformError
        If the platform fails.
    """
    current, revision = await read_current_config(client)
    version = current.version if current else 0
    if expected_version is not None and version != expected_version:
        raise await _version_conflict(client, version, expected_version)
    customers, plans = lists
    new = config.Configuration(
        version=max(version, above) + 1,
        edit_id=client.new_edit_id(),
        author=author,
        customers=customers,
        plans=plans,
    )
    lines = tuple(config.differences(current, new))
    unchanged = current is not None and not lines and version >= above
    if unchanged or (approve is not None and not approve(lines)):
        return Applied(False, version, lines)
    body = config.to_json(new)
    await client.replace_config(body, revision, base=current)
    return Applied(True, new.version, lines)


async def _version_conflict(client, version, expected):
    text = (
        f'expected version {expected}, but the platform has version {version}'
    )
    lines = [
        f'version {entry.version} by {entry.author}: {line}'
        for entry in reversed(await client.history())
        if entry.version > expected
        for line in entry.changes
    ]
    return kernel.ConflictError('\n  '.join([text, *lines]))
