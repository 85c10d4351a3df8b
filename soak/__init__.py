"""Randomised soak of skylark-node: real processes on loopback, faults from outside, promises checked while it runs.

`python3 -m soak --seed 7 --minutes 1` from the root of the repository; see docs/soak.md.
"""
