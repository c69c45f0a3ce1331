#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript without dependencies: checks that they parse.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/case.mjs; do
  node --check "$file"
done
