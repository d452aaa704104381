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
        Name under which the factory is found.
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
        If there is none.
    """
    try:
        return _plugins[kind][name]
    except KeyError:
        raise _errors.UnknownPluginError(
            f'no {kind} plug-in {name!r}; there are {names(kind)}'
        ) from None


def names(kind):
    """Return the sorted names of all plug-ins of a kind."""
    return sorted(_plugins.get(kind, {}))
