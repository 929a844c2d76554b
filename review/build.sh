#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript without dependencies; this only checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
    node --check "$file"
done
