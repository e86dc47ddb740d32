#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are plain JavaScript modules without dependencies, so a check of their
# syntax is all there is to do.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.mjs [0-9]*/*.mjs; do
  node --check "$file"
done
