"""Reads the platform's list of live and leaving instances.

An instance that is listed as leaving gets no new work. The list lags, so an instance
that is missing from it is not assumed to have ended.
"""

import datetime
import random
from collections.abc import Callable

from returns import result

from dewstep_core import clocks, data, events
from dewstep_entry.state import view

READ_INTERVAL = datetime.timedelta(milliseconds=1000)
"""Mean time between two reads. It has jitter, so that processes do not read at once."""
LEAVING = "leaving"


def select_leaving(
    instances: tuple[data.Instance, ...], configuration: data.Configuration | None
) -> tuple[frozenset[str], frozenset[str]]:
    """Return the names of the targets and of the entry processes that are leaving.

    Targets are matched by name or by address, since the platform's name of an instance
    may differ from that in the operators' records.
    """
    leaving = [item for item in instances if item.state == LEAVING]
    names = {item.instance for item in leaving}
    addresses = {(item.host, item.port) for item in leaving}
    targets = configuration.targets.values() if configuration else ()
    return (
        frozenset(
            target.name
            for target in targets
            if target.name in names or (target.host, target.port) in addresses
        ),
        frozenset(item.instance for item in leaving if item.role == "entry"),
    )


class InstanceReader:
    """The task that reads the instance list.

    Parameters
    ----------
    read : callable
        Returns the list, as `InstanceClient.read` does.
    holder : view.ViewHolder
    clock : clocks.Clock
    set_leaving : callable
        Called with the names of leaving targets and entry processes.
    generator : random.Random
        Source of the jitter.
    """

    def __init__(
        self,
        read: Callable,
        holder: view.ViewHolder,
        clock: clocks.Clock,
        set_leaving: Callable[[frozenset[str], frozenset[str]], None],
        generator: random.Random,
    ):
        self.read = read
        self.holder = holder
        self.clock = clock
        self.set_leaving = set_leaving
        self.random = generator

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            await self.read_once()
            await self.clock.sleep(READ_INTERVAL * (0.5 + self.random.random()))

    async def read_once(self) -> bool:
        """Read the list and report leaving instances; return whether it succeeded."""
        answer = await self.read()
        if isinstance(answer, result.Failure):
            events.warning("instances_unread", failure=answer.failure())
            return False
        configuration = self.holder.current.configuration
        self.set_leaving(*select_leaving(answer.unwrap().instances, configuration))
        return True
