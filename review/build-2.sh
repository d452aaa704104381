#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the programs
# of the deploy file, whose build has to run before. The stand-ins are Python
# modules that need no packages beyond target/deps, so that it checks that all
# of them can be imported.
cd "$(dirname "$0")/.." || exit 1
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:.:platform:tests/adapter:review exec python3 -S -c '
import fakes
import fleet
from standins import _server
'
