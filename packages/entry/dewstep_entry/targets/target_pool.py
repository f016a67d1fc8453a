"""The connections of a gate to its target.

Connections are opened on demand and reused. If a connection is closed before a request
was written to it, the request uses another one. `connection_pool` explains the
delay before a connection is reused.
"""

import datetime
import json
from collections.abc import Callable

import h11
from returns import result

from dewstep_core import clocks, data, errors, settings
from dewstep_entry import header_rules, interfaces
from dewstep_entry.targets import connection_pool, control


class TargetPool(connection_pool.ConnectionPool):
    """Connections to one target; implements `interfaces.TargetChannel`.

    Parameters
    ----------
    target : data.Target
        The target.
    clock : Clock
        Clock of the requests' deadlines.
    entry : str
        Name of this entry process, sent as `Dewstep-Entry`.
    data_centre : str
        Data centre of this entry process.
    limit : int, optional
        Maximum number of connections, including the control connection. By default
        half of what the target accepts, so that the next gate can connect before this
        one has closed its connections.
    connect_timeout, control_timeout : datetime.timedelta, optional
        Limits for opening a connection and for a control answer.
    reuse_delay : datetime.timedelta, optional
        Delay before a connection is reused. It is skipped when the limit of
        connections is reached.
    """

    def __init__(
        self,
        target: data.Target,
        clock: clocks.Clock,
        entry: str,
        data_centre: str,
        limit: int | None = None,
        connect_timeout: datetime.timedelta = connection_pool.CONNECT_TIMEOUT,
        control_timeout: datetime.timedelta = control.CONTROL_TIMEOUT,
        reuse_delay: datetime.timedelta = connection_pool.REUSE_DELAY,
    ):
        maximum = target.connections // 2 if limit is None else limit
        super().__init__(
            target.name,
            settings.Address(target.host, target.port),
            clock,
            maximum - 1,
            connect_timeout,
            reuse_delay,
        )
        self.target = target
        self.data_centre = data_centre
        self.control = control.ControlChannel(target, clock, entry, control_timeout)
        self.host = f"{target.host}:{target.port}".encode()
        self.entry = entry.encode()

    async def exchange(
        self, request: data.Request, stamp: data.GrantStamp
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Send `request` and return the target's answer.

        Returns
        -------
        Result
            As for `ConnectionPool.send`; `MalformedRequest` if the head cannot be
            sent.
        """
        try:
            head = self._build_head(request, stamp)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            return result.Failure(errors.MalformedRequest(str(error)))
        request_id = header_rules.encode_value(request.request_id)
        return await self.send(head, request.body, request.deadline, request_id)

    async def read_clock(
        self,
    ) -> result.Result[data.ClockReading, interfaces.Failure]:
        """Read the target's clock and boot id."""
        return await self.control.send_request("GET", "/control/clock")

    async def send_grant(
        self, grant: data.Grant
    ) -> result.Result[data.ClockReading, interfaces.Failure]:
        """Send a grant; `TargetRefused` if its term is too low or its boot is wrong."""
        payload = {
            "boot": grant.boot,
            "term": grant.term,
            "expires": grant.expires.total_seconds(),
        }
        return await self.control.send_request(
            "PUT",
            "/control/grant",
            json.dumps(payload, separators=(",", ":")).encode(),
        )

    def on_control_close(self, report: Callable[[], None]) -> None:
        """Call `report` whenever the target closes the control connection."""
        self.control.on_close = report

    async def close(self) -> None:
        """Close all connections; requests in progress end as `ConnectionLost`."""
        self.control.close()
        await super().close()

    # Head of the request.

    def _build_head(self, request: data.Request, stamp: data.GrantStamp) -> h11.Request:
        headers = list(
            header_rules.drop_headers(
                request.headers,
                header_rules.HOP_BY_HOP_HEADERS,
                (header_rules.PROTOCOL_PREFIX,),
            )
        )
        if header_rules.find_header(headers, b"host") is None:
            headers.append((b"host", self.host))
        if request.body.rest is None:
            length = len(request.body.start)
        else:
            length = request.body_length
        if length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        elif length or request.method not in ("GET", "HEAD"):
            headers.append((b"content-length", b"%d" % length))
        encode = header_rules.encode_value
        headers += (
            (b"dewstep-entry", self.entry),
            (b"dewstep-request-id", encode(request.request_id)),
            (b"dewstep-key", encode(request.key)),
            (b"dewstep-kind", encode(request.kind)),
            (b"dewstep-term", b"%d" % stamp.term),
            (b"dewstep-epoch", b"%d" % stamp.epoch),
            (b"dewstep-boot", encode(stamp.boot)),
            (b"dewstep-deadline", b"%.6f" % stamp.deadline.total_seconds()),
        )
        return h11.Request(
            method=request.method.encode("latin-1"),
            target=request.path.encode("latin-1"),
            headers=headers,
        )
