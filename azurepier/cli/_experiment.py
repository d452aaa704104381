"""``azurepier experiment``: policies of dispatch compared on a model."""

import concurrent.futures
import pathlib
import sys

import click

from azurepier.cli import _run

_OUTPUT = pathlib.Path('build') / 'experiment.html'


def _play_all(experiment, policies, seeds, workers):
    """Play all policies with all seeds; return plays by policy."""
    from azurepier import experiment as experiments

    jobs = [(policy, seed) for policy in policies for seed in seeds]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        futures = {
            pool.submit(experiments.play, experiment, *job): job
            for job in jobs
        }
        done = {}
        with click.progressbar(
            concurrent.futures.as_completed(futures),
            length=len(jobs),
            label='plays',
            file=sys.stderr,
        ) as finished:
            for future in finished:
                done[futures[future]] = future.result()
    return {
        policy: [done[policy, seed] for seed in seeds] for policy in policies
    }


def _text(plays):
    from azurepier import experiment as experiments

    lines = []
    first = next(iter(plays.values()))
    for policy, found in plays.items():
        figures = experiments.table(found)
        lines.append(policy)
        lines += [f'  {name:12} {value}' for name, value in figures.items()]
        if found is not first:
            change = experiments.difference(found, first)
            lines.append(f'  {"difference":12} {change} in worth')
    return '\n'.join(lines)


@click.command()
@click.argument('file', type=click.File())
@click.option('--seeds', type=click.IntRange(1), help='Default: the file.')
@click.option(
    '--jobs',
    type=click.IntRange(1),
    default=2,
    show_default=True,
    help='Plays at a time.',
)
@click.option(
    '--output',
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
    default=_OUTPUT,
    show_default=True,
    help='Page with tables and drawings.',
)
@_run.reported
async def experiment(file, seeds, jobs, output):
    """Play the experiment of a TOML FILE and compare its policies.

    Runs on virtual time and needs no other process.
    """
    from azurepier import experiment as experiments

    spec = experiments.load(
        file.read(),
        experiments.POLICIES,
        experiments.FAULTS,
        pathlib.Path(file.name).parent,
    )
    plays = _play_all(
        spec, spec.policies, range(1, (seeds or spec.seeds) + 1), jobs
    )
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(experiments.render(spec, plays))
    value = {
        policy: {
            name: {'mean': found.mean, 'half': found.half_width}
            for name, found in experiments.table(rows).items()
        }
        for policy, rows in plays.items()
    }
    return _run.Output(value, f'{_text(plays)}\nwritten to {output}')
