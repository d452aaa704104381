"""Registry of plug-ins."""

from azurepier.kernel import _errors

_plugins = {}


def register(kind, name):
    """Return a decorator that registers a factory as a plug-in.

    Parameters
    ----------
    kind : str
        Kind of plug-in, such as ``'placement'``.
    name : str
        Name of the plug-in within its kind.
    """

    def decorate(factory):
        _plugins.setdefault(kind, {})[name] = factory
        return factory

    return decorate


def get(kind, name):
    """Return the factory registered under `kind` and `name`.

    Raises
    ------
    UnknownPluginError
        If no such plug-in is registered.
    """
    try:
        return _plugins[kind][name]
    except KeyError:
        raise _errors.UnknownPluginError(
            f'unknown {kind} plug-in {name!r}; known: {names(kind)}'
        ) from None


def names(kind):
    """Return the sorted names of all plug-ins of a kind."""
    return sorted(_plugins.get(kind, {}))
