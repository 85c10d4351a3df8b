#!/usr/bin/env bash
# Runs a demonstration of about half a minute; see tools/demo.py. Exits 0 only if all its checks pass.
# Usage: tools/demo.sh BUILD_DIRECTORY
set -euo pipefail
build=$(realpath "${1:?usage: tools/demo.sh BUILD_DIRECTORY}")
cd "$(dirname "$0")/.."
exec python3 -B tools/demo.py "$build"
