"""Dependencies of the gates on other parts of the entry process."""

from collections.abc import Callable
from typing import NamedTuple

from dewstep_core import data
from dewstep_entry import interfaces
from dewstep_entry.gate import handover, moves, observation, sending, slots


class Dependencies(NamedTuple):
    """Constructors and callables that the manager gets from other parts."""

    make_channel: Callable[[data.Target], interfaces.TargetChannel]
    make_admission: Callable[[data.Target], slots.Admission]
    get_budget: Callable[[data.Target], sending.RetryBudget]
    plan_evacuation: moves.PlanEvacuation
    send_handover: handover.SendHandover
    observer: observation.Observer = observation.NullObserver()
