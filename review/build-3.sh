#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start: plain modules for Node, which need only a check.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs 1[1-5]/*.mjs; do
  node --check "$file"
done
