"""Lazy import of the names that a package exports."""

import importlib
import sys


def loader(package, sources):
    """Return a ``__getattr__`` for a package (PEP 562).

    Parameters
    ----------
    package : str
        Name of the package.
    sources : dict of str to str
        ``'module'`` or ``'module:attribute'`` by exported name.

    Returns
    -------
    callable
        Imports the source of a name on its first use and stores the value
        in the package.
    """

    def load(name):
        try:
            module, _, attribute = sources[name].partition(':')
        except KeyError:
            raise AttributeError(
                f'module {package!r} has no attribute {name!r}'
            ) from None
        value = importlib.import_module(module)
        if attribute:
            value = getattr(value, attribute)
        setattr(sys.modules[package], name, value)
        return value

    return load
