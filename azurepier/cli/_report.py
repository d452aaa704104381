"""``azurepier report``: what became of jobs, from the entries' logs."""

import itertools

import attrs
import click

from azurepier.cli import _run

# Jobs that are named in the report; their lines tell the rest.
_NAMED = 5


@click.command()
@click.argument('files', type=click.File(), nargs=-1, required=True)
@click.option(
    '--window',
    type=click.FloatRange(min=0.1),
    default=2.0,
    show_default=True,
    help='Length of the windows (s).',
)
@_run.reported
async def report(files, window):
    """Tell what became of the jobs of pools, and why.

    FILES are the logs of entries, "-" for standard input.
    """
    from azurepier import report as reports

    log = reports.read(itertools.chain.from_iterable(files))
    jobs = reports.jobs(log)
    slowest = reports.slowest(jobs, _NAMED)
    tables = {
        'queues': reports.by(jobs, lambda job: job.queue),
        'causes': reports.causes(jobs),
        'entries': reports.by(jobs, lambda job: job.process),
        'windows': reports.windows(jobs, window),
    }
    headers = {
        'queues': ('queue', 'jobs', *reports.OUTCOMES),
        'causes': ('queue', 'outcome', 'cause', 'jobs'),
        'entries': ('entry', 'jobs', *reports.OUTCOMES),
        'windows': ('from (s)', 'jobs', *reports.OUTCOMES),
    }
    parts = [_run.table(headers[name], rows) for name, rows in tables.items()]
    parts.append(
        _run.table(
            ('latest job', 'entry', 'ms', 'objective ms', 'cause'),
            [
                (job.job_id, job.process, job.ms, job.objective_ms, job.cause)
                for job in slowest
            ],
        )
    )
    if log.unread:
        parts.append(f'{log.unread} lines could not be read')
    value = {
        **tables,
        'slowest': [attrs.asdict(job) for job in slowest],
        'unread': log.unread,
    }
    return _run.Output(value, '\n\n'.join(parts))
