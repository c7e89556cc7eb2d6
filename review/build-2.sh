#!/usr/bin/env bash
# Builds what the scripts of the second review start. Their stand-ins are plain modules of Node.js, which run as they are: so this only
# checks that they can be read, and that the build of the deploy file was made.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/{6,7,8,9,10}/run.mjs; do
    [ ! -e "$file" ] || node --check "$file"
done
[ -x target/runtime ] && [ -e target/node.cjs ]
