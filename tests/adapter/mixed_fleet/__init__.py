"""Run of two builds side by side while processes are replaced."""

from mixed_fleet._builds import MissingCommitError
from mixed_fleet._run import Options
from mixed_fleet._run import run

__all__ = ['MissingCommitError', 'Options', 'run']
