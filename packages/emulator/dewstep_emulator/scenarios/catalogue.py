"""Registry of all scenarios; importing this module fills it."""

from dewstep_emulator.scenarios import (
    answer_faults,
    body_uploads,
    caller_faults,
    configurations,
    crashing_requests,
    departures,
    losses,
    moves,
    nonidempotent_requests,
    outages,
    pauses,
    scenario_runs,
    soak,
    unfenced,
)

__all__ = [
    "answer_faults", "body_uploads", "caller_faults", "configurations",
    "crashing_requests", "departures", "losses", "moves", "nonidempotent_requests",
    "outages", "pauses", "soak", "unfenced",
]  # fmt: skip

scenarios = scenario_runs.scenarios
