#!/bin/sh
# The stand-ins of the cases from 6 on are plain modules of Node.js without dependencies: there is nothing to compile.
# This checks that all of them can be read.
set -e
cd "$(dirname "$0")"
for file in rig-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  if [ -f "$file" ]; then
    node --check "$file"
  fi
done
