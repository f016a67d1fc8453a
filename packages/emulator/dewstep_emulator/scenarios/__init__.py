"""Named faults under load, for proofs by history checking.

`python -m dewstep_emulator.scenarios NAME --seed N` runs one. A scenario is a script
of faults that runs while callers send requests; each module here holds those of one
subject. All choices come from the seed; what remains different from run to run is the
timing of processes.
"""
