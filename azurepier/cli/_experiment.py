"""``azurepier experiment``: compare dispatch policies in simulations.

`azurepier.experiment` is imported only when the command runs, because its
import takes as long as that of all other modules together.
"""

import concurrent.futures
import pathlib
import sys

import click

from azurepier.cli import _command

_DEFAULT_OUTPUT = pathlib.Path('build') / 'experiment.html'


def _simulate_policies(experiment, policies, seeds, max_parallel):
    """Simulate the experiment with every policy and every seed.

    Parameters
    ----------
    experiment : Experiment
    policies : iterable of str
    seeds : iterable of int
    max_parallel : int
        Number of simulations that run in parallel.

    Returns
    -------
    dict
        Lists of `SimulationResult` by policy, each in the order of `seeds`.
    """
    from azurepier import experiment as experiments

    cases = [(policy, seed) for policy in policies for seed in seeds]
    with concurrent.futures.ProcessPoolExecutor(max_parallel) as executor:
        case_by_future = {
            executor.submit(experiments.simulate, experiment, *case): case
            for case in cases
        }
        result_by_case = {}
        with click.progressbar(
            concurrent.futures.as_completed(case_by_future),
            length=len(cases),
            label='simulations',
            file=sys.stderr,
        ) as completed:
            for future in completed:
                result_by_case[case_by_future[future]] = future.result()
    return {
        policy: [result_by_case[policy, seed] for seed in seeds]
        for policy in policies
    }


def _format_estimates(results_by_policy):
    from azurepier import experiment as experiments

    lines = []
    baseline_results = next(iter(results_by_policy.values()))
    for policy, policy_results in results_by_policy.items():
        estimates = experiments.estimate_measures(policy_results)
        lines.append(policy)
        lines += [
            f'  {name:12} {estimate}' for name, estimate in estimates.items()
        ]
        if policy_results is not baseline_results:
            difference = experiments.estimate_difference(
                policy_results, baseline_results
            )
            lines.append(
                f'  {"difference":12} {difference} in worth from the first'
                ' policy'
            )
    return '\n'.join(lines)


@click.command()
@click.argument('file', type=click.File())
@click.option(
    '--seeds',
    type=click.IntRange(1),
    help='Seeds per policy. Default: seeds in FILE.',
)
@click.option(
    '--jobs',
    type=click.IntRange(1),
    default=2,
    show_default=True,
    help='Number of simulations that run in parallel.',
)
@click.option(
    '--output',
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
    default=_DEFAULT_OUTPUT,
    show_default=True,
    help='HTML page to write, with tables and charts.',
)
@_command.with_output
async def experiment(file, seeds, jobs, output):
    """Run the experiment in FILE (TOML) and compare its policies.

    The simulations use virtual time and need no running processes.
    """
    from azurepier import experiment as experiments

    spec = experiments.load(
        file.read(),
        experiments.POLICIES,
        experiments.FAULTS,
        pathlib.Path(file.name).parent,
    )
    results_by_policy = _simulate_policies(
        spec, spec.policies, range(1, (seeds or spec.seeds) + 1), jobs
    )
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(experiments.render_page(spec, results_by_policy))
    value = {
        policy: {
            name: {'mean': estimate.mean, 'half': estimate.half_width}
            for name, estimate in experiments.estimate_measures(
                policy_results
            ).items()
        }
        for policy, policy_results in results_by_policy.items()
    }
    return _command.Output(
        value,
        f'{_format_estimates(results_by_policy)}\nreport written to {output}',
    )
