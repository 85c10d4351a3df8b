#!/usr/bin/env bash
# Runs the soak with the seeds of soak/regressions.txt and one fixed seed, each for a short time.
# Usage: tools/soak-short.sh BUILD_DIRECTORY
set -euo pipefail
build=${1:?usage: tools/soak-short.sh BUILD_DIRECTORY}
cd "$(dirname "$0")/.."
fixed_seed="20 0.3 6"
{ echo "$fixed_seed"; grep -v '^#' soak/regressions.txt; } | while read -r seed minutes nodes _; do
    /usr/bin/python3 -m soak --build "$build" --seed "$seed" --minutes "$minutes" --nodes "$nodes"
done
