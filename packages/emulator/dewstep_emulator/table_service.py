"""Emulates the platform's transactional table service.

Usage: ``python -m dewstep_emulator.table_service --port 0``. The protocol is described
in docs/platform.md.
"""

from typing import Any, NamedTuple

from dewstep_core.http import exchanges, routing
from dewstep_emulator import rate_limited

ROWS_PER_READ = 100
"""Rows of a prefix read that count as one read against the rate limit."""


class StoredRow(NamedTuple):
    """The newest version of a row; the value is None after a deletion."""

    version: int
    value: dict | None


class Table:
    """Rows whose versions never decrease, also across deletions."""

    def __init__(self):
        self.rows: dict[str, StoredRow] = {}

    def get_version(self, key: str) -> int:
        """Return the version for checks of transactions, 0 for an absent row."""
        row = self.rows.get(key)
        return 0 if row is None or row.value is None else row.version

    def read(self, key: str) -> dict[str, Any] | None:
        """Return the JSON form of a row, or None if it is absent."""
        row = self.rows.get(key)
        if row is None or row.value is None:
            return None
        return {"key": key, "version": row.version, "value": row.value}

    def read_prefix(self, prefix: str) -> list[dict[str, Any]]:
        """Return the JSON forms of all rows whose keys start with `prefix`."""
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return [row for row in map(self.read, keys) if row is not None]

    def find_conflicts(self, checks: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Return the key and current version of each check that fails."""
        return [
            {"key": check["key"], "version": self.get_version(check["key"])}
            for check in checks
            if self.get_version(check["key"]) != check["version"]
        ]

    def write(self, writes: list[dict[str, Any]]) -> dict[str, int]:
        """Apply writes and return the new versions, 0 for deleted rows."""
        versions = {}
        for item in writes:
            key, value = item["key"], item["value"]
            last = self.rows.get(key, StoredRow(0, None)).version
            # A deletion keeps the version, so that a later write does not reuse one.
            version = last if value is None else last + 1
            self.rows[key] = StoredRow(version, value)
            versions[key] = 0 if value is None else version
        return versions


def is_transaction(form: Any) -> bool:
    """Return whether a JSON value is a well-formed transaction."""
    if not isinstance(form, dict) or not isinstance(form.get("operation_id"), str):
        return False
    checks, writes = form.get("checks"), form.get("writes")
    if not isinstance(checks, list) or not isinstance(writes, list):
        return False
    keys = [item.get("key") for item in (*checks, *writes) if isinstance(item, dict)]
    return (
        len(keys) == len(checks) + len(writes)
        and all(isinstance(key, str) and key for key in keys)
        and all(isinstance(item.get("version"), int) for item in checks)
        and all(isinstance(item.get("value", 0), dict | None) for item in writes)
        and len({item["key"] for item in writes}) == len(writes)
    )


class TableService(rate_limited.RateLimitedService):
    """The HTTP service of the table, with rate limits and fault injection.

    Parameters
    ----------
    *limits, **options
        As for `rate_limited.RateLimitedService`.
    """

    def __init__(self, *limits: float, **options: Any):
        super().__init__(*limits, **options)
        self.table = Table()
        self.counts = {"reads": 0, "writes": 0, "conflicts": 0, "refused": 0}
        self.add_route("POST", "/transactions", self.commit)
        self.add_route("GET", "/rows/{key}", self.read)
        self.add_route("GET", "/rows", self.read_prefix)
        self.add_route("GET", "/counts", self.show_counts)

    async def commit(self, call: routing.Call) -> exchanges.Response:
        """Answer `POST /transactions`."""
        form = call.read_json()
        if not is_transaction(form):
            return exchanges.build_json(400, {"error": "malformed transaction"})
        wait = self.write_bucket.take_tokens(
            max(1, len(form["writes"])), self.monotonic()
        )
        if wait > 0:
            return self.refuse(wait)
        if conflicts := self.table.find_conflicts(form["checks"]):
            self.counts["conflicts"] += 1
            answer = {"committed": False, "conflicts": conflicts}
            return exchanges.build_json(409, answer)
        self.counts["writes"] += len(form["writes"])
        versions = self.table.write(form["writes"])
        return exchanges.build_json(200, {"committed": True, "versions": versions})

    async def read(self, call: routing.Call) -> exchanges.Response:
        """Answer `GET /rows/<key>`."""
        if (wait := self.read_bucket.take_tokens(1, self.monotonic())) > 0:
            return self.refuse(wait)
        self.counts["reads"] += 1
        row = self.table.read(call.parameter)
        if row is None:
            return exchanges.build_json(404, {"error": "no such row"})
        return exchanges.build_json(200, row)

    async def read_prefix(self, call: routing.Call) -> exchanges.Response:
        """Answer `GET /rows?prefix=P`."""
        rows = self.table.read_prefix(call.query.get("prefix", ""))
        cost = max(1, -(-len(rows) // ROWS_PER_READ))
        if (wait := self.read_bucket.take_tokens(cost, self.monotonic())) > 0:
            return self.refuse(wait)
        self.counts["reads"] += cost
        return exchanges.build_json(200, {"rows": rows})

    def refuse(self, wait: float) -> exchanges.Response:
        """Return the answer to a call that exceeds the rate limit."""
        self.counts["refused"] += 1
        headers = (("Retry-After", str(max(1, round(wait)))),)
        return exchanges.build_json(429, {"error": "rate exceeded"}, headers)

    async def show_counts(self, call: routing.Call) -> exchanges.Response:
        """Answer `GET /counts` with the numbers of operations since the start."""
        return exchanges.build_json(200, self.counts)


if __name__ == "__main__":
    rate_limited.run_service(TableService)
