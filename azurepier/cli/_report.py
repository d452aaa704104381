"""``azurepier report``: summarize the outcomes of jobs in entry logs."""

import itertools

import attrs
import click

from azurepier.cli import _command

# Maximum number of late jobs that are listed individually.
_SLOWEST_SHOWN = 5


@click.command()
@click.argument('files', type=click.File(), nargs=-1, required=True)
@click.option(
    '--window',
    type=click.FloatRange(min=0.1),
    default=2.0,
    show_default=True,
    help='Length of the time windows (s).',
)
@_command.with_output
async def report(files, window):
    """Summarize the outcomes of pool jobs and the causes of failures.

    FILES are the logs of entries, "-" for standard input.
    """
    from azurepier import report as reports

    log = reports.read_log(itertools.chain.from_iterable(files))
    jobs = reports.classify_jobs(log)
    slowest = reports.slowest_jobs(jobs, _SLOWEST_SHOWN)
    tables = {
        'queues': reports.count_by(jobs, lambda job: job.queue),
        'causes': reports.count_causes(jobs),
        'entries': reports.count_by(jobs, lambda job: job.process),
        'windows': reports.count_by_window(jobs, window),
    }
    headers = {
        'queues': ('queue', 'jobs', *reports.OUTCOMES),
        'causes': ('queue', 'outcome', 'cause', 'jobs'),
        'entries': ('entry', 'jobs', *reports.OUTCOMES),
        'windows': ('start (s)', 'jobs', *reports.OUTCOMES),
    }
    sections = [
        _command.format_table(headers[name], rows)
        for name, rows in tables.items()
    ]
    sections.append(
        _command.format_table(
            ('slowest job', 'entry', 'ms', 'objective ms', 'cause'),
            [
                (job.job_id, job.process, job.ms, job.objective_ms, job.cause)
                for job in slowest
            ],
        )
    )
    if log.unparsed_lines:
        sections.append(f'{log.unparsed_lines} lines could not be parsed')
    value = {
        **tables,
        'slowest': [attrs.asdict(job) for job in slowest],
        'unread': log.unparsed_lines,
    }
    return _command.Output(value, '\n\n'.join(sections))
