"""Client of the platform's list of live and leaving instances.

The list is updated with a delay of seconds: a listed instance may have ended, and one
that is not listed may be live.
"""

import datetime
from typing import Any, NamedTuple

from returns import result

from dewstep_core import data, errors, events, fields, settings, value_checks
from dewstep_core.platform import base_client

CALL_TIMEOUT = datetime.timedelta(seconds=1)


class InstanceList(NamedTuple):
    """The instances in the list at one revision."""

    revision: int
    instances: tuple[data.Instance, ...]


class InstanceClient(base_client.PlatformClient):
    """Reads the instance list.

    Parameters
    ----------
    addresses, entry, data_centre
        As for `base_client.PlatformClient`.
    timeout : datetime.timedelta, optional
        Time-out of one call to one address.
    """

    def __init__(
        self,
        addresses: tuple[settings.Address, ...],
        entry: str,
        data_centre: str,
        timeout: datetime.timedelta = CALL_TIMEOUT,
    ):
        super().__init__("instance list", addresses, entry, data_centre, timeout)
        self.refused: frozenset[str] = frozenset()
        """Reasons for which instances of the last list were refused."""

    async def read(self) -> result.Result[InstanceList, Any]:
        """Return the present list, without the instances that cannot be parsed.

        Returns
        -------
        result.Result
            `RateExceeded`, `PlatformUnavailable`, `AnswerLost`, or `RowInvalid` if
            the answer does not have the documented format.
        """
        outcome = await self.get("/instances")
        if not isinstance(outcome, result.Success):
            return outcome
        answer = outcome.unwrap().read_json()
        if not isinstance(answer, dict) or not isinstance(
            answer.get("instances"), list
        ):
            detail = "answer has no list of instances"
            return result.Failure(errors.RowInvalid("instances", detail))
        revision = answer.get("revision")
        if not value_checks.is_integer(revision, 0, value_checks.MAX_INT64):
            detail = f"revision is {fields.quote(revision)}"
            return result.Failure(errors.RowInvalid("instances", detail))
        return result.Success(
            InstanceList(revision, self._parse_instances(answer["instances"]))
        )

    def _parse_instances(self, items: list) -> tuple[data.Instance, ...]:
        """Return the valid instances, and log the others once for each reason."""
        parsed = [parse_instance(item) for item in items]
        failures = [
            item.failure() for item in parsed if isinstance(item, result.Failure)
        ]
        for failure in failures:
            if str(failure) not in self.refused:
                events.warning("instance_refused", failure=failure)
        self.refused = frozenset(map(str, failures))
        return tuple(
            item.unwrap() for item in parsed if not isinstance(item, result.Failure)
        )


def parse_instance(item: Any) -> result.Result[data.Instance, errors.RowInvalid]:
    """Return the instance in a JSON object, or why it is refused."""
    if not isinstance(item, dict):
        return refuse("?", "no JSON object")
    names = ("instance", "data_centre", "role", "state", "address")
    texts = [item.get(name) for name in names]
    if not all(map(value_checks.is_text, texts)):
        return refuse(item.get("instance"), "a field is missing or no valid text")
    instance, data_centre, role, state, address = texts
    host, _, port = address.rpartition(":")
    number = value_checks.parse_port(port)
    host = host.strip("[]")
    if number is None or not value_checks.is_host(host):
        return refuse(instance, f"invalid address {fields.quote(address)}")
    return result.Success(
        data.Instance(instance, data_centre, host, number, role, state)
    )


def refuse(instance: Any, detail: str) -> result.Result[Any, errors.RowInvalid]:
    """Return the failure for an instance of unexpected format."""
    name = f"instances/{fields.quote(instance)}"
    return result.Failure(errors.RowInvalid(name, detail))
