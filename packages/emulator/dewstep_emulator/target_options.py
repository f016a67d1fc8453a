"""How the stand-in of a target behaves: its options and its faults."""

from typing import NamedTuple

from dewstep_emulator import faults


class TargetOptions(NamedTuple):
    """How a target behaves; times in seconds."""

    name: str = "target"
    service: str = "history"
    slots: int = 4
    fenced: bool = True
    echo: bool = False
    service_time: float = 0.005
    distribution: str = "constant"
    seed: int = 0
    cold_start: float = 0.0
    cold_factor: float = 5.0
    load_lag: float = 1.0


class TargetFaults(NamedTuple):
    """Faults of a target."""

    shed: faults.Trigger = faults.Trigger()
    slow_factor: float = 1.0
    drain: bool = False
    load: faults.Load = faults.Load()
    answer_delay: faults.Delay = faults.Delay()
    answer_twice: faults.Trigger = faults.Trigger()
    answer_cut: faults.Trigger = faults.Trigger()
    answer_long: faults.Trigger = faults.Trigger()
    crash: str = ""
    refuse: bool = False
    cut: faults.Cut = faults.Cut()
