"""Description of an experiment, read from a TOML file."""

import csv
import pathlib
import tomllib

import attrs

from azurepier import dispatch
from azurepier.kernel import InvalidInputError
from azurepier.kernel import SettingsError


def _check_positive(instance, attribute, value):
    if value <= 0:
        raise InvalidInputError(
            attribute.name,
            f'expected a number above 0 in {type(instance).__name__}, not '
            f'{value!r}',
        )


def _check_fraction(instance, attribute, value):
    if not 0 <= value <= 1:
        raise InvalidInputError(
            attribute.name,
            f'expected a number from 0 to 1 in {type(instance).__name__}, not '
            f'{value!r}',
        )


@attrs.frozen
class Fleet:
    """Processes and workers of an experiment.

    Parameters
    ----------
    entries, workers, domains : int
        Numbers of entries, workers and failure domains.
    cores : tuple of float
        Cores of the workers; repeated if there are more workers.
    speeds : tuple of float
        Relative speeds of the workers; repeated if there are more workers.
    delay_ms : float
        One-way delay of a message.
    """

    entries: int = attrs.field(default=3, validator=_check_positive)
    workers: int = attrs.field(default=11, validator=_check_positive)
    domains: int = attrs.field(default=3, validator=_check_positive)
    cores: tuple = attrs.field(default=(64.0, 64.0, 96.0), converter=tuple)
    speeds: tuple = attrs.field(default=(1.8, 0.8, 0.8), converter=tuple)
    delay_ms: float = attrs.field(default=1.0, validator=_check_positive)


@attrs.frozen
class Kind:
    """A kind of job.

    Parameters
    ----------
    name : str
    per_s : float
        Mean arrival rate (jobs per second).
    tasks, task_ms, cores : float
        Means of the number of tasks, a task's run time at speed 1 and the
        cores that it takes.
    worth : float
        Worth of a job of average work that is answered in time.
    late : float
        Share of the worth that a late answer has.
    tail, tail_times : float
        Share of long-running jobs, and the factor on their run times.
    stretch, margin_ms : float
        The response time objective is ``stretch`` times the run time of the
        longest task, plus the margin.
    priority : int
        Priority of the kind's queue; 0 is the highest.
    """

    name: str
    per_s: float = attrs.field(validator=_check_positive)
    tasks: float = attrs.field(validator=_check_positive)
    task_ms: float = attrs.field(validator=_check_positive)
    cores: float = attrs.field(validator=_check_positive)
    worth: float = attrs.field(default=1.0, validator=_check_positive)
    late: float = attrs.field(default=0.2, validator=_check_fraction)
    tail: float = attrs.field(default=0.03, validator=_check_fraction)
    tail_times: float = attrs.field(default=7.0, validator=_check_positive)
    stretch: float = attrs.field(default=1.6, validator=_check_positive)
    margin_ms: float = attrs.field(default=60.0, validator=_check_positive)
    priority: int = 0


@attrs.frozen
class Burst:
    """A temporary change of the arrival rate.

    Parameters
    ----------
    at_s, for_s : float
        Start and duration.
    times : float
        Factor on the arrival rate.
    kind : str
        Name of the affected kind; empty for all kinds.
    """

    at_s: float
    for_s: float = attrs.field(validator=_check_positive)
    times: float = attrs.field(validator=_check_positive)
    kind: str = ''


@attrs.frozen
class Fault:
    """A fault of some of the workers, entries or endpoint processes.

    Parameters
    ----------
    what : str
        A name in `azurepier.experiment._faults.FAULTS`.
    at_s, for_s : float
        Start and duration.
    share : float
        Share of the workers or processes that the fault affects.
    times : float
        Factor on the run times, for ``slow``.
    """

    what: str
    at_s: float
    for_s: float = attrs.field(default=3.0, validator=_check_positive)
    share: float = attrs.field(default=0.2, validator=_check_fraction)
    times: float = attrs.field(default=5.0, validator=_check_positive)


@attrs.frozen
class Experiment:
    """Fleet, workload and faults to simulate, and the policies to compare.

    Parameters
    ----------
    name : str
    kinds : tuple of Kind
    fleet : Fleet
    bursts : tuple of Burst
    faults : tuple of Fault
    seconds : float
        Time in which jobs are submitted.
    load : float
        Factor on all arrival rates.
    busiest : float
        Weight of the first entry when callers choose one; the others have 1.
    returns : int
        Largest number of resubmissions of a rejected job, each after the delay
        that the rejection asks for.
    uneven : float
        Largest relative deviation of a task's run time from the mean of its
        job.
    seeds : int
        Number of seeds.
    arrivals : tuple of dict
        Recorded jobs that replace the random ones, with the keys of
        `ARRIVAL_COLUMNS`. The TOML file names a CSV file that holds them.
    policy : azurepier.dispatch.Policy
        Optional parts of the dispatch in use, from the table `policy` with the
        tables of a deployment's file.
    policies : tuple of str
        Names in `azurepier.experiment._policies.POLICIES`. The others are
        compared with the first.
    """

    name: str
    kinds: tuple
    fleet: Fleet = attrs.field(factory=Fleet)
    bursts: tuple = ()
    faults: tuple = ()
    seconds: float = attrs.field(default=20.0, validator=_check_positive)
    load: float = attrs.field(default=1.0, validator=_check_positive)
    busiest: float = attrs.field(default=1.0, validator=_check_positive)
    returns: int = 0
    uneven: float = attrs.field(default=0.15, validator=_check_fraction)
    seeds: int = attrs.field(default=6, validator=_check_positive)
    arrivals: tuple = ()
    policy: object = dispatch.Policy()
    policies: tuple = attrs.field(default=('azurepier',), converter=tuple)


