#!/usr/bin/env bash
# Prepares the stand-ins of the scripts in review/. They are Python files that need only the standard library: this
# checks that they compile. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py [0-9]/*.py; do
    /usr/bin/python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
