"""``azurepier explain``: where an entry would place a job now."""

import click

from azurepier.cli import _command
from azurepier.cli import _web

# The copy of a large state, in an entry that is short of processor time.
TIMEOUT_S = 10.0
_ENDPOINT_COLUMNS = (
    'endpoint',
    'domain',
    'age_ms',
    'cpu',
    'free_cpu',
    'free_mem_mb',
    'speed',
    'failures',
    'ruled_out_by',
)


@click.command()
@click.argument('queue')
@click.option(
    '--metrics',
    'url',
    required=True,
    metavar='URL',
    help='Base URL of the metrics of an entry, http://HOST:9464.',
)
@click.option('--tasks', default=1, show_default=True, help='Tasks.')
@click.option(
    '--estimate-ms',
    default=100,
    show_default=True,
    help='Declared run time of a task (ms).',
)
@click.option('--cpu', default=1000, show_default=True, help='Millicores.')
@click.option('--mem-mb', default=0, help='Memory of a task (MB).')
@click.option('--gpu', default=0, help='GPUs of a task.')
@click.option('--label', default='', help='Label that the worker must have.')
@click.option('--max-per-worker', default=0, help='0: no limit.')
@_command.with_output
async def explain(
    queue, url, tasks, estimate_ms, cpu, mem_mb, gpu, label, max_per_worker
):
    """Show where a job of QUEUE would be placed now, and why.

    Nothing is submitted. The entry carries out the decision on a copy of its
    state, at most once in 5 s.
    """
    query = _web.query_string(
        queue=queue,
        count=tasks,
        estimate_ms=estimate_ms,
        cpu=cpu,
        mem_mb=mem_mb,
        gpu=gpu,
        requirements=label,
        anti_affinity=max_per_worker,
    )
    async with _web.session() as http:
        _, value = await _web.request(
            http,
            'GET',
            f'{_web.base_url(url)}/explain{query}',
            timeout_s=TIMEOUT_S,
        )
    return _command.Output(value, _format(value))


def _format(value):
    lines = [
        f'{value.get("decision", "?")}: a job of {value.get("tasks")} tasks '
        f'of {value.get("queue")} (priority {value.get("priority")}) at '
        f'{value.get("entry")}'
    ]
    for endpoint, count in sorted(value.get('starts', {}).items()):
        lines.append(f'  {count} tasks start at {endpoint}')
    if value.get('waits_for'):
        lines.append(
            f'  {value["waiting_tasks"]} tasks wait for: {value["waits_for"]}'
        )
    refusal = value.get('refusal')
    if refusal:
        lines.append(
            f'  reason {refusal["reason"]}, Retry-After '
            f'{refusal["retry_after_s"]} s'
        )
        lines += [f'  {key}: {val}' for key, val in refusal['inputs'].items()]
    if 'urgent_reserve_cores' in value:
        lines.append(
            f'  kept for more urgent jobs: {value["urgent_reserve_cores"]:.1f}'
            ' cores'
        )
    rows = [
        [
            '-' if endpoint.get(column) is None else endpoint[column]
            for column in _ENDPOINT_COLUMNS
        ]
        for endpoint in value.get('endpoints', [])
    ]
    return '\n'.join(
        [*lines, '', _command.format_table(_ENDPOINT_COLUMNS, rows)]
    )
