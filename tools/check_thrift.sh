#!/bin/sh
# Fails if the committed Thrift code was not generated from the current IDL
# file.
set -eu
cd "$(dirname "$0")/.."
expected=$(sha256sum thrift/azurepier.thrift | cut -d' ' -f1)
actual=$(cat azurepier/wire/gen/SOURCE.sha256)
if [ "$expected" != "$actual" ]; then
    echo "azurepier/wire/gen is out of date: run 'make gen'" >&2
    exit 1
fi
echo "generated code matches thrift/azurepier.thrift"
