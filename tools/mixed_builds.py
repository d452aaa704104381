#!/usr/bin/env python3
"""Run processes of two builds side by side and replace them one by one.

    mixed_builds.py [--old COMMIT] [--seed N] [--seconds S] [--logs FOLDER]

Starts three entries and three endpoint processes of the old build, with a fake
store and fake workers, submits jobs all the time, and replaces the processes
one after the other by the build of the working copy. Prints a table of the
steps, one of the jobs, and the violations; exits with 1 if there are any and
with 2 if the history lacks the commit.
"""

import argparse
import pathlib
import sys
import tempfile

_ROOT = pathlib.Path(__file__).resolve().parents[1]
# The sources of this working copy go before an installed azurepier.
sys.path[:0] = [str(_ROOT), str(_ROOT / 'tests' / 'adapter')]

import mixed_fleet  # noqa: E402

PHASES = ('old', 'mixed', 'new')
OUTCOMES = ('succeeded', 'refused')


def _list(counts):
    return ', '.join(f'{count} {key}' for key, count in sorted(counts.items()))


def print_report(report, options):
    """Print the tables and the violations of a run."""
    print(f'old {report.old}, new {report.new}, seed {options.seed}')
    print('\n| step | old | new |\n|---|---|---|')
    for step, old, new in report.steps:
        print(f'| {step} | {old} | {new} |')
    print('\n| jobs | succeeded | refused | other |\n|---|---|---|---|')
    for phase in PHASES:
        outcomes = report.outcomes[phase]
        counts = [outcomes[name] for name in OUTCOMES]
        other = outcomes.total() - sum(counts)
        cells = [phase, *counts, other]
        print('| ' + ' | '.join(map(str, cells)) + ' |')
    print(f'\nruns: {_list(report.runs)}')
    print(f'broken attempts: {_list(report.broken)}')
    print(f'violations: {len(report.violations)}')
    for violation in report.violations:
        print(f'  {violation}')


def main(args=None):
    """Run the command; return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__.partition('\n')[0])
    parser.add_argument(
        '--old',
        default=mixed_fleet.PRODUCTION_COMMIT,
        metavar='COMMIT',
        help='old build, by default the one in production (%(default)s)',
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument(
        '--logs',
        type=pathlib.Path,
        help='folder for the settings and logs of the processes',
    )
    arguments = parser.parse_args(args)
    folder = arguments.logs or pathlib.Path(
        tempfile.mkdtemp(prefix='mixed_builds.')
    )
    options = mixed_fleet.Options(
        arguments.old, arguments.seed, arguments.seconds, folder
    )
    try:
        report = mixed_fleet.run(options)
    except mixed_fleet.MissingCommitError as exc:
        print(exc, file=sys.stderr)
        return 2
    print_report(report, options)
    if report.violations:
        print(f'logs: {folder}')
    return 1 if report.violations else 0


if __name__ == '__main__':
    sys.exit(main())
