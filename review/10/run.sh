#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec node review/10/case.mjs
