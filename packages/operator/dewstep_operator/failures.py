"""What can go wrong in an operators' command, and the exit code of each failure.

The exit codes are 0 (done), 1 (refused, or lost a race), 2 (wrong input or settings),
3 (platform or entry process not reachable) and 4 (outcome not known).
"""

import datetime
from collections.abc import Callable
from typing import Any, NamedTuple

from dewstep_core import durations, errors, fields, registry

DONE = 0
REFUSED = 1
WRONG_INPUT = 2
UNREACHABLE = 3
UNKNOWN = 4

Failure = Any
"""One of the tuples in this module or in `dewstep_core.errors`."""


class ExitRule(NamedTuple):
    """How a failure ends the command."""

    code: int
    describe: Callable[[Any], str]


exit_rules: registry.Registry[ExitRule] = registry.Registry("failure")


def exits(code: int, describe: Callable[[Any], str]):
    """Register the decorated failure type with its exit code and description."""

    def enter(failure: type) -> type:
        exit_rules.register(failure.__name__)(ExitRule(code, describe))
        return failure

    return enter


def get_exit_code(failure: Failure) -> int:
    """Return the exit code of `failure`; unknown types count as not known."""
    rule = exit_rules.get(type(failure).__name__)
    return UNKNOWN if rule is None else rule.code


def describe_failure(failure: Failure) -> str:
    """Return one line for people."""
    rule = exit_rules.get(type(failure).__name__)
    return str(failure) if rule is None else rule.describe(failure)


def add_rules() -> None:
    """Register the failures of `dewstep_core.errors` that reach operators."""
    exits(WRONG_INPUT, fields.describe_problem)(errors.FieldWrong)
    exits(WRONG_INPUT, fields.describe_problem)(errors.SchemaUnknown)
    exits(REFUSED, lambda f: f"row {f.key} cannot be read: {f.detail}")(
        errors.RowInvalid
    )
    exits(REFUSED, lambda f: f"rows changed meanwhile: {', '.join(f.keys)}")(
        errors.Conflict
    )
    exits(UNREACHABLE, lambda f: f"{f.service} refused the call: rate exceeded")(
        errors.RateExceeded
    )
    exits(UNREACHABLE, lambda f: f"table service is not reachable: {f.detail}")(
        errors.PlatformUnavailable
    )
    exits(UNKNOWN, lambda f: f"outcome not known, the answer was lost: {f.detail}")(
        errors.AnswerLost
    )


add_rules()


@exits(
    REFUSED,
    lambda f: (
        f"lost to revision {f.revision}, applied by {f.author or 'an unknown author'} "
        f"at {f.time or 'an unknown time'}; nothing was written"
    ),
)
class LostRace(NamedTuple):
    """Another operator wrote the configuration first."""

    revision: int
    author: str
    time: str


@exits(
    REFUSED,
    lambda f: (
        f"service {f.service}: shard_count cannot change from {f.before} to {f.after} "
        "because its shards are assigned"
    ),
)
class ShardCountFixed(NamedTuple):
    """A changed number of shards would give keys to other owners at once."""

    service: str
    before: int
    after: int


@exits(
    REFUSED,
    lambda f: (
        f"target {f.target} still owns {f.shards} shards and {f.keys} single keys; "
        "drain it before its record is removed or given to another service"
    ),
)
class TargetOwnsKeys(NamedTuple):
    """A target cannot leave the configuration while it owns keys."""

    target: str
    shards: int
    keys: int


@exits(WRONG_INPUT, lambda f: f"no {f.subject} has the name {f.name!r}")
class NameUnknown(NamedTuple):
    """The operator named something that does not exist."""

    subject: str
    name: str


@exits(WRONG_INPUT, lambda f: f"{f.argument}: expected {f.expected}")
class ArgumentWrong(NamedTuple):
    """The arguments of the command do not fit together."""

    argument: str
    expected: str


@exits(REFUSED, lambda f: "no configuration has been applied yet")
class NoConfiguration(NamedTuple):
    """The row `configuration` does not exist."""


@exits(REFUSED, lambda f: f"no assignment of service {f.service} exists yet")
class NoAssignment(NamedTuple):
    """The row `assignment/<service>` does not exist."""

    service: str


@exits(REFUSED, lambda f: f"target {f.target} has no gate")
class NoGate(NamedTuple):
    """The row `gate/<target>` does not exist."""

    target: str


@exits(REFUSED, lambda f: f"target {f.target} is draining and takes no keys")
class TargetDraining(NamedTuple):
    """A target that takes no new work cannot be given keys."""

    target: str


@exits(
    UNREACHABLE,
    lambda f: (
        f"the operators' address of entry process {f.entry} is not known; "
        "give one or more with --entry HOST:PORT"
    ),
)
class EntryAddressUnknown(NamedTuple):
    """No reachable entry process lists the one that is needed."""

    entry: str


@exits(
    UNREACHABLE, lambda f: f"entry process at {f.address} is not reachable: {f.detail}"
)
class EntryUnreachable(NamedTuple):
    """The connection could not be opened; nothing was sent."""

    address: str
    detail: str


@exits(UNKNOWN, lambda f: f"no complete answer from {f.address}: {f.detail}")
class EntryAnswerLost(NamedTuple):
    """The order was sent and no complete answer came; it may have taken effect."""

    address: str
    detail: str


@exits(REFUSED, lambda f: f"{f.address} refused with status {f.status}: {f.detail}")
class OrderRefused(NamedTuple):
    """The entry process answered that it did not do what was asked."""

    address: str
    status: int
    detail: str


@exits(REFUSED, lambda f: f"not confirmed: expected {f.expected!r}, got {f.found!r}")
class NotConfirmed(NamedTuple):
    """The operator did not type the expected name; nothing was written."""

    expected: str
    found: str


@exits(
    UNKNOWN,
    lambda f: (
        "written, but its effect was not seen within "
        f"{durations.format_duration(f.limit)}: "
        f"{', '.join(f.pending) or 'no entry process is known'}"
    ),
)
class NotFinished(NamedTuple):
    """What was ordered is written, but its effect was not seen within the limit."""

    limit: datetime.timedelta
    pending: tuple[str, ...]
