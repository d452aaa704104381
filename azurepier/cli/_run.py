"""What all commands share: output, errors and exit codes."""

import asyncio
import functools
import json

import attrs
import click

from azurepier import client
from azurepier import kernel

# The exit codes are documented in docs/operators.md and must not change.
OK = 0
FAULT = 1
INVALID = 3
CONFLICT = 4
NO_PLATFORM = 5
NO_ENTRY = 6
NOT_RUN = 7
MAY_HAVE_RUN = 8
DIFFERENT = 9


class EntryError(kernel.AzurepierError):
    """An entry or endpoint process did not answer as expected."""


class NotAllowedError(EntryError):
    """A process does not let this caller drain it."""


class RefusedError(kernel.AzurepierError):
    """A process refused a request; `document` is its problem document."""

    def __init__(self, text, document):
        super().__init__(text)
        self.document = document


@attrs.frozen
class Output:
    """What a command prints, as a JSON value and as text."""

    value: object
    text: str
    code: int = OK


def _code_of_refusal(exc):
    not_run = exc.document.get('verdict') == kernel.Verdict.NOT_RUN.value
    return NOT_RUN if not_run else MAY_HAVE_RUN


# Exit code and advice by exception class; the first that matches counts.
_ERRORS = (
    (kernel.ConflictError, CONFLICT, 'compare with "config diff" and repeat'),
    (
        kernel.PlatformError,
        NO_PLATFORM,
        'check --platform or AZUREPIER_PLATFORM; running processes keep the'
        ' configuration that is in force',
    ),
    (
        NotAllowedError,
        NO_ENTRY,
        'pass --key-file with a key of the process, or run the command on the'
        " process's machine",
    ),
    (
        EntryError,
        NO_ENTRY,
        'check --entry or AZUREPIER_ENTRIES and that the process runs',
    ),
    (RefusedError, _code_of_refusal, ''),
    (
        client.NotAuthorizedError,
        NOT_RUN,
        'check --token-file or AZUREPIER_TOKEN and --customer',
    ),
    (client.OverloadedError, NOT_RUN, 'nothing ran; submit again later'),
    (client.NotRunError, NOT_RUN, 'nothing ran'),
    (
        client.JobError,
        MAY_HAVE_RUN,
        'find out what ran, or submit with "idempotent": true',
    ),
    (kernel.SettingsError, INVALID, 'correct the file and repeat'),
    (kernel.InvalidInputError, INVALID, 'correct the value and repeat'),
    (kernel.AzurepierError, FAULT, ''),
)


def _report(exc, as_json):
    """Print an error and return the exit code."""
    code, advice = next(
        (code, advice)
        for class_, code, advice in _ERRORS
        if isinstance(exc, class_)
    )
    if callable(code):
        code = code(exc)
    if as_json:
        value = {'error': str(exc), 'advice': advice, 'exit_code': code}
        if isinstance(exc, RefusedError):
            value['problem'] = exc.document
        click.echo(json.dumps(value), err=True)
        return code
    click.echo(f'error: {exc}', err=True)
    if advice:
        click.echo(f'advice: {advice}', err=True)
    return code


def reported(function):
    """Return `function` as the body of a command.

    The function may be a coroutine function and returns an `Output`. The
    option ``--json`` is added to the command.
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
            ctx.exit(_report(exc, as_json))
        if as_json:
            click.echo(json.dumps(output.value, indent=2))
        elif output.text:
            click.echo(output.text.rstrip('\n'))
        ctx.exit(output.code)

    return command


def wants_json():
    """Tell whether the current command prints JSON."""
    return bool(click.get_current_context().obj)


def table(header, rows):
    """Return rows of values as aligned columns."""
    lines = [[str(item) for item in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*lines)]
    return '\n'.join(
        '  '.join(
            item.ljust(width) for item, width in zip(line, widths)
        ).rstrip()
        for line in lines
    )
