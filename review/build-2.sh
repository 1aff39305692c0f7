#!/usr/bin/env bash
# Bundles the cases of this review, with all stand-ins that they start, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
npx --no-install esbuild review/*/play.ts --bundle --platform=node --target=node20 --format=cjs \
	--out-extension:.js=.cjs --log-level=warning --outbase=review --outdir=target/review-2
