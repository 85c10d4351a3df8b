#!/bin/sh
# The stand-ins of review/11 to review/14 are in Python (review/lib3) and need no build: checks that they can start.
cd "$(dirname "$0")/.." && /usr/bin/python3 -c 'import sys; sys.dont_write_bytecode = True
assert sys.version_info >= (3, 11), "the cases need Python 3.11 or later"
sys.path.insert(0, "review/lib3")
import harness'
