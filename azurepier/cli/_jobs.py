"""``azurepier jobs``: submit, show and cancel jobs."""

import asyncio
import json

import click

from azurepier.cli import _run
from azurepier.cli import _web
from azurepier import client
from azurepier import kernel

# The HTTP library gives up waiting for headers after 60 s.
_LONGEST_WAIT_S = 30.0
_MARGIN_S = 5.0
_MS_PER_S = 1000
_DEFAULT_DEADLINE_MS = 60_000
_FIELDS = ('customer', 'urgent', 'idempotent', 'deadline_ms', 'tasks')

_customer = click.option(
    '--customer',
    envvar='AZUREPIER_CUSTOMER',
    help='Customer of the job. Default: AZUREPIER_CUSTOMER.',
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
        raise kernel.InvalidInputError(file.name, 'expected a JSON object')
    for key in job:
        if key not in _FIELDS:
            reason = f'unknown field; the fields are {", ".join(_FIELDS)}'
            raise kernel.InvalidInputError(key, reason)
    if not isinstance(job.get('tasks'), list):
        raise kernel.InvalidInputError('tasks', 'expected a list')
    return job


def _deadline_s(job):
    deadline_ms = job.get('deadline_ms', _DEFAULT_DEADLINE_MS)
    if type(deadline_ms) not in (int, float):
        raise kernel.InvalidInputError('deadline_ms', 'expected a number')
    return deadline_ms / _MS_PER_S


@jobs.command()
@click.argument('file', type=click.File(), default='-')
@_web.entry_options
@_customer
@_run.reported
async def submit(file, entries, token, customer):
    """Submit the job in FILE (JSON; - for standard input) and wait for it.

    The fields are those of PUT /v1/jobs/{id}: customer, urgent, idempotent,
    deadline_ms and tasks.
    """
    _web.check_entries(entries)
    job = _read_job(file)
    customer = customer or job.get('customer')
    if not isinstance(customer, str):
        raise kernel.InvalidInputError(
            'customer', 'name it in the file or with --customer'
        )
    async with client.AsyncClient(entries, customer, token) as caller:
        result = await caller.submit(
            job['tasks'],
            urgent=job.get('urgent', False),
            idempotent=job.get('idempotent', False),
            deadline_s=_deadline_s(job),
        )
    return _complete(result.job_id, result.outputs)


def _complete(job_id, outputs):
    value = {
        'id': job_id,
        'state': 'complete',
        'results': [{'task': i, 'output': o} for i, o in enumerate(outputs)],
    }
    lines = [f'{job_id}: complete']
    lines += [f'  {i}: {json.dumps(o)}' for i, o in enumerate(outputs)]
    return _run.Output(value, '\n'.join(lines))


@jobs.command()
@click.argument('job_id')
@_web.entry_options
@_customer
@click.option(
    '--wait',
    'wait_s',
    type=click.FloatRange(min=0, max=3600),
    default=0.0,
    metavar='SECONDS',
    help='Wait for the result.',
)
@_run.reported
async def show(job_id, entries, token, customer, wait_s):
    """Show the state and the results of the job JOB_ID."""
    loop = asyncio.get_running_loop()
    end = loop.time() + wait_s
    while True:
        step_s = min(max(end - loop.time(), 0.0), _LONGEST_WAIT_S)
        wait_ms = round(step_s * _MS_PER_S)
        path = _path(job_id, customer, token, wait_ms=wait_ms)
        status, value = await _web.first_answer(
            entries, 'GET', path, token, step_s + _MARGIN_S
        )
        if status == 200 or loop.time() >= end:
            return _state(value)


@jobs.command()
@click.argument('job_id')
@_web.entry_options
@_customer
@_run.reported
async def cancel(job_id, entries, token, customer):
    """Cancel the job JOB_ID; tasks that run are stopped."""
    path = _path(job_id, customer, token)
    try:
        _, value = await _web.first_answer(entries, 'DELETE', path, token)
    except _run.RefusedError as exc:
        # The answer to a cancelled job is that it was cancelled.
        if not exc.document.get('type', '').endswith(':cancelled'):
            raise
        value = {**exc.document, 'state': 'cancelled'}
    return _state(value)


def _path(job_id, customer, token, **fields):
    name = None if token else customer
    if not token and not customer:
        raise kernel.InvalidInputError(
            'customer', 'needed without a token; use --customer'
        )
    return f'/v1/jobs/{job_id}' + _web.query(customer=name, **fields)


def _state(value):
    if value.get('state') == 'complete':
        try:
            outputs = [item['output'] for item in value['results']]
            return _complete(value['id'], outputs)
        except (KeyError, TypeError) as exc:
            raise _run.EntryError(f'not a complete answer: {exc!r}') from exc
    text = f'{value.get("id", "")}: {value.get("state", "unknown")}'
    return _run.Output(value, text)
