"""Settings of the two kinds of process, read from a TOML file."""

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

    `address` and `web_address` are what others connect to; by default the
    addresses listened on.
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
    """Settings of an endpoint process."""

    name: str = _setting(_check.name)
    worker: str = _setting(_check.name)
    domain: str = _setting(_check.name)
    worker_url: str = _setting(_check.plain_url)
    slots: int = _setting(_check.integer(_check.MAX_SLOTS))
    listen_web: str = _setting(_check.listen_address)
    kinds: tuple = _setting(_check.list_of(_check.text), ())
    largest_size: int = _setting(
        _check.integer(_check.MAX_SIZE), _check.MAX_SIZE
    )
    seeds: tuple = _setting(_ADDRESSES, ())
    platform: str | None = _setting(_check.url, None)
    log: str = _setting(_check.text, '-')
    key_files: tuple = _setting(_PATHS, ())


def _advertised(settings):
    """Yield problems of addresses that others can't connect to."""
    pairs = (('listen', 'address'), ('web_listen', 'web_address'))
    for listen, advertised in pairs:
        if getattr(settings, advertised) is not None:
            continue
        if _check.is_wildcard(getattr(settings, listen)):
            yield advertised, f'is required because {listen} is a wildcard'


def _reachable(settings):
    """Yield a problem if no entry can ever be found."""
    if not settings.seeds and settings.platform is None:
        yield 'seeds', 'must not be empty without platform'


_CROSS_CHECKS = {EntrySettings: _advertised, EndpointSettings: _reachable}


def _line_of(body, key):
    """Return the line that sets a top-level key, or None.

    The parser does not keep lines; settings have top-level keys only.
    """
    pattern = rf'''^[ \t]*(["']?){re.escape(key)}\1[ \t]*[=.]|^[ \t]*\[+'''
    pattern += rf'''[ \t]*(["']?){re.escape(key)}\2'''
    match = re.search(pattern, body, re.MULTILINE)
    return body.count('\n', 0, match.start()) + 1 if match else None


def _check_values(cls, values):
    """Return checked values and a list of (key, reason)."""
    fields = {field.name: field for field in attrs.fields(cls)}
    checked = {}
    problems = [
        (key, f'is not a setting; there are {", ".join(fields)}')
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
    """Check settings as a whole.

    Parameters
    ----------
    cls : type
        `EntrySettings` or `EndpointSettings`.
    body : str
        TOML.
    path : str
        File name for error messages.

    Raises
    ------
    SettingsError
        With one line for each problem: file, line, key and reason.
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
            '\n'.join(_describe(path, body, *item) for item in problems)
        )
    return settings


def _describe(path, body, key, reason):
    line = _line_of(body, key)
    place = f'{path}:{line}' if line else path
    return f'{place}: {key}: {reason}'


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
        text = _describe(path, body, 'key_files', str(exc))
        raise SettingsError(text) from exc
    return settings


def kind_of(path):
    """Return the class of a settings file, by the keys it has.

    A file that can't be read counts as an entry's; loading it reports why.
    """
    try:
        with open(path, 'rb') as file:
            values = tomllib.load(file)
    except (OSError, ValueError):
        return EntrySettings
    endpoint_keys = {'worker', 'worker_url', 'slots', 'listen_web'}
    return EndpointSettings if endpoint_keys & set(values) else EntrySettings
