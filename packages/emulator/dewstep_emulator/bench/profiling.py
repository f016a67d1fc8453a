"""Profiles the receiving process and the gate under load, with cProfile.

The profiler makes each call slower, short ones the most, so its times rank functions
and are no measure of cost.
"""

import io
import pathlib
import pstats
from collections.abc import Callable

from dewstep_emulator import fleet as fleets
from dewstep_emulator.bench import overhead

ROLES = {"entry-1": "receiving", "entry-0": "gate"}
LINES = 45


async def run(
    seed: int,
    folder: pathlib.Path,
    rate: float,
    seconds: float,
    say: Callable[[str], None],
) -> None:
    """Load two entry processes and print where their time goes."""
    comparison = overhead.Comparison(seed, folder, say)
    output = str(folder / "{name}.profile")
    comparison.router.options = comparison.router.options._replace(
        entry_command=("cProfile", "-o", output, "-m", "dewstep_entry.main")
    )
    try:
        await comparison.start()
        await comparison.start_load(rate, "profile")
        path = next(item for item in comparison.paths if item.name == overhead.ROUTER)
        await comparison.measure(path, seconds)
        results = await comparison.stop_load()
        for entry in comparison.router.entries.values():
            await entry.process.terminate(fleets.STOP_SECONDS)
    finally:
        await comparison.kill()
    requests = len(results[overhead.ROUTER].records)
    for name, role in ROLES.items():
        say(f"{role}: {requests} requests")
        text = io.StringIO()
        statistics = pstats.Stats(str(folder / f"{name}.profile"), stream=text)
        statistics.strip_dirs().sort_stats("tottime").print_stats(LINES)
        say(text.getvalue())
