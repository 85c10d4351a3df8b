#!/usr/bin/env bash
# Publishes the output of `skylarkctl bundle`: the sections first and the manifest last, so that a reader of the
# manifest finds all sections that it lists.
# Usage: tools/publish.sh DIR PLATFORM (host:port)
set -euo pipefail
directory=${1:?usage: tools/publish.sh DIR PLATFORM}
platform=${2:?usage: tools/publish.sh DIR PLATFORM}
put() {
    curl --silent --show-error --fail --max-time 10 --output /dev/null --upload-file "$1" "http://$platform/publish/$2"
}
cd "$directory"
[ -f manifest.json ] || { echo "publish: $directory has no manifest.json; run skylarkctl bundle" >&2; exit 1; }
find sections -type f | sort | while read -r file; do
    put "$file" "skylarkbay/$file"
done
echo "manifest sent at $(date +%s.%N)"
put manifest.json skylarkbay/manifest
