#!/usr/bin/env bash
# Builds what the scripts of the cases start, besides the node itself. Their store, upstreams and clients are plain modules in
# review/lib and beside each run.sh, and need no build; this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/case.mjs; do
    node --check "$file"
done
