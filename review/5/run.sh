#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/hickoryhoist.mjs ] || { echo 'target/hickoryhoist.mjs is missing: run the build of deploy/system.toml' >&2; exit 2; }
exec node review/5/case.mjs
