"""Settings of entries and endpoint processes, read from a TOML file."""

import re
import tomllib

import attrs

from azurepier.daemon import _checks
from azurepier.daemon import _keys
from azurepier.kernel import SettingsError

_check = _checks
_ADDRESSES = _check.list_of(_check.address)
_PATHS = _check.list_of(_check.text)


def _setting(check, default=attrs.NOTHING):
    return attrs.field(default=default, metadata={'check': check})


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings of an entry.

    `address` and `web_address` are advertised to other processes; they
    default to the addresses that the entry listens on.
    """

    name: str = _setting(_check.name)
    domain: str = _setting(_check.name)
    listen: str = _setting(_check.listen_address)
    web_listen: str = _setting(_check.listen_address)
    address: str | None = _setting(_check.address, None)
    web_address: str | None = _setting(_check.url, None)
    seeds: tuple = _setting(_ADDRESSES, ())
    platform: str | None = _setting(_check.url, None)
    log: str = _setting(_check.text, '-')
    key_files: tuple = _setting(_PATHS, ())


@attrs.frozen(kw_only=True)
class EndpointSettings:
    """Settings of an endpoint process.

    `worker` is the name of the worker beside it, `worker_url` the base URL of
    that worker. `largest_size` is the largest declared size of a task that
    it takes.
    """

    name: str = _setting(_check.name)
    worker: str = _setting(_check.name)
    domain: str = _setting(_check.name)
    worker_url: str = _setting(_check.http_url)
    slots: int = _setting(_check.integer(_check.MAX_SLOTS))
    listen_web: str = _setting(_check.listen_address)
    kinds: tuple = _setting(_check.list_of(_check.text), ())
    largest_size: int = _setting(
        _check.integer(_check.MAX_TASK_SIZE), _check.MAX_TASK_SIZE
    )
    seeds: tuple = _setting(_ADDRESSES, ())
    platform: str | None = _setting(_check.url, None)
    log: str = _setting(_check.text, '-')
    key_files: tuple = _setting(_PATHS, ())


def _check_advertised_addresses(settings):
    """Yield problems of advertised addresses that can't be connected to."""
    pairs = (('listen', 'address'), ('web_listen', 'web_address'))
    for listen, advertised in pairs:
        if getattr(settings, advertised) is not None:
            continue
        if _check.is_wildcard(getattr(settings, listen)):
            yield advertised, f'is required because {listen} is a wildcard'


def _check_entry_sources(settings):
    """Yield a problem if no setting says where to find entries."""
    if not settings.seeds and settings.platform is None:
        yield 'seeds', 'must not be empty if platform is not set'


_CROSS_CHECKS = {
    EntrySettings: _check_advertised_addresses,
    EndpointSettings: _check_entry_sources,
}


def _find_line(body, key):
    """Return the line that sets a top-level key, or None.

    `tomllib` does not report line numbers of keys. Settings have top-level
    keys only.
    """
    pattern = rf'''^[ \t]*(["']?){re.escape(key)}\1[ \t]*[=.]|^[ \t]*\[+'''
    pattern += rf'''[ \t]*(["']?){re.escape(key)}\2'''
    match = re.search(pattern, body, re.MULTILINE)
    return body.count('\n', 0, match.start()) + 1 if match else None


def _check_values(cls, values):
    """Return the validated values and a list of (key, reason)."""
    fields = {field.name: field for field in attrs.fields(cls)}
    checked = {}
    problems = [
        (key, f'is not a setting; settings are {", ".join(fields)}')
        for key in values
        if key not in fields
    ]
    for key, field in fields.items():
        if key not in values:
            if field.default is attrs.NOTHING:
                problems.append((key, 'is missing'))
            continue
        try:
            checked[key] = field.metadata['check'](values[key])
        except ValueError as exc:
            problems.append((key, str(exc)))
    return checked, problems


def parse(cls, body, path='settings'):
    """Parse settings and report all problems at once.

    Parameters
    ----------
    cls : type
        `EntrySettings` or `EndpointSettings`.
    body : str
        Settings in TOML.
    path : str
        File name for error messages.

    Returns
    -------
    EntrySettings or EndpointSettings

    Raises
    ------
    SettingsError
        With one line per problem: file, line, key and reason.
    """
    try:
        values = tomllib.loads(body)
    except tomllib.TOMLDecodeError as exc:
        raise SettingsError(f'{path}: {exc}') from exc
    checked, problems = _check_values(cls, values)
    settings = None
    if not problems:
        settings = cls(**checked)
        problems = list(_CROSS_CHECKS[cls](settings))
    if problems:
        raise SettingsError(
            '\n'.join(_format_problem(path, body, *item) for item in problems)
        )
    return settings


def _format_problem(path, body, key, reason):
    line = _find_line(body, key)
    location = f'{path}:{line}' if line else path
    return f'{location}: {key}: {reason}'


def load(cls, path):
    """Read and check a settings file and the key files it names.

    Raises
    ------
    SettingsError
    """
    try:
        with open(path, encoding='utf-8') as file:
            body = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f'{path}: {exc}') from exc
    settings = parse(cls, body, path)
    try:
        _keys.read(settings.key_files)
    except SettingsError as exc:
        text = _format_problem(path, body, 'key_files', str(exc))
        raise SettingsError(text) from exc
    return settings


def detect_class(path):
    """Return the settings class of a file, according to its keys.

    Returns `EntrySettings` if the file can't be read; `load` reports why.
    """
    try:
        with open(path, 'rb') as file:
            values = tomllib.load(file)
    except (OSError, ValueError):
        return EntrySettings
    endpoint_keys = {'worker', 'worker_url', 'slots', 'listen_web'}
    return EndpointSettings if endpoint_keys & set(values) else EntrySettings
