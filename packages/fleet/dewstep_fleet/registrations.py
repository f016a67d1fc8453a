"""The registered targets, as their rows describe them.

During a store outage, live targets lose their rows because their heartbeats fail. A
removal received within `REMOVAL_GRACE` of the store's recovery is therefore deferred,
and discarded if the target registers again.

A target announces that it is leaving in an answer or with its registration, whichever
comes first. It then counts as leaving until its incarnation ends; only what a
registration announced can be undone by a later one.
"""

import datetime
from collections.abc import Callable
from typing import Any, NamedTuple

from returns import result

from dewstep_core import clocks, errors, events, fields
from dewstep_fleet import model

REMOVAL_GRACE = datetime.timedelta(milliseconds=2300)
"""Live targets are registered again within about 2 s of the store's recovery."""
MAX_DEPARTURES = 4_096
"""Number of announced departures that are kept, many times those of a day."""
MAX_REFUSALS = 4_096
"""Number of refused rows whose reasons are kept."""
UNKNOWN_DEPARTURE_AGE = datetime.timedelta(hours=1)
"""Assumed time since the announcement of a target that was already leaving when it
became known. Any amount of it may have passed."""


class WarmUp(NamedTuple):
    """What the last registration of a target says of its warm-up."""

    life: int
    """Incarnation of the target."""
    time_left: datetime.timedelta
    received_at: datetime.timedelta


class Departure(NamedTuple):
    """A target's announcement that it is leaving."""

    life: int
    """Incarnation of the target."""
    noted_at: datetime.timedelta
    """When this instance learned of it."""
    era: int | None
    """Lowest version of the store's era in which the registration announced it; None
    if an answer did."""


def format_address(target: model.Target) -> str:
    """Return a target's address for log lines."""
    return f"{target.host}:{target.port}"


