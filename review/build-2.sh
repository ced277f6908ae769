#!/usr/bin/env bash
# The stand-ins of cases 6 and later are plain modules of Node.js that need no build; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[0-9]*/case.mjs; do
	node --check "$file"
done
