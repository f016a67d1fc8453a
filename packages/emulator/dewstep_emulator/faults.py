"""Fault injection in the emulated services.

The faults of an emulated service are a `NamedTuple`. A change is a JSON object with new
values for some of its fields; other fields stay as they are, and null turns a fault
off.
"""

import random
from collections.abc import Callable, Set as AbstractSet
from typing import Any, NamedTuple, TypeVar

from returns import result

from dewstep_core import errors, registry
from dewstep_core.http import exchanges

Faults = TypeVar("Faults", bound=NamedTuple)

CLOSE = "close"
HOLD = "hold"
TRIGGER_MEMBERS = frozenset({"count", "ratio", "seed"})
DELAY_MEMBERS = TRIGGER_MEMBERS | {"seconds", "key_prefix"}


class Trigger:
    """Decides for each operation whether a fault occurs.

    Parameters
    ----------
    count : int or None
        Number of times that the fault still occurs; None means no limit.
    ratio : float
        Probability that the fault occurs in an operation.
    seed : int
        Seed of the random decisions.
    """

    def __init__(self, count: int | None = None, ratio: float = 0.0, seed: int = 0):
        self.count = count
        self.ratio = ratio
        self.seed = seed
        self.random = random.Random(seed)

    def fires(self) -> bool:
        """Return whether the fault occurs now; if so, decrease the count."""
        if self.ratio <= 0 or self.count == 0:
            return False
        if self.ratio < 1 and self.random.random() >= self.ratio:
            return False
        if self.count is not None:
            self.count -= 1
        return True

    def describe(self) -> dict[str, Any]:
        """Return the JSON form with the remaining count."""
        return {"count": self.count, "ratio": self.ratio, "seed": self.seed}


class Cut(NamedTuple):
    """Callers that cannot reach the service."""

    entries: frozenset[str] = frozenset()
    data_centres: frozenset[str] = frozenset()
    mode: str = HOLD
    """"hold": a call waits until the cut ends or the caller closes the connection;
    "close": the connection is closed at once. A call that was cut has no effect."""

    def matches(self, exchange: exchanges.Exchange) -> bool:
        """Return whether the caller is cut off."""
        return (
            exchange.get_header("Dewstep-Entry") in self.entries
            or exchange.get_header("Dewstep-Data-Centre") in self.data_centres
        )

    def describe(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "entries": sorted(self.entries),
            "data_centres": sorted(self.data_centres),
            "mode": self.mode,
        }


class Delay(NamedTuple):
    """A delay and the trigger that decides when it applies."""

    seconds: float = 0.0
    trigger: Trigger = Trigger()
    key_prefix: str = ""
    """Only operations on keys with this prefix are delayed."""

    def get_seconds(self, key: str = "") -> float:
        """Return the delay of an operation on a key, 0 if there is none."""
        if self.seconds <= 0 or not key.startswith(self.key_prefix):
            return 0.0
        return self.seconds if self.trigger.fires() else 0.0

    def describe(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "seconds": self.seconds,
            "key_prefix": self.key_prefix,
            **self.trigger.describe(),
        }


class Load(NamedTuple):
    """A false report of a target's load endpoint."""

    state: str = ""
    """Reported state; if empty, the endpoint reports the real load."""
    load: float = 0.0

    def describe(self) -> dict[str, Any] | None:
        """Return the JSON form."""
        return self._asdict() if self.state else None


parsers: registry.Registry[Callable[[Any], Any]] = registry.Registry("fault type")
"""Parsers of the JSON form of a fault, by the name of its type. A malformed value
raises AttributeError, KeyError, TypeError or ValueError; the text of a ValueError
states the accepted form."""


@parsers.register("float")
def parse_number(form: Any) -> float:
    """Parse a number that is not negative."""
    if isinstance(form, bool) or not isinstance(form, int | float) or form < 0:
        raise ValueError("a non-negative number")
    return float(form)


@parsers.register("bool")
def parse_flag(form: Any) -> bool:
    """Parse a boolean."""
    if not isinstance(form, bool):
        raise ValueError("true or false")
    return form


@parsers.register("str")
def parse_text(form: Any) -> str:
    """Parse a string."""
    if not isinstance(form, str):
        raise ValueError("a string")
    return form


@parsers.register("Trigger")
def parse_trigger(form: Any) -> Trigger:
    """Parse a trigger: true, false, or an object with count, ratio and seed."""
    if isinstance(form, bool):
        return Trigger(ratio=float(form))
    count = form.get("count")
    ratio = parse_number(form.get("ratio", 1.0))
    check_members(form, TRIGGER_MEMBERS)
    return Trigger(None if count is None else int(count), ratio, form.get("seed", 0))


@parsers.register("Cut")
def parse_cut(form: Any) -> Cut:
    """Parse a cut: an object with entries, data_centres and mode."""
    check_members(form, set(Cut._fields))
    mode = form.get("mode", HOLD)
    if mode not in (HOLD, CLOSE):
        raise ValueError('mode "hold" or "close"')
    entries, data_centres = form.get("entries", ()), form.get("data_centres", ())
    if isinstance(entries, str) or isinstance(data_centres, str):
        raise ValueError("lists of names")
    return Cut(frozenset(entries), frozenset(data_centres), mode)


@parsers.register("Delay")
def parse_delay(form: Any) -> Delay:
    """Parse a delay: a number, or an object with its fields and a trigger's members."""
    if isinstance(form, dict):
        check_members(form, DELAY_MEMBERS)
        trigger = {name: form[name] for name in form if name in TRIGGER_MEMBERS}
        key_prefix = parse_text(form.get("key_prefix", ""))
        return Delay(parse_number(form["seconds"]), parse_trigger(trigger), key_prefix)
    return Delay(parse_number(form), Trigger(ratio=1.0))


@parsers.register("Load")
def parse_load(form: Any) -> Load:
    """Parse a false load report: an object with state and load."""
    check_members(form, set(Load._fields))
    return Load(parse_text(form["state"]), parse_number(form["load"]))


def check_members(form: dict, known: AbstractSet[str]) -> None:
    """Raise ValueError if `form` has members other than `known`."""
    if not set(form) <= known:
        raise ValueError("only the members " + ", ".join(sorted(known)))


def change_faults(
    faults: Faults, change: Any
) -> result.Result[Faults, errors.FieldWrong]:
    """Return `faults` with the values in the JSON object `change`."""
    if not isinstance(change, dict):
        return result.Failure(errors.FieldWrong("", "", "an object", repr(change)))
    changed = {}
    for name, form in change.items():
        if name not in faults._fields:
            known = ", ".join(faults._fields)
            return result.Failure(errors.FieldWrong("", name, known, repr(form)))
        default = faults._field_defaults[name]
        try:
            parse = parsers.get(type(default).__name__)
            changed[name] = default if form is None else parse(form)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            return result.Failure(errors.FieldWrong("", name, str(error), repr(form)))
    return result.Success(faults._replace(**changed))


def describe_faults(faults: NamedTuple) -> dict[str, Any]:
    """Return the JSON form of all faults."""
    return {
        name: value.describe() if hasattr(value, "describe") else value
        for name, value in faults._asdict().items()
    }
