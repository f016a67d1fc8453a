"""Client of the platform's object store."""

import datetime
import urllib.parse
from typing import Any

from returns import result

from dewstep_core import errors, settings
from dewstep_core.platform import caller

TIMEOUT = datetime.timedelta(seconds=5)


class ObjectClient(caller.PlatformCaller):
    """Reads and writes whole objects.

    Parameters
    ----------
    addresses, entry, data_centre
        As for `caller.PlatformCaller`.
    timeout : datetime.timedelta, optional
        For one call to one address.
    """

    def __init__(
        self,
        addresses: tuple[settings.Address, ...],
        entry: str,
        data_centre: str,
        timeout: datetime.timedelta = TIMEOUT,
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
        if response.status == caller.NOT_FOUND:
            return result.Success(None)
        if response.status != caller.OK:
            return self.fail_status(response.status)
        return result.Success(response.body)

    async def write(self, name: str, content: bytes) -> result.Result[None, Any]:
        """Replace the content of an object.

        A write whose answer was lost is read back once but never sent again, since a
        late copy would overwrite a newer content.

        Returns
        -------
        result.Result
            `RateExceeded` or `PlatformUnavailable` (nothing was written), or
            `AnswerLost` (it may still be written).
        """
        outcome = await self.call("PUT", build_path(name), content)
        if isinstance(outcome, result.Success):
            status = outcome.unwrap().status
            if status == caller.OK:
                return result.Success(None)
            return self.fail_status(status)
        if isinstance(outcome.failure(), errors.AnswerLost):
            if (await self.read(name)).value_or(None) == content:
                return result.Success(None)
        return outcome


def build_path(name: str) -> str:
    """Return the request path of an object."""
    return "/objects/" + urllib.parse.quote(name, safe="/")
