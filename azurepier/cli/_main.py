"""The command ``azurepier``."""

import click

from azurepier.cli import _config
from azurepier.cli import _experiment
from azurepier.cli import _explain
from azurepier.cli import _jobs
from azurepier.cli import _processes
from azurepier.cli import _report


@click.group(context_settings={'help_option_names': ['-h', '--help']})
@click.version_option(package_name='azurepier', prog_name='azurepier')
def main():
    """Operate azurepier and submit jobs.

    Exit codes: 0 success; 1 other errors; 2 wrong usage; 3 invalid input; 4
    conflicting edit; 5 platform unreachable or its configuration invalid; 6
    no expected response from an entry or endpoint process; 7 the job did not
    run; 8 the job failed and has run or may have run; 9 differences found.
    """


main.add_command(_config.config)
main.add_command(_jobs.jobs)
main.add_command(_experiment.experiment)
main.add_command(_report.report)
main.add_command(_explain.explain)
main.add_command(_processes.status)
main.add_command(_processes.events)
main.add_command(_processes.drain)
