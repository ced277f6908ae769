#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start: the program of the deploy file. Their stand-ins are
# plain modules in review/lib-3, which need no build; they are only checked for syntax.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/mastichead.cjs ]; then
	[ -d node_modules ] || npm ci --no-audit --no-fund
	npm run --silent build:platform
fi
for module in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
	node --check "$module"
done
