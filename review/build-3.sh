#!/bin/sh
# The stand-ins and clients of the cases 11 to 15 are plain modules for Node.js
# in review/lib3, without dependencies: nothing is compiled. This checks that
# they parse.
cd "$(dirname "$0")" || exit 1
for file in lib3/*.mjs 1[1-5]/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
