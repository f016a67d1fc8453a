"""Runs an entry process and samples its stack every millisecond of processor time.

Usage: ``python -m dewstep_emulator.bench.sampler OUTPUT --settings=FILE``.

Unlike a tracing profiler, it adds no overhead to short calls. A sample is taken at the
next bytecode, so time in C code is attributed to the calling Python function.
"""

import collections
import json
import pathlib
import runpy
import signal
import sys

INTERVAL_SECONDS = 0.001
"""Of processor time."""
ENTRY_MODULE = "dewstep_entry.main"


class Sampler:
    """Counts samples by innermost function and by any function on the stack."""

    def __init__(self):
        self.total = 0
        self.own: collections.Counter[str] = collections.Counter()
        self.inclusive: collections.Counter[str] = collections.Counter()

    def record_sample(self, number, frame) -> None:
        """Count one sample; used as the SIGPROF handler."""
        self.total += 1
        names = []
        while frame is not None:
            code = frame.f_code
            file_name = "/".join(pathlib.PurePath(code.co_filename).parts[-2:])
            names.append(f"{file_name}:{code.co_name}")
            frame = frame.f_back
        self.own[names[0]] += 1
        self.inclusive.update(set(names))

    def build_counts(self) -> dict:
        """Return the counts as a JSON value."""
        return {
            "total": self.total,
            "own": dict(self.own),
            "inclusive": dict(self.inclusive),
        }


def main() -> None:
    """Run the entry process and write the counts when it ends."""
    output = pathlib.Path(sys.argv[1])
    sys.argv = [ENTRY_MODULE, *sys.argv[2:]]
    sampler = Sampler()
    signal.signal(signal.SIGPROF, sampler.record_sample)
    signal.setitimer(signal.ITIMER_PROF, INTERVAL_SECONDS, INTERVAL_SECONDS)
    try:
        runpy.run_module(ENTRY_MODULE, run_name="__main__")
    finally:
        signal.setitimer(signal.ITIMER_PROF, 0)
        output.write_text(json.dumps(sampler.build_counts()))


if __name__ == "__main__":
    main()
