"""Profiles the processor time of a receiving entry process and a gate under load."""

import json
import pathlib
from collections.abc import Callable, Mapping

from dewstep_emulator import fleets
from dewstep_emulator.bench import overhead

ROLES = {"entry-1": "receiving", "entry-0": "gate"}
MAX_FUNCTIONS = 40
SAMPLER_MODULE = "dewstep_emulator.bench.sampler"


async def run(
    seed: int,
    folder: pathlib.Path,
    rate: float,
    seconds: float,
    print_line: Callable[[str], None],
) -> None:
    """Send load to two entry processes and print their most sampled functions."""
    comparison = overhead.Comparison(seed, folder, print_line)
    comparison.router.options = comparison.router.options._replace(
        entry_command=(SAMPLER_MODULE, str(folder / "{name}.samples"))
    )
    try:
        await comparison.start()
        await comparison.start_load(rate, "profile")
        path = next(item for item in comparison.paths if item.name == overhead.ROUTER)
        await comparison.measure_path(path, seconds)
        await comparison.stop_load()
        span = comparison.spans[-1]
        print_line(
            f"{sum(cost.processor for cost in span.costs):.2f} s of processor time "
            f"in {seconds:.0f} s"
        )
        for entry in comparison.router.entries.values():
            await entry.process.terminate(fleets.STOP_SECONDS)
    finally:
        await comparison.kill()
    for name, role in ROLES.items():
        counts = json.loads((folder / f"{name}.samples").read_text())
        print_line(f"{role}: {counts['total']} samples")
        for kind in ("own", "inclusive"):
            print_line(f"  {kind}, % of samples:")
            for line in format_top_functions(counts[kind], counts["total"]):
                print_line(f"  {line}")


def format_top_functions(counts: Mapping[str, int], total: int) -> list[str]:
    """Return one line for each of the functions with the most samples."""
    ranked = sorted(counts.items(), key=lambda item: item[1], reverse=True)
    return [
        f"{100 * count / total:6.1f} {name}" for name, count in ranked[:MAX_FUNCTIONS]
    ]
