"""The requests that hold a slot of a target, by ticket."""

import asyncio
import datetime

from dewstep_core import data
from dewstep_entry.gate import ownership, quarantine


class Run:
    """One request from its admission to the end of its answer's body."""

    def __init__(
        self, ticket: int, request: data.Request, shard: int, has_override: bool
    ):
        self.ticket = ticket
        self.request = request
        self.shard = shard
        self.has_override = has_override
        """Whether the key is overridden, so that its shard does not matter."""
        self.exclusive: bool | None = None
        """Whether it holds the target lock exclusively; None if it does not hold it."""
        self.at_target = False
        """Whether it is being sent or running at the target now."""
        self.boot = ""
        """Boot id of the target to which it was sent last."""
        self.may_have_run = False
        self.body_used = False
        self.crash_counted = False
        self.slot_held_by_body = False
        self.cached_fingerprint: str | None = None

    @property
    def fingerprint(self) -> str:
        """Fingerprint of the request, computed at the first use."""
        if self.cached_fingerprint is None:
            self.cached_fingerprint = quarantine.compute_fingerprint(self.request)
        return self.cached_fingerprint


class RunTable:
    """All runs of one target."""

    def __init__(self):
        self.runs: dict[int, Run] = {}
        self.ended = asyncio.Event()

    def add(self, run: Run) -> None:
        """Add a run."""
        self.runs[run.ticket] = run

    def remove(self, run: Run) -> None:
        """Remove a run and wake the tasks that wait for the end of runs."""
        if self.runs.pop(run.ticket, None) is not None:
            self.ended.set()
            self.ended = asyncio.Event()

    def list_at_target(self) -> list[Run]:
        """Return the runs that are being sent or running at the target."""
        return [run for run in self.runs.values() if run.at_target]

    def is_busy(self, shards: frozenset[int], keys: frozenset[str]) -> bool:
        """Return whether a run belongs to one of the shards or single keys."""
        return any(
            run.request.key in keys or (not run.has_override and run.shard in shards)
            for run in self.runs.values()
        )

    def list_busy(self) -> ownership.KeySet:
        """Return the shards and keys that have a run."""
        return ownership.make_key_set(
            (run.shard for run in self.runs.values() if not run.has_override),
            (run.request.key for run in self.runs.values()),
        )

    async def wait_idle(self, shards: frozenset[int], keys: frozenset[str]) -> None:
        """Wait until no run belongs to the shards or single keys."""
        while self.is_busy(shards, keys):
            await self.ended.wait()

    async def wait_empty(self) -> None:
        """Wait until there is no run."""
        while self.runs:
            await self.ended.wait()

    def get_last_deadline(self) -> datetime.timedelta:
        """Return the latest deadline of the runs, or zero."""
        deadlines = (run.request.deadline for run in self.runs.values())
        return max(deadlines, default=datetime.timedelta())
