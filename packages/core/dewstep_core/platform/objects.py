"""Client of the platform's object store."""

import datetime
import urllib.parse
from typing import Any

from returns import result

from dewstep_core import errors, settings
from dewstep_core.platform import caller

TIMEOUT = datetime.timedelta(seconds=5)


class ObjectClient:
    """Reads and writes whole objects.

    Parameters
    ----------
    addresses : tuple of settings.Address
        At least one address of the service.
    entry, data_centre : str
        Name and data centre of the calling process.
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
        self.caller = caller.PlatformCaller(
            "object store", addresses, entry, data_centre, timeout.total_seconds()
        )

    async def read(self, name: str) -> result.Result[bytes | None, Any]:
        """Return the content of an object, or None if it is absent.

        Returns
        -------
        result.Result
            `RateExceeded`, `PlatformUnavailable` or `AnswerLost`.
        """
        outcome = await self.caller.call("GET", build_path(name), repeatable=True)
        if not isinstance(outcome, result.Success):
            return outcome
        response = outcome.unwrap()
        if response.status == caller.NOT_FOUND:
            return result.Success(None)
        if response.status != caller.OK:
            return fail_status(response.status)
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
        outcome = await self.caller.call("PUT", build_path(name), content)
        if isinstance(outcome, result.Success):
            status = outcome.unwrap().status
            if status == caller.OK:
                return result.Success(None)
            return fail_status(status)
        if isinstance(outcome.failure(), errors.AnswerLost):
            if (await self.read(name)).value_or(None) == content:
                return result.Success(None)
        return outcome

    async def close(self) -> None:
        """Close all connections."""
        await self.caller.close()


def build_path(name: str) -> str:
    """Return the request path of an object."""
    return "/objects/" + urllib.parse.quote(name, safe="/")


def fail_status(status: int) -> result.Result:
    """Return the failure for a refusal with an undocumented status."""
    return result.Failure(errors.PlatformUnavailable(f"object store: status {status}"))
