"""What the gates need from the rest of the entry process."""

from collections.abc import Callable
from typing import NamedTuple

from dewstep_core import data
from dewstep_entry import interfaces
from dewstep_entry.gate import handover, moves, observation, sending, slots


class Wiring(NamedTuple):
    """What the manager needs from the rest of the process."""

    make_channel: Callable[[data.Target], interfaces.TargetChannel]
    make_admission: Callable[[data.Target], slots.Admission]
    get_budget: Callable[[data.Target], sending.RetryBudget]
    plan_evacuation: moves.PlanEvacuation
    send_handover: handover.SendHandover
    observer: observation.Observer = observation.NullObserver()
