"""Fault scenarios that run real processes under load and check the request history.

`python -m dewstep_emulator.scenarios NAME --seed N` runs one scenario. A scenario is a
script that injects faults while callers send requests; each module holds the scenarios
of one subject. All random choices derive from the seed; only the timing of processes
differs between runs.
"""
