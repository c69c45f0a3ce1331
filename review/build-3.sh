#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are modules of Node that need no compilation, so that
# this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do node --check "$file"; done
