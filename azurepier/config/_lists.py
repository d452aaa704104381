"""Reading of ``customers.toml`` and ``plans.toml``."""

import pathlib
import re
import tomllib

import attrs

from azurepier.config import _checks
from azurepier.config import _model
from azurepier import kernel

_POSITION = re.compile(r' \(at line (\d+), column \d+\)$')
_KEY = re.compile(r'\s*\[*\s*([^=\]\s]+)')
# A list of 780 customers has about 100 kB; the limit only stops a wrong file.
_MAX_LIST_BYTES = 4_000_000
# To locate one problem in a list of 3,000 lines takes about 12 parses.
_MAX_LOCATED = 50


class ListsError(kernel.SettingsError):
    """The lists are invalid.

    Parameters
    ----------
    problems : list of Problem
        Every problem found, with file and line.
    """

    def __init__(self, problems):
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = problems


def load_lists(customers_path, plans_path):
    """Read and check the two lists.

    Parameters
    ----------
    customers_path, plans_path : str or pathlib.Path
        TOML files with one table per customer or plan.

    Returns
    -------
    customers, plans : dict
        `Customer` and `Plan` objects by name.

    Raises
    ------
    ListsError
        If a file can't be read or has problems; all of them are named.
    """
    plans, plans_text = _read(plans_path)
    customers, customers_text = _read(customers_path)
    problems = _located(
        _checks.table_problems(_model.Plan, plans), plans_path, plans_text
    )
    problems += _located(
        _checks.table_problems(_model.Customer, customers),
        customers_path,
        customers_text,
    )
    if not problems:
        problems = _located(
            _checks.reference_problems(customers, plans),
            customers_path,
            customers_text,
        )
    if problems:
        raise ListsError(problems)
    return (
        _checks.build(_model.Customer, customers),
        _checks.build(_model.Plan, plans),
    )


def _read(path):
    path = pathlib.Path(path)
    try:
        raw = path.read_bytes()
    except OSError as exc:
        raise ListsError(
            [_checks.Problem((), exc.strerror or str(exc), str(path), 0)]
        ) from exc
    if len(raw) > _MAX_LIST_BYTES:
        reason = f'larger than {_MAX_LIST_BYTES} bytes'
        raise ListsError([_checks.Problem((), reason, str(path), 0)])
    try:
        text = raw.decode()
        return tomllib.loads(text), text
    except UnicodeDecodeError as exc:
        line = raw[: exc.start].count(b'\n') + 1
        problem = _checks.Problem((), 'not UTF-8', str(path), line)
    except (ValueError, RecursionError) as exc:
        problem = _syntax_problem(path, text, str(exc))
    raise ListsError([problem])


def _syntax_problem(path, text, message):
    """Locate an error of the parser, which includes duplicate names."""
    found = _POSITION.search(message)
    lines = text.split('\n')
    line = int(found[1]) if found else len(lines)
    key = _KEY.match(lines[line - 1])
    reason = _POSITION.sub('', message)
    # The parser calls a repeated header or key "declared" or "overwritten".
    if 'twice' in reason or 'overwrite' in reason:
        reason = 'the name occurs twice in the file'
    return _checks.Problem((key[1],) if key else (), reason, str(path), line)


def _located(problems, path, text):
    locate = _locator(text)
    problems = list(problems)
    located = [
        attrs.evolve(problem, file=str(path), line=locate(problem.path))
        for problem in problems[:_MAX_LOCATED]
    ]
    if len(problems) > _MAX_LOCATED:
        rest = len(problems) - _MAX_LOCATED
        reason = f'{rest} more problems are not shown'
        located.append(_checks.Problem((), reason, str(path), 1))
    return located


def _locator(text):
    """Return a function that finds the line of a key path.

    Notes
    -----
    tomllib gives no positions. A prefix of the lines parses exactly if it
    ends between two statements, and a key is present from the statement
    that defines it onwards, so a binary search over prefixes finds the
    statement whatever syntax it uses.
    """
    lines = text.split('\n')

    def parse(count):
        try:
            return tomllib.loads('\n'.join(lines[:count]) + '\n')
        except (ValueError, RecursionError):
            return None

    def between(low, high):
        middle = (low + high + 1) // 2
        outward = (*range(middle, high), *range(middle - 1, low, -1))
        return next((n for n in outward if parse(n) is not None), None)

    def locate(path):
        whole = parse(len(lines))
        while path and not _present(whole, path):
            path = path[:-1]
        if not path:
            return 1
        low, high = 0, len(lines)
        while (middle := between(low, high)) is not None:
            if _present(parse(middle), path):
                high = middle
            else:
                low = middle
        return low + 1

    return locate


def _present(value, path):
    for key in path:
        if not isinstance(value, dict) or key not in value:
            return False
        value = value[key]
    return True
