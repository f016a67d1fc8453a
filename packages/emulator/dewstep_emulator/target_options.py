"""Options and faults of an emulated target."""

from typing import NamedTuple

from dewstep_emulator import faults


class TargetOptions(NamedTuple):
    """Options of an emulated target; times are in seconds."""

    name: str = "target"
    service: str = "history"
    slots: int = 4
    fenced: bool = True
    """Whether the target runs requests only under a valid grant."""
    echo: bool = False
    """Whether answers contain the request body."""
    service_time: float = 0.005
    """Mean service time."""
    distribution: str = "constant"
    """Name in `service_times.distributions`."""
    seed: int = 0
    cold_start: float = 0.0
    """Time after the start until service times are normal."""
    cold_factor: float = 5.0
    """Factor of the service time at the start."""
    load_lag: float = 1.0
    """Interval at which the reported load is updated."""


class TargetFaults(NamedTuple):
    """Faults of an emulated target."""

    shed: faults.Trigger = faults.Trigger()
    """Refuses requests although slots are free."""
    slow_factor: float = 1.0
    """Factor of all service times."""
    drain: bool = False
    """Refuses all new requests and reports the state "draining"."""
    load: faults.Load = faults.Load()
    answer_delay: faults.Delay = faults.Delay()
    answer_twice: faults.Trigger = faults.Trigger()
    answer_cut: faults.Trigger = faults.Trigger()
    """Closes the connection in the middle of the body."""
    answer_long: faults.Trigger = faults.Trigger()
    """Sends more bytes than the Content-Length."""
    crash: str = ""
    """Marker in a key or body that ends the process; none if empty."""
    refuse: bool = False
    """Refuses new connections."""
    cut: faults.Cut = faults.Cut()
