"""The cold targets that one instance knows of."""

import datetime
from collections.abc import Iterable
from typing import Any

from dewstep_core import clocks, events
from dewstep_fleet import directories, frames, model
from dewstep_fleet.warm_up import allowances, states

FORGOTTEN_PERIOD = datetime.timedelta(seconds=30)
"""Time for which a target without a registration may still count as cold."""
REPORTER_PERIOD = datetime.timedelta(seconds=2)
"""Time for which a report of failures supports those of another instance."""
MIN_TARGETS = 4
"""Number of targets from which on an instance that reaches few of them is doubted."""
MILLISECOND = datetime.timedelta(milliseconds=1)


class WarmUp:
    """The states of all targets; nothing is cold without `bounds`.

    Parameters
    ----------
    clock : clocks.Clock
    directory : directories.Directory or None, optional
    bounds : model.WarmUpBounds or None, optional
        What the platform allows cold targets to receive.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        directory: directories.Directory | None = None,
        bounds: model.WarmUpBounds | None = None,
    ):
        self.clock = clock
        self.directory = directory
        self.bounds = bounds
        self.states: dict[str, states.ColdState] = {}
        """State of each target that is cold or was so a short time ago."""
        self.services: dict[str, str] = {}
        """Service of each target with a state."""
        self.proven: dict[str, datetime.timedelta] = {}
        """Last time of which it is known that a target has not restarted before it,
        although it reset a connection."""
        self.reporters: dict[str, datetime.timedelta] = {}
        """When each member has last reported failures of most targets."""
        if directory is not None:
            directory.listeners.append(self.apply_rows)
            directory.evacuations.listeners.append(self.apply_evacuation_end)

    # Services.

    def set_bounds(self, bounds: model.WarmUpBounds | None) -> None:
        """Set what the platform allows cold targets to receive."""
        if bounds == self.bounds:
            return
        self.bounds = bounds
        if self.directory is not None:
            rows = self.directory.list_table(model.TABLES.targets)
            self.apply_rows(rows)

    def find_service(self, name: str) -> model.Service | None:
        """Return a service with a limit for cold targets, or None."""
        if self.bounds is None or self.directory is None:
            return None
        table = self.directory.routes
        service = table.services.get(name) if table is not None else None
        if service is None or not service.warm_up_rate:
            return None
        return service

    # Queries.

    def find(self, target: str) -> states.ColdState | None:
        """Return the state of a target, or None if it is warm."""
        state = self.states.get(target)
        if state is None or self.find_service(self.services[target]) is None:
            return None
        if state.is_over(self.clock.monotonic()):
            self._set(target, self.services[target], None, "end")
            return None
        return state

    def find_allowance(self, target: str) -> allowances.Allowance | None:
        """Return what a target may get, or None if it is warm."""
        if not self.states or self.find(target) is None:
            return None
        service = self.find_service(self.services[target])
        return allowances.compute_allowance(service.warm_up_rate, self.bounds)

    def list_cold(self) -> dict[str, states.ColdState]:
        """Return the states of all cold targets."""
        found = {name: self.find(name) for name in list(self.states)}
        return {name: state for name, state in found.items() if state is not None}

    def list_restarted(self) -> dict[str, float]:
        """Return the requests/s of the targets that are certainly cold.

        A target that has only reset a connection keeps its keys.
        """
        return {
            name: self.find_allowance(name).rate
            for name, state in self.list_cold().items()
            if state.source != states.FAILURE
        }

    def describe(self) -> dict[str, dict[str, Any]]:
        """Return the states of all cold targets for the dump; times in seconds."""
        now = self.clock.monotonic()
        return {
            name: {
                "life": state.life,
                "limit": self.find_allowance(name).rate,
                "since": (now - state.since).total_seconds(),
                "left": state.until and (state.until - now).total_seconds(),
                "source": state.source,
            }
            for name, state in self.list_cold().items()
        }

    # Observations.

    def apply_rows(self, changed_rows: list[model.StoredRow]) -> None:
        """Apply registrations, and all of them again after a new configuration."""
        if self.bounds is None:
            return
        names = {row.key for row in changed_rows if row.table == model.TABLES.targets}
        if any(row.table == model.TABLES.configuration for row in changed_rows):
            names.update(self.directory.targets)
        for name in sorted(names):
            target = self.directory.targets.get(name)
            if target is None or self.find_service(target.service) is None:
                continue
            known = self.find(target.name)
            described = self.directory.registrations.warm_ups[target.name]
            state = states.apply_registration(known, described)
            self._set(target.name, target.service, state, states.REGISTRATION)

    def record_failure(self, target: model.Target, shared: bool) -> None:
        """Record that a target has refused a connection or reset a new one.

        Parameters
        ----------
        target : model.Target
        shared : bool
            Whether it was refused, so that nobody listens there. A target that has too
            many connections resets new ones.
        """
        if self.find_service(target.service) is None or self._is_replaced(
            target.name, target.life
        ):
            return
        now = self.clock.monotonic()
        known = self.find(target.name)
        state = states.apply_failure(known, target.life, shared, now)
        self._set(target.name, target.service, state, states.FAILURE)

    def record_answer(
        self,
        target: model.Target,
        opened_at: datetime.timedelta,
        sent_at: datetime.timedelta,
    ) -> None:
        """Record an answer to a request; see `states.apply_answer`."""
        known = self.find(target.name) if self.states else None
        if known is None:
            return
        now = self.clock.monotonic()
        service = self.find_service(self.services[target.name])
        state = states.apply_answer(
            known,
            self._find_registration(target.name),
            opened_at,
            sent_at,
            service.warm_up_time,
            now,
        )
        if known.source == states.FAILURE and (
            state is None or state.source != states.FAILURE
        ):
            self.proven[target.name] = max(sent_at, now - states.IN_FLIGHT_TIME)
        if state != known:
            self._set(target.name, service.name, state, "connection")

    def record_notice(self, target: model.Target, time_left: datetime.timedelta):
        """Record that an answer has named the time left of a warm-up."""
        if self.find_service(target.service) is None:
            return
        known = self.find(target.name)
        now = self.clock.monotonic()
        state = states.apply_notice(known, target.life, time_left, now)
        self._set(target.name, target.service, state, states.ANSWER)

    def apply_evacuation_end(
        self, data_centre: str, ended_at: datetime.timedelta, version: int
    ) -> None:
        """Treat the targets of a data centre as cold whose evacuation has ended.

        They may have become cold before the end, while nothing was sent to them.
        """
        for target in self.directory.targets.values():
            if target.data_centre == data_centre:
                self.assume_cold(target, ended_at)

    def assume_cold(self, target: model.Target, since: datetime.timedelta) -> None:
        """Treat a target as cold for the warm-up time of its service from `since` on.

        A registration that is newer and says that the target is warm ends this.
        """
        service = self.find_service(target.service)
        if service is None:
            return
        state = states.assume(
            self.find(target.name),
            self._find_registration(target.name),
            target.life,
            since,
            service.warm_up_time,
        )
        self._set(target.name, target.service, state, states.ASSUMED)

    def tick(self) -> None:
        """End the states that are over, and forget targets that are gone."""
        if not (self.states or self.services or self.proven or self.reporters):
            return
        now = self.clock.monotonic()
        for name, state in list(self.states.items()):
            if self.find(name) is None:
                self.states.pop(name, None)
            elif (
                name not in self.directory.targets
                and now - state.since > FORGOTTEN_PERIOD
            ):
                self._set(name, self.services[name], None, "forgotten")
        for times in (self.proven, self.reporters):
            for name, at in list(times.items()):
                if now - at > FORGOTTEN_PERIOD:
                    del times[name]
        for name in self.services.keys() - self.states.keys():
            del self.services[name]

    def _is_replaced(self, name: str, life: int) -> bool:
        """Whether another incarnation has registered, whose rows say what it needs."""
        registered = self.directory.targets.get(name)
        return registered is not None and registered.life != life

    def _find_registration(self, name: str):
        return self.directory.registrations.warm_ups.get(name)

    def _set(
        self, name: str, service: str, state: states.ColdState | None, source: str
    ) -> None:
        """Keep the state of a target, and log when it becomes cold or warm."""
        now = self.clock.monotonic()
        if state is not None and state.is_over(now):
            state = None
        known = self.states.get(name)
        if state is None:
            self.states.pop(name, None)
            if known is not None:
                events.info("target_warm", target=name, life=known.life, source=source)
            return
        self.states[name] = state
        self.services[name] = service
        if known is None:
            events.info(
                "target_cold",
                target=name,
                life=state.life,
                limit=self.find_allowance(name).rate,
                left=None if state.until is None else state.until - now,
                source=source,
            )

    # Messages.

    def list_own(self) -> tuple[frames.Cold, ...]:
        """Return what this instance has observed and others should know."""
        return self._describe(
            {
                name: state
                for name, state in self.list_cold().items()
                if state.first_hand and state.shared
            }
        )

    def list_all(self) -> tuple[frames.Cold, ...]:
        """Return the last observations of all instances."""
        return self._describe(
            {name: item for name, item in self.list_cold().items() if item.shared}
        )

    def _describe(self, found: dict[str, states.ColdState]) -> tuple[frames.Cold, ...]:
        now = self.clock.monotonic()
        return tuple(
            frames.Cold(
                name,
                state.life,
                frames.to_milliseconds(now - state.since),
                0 if state.until is None else frames.round_up(state.until - now),
                state.until is None,
                state.source == states.FAILURE,
            )
            for name, state in found.items()
        )

    def _is_supported(self) -> bool:
        """Whether members of several data centres report failures of most targets."""
        oldest = self.clock.monotonic() - REPORTER_PERIOD
        nodes = [name for name, at in self.reporters.items() if at >= oldest]
        members = self.directory.members
        places = {members[node].data_centre for node in nodes if node in members}
        data_centres = {member.data_centre for member in members.values()}
        return len(nodes) > 1 and (len(places) > 1 or len(data_centres) < 2)

    def apply_report(self, node: str, observations: tuple[frames.Cold, ...]) -> None:
        """Apply the observations of a member, as the coordinator.

        Failures of most targets are failures of the member's network, unless members of
        another data centre report the same. They would limit all targets for all.
        """
        if not observations or self.directory is None:
            return
        known = len(self.directory.targets)
        failed = sum(item.failed for item in observations)
        if known >= MIN_TARGETS and failed * 2 > known:
            self.reporters[node] = self.clock.monotonic()
            if not self._is_supported():
                observations = tuple(item for item in observations if not item.failed)
        self.apply_observations(observations)

    def apply_observations(self, observations: Iterable[frames.Cold]) -> None:
        """Apply observations of other instances."""
        now = self.clock.monotonic()
        for item in observations:
            target = self.directory.targets.get(item.target) if self.directory else None
            name = target.service if target else self.services.get(item.target, "")
            if self.find_service(name) is None:
                continue
            since = now - item.age_ms * MILLISECOND
            row = self._find_registration(item.target)
            warm = (
                row is not None
                and not row.time_left
                and row.received_at > since + states.ROW_DELAY
            )
            if warm or self._is_replaced(item.target, item.life):
                continue
            if since < self.proven.get(item.target, since):
                continue
            until = None if item.unanswered else now + item.left_ms * MILLISECOND
            source = states.FAILURE if item.failed else states.ANSWER
            found = states.ColdState(
                item.life, since, until, source, shared=True, first_hand=False
            )
            service = self.find_service(name)
            known = self.find(item.target)
            state = states.combine(known, found, service.warm_up_time)
            self._set(item.target, name, state, "another instance")
