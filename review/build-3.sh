#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the programs
# of the deploy file: the stand-ins are Python modules that need only what that
# build has put into target/deps.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps:.:platform:tests/adapter:review
exec python3 -S -c 'import fakes, fleet, rig; from standins import _server'
