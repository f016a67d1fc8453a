"""Calls to a platform service that listens at several addresses."""

import datetime
from typing import Any

from returns import result

from dewstep_core import errors, settings
from dewstep_core.http import client

OK = 200
NOT_FOUND = 404
CONFLICT = 409
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
UNAVAILABLE = 503


class PlatformCaller:
    """Sends calls to the address that answered last, else to the others in turn.

    The clients of the platform's services are built on it.

    Parameters
    ----------
    service : str
        Name for failures.
    addresses : tuple of settings.Address
        At least one address of the service.
    entry, data_centre : str
        Sent with each call as `Dewstep-Entry` and `Dewstep-Data-Centre`.
    timeout : datetime.timedelta
        For one call to one address.
    """

    def __init__(
        self,
        service: str,
        addresses: tuple[settings.Address, ...],
        entry: str,
        data_centre: str,
        timeout: datetime.timedelta,
    ):
        self.service = service
        headers = (("Dewstep-Entry", entry), ("Dewstep-Data-Centre", data_centre))
        seconds = timeout.total_seconds()
        self.clients = [client.Client(item, seconds, headers) for item in addresses]
        self.preferred = 0

    async def call(
        self, method: str, path: str, body: bytes = b"", repeatable: bool = False
    ) -> result.Result[client.Response, Any]:
        """Send one call and sort out the platform's refusals.

        Parameters
        ----------
        method, path, body
            As for `client.Client.call`.
        repeatable : bool, optional
            Whether the call may be sent again after its answer was lost. A call
            that was not sent or was refused with 503 always goes to the next
            address.

        Returns
        -------
        result.Result
            The response (of any status but 429 and 5xx), `RateExceeded`,
            `PlatformUnavailable` (nothing was done) or `AnswerLost`.
        """
        failure = errors.PlatformUnavailable(f"{self.service}: no address")
        lost = None
        first = self.preferred
        for position in range(first, first + len(self.clients)):
            index = position % len(self.clients)
            outcome = await self.call_address(index, method, path, body)
            if isinstance(outcome, result.Success):
                self.preferred = index
                return outcome
            failure = outcome.failure()
            if isinstance(failure, errors.RateExceeded):
                break
            if self.preferred == index:
                self.preferred = (index + 1) % len(self.clients)
            if isinstance(failure, errors.AnswerLost):
                lost = failure
                if not repeatable:
                    break
        # A later refusal does not undo an earlier call whose answer was lost.
        return result.Failure(lost or failure)

    async def call_address(
        self, index: int, method: str, path: str, body: bytes
    ) -> result.Result[client.Response, Any]:
        """Send one call to one address."""
        outcome = await self.clients[index].call(method, path, body)
        if not isinstance(outcome, result.Success):
            return outcome
        response = outcome.unwrap()
        if response.status == TOO_MANY_REQUESTS:
            return result.Failure(errors.RateExceeded(self.service))
        if response.status == UNAVAILABLE:
            return self.fail_status(response.status)
        if response.status >= SERVER_ERROR:
            # Only 503 is documented to mean that nothing was done.
            detail = f"{self.service}: status {response.status}"
            return result.Failure(errors.AnswerLost(detail))
        return outcome

    def fail_status(self, status: int) -> result.Result[Any, Any]:
        """Return the failure for a refusal with this status: nothing was done."""
        detail = f"{self.service}: status {status}"
        return result.Failure(errors.PlatformUnavailable(detail))

    async def get(self, path: str) -> result.Result[client.Response, Any]:
        """Send a GET, which may be sent again; failures as for `call`."""
        return await self.call("GET", path, repeatable=True)

    async def close(self) -> None:
        """Close all connections."""
        for item in self.clients:
            await item.close()
