"""Emulates the platform's instance list, which shows changes after a delay.

Usage: ``python -m dewstep_emulator.instance_list --port 0 --lag 3``. The protocol is
described in docs/platform.md.
"""

import json
import pathlib
import time
from collections.abc import Callable
from typing import Annotated, Any, NamedTuple

import typer
from returns import result

from dewstep_core.http import exchanges, routing
from dewstep_core.platform import instances
from dewstep_emulator import faults, program

DEFAULT_LAG_SECONDS = 3.0
STATES = ("live", "leaving")


class ListFaults(NamedTuple):
    """Faults of the instance list: those of all platform services and `frozen`."""

    down: str = ""
    delay: faults.Delay = faults.Delay()
    lose_answers: faults.Trigger = faults.Trigger()
    cut: faults.Cut = faults.Cut()
    frozen: bool = False
    """Whether the visible list stays as it is; changes become visible afterwards."""


class Snapshot(NamedTuple):
    """The actual list from a moment on."""

    time: float
    """Monotonic time of the change in seconds."""
    revision: int
    instances: dict[str, dict[str, Any]]
    """Instances by name."""


class LaggingList:
    """A list whose changes become visible with a delay.

    Parameters
    ----------
    initial : list of dict
        Instances that are visible at the start.
    """

    def __init__(self, initial: list[dict[str, Any]]):
        named = {item["instance"]: item for item in initial}
        self.visible = Snapshot(0.0, 1, named)
        self.pending: list[Snapshot] = []

    def get_newest(self) -> Snapshot:
        """Return the actual list, including changes that are not visible yet."""
        return self.pending[-1] if self.pending else self.visible

    def change(self, change: dict[str, Any], now: float) -> Snapshot:
        """Change the actual list.

        Parameters
        ----------
        change : dict
            `instances` replaces the list, `update` adds or replaces instances, and
            `remove` contains names of instances to remove.
        now : float
            Monotonic time in seconds.
        """
        newest = self.get_newest()
        if "instances" in change:
            changed = {item["instance"]: item for item in change["instances"]}
        else:
            changed = dict(newest.instances)
        changed.update({item["instance"]: item for item in change.get("update", ())})
        for name in change.get("remove", ()):
            changed.pop(name, None)
        self.pending.append(Snapshot(now, newest.revision + 1, changed))
        return self.pending[-1]

    def show(self, now: float, lag: float) -> Snapshot:
        """Return the list as it was `lag` seconds ago.

        A change that was visible once stays visible, also with a longer `lag`.
        """
        while self.pending and self.pending[0].time + lag <= now:
            self.visible = self.pending.pop(0)
        return self.visible


def find_form_error(change: Any) -> str:
    """Return the error in the JSON form of a change, "" if it is valid."""
    if not isinstance(change, dict) or not change:
        return "not an object with instances, update or remove"
    if not set(change) <= {"instances", "update", "remove"}:
        return "unknown member: only instances, update and remove are allowed"
    try:
        for item in (*change.get("instances", ()), *change.get("update", ())):
            parsed = instances.parse_instance(item)
            if isinstance(parsed, result.Failure):
                return parsed.failure().detail
            if parsed.unwrap().state not in STATES:
                return f"unknown state of instance {item['instance']!r}"
        if not all(isinstance(name, str) for name in change.get("remove", ())):
            return "remove is not a list of names"
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return repr(error)
    return ""


class InstanceList(program.PlatformService):
    """The HTTP service of the instance list.

    Parameters
    ----------
    lag : float
        Seconds until a change is visible.
    initial : list of dict
        Instances that are visible at the start.
    monotonic : callable, optional
        Returns seconds.
    """

    def __init__(
        self,
        lag: float,
        initial: list[dict[str, Any]],
        monotonic: Callable[[], float] = time.monotonic,
    ):
        super().__init__(ListFaults())
        self.lag = lag
        self.list = LaggingList(initial)
        self.monotonic = monotonic
        self.add_route("GET", "/instances", self.show)
        # Tests use the control port to change the list while the service is down.
        self.control_routes.add("POST", "/instances", self.change)
        self.add_route("POST", "/instances", self.change)

    async def show(self, call: routing.Call) -> exchanges.Response:
        """Answer `GET /instances`."""
        now = self.monotonic()
        shown = (
            self.list.visible if self.faults.frozen else self.list.show(now, self.lag)
        )
        listed = list(shown.instances.values())
        answer = {"revision": shown.revision, "instances": listed}
        return exchanges.build_json(200, answer)

    async def change(self, call: routing.Call) -> exchanges.Response:
        """Answer `POST /instances`."""
        form = call.read_json()
        if error := find_form_error(form):
            return exchanges.build_json(400, {"error": error})
        recorded = self.list.change(form, self.monotonic())
        return exchanges.build_json(200, {"revision": recorded.revision})


def main(
    host: str = "127.0.0.1",
    port: int = 0,
    control_port: int = 0,
    lag: Annotated[float, typer.Option(help="Seconds until a change shows.")] = (
        DEFAULT_LAG_SECONDS
    ),
    file: Annotated[
        pathlib.Path | None, typer.Option(help="JSON list shown at the start.")
    ] = None,
) -> None:
    """Run the instance list."""
    initial = [] if file is None else json.loads(file.read_text())
    program.run(
        lambda: InstanceList(lag, initial),
        program.ListenOptions(host, port, control_port),
    )


if __name__ == "__main__":
    typer.run(main)
