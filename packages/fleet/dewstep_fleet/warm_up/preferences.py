"""Which targets unkeyed requests should go to while some targets are cold.

A cold target for which this instance has a permit comes first, or the permit would
expire while the target stays idle. Warm targets with a free slot come next, and only
then cold ones whose permit a request has to wait for.
"""

from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from dewstep_fleet import model, request_limits, selection


class Preference(NamedTuple):
    """The cold targets of a service."""

    permitted: tuple[model.Target, ...]
    """Those for which there is a permit."""
    waiting: frozenset[str]
    """Names of the others."""


NONE = Preference((), frozenset())


def find_preference(
    limits: request_limits.RequestLimits,
    targets: Collection[model.Target],
    data_centre: str,
    members: Iterable[model.Member],
) -> Preference:
    """Return the cold targets of a service, and ask for permits that are missing.

    Instances ask for permits of targets in their own data centre, and of those in data
    centres without instances.
    """
    if not limits.warm_up.states:
        return NONE
    cold = [target for target in targets if limits.warm_up.find(target.name)]
    if not cold:
        return NONE
    with_instances = {member.data_centre for member in members} - {data_centre}
    near = [target for target in cold if target.data_centre not in with_instances]
    limits.request_permits(near)
    permitted = tuple(target for target in cold if limits.has_cold_permit(target.name))
    names = frozenset(target.name for target in permitted)
    return Preference(permitted, frozenset(item.name for item in cold) - names)


def choose(
    choose_target: Callable[..., selection.Choice | None],
    targets: Iterable[model.Target],
    excluded: frozenset[str],
    preference: Preference,
) -> selection.Choice | None:
    """Return the choice of a target, or None if there is none.

    Parameters
    ----------
    choose_target : callable
        Returns the choice among targets; takes the names of excluded ones.
    targets : iterable of model.Target
    excluded : frozenset of str
    preference : Preference
    """
    if preference.permitted:
        choice = choose_target(preference.permitted, excluded=excluded)
        if choice is not None and is_free(choice):
            return choice
    choice = choose_target(targets, excluded=excluded | preference.waiting)
    if preference.waiting and (choice is None or not is_free(choice)):
        return choose_target(targets, excluded=excluded)
    return choice


def is_free(choice: selection.Choice) -> bool:
    """Whether the chosen target has a free slot, as far as is known."""
    estimate = choice.estimate
    return estimate.running < choice.target.slots and not estimate.blocked
