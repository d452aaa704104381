#!/bin/sh
# Regenerates azurepier/wire/gen from thrift/azurepier.thrift. Needs the
# thrift compiler, which neither the build nor CI requires.
set -eu
cd "$(dirname "$0")/.."
out=$(mktemp -d)
thrift --gen py:slots -out "$out" thrift/azurepier.thrift
rm -rf azurepier/wire/gen
mkdir -p azurepier/wire/gen
cp -r "$out"/azurepier/wire/gen/. azurepier/wire/gen/
rm -rf "$out"
sha256sum thrift/azurepier.thrift | cut -d' ' -f1 \
    > azurepier/wire/gen/SOURCE.sha256
