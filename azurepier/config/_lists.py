"""Parser of the lists ``customers.toml`` and ``plans.toml``."""

import pathlib
import re
import tomllib

import attrs

from azurepier.config import _checks
from azurepier.config import _model
from azurepier import kernel

_POSITION_PATTERN = re.compile(r' \(at line (\d+), column \d+\)$')
_KEY_PATTERN = re.compile(r'\s*\[*\s*([^=\]\s]+)')
# A list of 780 customers is about 100 kB; the limit rejects wrong files.
_MAX_LIST_BYTES = 4_000_000
# Finding the line of one problem in a list of 3,000 lines takes about 12
# parses of the file.
_MAX_SHOWN_PROBLEMS = 50


class ListsError(kernel.SettingsError):
    """A list can't be read or is invalid.

    Parameters
    ----------
    problems : list of Problem
        Problems with file and line.
    """

    def __init__(self, problems):
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = problems


def load_lists(customers_path, plans_path):
    """Read and validate the two lists.

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
        If a file can't be read or is invalid. The error holds the problems
        of both files, at most 50 of each; unknown plans and shared tokens
        are reported once there are no others.
    """
    plans, plans_text = _read_toml(plans_path)
    customers, customers_text = _read_toml(customers_path)
    problems = _locate_problems(
        _checks.find_table_problems(_model.Plan, plans), plans_path, plans_text
    )
    problems += _locate_problems(
        _checks.find_table_problems(_model.Customer, customers),
        customers_path,
        customers_text,
    )
    if not problems:
        problems = _locate_problems(
            _checks.find_reference_problems(customers, plans),
            customers_path,
            customers_text,
        )
    if problems:
        raise ListsError(problems)
    return (
        _checks.build_objects(_model.Customer, customers),
        _checks.build_objects(_model.Plan, plans),
    )


def _read_toml(path):
    path = pathlib.Path(path)
    try:
        raw = path.read_bytes()
    except OSError as exc:
        raise ListsError(
            [_checks.Problem((), exc.strerror or str(exc), str(path), 0)]
        ) from exc
    if len(raw) > _MAX_LIST_BYTES:
        reason = (
            f'file has {len(raw)} bytes; expected at most {_MAX_LIST_BYTES}'
        )
        raise ListsError([_checks.Problem((), reason, str(path), 0)])
    try:
        text = raw.decode()
        return tomllib.loads(text), text
    except UnicodeDecodeError as exc:
        line = raw[: exc.start].count(b'\n') + 1
        problem = _checks.Problem((), 'expected UTF-8 text', str(path), line)
    except (ValueError, RecursionError) as exc:
        problem = _make_syntax_problem(path, text, str(exc))
    raise ListsError([problem])


def _make_syntax_problem(path, text, message):
    """Return the problem and line that an error message of tomllib reports."""
    match = _POSITION_PATTERN.search(message)
    lines = text.split('\n')
    line = int(match[1]) if match else len(lines)
    key = _KEY_PATTERN.match(lines[line - 1])
    reason = _POSITION_PATTERN.sub('', message)
    # For a duplicate table or key, the messages of tomllib say "declare twice"
    # or "overwrite".
    if 'twice' in reason or 'overwrite' in reason:
        reason = 'duplicate name in the file'
    return _checks.Problem((key[1],) if key else (), reason, str(path), line)


def _locate_problems(problems, path, text):
    find_line = _make_line_finder(text)
    problems = list(problems)
    located = [
        attrs.evolve(problem, file=str(path), line=find_line(problem.path))
        for problem in problems[:_MAX_SHOWN_PROBLEMS]
    ]
    if len(problems) > _MAX_SHOWN_PROBLEMS:
        hidden_count = len(problems) - _MAX_SHOWN_PROBLEMS
        reason = f'{hidden_count} more problems are not shown'
        located.append(_checks.Problem((), reason, str(path), 1))
    return located


def _make_line_finder(text):
    """Return a function from a key path to its line in `text`.

    Notes
    -----
    tomllib reports no positions of keys. A prefix of the lines is valid TOML
    if and only if it ends between two statements, and it contains a key from
    the statement that defines it onwards. A binary search over the prefixes
    therefore finds this statement, whatever its syntax.
    """
    lines = text.split('\n')

    def parse(line_count):
        try:
            return tomllib.loads('\n'.join(lines[:line_count]) + '\n')
        except (ValueError, RecursionError):
            return None

    def find_split(low, high):
        split = (low + high + 1) // 2
        candidates = (*range(split, high), *range(split - 1, low, -1))
        return next((n for n in candidates if parse(n) is not None), None)

    def find_line(path):
        document = parse(len(lines))
        while path and not _contains_path(document, path):
            path = path[:-1]
        if not path:
            return 1
        low, high = 0, len(lines)
        while (split := find_split(low, high)) is not None:
            if _contains_path(parse(split), path):
                high = split
            else:
                low = split
        return low + 1

    return find_line


def _contains_path(value, path):
    for key in path:
        if not isinstance(value, dict) or key not in value:
            return False
        value = value[key]
    return True
