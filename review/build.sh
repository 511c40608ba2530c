#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases into target/review. Needs the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
shopt -s nullglob
node_modules/.bin/esbuild review/[1-5]/scenario.ts --bundle --platform=node --target=node20 --format=esm --outbase=review --outdir=target/review --out-extension:.js=.mjs --packages=external --log-level=warning
