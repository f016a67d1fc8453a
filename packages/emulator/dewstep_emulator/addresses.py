"""Free ports, addresses and control calls for the processes of a test fleet."""

import itertools
import random
import socket
from collections.abc import Iterator, Mapping
from typing import Any

from returns import result

from dewstep_core import settings
from dewstep_core.http import client

HOST = "127.0.0.1"
CALL_TIMEOUT_SECONDS = 5.0
"""Longest time that a control call takes."""


FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Below the kernel's range of ephemeral ports; an outgoing connection could otherwise
occupy a port before its process listens on it."""
PORTS_PER_RANGE = 200


class PortRange:
    """A range of ports that is reserved for this process.

    Several fleets can run at the same time. Without separate ranges, two of them could
    choose the same port before either listens on it. To reserve the range, this process
    listens on its first port until it ends.
    """

    def __init__(self):
        self.marker: socket.socket | None = None
        self.ports: Iterator[int] = iter(())

    def reserve_range(self) -> None:
        """Reserve a range that no other process has reserved."""
        starts = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_RANGE))
        random.SystemRandom().shuffle(starts)
        for start in starts:
            marker = socket.socket()
            try:
                marker.bind((HOST, start))
                marker.listen(1)
            except OSError:
                marker.close()
                continue
            self.marker = marker
            self.ports = itertools.cycle(range(start + 1, start + PORTS_PER_RANGE))
            return
        raise OSError(
            f"no free range of {PORTS_PER_RANGE} ports in {FIRST_PORT}-{LAST_PORT}"
        )

    def find_free(self) -> int:
        """Return a port of the range that no process listens on."""
        if self.marker is None:
            self.reserve_range()
        for _ in range(PORTS_PER_RANGE):
            port = next(self.ports)
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
                return port
        raise OSError(f"none of {PORTS_PER_RANGE} reserved ports is free")


port_range = PortRange()


def find_free_port() -> int:
    """Return a free port that no other process chooses."""
    return port_range.find_free()


def get_address(line: Mapping[str, Any]) -> settings.Address:
    """Return the main address in the JSON line that an emulated service prints."""
    return settings.Address(line["host"], line["port"])


def format_address(line: Mapping[str, Any]) -> str:
    """Return the main address in the JSON line, in the notation of settings."""
    return f"{line['host']}:{line['port']}"


async def post_json(
    address: settings.Address, path: str, value: Mapping[str, Any]
) -> result.Result:
    """Send a JSON value to a control port and return the answer.

    Raises
    ------
    returns.primitives.exceptions.UnwrapFailedError
        If the call fails; a test must not continue without the requested fault.
    ValueError
        If the answer has another status than 200.
    """
    caller = client.Client(address, CALL_TIMEOUT_SECONDS)
    answer = await caller.call_json("POST", path, value)
    await caller.close()
    response = answer.unwrap()
    if response.status != 200:
        raise ValueError(f"{path}: status {response.status}: {response.body!r}")
    return answer
