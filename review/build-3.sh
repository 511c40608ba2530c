#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the cases 11 to 15 into target/review-3. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --no-audit --no-fund
[ -f target/gateway.cjs ] || npm run --silent build:platform
banner="import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);"
for entry in review/harness-3/case-*.ts; do
	name=$(basename "$entry" .ts)
	node_modules/.bin/esbuild "$entry" --bundle --platform=node --target=node20 --format=esm --log-level=warning --banner:js="$banner" --outfile="target/review-3/$name.mjs"
done
