"""Measures the costs of the policies' decisions at several fleet sizes, without I/O.

    python -m dewstep_emulator.simulate --seed 1 --json build/capacity.json

A size is a service with its targets, shards and keys. For each decision, the report
contains its processor time, the memory of its state and the bytes stored or sent.
"""

import json
import pathlib
import platform

import typer

from dewstep_emulator import costs

KEYS_PER_TARGET = 600_000
"""960 million keys at 1,600 targets."""

# The number of shards grows with the number of targets: a plan balances the load to
# about the load of one shard, so that a target needs about forty of them.
SIZES = (
    costs.Size("today", 20, 4, 1_024, 10),
    costs.Size("tenfold", 200, 4, 8_192, 60),
    costs.Size("two years", 1_600, 4, 65_536, 480),
)


def format_cost(cost: costs.Cost) -> str:
    """Return a line of the printed table."""
    numbers = "".join(
        f"{'-' if value is None else value:>12}"
        for value in (round(cost.microseconds, 2), cost.state_bytes, cost.shared_bytes)
    )
    rest = " ".join(f"{name}={value}" for name, value in cost.result.items())
    return f"{cost.size:<10} {cost.decision:<36}{numbers} {rest}".rstrip()


def main(seed: int = 1, json_file: str = typer.Option("", "--json")) -> None:
    """Print microseconds and bytes of each decision at several sizes."""
    print(f"{'size':<10} {'decision':<36}{'µs':>12}{'state B':>12}{'shared B':>12}")
    measured: list[costs.Cost] = []
    for size in SIZES:
        for cost in costs.measure_size(size, seed):
            print(format_cost(cost), flush=True)
            measured.append(cost)
    if json_file:
        report = {
            "seed": seed,
            "python": platform.python_version(),
            "sizes": [
                {**size._asdict(), "keys": size.targets * KEYS_PER_TARGET}
                for size in SIZES
            ],
            "costs": [cost._asdict() for cost in measured],
        }
        pathlib.Path(json_file).write_text(json.dumps(report, indent=1))


if __name__ == "__main__":
    typer.run(main)
