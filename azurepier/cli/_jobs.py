"""``azurepier jobs``: submit, show and cancel jobs."""

import asyncio
import json

import click

from azurepier.cli import _command
from azurepier.cli import _web
from azurepier import client
from azurepier import kernel

# The HTTP library aborts a request after 60 s without response headers.
_MAX_REQUEST_WAIT_S = 30.0
_TIMEOUT_MARGIN_S = 5.0
_MS_PER_S = 1000
_DEFAULT_DEADLINE_MS = 60_000
_JOB_FIELDS = ('customer', 'urgent', 'idempotent', 'deadline_ms', 'tasks')

_customer_option = click.option(
    '--customer',
    envvar='AZUREPIER_CUSTOMER',
    help='Customer that owns the job. Default: AZUREPIER_CUSTOMER.',
)


@click.group()
def jobs():
    """Submit, show and cancel jobs."""


def _read_job(file):
    try:
        job = json.load(file)
    except ValueError as exc:
        raise kernel.InvalidInputError(file.name, f'not JSON: {exc}') from exc
    if not isinstance(job, dict):
        raise kernel.InvalidInputError(
            file.name, f'expected a JSON object, found {type(job).__name__}'
        )
    for key in job:
        if key not in _JOB_FIELDS:
            reason = (
                f'unknown field; expected one of: {", ".join(_JOB_FIELDS)}'
            )
            raise kernel.InvalidInputError(key, reason)
    if not isinstance(job.get('tasks'), list):
        raise kernel.InvalidInputError('tasks', 'expected a list of tasks')
    return job


def _deadline_s(job):
    deadline_ms = job.get('deadline_ms', _DEFAULT_DEADLINE_MS)
    if type(deadline_ms) not in (int, float):
        raise kernel.InvalidInputError(
            'deadline_ms',
            'expected a number of milliseconds, found '
            f'{type(deadline_ms).__name__}',
        )
    return deadline_ms / _MS_PER_S


@jobs.command()
@click.argument('file', type=click.File(), default='-')
@_web.entry_options
@_customer_option
@_command.with_output
async def submit(file, entries, token, customer):
    """Submit the job in FILE (JSON; - for standard input) and wait for it.

    The fields are those of PUT /v1/jobs/{id}: customer, urgent, idempotent,
    deadline_ms and tasks.
    """
    _web.require_entries(entries)
    job = _read_job(file)
    customer = customer or job.get('customer')
    if not isinstance(customer, str):
        raise kernel.InvalidInputError(
            'customer', 'expected a name, in the file or with --customer'
        )
    async with client.AsyncClient(entries, customer, token) as job_client:
        result = await job_client.submit(
            job['tasks'],
            urgent=job.get('urgent', False),
            idempotent=job.get('idempotent', False),
            deadline_s=_deadline_s(job),
        )
    return _format_complete(result.job_id, result.outputs)


def _format_complete(job_id, outputs):
    value = {
        'id': job_id,
        'state': 'complete',
        'results': [{'task': i, 'output': o} for i, o in enumerate(outputs)],
    }
    lines = [f'{job_id}: complete']
    lines += [f'  {i}: {json.dumps(o)}' for i, o in enumerate(outputs)]
    return _command.Output(value, '\n'.join(lines))


@jobs.command()
@click.argument('job_id')
@_web.entry_options
@_customer_option
@click.option(
    '--wait',
    'wait_s',
    type=click.FloatRange(min=0, max=3600),
    default=0.0,
    metavar='SECONDS',
    help='Wait up to SECONDS for the result.',
)
@_command.with_output
async def show(job_id, entries, token, customer, wait_s):
    """Show the state and the results of the job JOB_ID."""
    loop = asyncio.get_running_loop()
    deadline_at = loop.time() + wait_s
    while True:
        request_wait_s = min(
            max(deadline_at - loop.time(), 0.0), _MAX_REQUEST_WAIT_S
        )
        wait_ms = round(request_wait_s * _MS_PER_S)
        path = _job_path(job_id, customer, token, wait_ms=wait_ms)
        status, value = await _web.first_response(
            entries, 'GET', path, token, request_wait_s + _TIMEOUT_MARGIN_S
        )
        if status == 200 or loop.time() >= deadline_at:
            return _format_state(value)


@jobs.command()
@click.argument('job_id')
@_web.entry_options
@_customer_option
@_command.with_output
async def cancel(job_id, entries, token, customer):
    """Cancel the job JOB_ID and stop its running tasks."""
    path = _job_path(job_id, customer, token)
    try:
        _, value = await _web.first_response(entries, 'DELETE', path, token)
    except _command.JobProblemError as exc:
        # A successful cancellation is answered with the error `cancelled`.
        if not exc.document.get('type', '').endswith(':cancelled'):
            raise
        value = {**exc.document, 'state': 'cancelled'}
    return _format_state(value)


def _job_path(job_id, customer, token, **fields):
    customer_name = None if token else customer
    if not token and not customer:
        raise kernel.InvalidInputError(
            'customer', 'expected --customer, as there is no token'
        )
    return f'/v1/jobs/{job_id}' + _web.query_string(
        customer=customer_name, **fields
    )


def _format_state(value):
    if value.get('state') == 'complete':
        try:
            outputs = [item['output'] for item in value['results']]
            return _format_complete(value['id'], outputs)
        except (KeyError, TypeError) as exc:
            raise _command.ProcessError(
                f'malformed result of a complete job: {exc!r}'
            ) from exc
    text = f'{value.get("id", "")}: {value.get("state", "unknown")}'
    return _command.Output(value, text)
