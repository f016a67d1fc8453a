"""Failures of commands with their exit codes and descriptions.

The exit codes are 0 (success), 1 (refused, or another operator wrote first), 2 (invalid
input or settings), 3 (platform or entry process unreachable) and 4 (outcome unknown).
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
"""A named tuple of this module or of `dewstep_core.errors`."""


class ExitRule(NamedTuple):
    """Exit code and description of a failure type."""

    code: int
    describe: Callable[[Any], str]


exit_rules: registry.Registry[ExitRule] = registry.Registry("failure")


def register_exit(code: int, describe: Callable[[Any], str]):
    """Return a decorator that registers a failure type with its exit code."""

    def register_failure(failure: type) -> type:
        exit_rules.register(failure.__name__)(ExitRule(code, describe))
        return failure

    return register_failure


def get_exit_code(failure: Failure) -> int:
    """Return the exit code of `failure`, `UNKNOWN` for an unregistered type."""
    rule = exit_rules.get(type(failure).__name__)
    return UNKNOWN if rule is None else rule.code


def describe_failure(failure: Failure) -> str:
    """Return a description of `failure` on one line."""
    rule = exit_rules.get(type(failure).__name__)
    return str(failure) if rule is None else rule.describe(failure)


def register_core_failures() -> None:
    """Register the failures of `dewstep_core.errors` that commands can report."""
    register_exit(WRONG_INPUT, fields.describe_problem)(errors.FieldWrong)
    register_exit(WRONG_INPUT, fields.describe_problem)(errors.SchemaUnknown)
    register_exit(REFUSED, lambda f: f"row {f.key} cannot be read: {f.detail}")(
        errors.RowInvalid
    )
    register_exit(REFUSED, lambda f: f"rows changed meanwhile: {', '.join(f.keys)}")(
        errors.Conflict
    )
    register_exit(
        UNREACHABLE, lambda f: f"{f.service} refused the call: rate exceeded"
    )(errors.RateExceeded)
    register_exit(UNREACHABLE, lambda f: f"table service is not reachable: {f.detail}")(
        errors.PlatformUnavailable
    )
    register_exit(
        UNKNOWN, lambda f: f"outcome not known, the answer was lost: {f.detail}"
    )(errors.AnswerLost)


register_core_failures()


@register_exit(
    REFUSED,
    lambda f: (
        f"lost to revision {f.revision}, applied by {f.author or 'an unknown author'} "
        f"at {f.time or 'an unknown time'}; nothing was written"
    ),
)
class LostRace(NamedTuple):
    """Another operator wrote the configuration first; nothing was written."""

    revision: int
    author: str
    time: str


@register_exit(
    REFUSED,
    lambda f: (
        f"service {f.service}: shard_count cannot change from {f.before} to {f.after} "
        "because its shards are assigned"
    ),
)
class ShardCountFixed(NamedTuple):
    """The number of shards cannot change, since that would change owners of keys."""

    service: str
    before: int
    after: int


@register_exit(
    REFUSED,
    lambda f: (
        f"target {f.target} still owns {f.shards} shards and {f.keys} single keys; "
        "drain it before its record is removed or given to another service"
    ),
)
class TargetOwnsKeys(NamedTuple):
    """The record of a target cannot be removed while the target owns keys."""

    target: str
    shards: int
    keys: int


@register_exit(WRONG_INPUT, lambda f: f"no {f.subject} has the name {f.name!r}")
class NameUnknown(NamedTuple):
    """No object of this kind has the name given by the operator."""

    subject: str
    name: str


@register_exit(WRONG_INPUT, lambda f: f"{f.argument}: expected {f.expected}")
class ArgumentWrong(NamedTuple):
    """An argument is invalid, or inconsistent with another one."""

    argument: str
    expected: str


@register_exit(REFUSED, lambda f: "no configuration has been applied yet")
class NoConfiguration(NamedTuple):
    """The row `configuration` does not exist."""


@register_exit(REFUSED, lambda f: f"no assignment of service {f.service} exists yet")
class NoAssignment(NamedTuple):
    """The row `assignment/<service>` does not exist."""

    service: str


@register_exit(REFUSED, lambda f: f"target {f.target} has no gate")
class NoGate(NamedTuple):
    """The row `gate/<target>` does not exist."""

    target: str


@register_exit(REFUSED, lambda f: f"target {f.target} is draining and takes no keys")
class TargetDraining(NamedTuple):
    """No keys can be moved to a draining target."""

    target: str


@register_exit(
    UNREACHABLE,
    lambda f: (
        f"the operators' address of entry process {f.entry} is not known; "
        "give one or more with --entry HOST:PORT"
    ),
)
class EntryAddressUnknown(NamedTuple):
    """No reachable entry process or gate row states the address of an entry process."""

    entry: str


@register_exit(
    UNREACHABLE, lambda f: f"entry process at {f.address} is not reachable: {f.detail}"
)
class EntryUnreachable(NamedTuple):
    """The connection could not be opened; nothing was sent."""

    address: str
    detail: str


@register_exit(UNKNOWN, lambda f: f"no complete answer from {f.address}: {f.detail}")
class EntryAnswerLost(NamedTuple):
    """The call was sent but no complete answer was received; it may have had effect."""

    address: str
    detail: str


@register_exit(
    REFUSED, lambda f: f"{f.address} refused with status {f.status}: {f.detail}"
)
class OrderRefused(NamedTuple):
    """The entry process refused the call; it had no effect."""

    address: str
    status: int
    detail: str


@register_exit(
    REFUSED, lambda f: f"not confirmed: expected {f.expected!r}, got {f.found!r}"
)
class NotConfirmed(NamedTuple):
    """The operator did not enter the expected name; nothing was written."""

    expected: str
    found: str


@register_exit(
    UNKNOWN,
    lambda f: (
        "written, but its effect was not seen within "
        f"{durations.format_duration(f.limit)}: "
        f"{', '.join(f.pending) or 'no entry process is known'}"
    ),
)
class NotFinished(NamedTuple):
    """The change was written, but its effect was not observed within the limit."""

    limit: datetime.timedelta
    pending: tuple[str, ...]