# Columns of the CSV file of recorded arrivals. `entry` is the number of an
# entry from 0, `kind` the name of one of the experiment's kinds.
ARRIVAL_COLUMNS = {
    'at_s': float,
    'entry': int,
    'kind': str,
    'tasks': int,
    'work_ms': float,
    'cores': float,
    'declared_ms': float,
}
_TABLE_CLASSES = {'kinds': Kind, 'bursts': Burst, 'faults': Fault}


def _from_table(cls, raw, location):
    if not isinstance(raw, dict):
        raise InvalidInputError(
            location, f'expected a table of fields, not {raw!r}'
        )
    known = {field.name for field in attrs.fields(cls)}
    for key in raw:
        if key not in known:
            raise InvalidInputError(
                f'{location}.{key}',
                f'unknown field; expected one of {", ".join(sorted(known))}',
            )
    for field in attrs.fields(cls):
        if field.default is attrs.NOTHING and field.name not in raw:
            raise InvalidInputError(f'{location}.{field.name}', 'is missing')
    try:
        return cls(**raw)
    except TypeError as exc:
        raise InvalidInputError(location, str(exc)) from exc


def _read_arrivals(path, kinds):
    names = {kind.name for kind in kinds}
    try:
        with open(path, encoding='utf-8', newline='') as file:
            rows = list(csv.DictReader(file))
    except (OSError, UnicodeDecodeError, csv.Error) as exc:
        raise InvalidInputError(
            'arrivals', f'cannot read {path} as CSV: {exc}'
        ) from exc
    arrivals = []
    for number, row in enumerate(rows, start=2):
        location = f'arrivals, line {number}'
        try:
            values = {
                name: convert(row[name])
                for name, convert in ARRIVAL_COLUMNS.items()
            }
        except (KeyError, TypeError, ValueError) as exc:
            raise InvalidInputError(
                location,
                f'invalid row ({exc!r}); expected the columns '
                f'{", ".join(ARRIVAL_COLUMNS)}, with numbers in all but kind',
            ) from exc
        if values['kind'] not in names:
            raise InvalidInputError(
                location,
                f'unknown kind {values["kind"]!r}; expected one of '
                f'{", ".join(sorted(names))}',
            )
        arrivals.append(values)
    return tuple(arrivals)


def _read_policy(raw):
    if not isinstance(raw, dict):
        raise InvalidInputError(
            'policy', f'expected a table of tables, not {raw!r}'
        )
    try:
        return dispatch.policy.from_tables(raw)
    except SettingsError as exc:
        raise InvalidInputError('policy', str(exc)) from exc


def load(text, policies, faults, folder='.'):
    """Return the experiment that a TOML text describes.

    Parameters
    ----------
    text : str
    policies, faults : collection of str
        Known names.
    folder : str or pathlib.Path
        Directory that relative file names in the text refer to.

    Returns
    -------
    Experiment

    Raises
    ------
    InvalidInputError
        If the text is invalid; names the field and what is expected.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise InvalidInputError(
            'experiment', f'not valid TOML: {exc}'
        ) from exc
    for key, cls in _TABLE_CLASSES.items():
        rows = raw.get(key, [])
        if not isinstance(rows, list):
            raise InvalidInputError(
                key, f'expected a list of tables, each headed [[{key}]]'
            )
        raw[key] = tuple(
            _from_table(cls, row, f'{key}[{index}]')
            for index, row in enumerate(rows)
        )
    if not raw['kinds']:
        raise InvalidInputError(
            'kinds', 'missing; expected at least one table [[kinds]]'
        )
    if 'arrivals' in raw:
        path = pathlib.Path(folder) / str(raw['arrivals'])
        raw['arrivals'] = _read_arrivals(path, raw['kinds'])
    if 'policy' in raw:
        raw['policy'] = _read_policy(raw['policy'])
    raw['fleet'] = _from_table(Fleet, raw.get('fleet', {}), 'fleet')
    experiment = _from_table(Experiment, raw, 'experiment')
    for name in experiment.policies:
        if name not in policies:
            raise InvalidInputError(
                'policies',
                f'unknown policy {name!r}; expected one of '
                f'{", ".join(policies)}',
            )
    for fault in experiment.faults:
        if fault.what not in faults:
            raise InvalidInputError(
                f'faults[{experiment.faults.index(fault)}].what',
                f'unknown fault {fault.what!r}; expected one of '
                f'{", ".join(faults)}',
            )
    return experiment
