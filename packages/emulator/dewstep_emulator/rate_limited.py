"""Base class and main program of the emulated services that have rate limits."""

import time
from collections.abc import Callable

import typer

from dewstep_core.http import exchanges
from dewstep_emulator import program, rates

WRITES_PER_SECOND = 400.0
READS_PER_SECOND = 2000.0


class RateLimitedService(program.PlatformService):
    """A platform service with rate limits for reads and writes.

    Parameters
    ----------
    writes_per_second, reads_per_second : float
        Rate limits; 0 means no limit.
    monotonic : callable, optional
        Returns the time in seconds.
    body_limit : int, optional
        Largest request body in bytes.
    """

    def __init__(
        self,
        writes_per_second: float = WRITES_PER_SECOND,
        reads_per_second: float = READS_PER_SECOND,
        monotonic: Callable[[], float] = time.monotonic,
        body_limit: int = exchanges.MAXIMUM_BODY_BYTES,
    ):
        super().__init__(body_limit=body_limit)
        self.monotonic = monotonic
        self.write_bucket = rates.TokenBucket(writes_per_second, writes_per_second)
        self.read_bucket = rates.TokenBucket(reads_per_second, reads_per_second)


def run_service(build: Callable[[float, float], RateLimitedService]) -> None:
    """Run the service as the main program; `build` gets the limits of its options."""

    def main(
        host: str = "127.0.0.1",
        port: int = 0,
        control_port: int = 0,
        writes_per_second: float = WRITES_PER_SECOND,
        reads_per_second: float = READS_PER_SECOND,
    ) -> None:
        """Run the service."""
        program.run(
            lambda: build(writes_per_second, reads_per_second),
            program.ListenOptions(host, port, control_port),
        )

    typer.run(main)
