#!/usr/bin/env bash
# Checks the format of every C++ source file and lints the sources outside tests/ and fuzz/ with clang-tidy.
# Usage: tools/check-style.sh BUILD_DIRECTORY
set -euo pipefail
build=${1:?usage: tools/check-style.sh BUILD_DIRECTORY}
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | xargs -r clang-format --dry-run --Werror

# Caches clean results under a hash of the source file, the project headers it includes and the lint settings, so that
# unchanged files are not linted again.
cache="$build/lint-cache"
mkdir -p "$cache"
export build cache
lint_file() {
    local key
    key=$(g++ -std=c++20 -Isrc -I. -MM "$1" 2>/dev/null | tr ' \\' '\n\n' | grep -E '^(src|platform)/' | sort -u |
        xargs sha256sum .clang-tidy | sha256sum | cut -d' ' -f1)
    [ -e "$cache/$key" ] && return 0
    if ! clang-tidy --quiet -p "$build" "$1" 2>/dev/null; then
        echo "clang-tidy failed for $1" >&2
        return 1
    fi
    touch "$cache/$key"
}
export -f lint_file
git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp' | { grep -v -E '/(tests|fuzz)/' || true; } |
    xargs -r -P "$(nproc)" -I{} bash -c 'lint_file "{}"'
echo "style: format and lint are clean"
