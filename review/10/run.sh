#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
timeout -k 3 117 node run.mjs
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
