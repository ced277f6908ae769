#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b packages/standins
