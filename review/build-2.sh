#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are plain scripts for Node without dependencies: there is nothing to
# build, so that this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
