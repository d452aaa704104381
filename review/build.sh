#!/bin/bash
# Builds the stand-ins of the cases, after the build of the deploy file. They
# are Python programs that need the standard library alone, so that there is
# only their syntax to check.
cd "$(dirname "$0")" || exit 2
for file in harness.py */case.py; do
    python3 -S - "$file" <<'CHECK' || exit 1
import pathlib
import sys

path = pathlib.Path(sys.argv[1])
compile(path.read_text(), str(path), 'exec')
CHECK
done
