"""Sources of a build, and processes that run them."""

import io
import os
import pathlib
import subprocess
import sys
import sysconfig
import tarfile
import tempfile

import attrs

ROOT = pathlib.Path(__file__).parents[3]
OLD, NEW = 'old', 'new'
# What the programs of `deploy/system.toml` consist of.
_SOURCES = ('azurepier', 'platform')
# Event of the first log line, with the files that were imported.
IMPORTED_EVENT = 'build_imported'
# Does what platform/run.py does, and logs which sources were imported. The
# parent package decides where all modules below it come from.
_LAUNCHER = f'''
import json
import os
import sys
root = os.getcwd()
sys.path[:1] = [os.path.join(root, 'platform'), root]
import adapter
import azurepier
print(json.dumps({{
    'event': {IMPORTED_EVENT!r},
    'files': [adapter.__file__, azurepier.__file__],
}}), flush=True)
import run
run.main(*sys.argv[1:])
'''


class MissingCommitError(Exception):
    """The history of the repository lacks a commit."""


@attrs.frozen
class Build:
    """A build of which processes are started.

    Parameters
    ----------
    name : str
        `OLD` or `NEW`.
    commit : str
        Abbreviated hash; '+' is appended if the sources were changed.
    root : pathlib.Path
        Folder with the sources.
    policy : tuple of str
        Path of the file with the optional parts in use, if there is one.
    """

    name: str
    commit: str
    root: pathlib.Path
    policy: tuple = ()

    @property
    def knows_evacuations(self):
        """Whether its endpoint processes refuse orders when evacuated."""
        return (self.root / 'azurepier/runner/_evacuation.py').exists()


def _git(*args):
    return subprocess.run(
        ['git', '-C', str(ROOT), *args], capture_output=True, check=False
    )


def _resolve(commit):
    result = _git('rev-parse', '--verify', '--quiet', commit + '^{commit}')
    if result.returncode:
        raise MissingCommitError(
            f'the history of {ROOT} lacks the commit {commit}; a run of two'
            ' builds needs a full clone (git fetch --unshallow)'
        )
    return result.stdout.decode().strip()


def extract(commit):
    """Return the old build, with its sources taken from the history.

    They are kept below ``build/`` and used again.

    Raises
    ------
    MissingCommitError
        If the history lacks the commit.
    """
    full = _resolve(commit)
    target = ROOT / 'build' / 'mixed_builds' / full[:12]
    if not target.exists():
        archive = _git('archive', full, *_SOURCES)
        archive.check_returncode()
        target.parent.mkdir(parents=True, exist_ok=True)
        with tempfile.TemporaryDirectory(
            dir=target.parent, ignore_cleanup_errors=True
        ) as folder:
            with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
                tar.extractall(folder, filter='data')
            try:
                os.rename(folder, target)
            except OSError:
                # Another run was faster.
                if not target.exists():
                    raise
    return Build(OLD, full[:7], target)


def working_copy():
    """Return the new build, which is the working copy."""
    commit = _resolve('HEAD')[:7]
    changed = _git('status', '--porcelain', '--', *_SOURCES).stdout
    return Build(NEW, commit + '+' * bool(changed), ROOT)


def library_path():
    """Return the value of PYTHONPATH with the installed libraries."""
    libraries = {sysconfig.get_path('purelib'), sysconfig.get_path('platlib')}
    return os.pathsep.join(sorted(libraries))


def launch(build, role, settings_path, log_file):
    """Start the process of a role; return its `subprocess.Popen`.

    Both builds use the interpreter and the libraries of this process. The
    option -S leaves out an installed azurepier, which would be imported in
    place of the build's.
    """
    return subprocess.Popen(
        [sys.executable, '-S', '-c', _LAUNCHER, role, *build.policy],
        cwd=build.root,
        env={
            **os.environ,
            'AZUREPIER_BOOT': str(settings_path),
            'PYTHONPATH': library_path(),
        },
        stdout=log_file,
        stderr=log_file,
    )
