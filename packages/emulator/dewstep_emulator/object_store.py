"""Stand-in for the platform's object store.

Usage: ``python -m dewstep_emulator.object_store --port 0``. The protocol is in
docs/platform.md.
"""

import time

import typer

from dewstep_core.http import server
from dewstep_emulator import program, rates

WRITES_PER_SECOND = 400.0
READS_PER_SECOND = 2000.0
MAXIMUM_OBJECT_BYTES = 32 * 1024 * 1024


class ObjectStore(program.PlatformService):
    """Named objects in memory behind HTTP.

    Parameters
    ----------
    writes_per_second, reads_per_second : float
        Limits; 0 means none.
    """

    def __init__(
        self,
        writes_per_second: float = WRITES_PER_SECOND,
        reads_per_second: float = READS_PER_SECOND,
    ):
        super().__init__(body_limit=MAXIMUM_OBJECT_BYTES)
        self.objects: dict[str, bytes] = {}
        self.write_bucket = rates.TokenBucket(writes_per_second, writes_per_second)
        self.read_bucket = rates.TokenBucket(reads_per_second, reads_per_second)
        self.add_route("PUT", "/objects/{name}", self.write)
        self.add_route("GET", "/objects/{name}", self.read)

    async def write(self, call: server.Call) -> server.Response:
        """Answer `PUT /objects/<name>`."""
        if self.write_bucket.take(1, time.monotonic()) > 0:
            return server.build_json(429, {"error": "rate exceeded"})
        self.objects[call.parameter] = call.body
        return server.build_json(200, {"bytes": len(call.body)})

    async def read(self, call: server.Call) -> server.Response:
        """Answer `GET /objects/<name>`."""
        if self.read_bucket.take(1, time.monotonic()) > 0:
            return server.build_json(429, {"error": "rate exceeded"})
        content = self.objects.get(call.parameter)
        if content is None:
            return server.build_json(404, {"error": "no such object"})
        headers = (("Content-Type", "application/octet-stream"),)
        return server.Response(200, content, headers)


def main(
    host: str = "127.0.0.1",
    port: int = 0,
    control_port: int = 0,
    writes_per_second: float = WRITES_PER_SECOND,
    reads_per_second: float = READS_PER_SECOND,
) -> None:
    """Run the object store."""
    program.run(
        lambda: ObjectStore(writes_per_second, reads_per_second),
        program.Listening(host, port, control_port),
    )


if __name__ == "__main__":
    typer.run(main)
