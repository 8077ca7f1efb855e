#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
if [ ! -e ../../target/godwittrack-node.cjs ]; then
  echo "the system has not been built"
  exit 2
fi
exec timeout -k 5 118 node case.mjs
