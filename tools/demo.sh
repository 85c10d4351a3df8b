#!/usr/bin/env bash
# Shows the system at work in about half a minute; see tools/demo.py. Exits 0 only if nothing was lost.
# Usage: tools/demo.sh BUILD_DIRECTORY
set -euo pipefail
build=$(realpath "${1:?usage: tools/demo.sh BUILD_DIRECTORY}")
cd "$(dirname "$0")/.."
exec python3 -B tools/demo.py "$build"
