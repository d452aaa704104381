"""What an experiment plays, read from a TOML file."""

import csv
import pathlib
import tomllib

import attrs

from azurepier.kernel import InvalidInputError


def _positive(instance, attribute, value):
    if value <= 0:
        raise InvalidInputError(attribute.name, 'not above 0')


def _share(instance, attribute, value):
    if not 0 <= value <= 1:
        raise InvalidInputError(attribute.name, 'not between 0 and 1')


@attrs.frozen
class Fleet:
    """Processes and workers.

    Parameters
    ----------
    entries, workers, domains : int
    cores : tuple of float
        Cores of a worker, by turns.
    speeds : tuple of float
        Speeds of the workers, by turns.
    delay_ms : float
        One-way delay of a message.
    """

    entries: int = attrs.field(default=3, validator=_positive)
    workers: int = attrs.field(default=11, validator=_positive)
    domains: int = attrs.field(default=3, validator=_positive)
    cores: tuple = attrs.field(default=(64.0, 64.0, 96.0), converter=tuple)
    speeds: tuple = attrs.field(default=(1.8, 0.8, 0.8), converter=tuple)
    delay_ms: float = attrs.field(default=1.0, validator=_positive)


@attrs.frozen
class Kind:
    """A kind of job.

    Parameters
    ----------
    name : str
    per_s : float
        Mean arrivals a second.
    tasks, task_ms, cores : float
        Means of the number of tasks, a task's run time at speed 1 and the
        cores that it takes.
    worth : float
        Worth of a job of average work that is answered in time.
    late : float
        Share of the worth that a late answer has.
    tail, tail_times : float
        Share of the jobs that take this many times as long.
    stretch, margin_ms : float
        Objective of the response time.
    priority : int
        Of the kind's queue; 0 comes first.
    """

    name: str
    per_s: float = attrs.field(validator=_positive)
    tasks: float = attrs.field(validator=_positive)
    task_ms: float = attrs.field(validator=_positive)
    cores: float = attrs.field(validator=_positive)
    worth: float = attrs.field(default=1.0, validator=_positive)
    late: float = attrs.field(default=0.2, validator=_share)
    tail: float = attrs.field(default=0.03, validator=_share)
    tail_times: float = attrs.field(default=7.0, validator=_positive)
    stretch: float = attrs.field(default=1.6, validator=_positive)
    margin_ms: float = attrs.field(default=60.0, validator=_positive)
    priority: int = 0


@attrs.frozen
class Burst:
    """More arrivals for some time; `kind` and `entry` empty: all."""

    at_s: float
    for_s: float = attrs.field(validator=_positive)
    times: float = attrs.field(validator=_positive)
    kind: str = ''


@attrs.frozen
class Fault:
    """Something that happens to a share of the workers or entries.

    Parameters
    ----------
    what : str
        A name in `azurepier.experiment._faults.FAULTS`.
    at_s, for_s : float
    share : float
    times : float
        How many times slower, for ``slow``.
    """

    what: str
    at_s: float
    for_s: float = attrs.field(default=3.0, validator=_positive)
    share: float = attrs.field(default=0.2, validator=_share)
    times: float = attrs.field(default=5.0, validator=_positive)


@attrs.frozen
class Experiment:
    """One experiment.

    Parameters
    ----------
    name : str
    seconds : float
        Time in which jobs are submitted.
    load : float
        Factor on all arrivals.
    busiest : float
        Share of the jobs at the first entry, as a multiple of an even share.
    returns : int
        How often a caller comes back after a refusal, when it was told to.
    uneven : float
        By how much the run times of a job's tasks differ from their mean.
    seeds : int
    arrivals : tuple of dict
        Recorded jobs that are submitted in place of those of `kinds`, with
        the columns of `ARRIVAL_COLUMNS`; read from the file that the field
        names.
    policies : tuple of str
        Names in `azurepier.experiment._policies.POLICIES`.
    """

    name: str
    kinds: tuple
    fleet: Fleet = attrs.field(factory=Fleet)
    bursts: tuple = ()
    faults: tuple = ()
    seconds: float = attrs.field(default=20.0, validator=_positive)
    load: float = attrs.field(default=1.0, validator=_positive)
    busiest: float = attrs.field(default=1.0, validator=_positive)
    returns: int = 0
    uneven: float = attrs.field(default=0.15, validator=_share)
    seeds: int = attrs.field(default=6, validator=_positive)
    arrivals: tuple = ()
    policies: tuple = attrs.field(default=('azurepier',), converter=tuple)


# Columns of a file of recorded arrivals. `entry` counts from 0, `kind` names
# one of the experiment's kinds.
ARRIVAL_COLUMNS = {
    'at_s': float,
    'entry': int,
    'kind': str,
    'tasks': int,
    'work_ms': float,
    'cores': float,
    'declared_ms': float,
}
_TABLES = {'kinds': Kind, 'bursts': Burst, 'faults': Fault}


def _make(cls, raw, where):
    if not isinstance(raw, dict):
        raise InvalidInputError(where, 'not a table')
    known = {field.name for field in attrs.fields(cls)}
    for key in raw:
        if key not in known:
            raise InvalidInputError(f'{where}.{key}', 'unknown')
    try:
        return cls(**raw)
    except TypeError as exc:
        raise InvalidInputError(where, str(exc)) from exc


def _recorded(path, kinds):
    names = {kind.name for kind in kinds}
    try:
        with open(path, encoding='utf-8', newline='') as file:
            rows = list(csv.DictReader(file))
    except (OSError, UnicodeDecodeError, csv.Error) as exc:
        raise InvalidInputError('arrivals', f'not readable: {exc}') from exc
    found = []
    for number, row in enumerate(rows, start=2):
        where = f'arrivals, line {number}'
        try:
            values = {
                name: convert(row[name])
                for name, convert in ARRIVAL_COLUMNS.items()
            }
        except (KeyError, TypeError, ValueError) as exc:
            raise InvalidInputError(where, f'malformed: {exc}') from exc
        if values['kind'] not in names:
            raise InvalidInputError(where, f'unknown kind {values["kind"]!r}')
        found.append(values)
    return tuple(found)


def load(text, policies, faults, folder='.'):
    """Return the experiment that a TOML text describes.

    Parameters
    ----------
    text : str
    policies, faults : collection of str
        Known names.
    folder : str or pathlib.Path
        Where the files that the text names are.

    Raises
    ------
    InvalidInputError
        Naming the field that is wrong.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise InvalidInputError('experiment', f'not TOML: {exc}') from exc
    for key, cls in _TABLES.items():
        rows = raw.get(key, [])
        if not isinstance(rows, list):
            raise InvalidInputError(key, 'not a list of tables')
        raw[key] = tuple(
            _make(cls, row, f'{key}[{index}]')
            for index, row in enumerate(rows)
        )
    if not raw['kinds']:
        raise InvalidInputError('kinds', 'none')
    if 'arrivals' in raw:
        path = pathlib.Path(folder) / str(raw['arrivals'])
        raw['arrivals'] = _recorded(path, raw['kinds'])
    raw['fleet'] = _make(Fleet, raw.get('fleet', {}), 'fleet')
    found = _make(Experiment, raw, 'experiment')
    for name in found.policies:
        if name not in policies:
            raise InvalidInputError('policies', f'unknown policy {name!r}')
    for fault in found.faults:
        if fault.what not in faults:
            raise InvalidInputError('faults', f'unknown fault {fault.what!r}')
    return found
