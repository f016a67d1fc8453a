"""Client of the platform's list of live and leaving instances.

The list is updated with a delay of seconds: a listed instance may have ended, and one
that is not listed may be live.
"""

import datetime
from typing import Any, NamedTuple

from returns import result

from dewstep_core import data, errors, settings
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

    async def read(self) -> result.Result[InstanceList, Any]:
        """Return the present list.

        Returns
        -------
        result.Result
            `RateExceeded`, `PlatformUnavailable`, `AnswerLost`, or `RowInvalid` if
            the answer does not have the documented format.
        """
        outcome = await self.get("/instances")
        if not isinstance(outcome, result.Success):
            return outcome
        try:
            answer = outcome.unwrap().read_json()
            instances = tuple(parse_instance(item) for item in answer["instances"])
            return result.Success(InstanceList(int(answer["revision"]), instances))
        except (KeyError, TypeError, ValueError) as error:
            return result.Failure(errors.RowInvalid("instances", repr(error)))


def parse_instance(item: Any) -> data.Instance:
    """Parse the JSON object of an instance.

    Raises
    ------
    KeyError, TypeError, ValueError
        If a member is missing or invalid.
    """
    host, colon, port = item["address"].rpartition(":")
    if not colon:
        raise ValueError(f"address without port: {port!r}")
    return data.Instance(
        item["instance"],
        item["data_centre"],
        host.strip("[]"),
        int(port),
        item["role"],
        item["state"],
    )
