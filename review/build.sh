#!/usr/bin/env bash
# Bundles the scripts of the cases, with the stand-ins that they start, into target/review.
set -eu
cd "$(dirname "$0")/.."
for entry in review/*/case.ts; do
	name=$(basename "$(dirname "$entry")")
	node_modules/.bin/esbuild "$entry" --bundle --platform=node --target=node20 --format=esm \
		--log-level=warning --outfile="target/review/$name.mjs"
done
