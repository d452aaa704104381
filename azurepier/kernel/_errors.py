"""Exceptions raised by azurepier."""


class AzurepierError(Exception):
    """Base class of all errors raised by this package."""


class InvalidInputError(AzurepierError, ValueError):
    """A value from outside the process is invalid.

    Parameters
    ----------
    field : str
        Path of the offending field, such as ``tasks[3].duration_ms``.
    reason : str
        What is wrong with it.
    """

    def __init__(self, field, reason):
        super().__init__(f'{field}: {reason}')
        self.field = field
        self.reason = reason

    def __reduce__(self):
        # The default passes only the message to the constructor. Unpickling
        # an error from a worker process would then fail and break the pool.
        return type(self), (self.field, self.reason)


class SettingsError(AzurepierError):
    """A settings file or a list maintained by operators is invalid."""


class PlatformError(AzurepierError):
    """The platform's key-value service did not answer as expected."""


class ConflictError(AzurepierError):
    """Another operator changed the configuration at the same time."""


class WireError(AzurepierError):
    """A peer sent a frame that cannot be decoded or is not allowed."""


class UnknownPluginError(AzurepierError, KeyError):
    """No plug-in is registered under the given name."""
