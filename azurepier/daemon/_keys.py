"""Shared keys, which can be reloaded while the process runs."""

import pathlib

import attrs

from azurepier.kernel import SettingsError

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 4096


def _read_key(path):
    try:
        key = pathlib.Path(path).read_bytes().strip()
    except OSError as exc:
        raise SettingsError(f'{path}: {exc.strerror}') from exc
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise SettingsError(
            f'{path}: a key must have {MIN_KEY_BYTES} to {MAX_KEY_BYTES} '
            f'bytes, not {len(key)}'
        )
    return key


def read(paths):
    """Return the keys in files, in the order of `paths`.

    Raises
    ------
    SettingsError
        If a file can't be read or the length of its key is invalid.
    """
    return tuple(_read_key(path) for path in paths)


@attrs.define
class Keys:
    """Active keys: proofs are made with the first and verified with all."""

    paths: tuple
    current: tuple = ()

    def reload(self):
        """Read all files; if one is invalid, the old keys stay active.

        Raises
        ------
        SettingsError
        """
        self.current = read(self.paths)
