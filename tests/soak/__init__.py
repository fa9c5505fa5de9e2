"""Fault soak: real processes on loopback, with faults from outside, and checks.

`python -m tests.soak --seed N --seconds S` starts a fleet behind a proxy, emulates its
callers, workers, provider and operators, injects faults in rounds, and checks what
these parties see.  docs/design/10-soak.md explains it.
"""
