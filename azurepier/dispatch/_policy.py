"""Optional parts of the dispatch, which a deployment's settings switch on.

A deployment names a TOML file with one table for each part that it uses. A
part without a table is off, and so is each part without a file.
"""

import tomllib

import attrs

from azurepier.kernel import SettingsError

MAX_ENTRIES = 100_000
MAX_MS = 60_000


def _integer(lowest, highest):
    def check(instance, attribute, value):
        if type(value) is not int or not lowest <= value <= highest:
            raise ValueError(
                f'{attribute.name}: must be an integer from {lowest} to '
                f'{highest}, not {value!r:.80}'
            )

    return check


def _share(instance, attribute, value):
    if type(value) not in (int, float) or not 0 < value < 1:
        raise ValueError(
            f'{attribute.name}: must be a number between 0 and 1, not '
            f'{value!r:.80}'
        )


def _min_entries():
    return attrs.field(default=1, validator=_integer(1, MAX_ENTRIES))


@attrs.frozen(kw_only=True)
class WaitingOrders:
    """Orders that wait at an endpoint process until a run there ends.

    Parameters
    ----------
    min_entries : int
        Smallest number of entries of the deployment for which the part is in
        use.
    max_wait_ms : int
        Longest wait of an order (ms).
    max_per_endpoint : int
        Number of orders that may wait at one endpoint process.
    """

    min_entries: int = _min_entries()
    max_wait_ms: int = attrs.field(default=400, validator=_integer(1, MAX_MS))
    max_per_endpoint: int = attrs.field(
        default=16, validator=_integer(1, 10_000)
    )


@attrs.frozen(kw_only=True)
class EndpointArrival:
    """Wait for endpoint processes that are expected to connect.

    Parameters
    ----------
    min_entries : int
        As for `WaitingOrders`.
    settle_ms : int
        Time without a new connection after which no more are expected (ms).
    max_wait_ms : int
        Longest time after the first configuration in which more are expected
        (ms).
    """

    min_entries: int = _min_entries()
    settle_ms: int = attrs.field(default=250, validator=_integer(1, MAX_MS))
    max_wait_ms: int = attrs.field(default=1500, validator=_integer(1, MAX_MS))


@attrs.frozen(kw_only=True)
class UrgentReserve:
    """Capacity kept for urgent queues by the rate and width of their jobs.

    Parameters
    ----------
    min_entries : int
        As for `WaitingOrders`.
    window_ms : int
        Time of arrivals of urgent jobs for which capacity is kept (ms).
    max_share : float
        Largest share of a pool that is kept.
    min_share : float
        Share of a pool's cores up to which a less urgent queue is started
        without regard to what is kept.
    """

    min_entries: int = _min_entries()
    window_ms: int = attrs.field(default=25, validator=_integer(1, MAX_MS))
    max_share: float = attrs.field(default=0.15, validator=_share)
    min_share: float = attrs.field(default=0.05, validator=_share)


@attrs.frozen(kw_only=True)
class Policy:
    """Parts in use; None for those that are off."""

    waiting_orders: WaitingOrders | None = None
    endpoint_arrival: EndpointArrival | None = None
    urgent_reserve: UrgentReserve | None = None


_CLASS_BY_TABLE = {
    'waiting_orders': WaitingOrders,
    'endpoint_arrival': EndpointArrival,
    'urgent_reserve': UrgentReserve,
}


def is_in_use(part, entry_count):
    """Tell whether a part is on in a deployment of so many entries."""
    return part is not None and entry_count >= part.min_entries


def decode_policy(text):
    """Return the `Policy` in the text of a TOML file.

    Raises
    ------
    SettingsError
        If the text is malformed, has an unknown table or key, or a value out
        of its range.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise SettingsError(f'not valid TOML: {exc}') from exc
    return from_tables(raw)


def from_tables(tables):
    """Return the `Policy` in decoded tables, by the name of the part.

    Raises
    ------
    SettingsError
        As for `decode_policy`.
    """
    return Policy(
        **{name: _decode_part(name, table) for name, table in tables.items()}
    )


def _decode_part(name, table):
    cls = _CLASS_BY_TABLE.get(name)
    if cls is None:
        raise SettingsError(
            f'{name}: unknown; expected one of {", ".join(_CLASS_BY_TABLE)}'
        )
    if not isinstance(table, dict):
        raise SettingsError(f'{name}: must be a table')
    known = [field.name for field in attrs.fields(cls)]
    for key in table:
        if key not in known:
            raise SettingsError(
                f'{name}.{key}: unknown; expected one of {", ".join(known)}'
            )
    try:
        return cls(**table)
    except ValueError as exc:
        raise SettingsError(f'{name}.{exc}') from exc


def load_policy(path):
    """Return the `Policy` in a file; all parts are off without a path.

    Raises
    ------
    SettingsError
        If the file can't be read or is invalid.
    """
    if not path:
        return Policy()
    try:
        with open(path, encoding='utf-8') as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f'{path}: {exc}') from exc
    try:
        return decode_policy(text)
    except SettingsError as exc:
        raise SettingsError(f'{path}: {exc}') from exc
