"""Base class for clients of a platform service with several addresses."""

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


class PlatformClient:
    """Base class that sends calls to one address and fails over to the others.

    The address that answered last is used first.

    Parameters
    ----------
    service : str
        Name of the service, used in failures.
    addresses : tuple of settings.Address
        At least one address of the service.
    entry, data_centre : str
        Sent with each call as `Dewstep-Entry` and `Dewstep-Data-Centre`.
    timeout : datetime.timedelta
        Time-out of one call to one address.
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
        self.preferred_index = 0

    async def call(
        self, method: str, path: str, body: bytes = b"", repeatable: bool = False
    ) -> result.Result[client.Response, Any]:
        """Send one call and convert the platform's refusals to failures.

        Parameters
        ----------
        method, path, body
            As for `client.Client.call`.
        repeatable : bool, optional
            Whether the call may be sent again if its answer was lost. A call that was
            not sent or was refused with 503 is always sent to the next address.

        Returns
        -------
        result.Result
            The response (with any status except 429 and 5xx), `RateExceeded`,
            `PlatformUnavailable` (the call had no effect) or `AnswerLost`.
        """
        failure = errors.PlatformUnavailable(f"{self.service}: no address")
        lost = None
        first = self.preferred_index
        for position in range(first, first + len(self.clients)):
            index = position % len(self.clients)
            outcome = await self.call_address(index, method, path, body)
            if isinstance(outcome, result.Success):
                self.preferred_index = index
                return outcome
            failure = outcome.failure()
            if isinstance(failure, errors.RateExceeded):
                break
            if self.preferred_index == index:
                self.preferred_index = (index + 1) % len(self.clients)
            if isinstance(failure, errors.AnswerLost):
                lost = failure
                if not repeatable:
                    break
        # A call whose answer was lost may have taken effect, even if a later one was
        # refused.
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
            return self.build_refusal(response.status)
        if response.status >= SERVER_ERROR:
            # Only 503 is documented to mean that the call had no effect.
            detail = f"{self.service}: status {response.status}"
            return result.Failure(errors.AnswerLost(detail))
        return outcome

    def build_refusal(self, status: int) -> result.Result[Any, Any]:
        """Return the failure for a call that was refused with a status."""
        detail = f"{self.service}: status {status}"
        return result.Failure(errors.PlatformUnavailable(detail))

    async def get(self, path: str) -> result.Result[client.Response, Any]:
        """Send a GET request, which is repeatable; failures as for `call`."""
        return await self.call("GET", path, repeatable=True)

    async def close(self) -> None:
        """Close all connections."""
        for item in self.clients:
            await item.close()
