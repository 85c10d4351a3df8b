#!/usr/bin/env bash
# Runs the benchmarks on loopback and writes BUILD_DIRECTORY/bench/results.json; see tools/bench.py.
# Usage: tools/bench.sh BUILD_DIRECTORY [MEASUREMENT...]
set -euo pipefail
build=$(realpath "${1:?usage: tools/bench.sh BUILD_DIRECTORY [MEASUREMENT...]}")
cd "$(dirname "$0")/.."
exec python3 -B tools/bench.py "$build" "${@:2}"