class Registrations:
    """The registered targets and what is known of their incarnations.

    Parameters
    ----------
    clock : clocks.Clock
    decode_target : callable
        Returns the target that a row's value describes, or a failure.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        decode_target: Callable[[str, bytes], result.Result[model.Target, Any]],
    ):
        self.clock = clock
        self.decode_target = decode_target
        self.targets: dict[str, model.Target] = {}
        self.targets_by_service: dict[str, tuple[model.Target, ...]] = {}
        self.names_by_address: dict[tuple[str, int], set[str]] = {}
        """Names of the registered targets at each address."""
        self.lives: dict[str, int] = {}
        """Last accepted incarnation of each target, also of removed ones."""
        self.refused_lives: dict[str, int] = {}
        """Incarnation of targets whose last row was refused because of it."""
        self.refusals: dict[tuple[str, str], str] = {}
        """Reason for which the last version of a row was refused, by table and key."""
        self.departures: dict[str, Departure] = {}
        """Last announcement of each target that has announced that it is leaving."""
        self.warm_ups: dict[str, WarmUp] = {}
        """Warm-up of each registered target."""
        self.store_recovered_at: datetime.timedelta | None = None
        """When the store recovered from its last outage or was restored."""
        self.deferred_removals: dict[
            str, tuple[model.StoredRow, datetime.timedelta]
        ] = {}
        """Deferred removals of targets, and until when each is deferred. A further
        outage does not extend this, since the target may be gone since the first
        one."""

    # Departures.

    def record_departure(
        self, name: str, life: int, age: datetime.timedelta = datetime.timedelta()
    ) -> bool:
        """Record that a target has announced in an answer that it is leaving.

        Its registration may not say so for a long time, or not at all. Returns false if
        another answer of this incarnation has said so.

        Parameters
        ----------
        name : str
        life : int
        age : datetime.timedelta, optional
            Time since the announcement.
        """
        known = self.departures.get(name)
        noted_at = self.clock.monotonic() - age
        if known is not None and known.life >= life:
            if known.life > life or known.era is None:
                return False
            noted_at = min(noted_at, known.noted_at)
        self._add_departure(name, Departure(life, noted_at, None))
        events.info("target_departing", target=name, life=life)
        return True

    def list_announced(self) -> tuple[tuple[str, int], ...]:
        """Return the registered targets that an answer has said to be leaving.

        Returns
        -------
        tuple of tuple
            Name and incarnation of each target.
        """
        return tuple(
            (name, departure.life)
            for name, departure in self.departures.items()
            if departure.era is None and name in self.targets
        )

    def _add_departure(self, name: str, departure: Departure) -> None:
        if name not in self.departures:
            while len(self.departures) >= MAX_DEPARTURES:
                del self.departures[next(iter(self.departures))]
        self.departures[name] = departure

    def _apply_departure(
        self, target: model.Target, known: model.Target | None, version: int
    ) -> model.Target:
        """Note what a registration says of a departure; return the target as it is.

        A registration ends the departure that an earlier one has announced, unless the
        store was restored since, as its copy may be older than the announcement.
        """
        departure = self.departures.get(target.name)
        era = model.get_era_floor(version)
        if departure is None or departure.life != target.life:
            if target.leaving:
                noted_at = self.clock.monotonic()
                if known is None or known.life != target.life:
                    noted_at -= UNKNOWN_DEPARTURE_AGE
                self._add_departure(target.name, Departure(target.life, noted_at, era))
            return target
        if target.leaving or departure.era != era:
            return target._replace(leaving=True)
        del self.departures[target.name]
        return target

    def mark_leaving(self, name: str, life: int) -> bool:
        """Mark an incarnation as leaving; return false if it is not registered."""
        target = self.targets.get(name)
        if target is None or target.life != life:
            return False
        self.targets[name] = target._replace(leaving=True)
        self.group()
        return True

    def get_time_since_departure(
        self, target: model.Target
    ) -> datetime.timedelta | None:
        """Return the time since a target announced that it is leaving, or None.

        Counted from when this instance learned of it, or `UNKNOWN_DEPARTURE_AGE` before
        if the target was already leaving.
        """
        departure = self.departures.get(target.name)
        if departure is None or departure.life != target.life:
            return None
        return self.clock.monotonic() - departure.noted_at

    # Removals after an outage.

    def record_store_recovery(self) -> None:
        """Record that the store has recovered now: removals are deferred for a time."""
        self.store_recovered_at = self.clock.monotonic()

    def defer_removal(self, row: model.StoredRow) -> bool:
        """Defer the removal of a live target; return false if none is due."""
        if row.value is not None:
            self.deferred_removals.pop(row.key, None)
            return False
        known = self.targets.get(row.key)
        if known is None or known.leaving or self.store_recovered_at is None:
            return False
        until = self.store_recovered_at + REMOVAL_GRACE
        if row.key in self.deferred_removals:
            until = self.deferred_removals[row.key][1]
        if until <= self.clock.monotonic():
            self.deferred_removals.pop(row.key, None)
            return False
        self.deferred_removals[row.key] = row, until
        return True

    def take_due_removals(self) -> list[model.StoredRow]:
        """Return the deferred removals that are due, and defer them no longer."""
        now = self.clock.monotonic()
        due = [row for row, until in self.deferred_removals.values() if until <= now]
        for row in due:
            del self.deferred_removals[row.key]
        return due

    # Rows.

    def apply_row(self, row: model.StoredRow) -> None:
        """Apply a row of the table of targets; `group` has to follow."""
        decoded = None
        if row.value is not None:
            decoded = self.decode_target(row.key, row.value).bind(self._check_life)
        if isinstance(decoded, result.Success):
            self.refusals.pop((row.table, row.key), None)
            known = self.targets.get(row.key)
            registered = self._take_warm_up(decoded.unwrap())
            target = self._apply_departure(registered, known, row.version)
            self.targets[row.key] = target
            if known != target:
                events.info(
                    "target",
                    target=target.name,
                    service=target.service,
                    leaving=target.leaving,
                    life=target.life,
                    address=format_address(target),
                    row=row.version,
                )
                self._record_registration(row, known, target)
        else:
            if decoded is None:
                self.refusals.pop((row.table, row.key), None)
            else:
                self._log_refused_target(row, decoded.failure())
            known = self.targets.pop(row.key, None)
            self.warm_ups.pop(row.key, None)
            if known is not None:
                self._forget_address(row.key, known)
                events.info(
                    "target_gone",
                    target=row.key,
                    life=known.life,
                    address=format_address(known),
                    row=row.version,
                )

    def _take_warm_up(self, target: model.Target) -> model.Target:
        """Record the time left of a warm-up; return the target without it.

        Each registration has another time, which is no change of the target.
        """
        self.warm_ups[target.name] = WarmUp(
            target.life, target.warm_up_left, self.clock.monotonic()
        )
        return target._replace(warm_up_left=datetime.timedelta())

    def log_refused_key(self, row: model.StoredRow) -> None:
        """Log a row whose key cannot be sent to other instances, once."""
        key = fields.quote(row.key)
        if (row.table, key) not in self.refusals and self._has_space_for_refusal():
            self.refusals[row.table, key] = "key"
            events.warning("row_ignored", table=row.table, key=key, row=row.version)

    def _log_refused_target(self, row: model.StoredRow, failure: Any) -> None:
        """Log a refused registration, once for each reason.

        Its writer may write the row again several times a second.
        """
        reason = str(failure)
        if self.refusals.get((row.table, row.key)) == reason:
            return
        if self._has_space_for_refusal():
            self.refusals[row.table, row.key] = reason
        events.warning("target_refused", target=row.key, failure=failure)

    def _has_space_for_refusal(self) -> bool:
        return len(self.refusals) < MAX_REFUSALS

    def group(self) -> None:
        """Group the targets by service after changes."""
        groups: dict[str, list[model.Target]] = {}
        for target in self.targets.values():
            groups.setdefault(target.service, []).append(target)
        self.targets_by_service = {name: tuple(group) for name, group in groups.items()}

    def _record_registration(
        self, row: model.StoredRow, known: model.Target | None, target: model.Target
    ) -> None:
        """Log a new incarnation, and an address that another target has, too."""
        if known is not None and known.life != target.life:
            events.info(
                "target_incarnation_changed",
                target=row.key,
                previous_life=known.life,
                life=target.life,
                previous_address=format_address(known),
                address=format_address(target),
                row=row.version,
            )
        if known is not None:
            self._forget_address(row.key, known)
        names = self.names_by_address.setdefault((target.host, target.port), set())
        address = format_address(target)
        is_new = (
            known is None
            or known.life != target.life
            or format_address(known) != address
        )
        if names and is_new:
            events.warning(
                "target_address_shared",
                target=row.key,
                life=target.life,
                address=address,
                others=[f"{name}/{self.targets[name].life}" for name in sorted(names)],
                row=row.version,
            )
        names.add(row.key)

    def _forget_address(self, name: str, target: model.Target) -> None:
        address = target.host, target.port
        names = self.names_by_address.get(address, set())
        names.discard(name)
        if not names:
            self.names_by_address.pop(address, None)

    def _check_life(
        self, target: model.Target
    ) -> result.Result[model.Target, errors.RowInvalid]:
        """Refuse a target whose start time is missing or earlier than the known one.

        Other clients may write such rows, and the target's grants would be forgotten.
        An earlier start time is accepted if the next version of the row has it as well,
        since a target's clock may be set back before it restarts.
        """
        known = self.lives.get(target.name, 0)
        confirmed = self.refused_lives.pop(target.name, 0) == target.life > 0
        if target.life < known and not confirmed:
            self.refused_lives[target.name] = target.life
            detail = f"start time {target.life} after {known}"
            return result.Failure(errors.RowInvalid(target.name, detail))
        self.lives[target.name] = target.life
        return result.Success(target)
