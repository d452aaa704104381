"""Run of two builds side by side while processes are replaced."""

from mixed_fleet._builds import MissingCommitError
from mixed_fleet._run import Options
from mixed_fleet._run import run

# The build in production, which an upgrade replaces.
PRODUCTION_COMMIT = '29bbc6b'

__all__ = ['PRODUCTION_COMMIT', 'MissingCommitError', 'Options', 'run']
