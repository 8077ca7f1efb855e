#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain JavaScript modules without
# dependencies, so a check of their syntax is all that is needed.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.mjs [1-5]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
