"""Runs an entry process and samples its stack after each millisecond of processor time.

Usage: ``python -m dewstep_emulator.bench.sampler OUTPUT --settings=FILE``.

Unlike a tracing profiler it does not make short calls look expensive. A sample is
taken at the next bytecode, so time in C counts for the Python function that called it.
"""

import collections
import json
import pathlib
import runpy
import signal
import sys

INTERVAL = 0.001
"""Seconds of processor time."""
PROGRAM = "dewstep_entry.main"


class Sampler:
    """Counts functions on the stack: as the innermost, and anywhere."""

    def __init__(self):
        self.total = 0
        self.own: collections.Counter[str] = collections.Counter()
        self.inclusive: collections.Counter[str] = collections.Counter()

    def take(self, number, frame) -> None:
        """Count one sample; the handler of SIGPROF."""
        self.total += 1
        names = []
        while frame is not None:
            code = frame.f_code
            place = "/".join(pathlib.PurePath(code.co_filename).parts[-2:])
            names.append(f"{place}:{code.co_name}")
            frame = frame.f_back
        self.own[names[0]] += 1
        self.inclusive.update(set(names))

    def describe(self) -> dict:
        """Return the counts."""
        return {
            "total": self.total,
            "own": dict(self.own),
            "inclusive": dict(self.inclusive),
        }


def main() -> None:
    """Run the entry process and write the counts when it ends."""
    output = pathlib.Path(sys.argv[1])
    sys.argv = [PROGRAM, *sys.argv[2:]]
    sampler = Sampler()
    signal.signal(signal.SIGPROF, sampler.take)
    signal.setitimer(signal.ITIMER_PROF, INTERVAL, INTERVAL)
    try:
        runpy.run_module(PROGRAM, run_name="__main__")
    finally:
        signal.setitimer(signal.ITIMER_PROF, 0)
        output.write_text(json.dumps(sampler.describe()))


if __name__ == "__main__":
    main()
