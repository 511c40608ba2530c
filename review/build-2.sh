#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the gateway, whose build is that of the deploy file. Their stand-ins
# are in harness-2/ and need no build; this checks that they can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness-2/*.js [6-9]/run.js 10/run.js; do
	if [ -e "$file" ]; then
		node --check "$file"
	fi
done
