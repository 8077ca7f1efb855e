#!/usr/bin/env bash
# Prepares the scripts of the second review, 6 to 10. Their stand-ins are plain JavaScript for Node.js 20, so there is
# nothing to compile; this checks that each file can be read, and that the build of the deploy file has run.
set -u
cd "$(dirname "$0")" || exit 1
for file in common-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
if [ ! -f ../target/godwittrack-node.cjs ]; then
  echo "run the build of deploy/system.toml first"
  exit 1
fi
