"""Randomized soak test of skylark-node: real processes on loopback, injected faults, invariants checked throughout.

`python3 -m soak --seed 7 --minutes 1` from the root of the repository; see docs/soak.md.
"""
