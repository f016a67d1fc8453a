"""Client of the platform's object store."""

import datetime
import urllib.parse
from typing import Any

from returns import result

from dewstep_core import errors, settings
from dewstep_core.platform import base_client

CALL_TIMEOUT = datetime.timedelta(seconds=5)


class ObjectClient(base_client.PlatformClient):
    """Reads and writes complete objects.

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
        super().__init__("object store", addresses, entry, data_centre, timeout)

    async def read(self, name: str) -> result.Result[bytes | None, Any]:
        """Return the content of an object, or None if it is absent.

        Returns
        -------
        result.Result
            `RateExceeded`, `PlatformUnavailable` or `AnswerLost`.
        """
        outcome = await self.get(build_path(name))
        if not isinstance(outcome, result.Success):
            return outcome
        response = outcome.unwrap()
        if response.status == base_client.NOT_FOUND:
            return result.Success(None)
        if response.status != base_client.OK:
            return self.build_refusal(response.status)
        return result.Success(response.body)

    async def write(self, name: str, content: bytes) -> result.Result[None, Any]:
        """Replace the content of an object.

        If the answer is lost, the object is read back once. The write is never sent
        again, since a delayed copy could overwrite newer content.

        Returns
        -------
        result.Result
            `RateExceeded` or `PlatformUnavailable` (nothing was written), or
            `AnswerLost` (the write may still take effect).
        """
        outcome = await self.call("PUT", build_path(name), content)
        if isinstance(outcome, result.Success):
            status = outcome.unwrap().status
            if status == base_client.OK:
                return result.Success(None)
            return self.build_refusal(status)
        if isinstance(outcome.failure(), errors.AnswerLost):
            if (await self.read(name)).value_or(None) == content:
                return result.Success(None)
        return outcome


def build_path(name: str) -> str:
    """Return the request path of an object."""
    return "/objects/" + urllib.parse.quote(name, safe="/")
