"""All scenarios: importing this module registers them."""

from dewstep_emulator.scenarios import (
    answers,
    bodies,
    callers,
    configurations,
    crashes,
    departures,
    losses,
    moves,
    once,
    outages,
    pauses,
    soak,
    staging,
    unfenced,
)

__all__ = [
    "answers", "bodies", "callers", "configurations", "crashes", "departures",
    "losses", "moves", "once", "outages", "pauses", "soak", "unfenced",
]  # fmt: skip

scenarios = staging.scenarios
