"""Output, errors and exit codes of all commands."""

import asyncio
import functools
import json

import attrs
import click

from azurepier import client
from azurepier import kernel

# The exit codes are documented in docs/operators.md. Scripts depend on them,
# so they must not change.
EXIT_OK = 0
EXIT_ERROR = 1
EXIT_INVALID_INPUT = 3
EXIT_CONFLICT = 4
EXIT_PLATFORM_ERROR = 5
EXIT_PROCESS_ERROR = 6
EXIT_NOT_RUN = 7
EXIT_MAY_HAVE_RUN = 8
EXIT_DIFFERENT = 9


class ProcessError(kernel.AzurepierError):
    """An entry or endpoint process did not respond as expected."""


class DrainNotAllowedError(ProcessError):
    """A process rejected a request to drain it as not authorized."""


class JobProblemError(kernel.AzurepierError):
    """A process answered a request for a job with a problem document.

    The job was rejected, was cancelled or failed; the verdict in the document
    says whether it has run.

    Parameters
    ----------
    text : str
        Message of the error.
    document : dict
        Problem document in the response.
    """

    def __init__(self, text, document):
        super().__init__(text)
        self.document = document


@attrs.frozen
class Output:
    """Result of a command.

    Parameters
    ----------
    value : object
        JSON value that is printed with ``--json``.
    text : str
        Text that is printed otherwise.
    code : int
        Exit code.
    """

    value: object
    text: str
    code: int = EXIT_OK


def _job_problem_exit_code(exc):
    not_run = exc.document.get('verdict') == kernel.Verdict.NOT_RUN.value
    return EXIT_NOT_RUN if not_run else EXIT_MAY_HAVE_RUN


# Exception class, exit code and advice; the first matching row applies.
_EXIT_CODES = (
    (
        kernel.ConflictError,
        EXIT_CONFLICT,
        'review the changes with "config diff" and try again',
    ),
    (
        kernel.PlatformError,
        EXIT_PLATFORM_ERROR,
        'check --platform or AZUREPIER_PLATFORM; running processes keep the'
        ' current configuration',
    ),
    (
        DrainNotAllowedError,
        EXIT_PROCESS_ERROR,
        'pass --key-file with a key of the process, or run the command on the'
        ' host of the process',
    ),
    (
        ProcessError,
        EXIT_PROCESS_ERROR,
        'check --entry or AZUREPIER_ENTRIES, and that the process is running',
    ),
    (JobProblemError, _job_problem_exit_code, ''),
    (
        client.NotAuthorizedError,
        EXIT_NOT_RUN,
        'check --token-file or AZUREPIER_TOKEN and --customer',
    ),
    (
        client.OverloadedError,
        EXIT_NOT_RUN,
        'no task has run; submit the job again later',
    ),
    (client.NotRunError, EXIT_NOT_RUN, 'no task has run'),
    (
        client.JobError,
        EXIT_MAY_HAVE_RUN,
        'check which tasks have run before you submit the job again, or submit'
        ' it with "idempotent": true',
    ),
    (
        kernel.SettingsError,
        EXIT_INVALID_INPUT,
        'correct the file and try again',
    ),
    (
        kernel.InvalidInputError,
        EXIT_INVALID_INPUT,
        'correct the value and try again',
    ),
    (kernel.AzurepierError, EXIT_ERROR, ''),
)


def _print_error(exc, as_json):
    """Print an error with advice and return the exit code."""
    code, advice = next(
        (code, advice)
        for class_, code, advice in _EXIT_CODES
        if isinstance(exc, class_)
    )
    if callable(code):
        code = code(exc)
    if as_json:
        value = {'error': str(exc), 'advice': advice, 'exit_code': code}
        if isinstance(exc, JobProblemError):
            value['problem'] = exc.document
        click.echo(json.dumps(value), err=True)
        return code
    click.echo(f'error: {exc}', err=True)
    if advice:
        click.echo(f'advice: {advice}', err=True)
    return code


def with_output(function):
    """Decorate the function of a command to print its result and errors.

    The decorator adds the option ``--json``.

    Parameters
    ----------
    function : callable
        Function or coroutine function that returns an `Output`.
    """

    @click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
    @click.pass_context
    @functools.wraps(function)
    def command(ctx, *args, as_json, **kwargs):
        ctx.obj = as_json
        try:
            output = function(*args, **kwargs)
            if asyncio.iscoroutine(output):
                output = asyncio.run(output)
        except kernel.AzurepierError as exc:
            ctx.exit(_print_error(exc, as_json))
        if as_json:
            click.echo(json.dumps(output.value, indent=2))
        elif output.text:
            click.echo(output.text.rstrip('\n'))
        ctx.exit(output.code)

    return command


def wants_json():
    """Return whether the current command prints JSON."""
    return bool(click.get_current_context().obj)


def format_table(header, rows):
    """Format rows of values as text with aligned columns."""
    lines = [[str(item) for item in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*lines)]
    return '\n'.join(
        '  '.join(
            item.ljust(width) for item, width in zip(line, widths)
        ).rstrip()
        for line in lines
    )
