#!/usr/bin/env bash
# The stand-ins of the cases are plain modules for Node and need no build; checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/case.mjs; do
  node --check "$file"
done
