"""Shows where a receiving process and a gate spend their processor time under load."""

import json
import pathlib
from collections.abc import Callable, Mapping

from dewstep_emulator import fleet as fleets
from dewstep_emulator.bench import overhead

ROLES = {"entry-1": "receiving", "entry-0": "gate"}
LINES = 40
SAMPLER = "dewstep_emulator.bench.sampler"


async def run(
    seed: int,
    folder: pathlib.Path,
    rate: float,
    seconds: float,
    say: Callable[[str], None],
) -> None:
    """Load two entry processes and print where their time goes."""
    comparison = overhead.Comparison(seed, folder, say)
    comparison.router.options = comparison.router.options._replace(
        entry_command=(SAMPLER, str(folder / "{name}.samples"))
    )
    try:
        await comparison.start()
        await comparison.start_load(rate, "profile")
        path = next(item for item in comparison.paths if item.name == overhead.ROUTER)
        await comparison.measure(path, seconds)
        await comparison.stop_load()
        span = comparison.spans[-1]
        say(f"{sum(cost.processor for cost in span.costs):.2f} s in {seconds:.0f} s")
        for entry in comparison.router.entries.values():
            await entry.process.terminate(fleets.STOP_SECONDS)
    finally:
        await comparison.kill()
    for name, role in ROLES.items():
        counts = json.loads((folder / f"{name}.samples").read_text())
        say(f"{role}: {counts['total']} samples")
        for kind in ("own", "inclusive"):
            say(f"  {kind}, %:")
            for line in list_top(counts[kind], counts["total"]):
                say(f"  {line}")


def list_top(counts: Mapping[str, int], total: int) -> list[str]:
    """Return the functions with the most samples, one line each."""
    ranked = sorted(counts.items(), key=lambda item: item[1], reverse=True)
    return [f"{100 * count / total:6.1f} {name}" for name, count in ranked[:LINES]]
