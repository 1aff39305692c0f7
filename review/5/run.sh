#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/5.mjs ] && [ -f target/primrosevalve-sidecar.cjs ] || exit 2
exec node target/review/5.mjs
