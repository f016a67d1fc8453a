"""Which keys a gate may serve: those assigned to its target and not being moved."""

import datetime
from collections.abc import Callable, Iterable
from typing import NamedTuple

from dewstep_core import data, errors
from dewstep_entry import interfaces
from dewstep_entry.gate import invariants, rows
from dewstep_entry.state import view

MAX_DEPARTURE_AGE = datetime.timedelta(seconds=1)
"""Time after which an admitted request is not sent to a leaving target any more. The
objective is 2 s; the rest is for the lag of the instance list."""


class KeySet(NamedTuple):
    """Shards, and single keys with an owner of their own (overrides)."""

    shards: frozenset[int] = frozenset()
    keys: frozenset[str] = frozenset()


def find_arrivals(
    target: str, previous: data.Assignment, assignment: data.Assignment
) -> KeySet:
    """Return the shards and keys that `target` may have gained since `previous`.

    A key whose override was removed is included, since its shard may belong to the
    target.
    """
    shards = frozenset(
        shard
        for shard, owner in enumerate(assignment.owners)
        if owner == target and previous.owners[shard] != target
    )
    overridden = {
        key
        for key, owner in assignment.overrides.items()
        if owner == target and previous.overrides.get(key) != target
    }
    returned = {key for key in previous.overrides if key not in assignment.overrides}
    return KeySet(shards, frozenset(overridden | returned))


class Ownership:
    """Shards and keys that one target owns in the view of its gate.

    Parameters
    ----------
    on_arrival : Callable[[KeySet], None]
        Receives shards and keys that were moved here from other targets.
    """

    def __init__(
        self,
        target: str,
        service: str,
        view_holder: view.ViewHolder,
        checks: invariants.Invariants,
        on_arrival: Callable[[KeySet], None],
    ):
        self.target = target
        self.service = service
        self.view_holder = view_holder
        self.checks = checks
        self.on_arrival = on_arrival
        self.last_assignment: data.Assignment | None = None
        self.blocked_shards: set[int] = set()
        self.blocked_keys: set[str] = set()
        self.drained_shards: set[int] = set()
        self.drained_keys: set[str] = set()
        self.leaving_since: datetime.timedelta | None = None
        """When this process learned that the target is leaving."""

    def set_leaving(self, leaving: bool, now: datetime.timedelta) -> None:
        """Set whether the target is leaving, so that it gets no new requests."""
        if not leaving:
            self.leaving_since = None
        elif self.leaving_since is None:
            self.leaving_since = now

    def has_departed(self, now: datetime.timedelta) -> bool:
        """Return whether the target has been leaving for too long to be sent to."""
        since = self.leaving_since
        return since is not None and now - since >= MAX_DEPARTURE_AGE

    def get_assignment(self) -> data.Assignment | None:
        """Return the current assignment; report newly assigned shards and keys."""
        assignment = self.view_holder.current.assignments.get(self.service)
        if assignment is None or assignment is self.last_assignment:
            return assignment
        previous, self.last_assignment = self.last_assignment, assignment
        if previous is not None:
            arrivals = find_arrivals(self.target, previous, assignment)
            if arrivals != KeySet():
                self.on_arrival(arrivals)
        return assignment

    def get_epoch(self) -> int:
        """Return the version of the assignment, or 0."""
        assignment = self.get_assignment()
        return 0 if assignment is None else assignment.version

    def list_owned(self) -> KeySet:
        """Return all shards and single keys of the target."""
        assignment = self.get_assignment()
        if assignment is None:
            return KeySet()
        owners = enumerate(assignment.owners)
        overrides = assignment.overrides.items()
        return KeySet(
            frozenset(shard for shard, owner in owners if owner == self.target),
            frozenset(key for key, owner in overrides if owner == self.target),
        )

    def has_override(self, key: str) -> bool:
        """Return whether a key has an override."""
        assignment = self.get_assignment()
        return assignment is not None and key in assignment.overrides

    def is_moving(self, key: str, shard: int) -> bool:
        """Return whether a key is being moved, as is each key of a leaving target."""
        if self.leaving_since is not None or key in self.blocked_keys:
            return True
        return shard in self.blocked_shards and not self.has_override(key)

    def explain_not_owned(self, key: str, shard: int) -> interfaces.Failure | None:
        """Return why the target does not own a key now, or None."""
        assignment = self.get_assignment()
        if assignment is None:
            return errors.NotReady(rows.make_assignment_key(self.service))
        owner = assignment.overrides.get(key, assignment.owners[shard])
        if owner != self.target:
            return errors.NotTheOwner(self.target, assignment.version)
        return None

    def explain_unsendable(self, key: str, shard: int) -> interfaces.Failure | None:
        """Return why a request in progress must not be sent, or None.

        A request that was in progress when its shard was blocked may still be sent,
        because the move waits for it. A request for a drained shard may not.
        """
        failure = self.explain_not_owned(key, shard)
        if failure is not None:
            return failure
        already_drained = key in self.drained_keys or (
            shard in self.drained_shards and not self.has_override(key)
        )
        return self.checks.check(
            not already_drained, invariants.MOVED_SHARD, target=self.target, shard=shard
        )

    def block(self, moving: KeySet) -> None:
        """Refuse new requests for these shards and keys."""
        self.blocked_shards |= moving.shards
        self.blocked_keys |= moving.keys

    def note_drained(self, moving: KeySet) -> None:
        """Note that no request for these shards and keys is in progress."""
        self.drained_shards |= moving.shards & self.blocked_shards
        self.drained_keys |= moving.keys & self.blocked_keys

    def unblock(self, moving: KeySet) -> None:
        """Accept requests for these shards and keys again, if the target owns them."""
        for group in (self.blocked_shards, self.drained_shards):
            group -= moving.shards
        for group in (self.blocked_keys, self.drained_keys):
            group -= moving.keys

    def end_move(self, moving: KeySet) -> None:
        """Unblock shards and keys after their move was committed or has failed.

        Those that the target owns now are reported as arrivals: the view may skip
        versions, so they may have moved away and back.
        """
        self.unblock(moving)
        assignment = self.view_holder.current.assignments.get(self.service)
        self.get_assignment()
        if assignment is None:
            return
        returned = KeySet(
            frozenset(s for s in moving.shards if assignment.owners[s] == self.target),
            frozenset(
                key
                for key in moving.keys
                if assignment.overrides.get(key) == self.target
            ),
        )
        if returned != KeySet():
            self.on_arrival(returned)


def make_key_set(shards: Iterable[int] = (), keys: Iterable[str] = ()) -> KeySet:
    """Return a key set with these shards and keys."""
    return KeySet(frozenset(shards), frozenset(keys))
