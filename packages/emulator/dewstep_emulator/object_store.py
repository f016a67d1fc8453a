"""Emulates the platform's object store.

Usage: ``python -m dewstep_emulator.object_store --port 0``. The protocol is described
in docs/platform.md.
"""

from typing import Any

from dewstep_core.http import exchanges, routing
from dewstep_emulator import rate_limited

MAXIMUM_OBJECT_BYTES = 32 * 1024 * 1024


class ObjectStore(rate_limited.RateLimitedService):
    """An HTTP service that stores named objects in memory.

    Parameters
    ----------
    *limits, **options
        As for `rate_limited.RateLimitedService`.
    """

    def __init__(self, *limits: float, **options: Any):
        super().__init__(*limits, body_limit=MAXIMUM_OBJECT_BYTES, **options)
        self.objects: dict[str, bytes] = {}
        self.add_route("PUT", "/objects/{name}", self.write)
        self.add_route("GET", "/objects/{name}", self.read)

    async def write(self, call: routing.Call) -> exchanges.Response:
        """Answer `PUT /objects/<name>`."""
        if self.write_bucket.take_tokens(1, self.monotonic()) > 0:
            return exchanges.build_json(429, {"error": "rate exceeded"})
        self.objects[call.parameter] = call.body
        return exchanges.build_json(200, {"bytes": len(call.body)})

    async def read(self, call: routing.Call) -> exchanges.Response:
        """Answer `GET /objects/<name>`."""
        if self.read_bucket.take_tokens(1, self.monotonic()) > 0:
            return exchanges.build_json(429, {"error": "rate exceeded"})
        content = self.objects.get(call.parameter)
        if content is None:
            return exchanges.build_json(404, {"error": "no such object"})
        headers = (("Content-Type", "application/octet-stream"),)
        return exchanges.Response(200, content, headers)


if __name__ == "__main__":
    rate_limited.run_service(ObjectStore)
