"""Discovery of entry processes, and calls to their operator ports."""

import asyncio
import http.client
import json
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

from returns import result

from dewstep_core import fields, settings
from dewstep_operator import failures

READ_TIMEOUT_SECONDS = 5.0
ORDER_TIMEOUT_SECONDS = 60.0
"""The answer to a move is sent once the running requests of the shard have ended, which
their deadlines limit to seconds."""

MAXIMUM_ANSWER_BYTES = 64 << 20


class EntryClient(Protocol):
    """Protocol for calls to the operator ports of entry processes."""

    async def get(
        self, address: settings.Address, path: str
    ) -> result.Result[Any, failures.Failure]:
        """Return the JSON document at `path`."""

    async def post(
        self, address: settings.Address, path: str, document: Mapping
    ) -> result.Result[Any, failures.Failure]:
        """Send an order and return the JSON document of the answer.

        Fails with `EntryUnreachable` (nothing was sent), `OrderRefused` (the order had
        no effect) or `EntryAnswerLost` (it may have taken effect).
        """


class HttpEntryClient:
    """Client over HTTP/1.1 with a new connection for each call."""

    async def get(
        self, address: settings.Address, path: str
    ) -> result.Result[Any, failures.Failure]:
        """Return the JSON document at `path`."""
        return await asyncio.to_thread(
            send_request, address, "GET", path, None, READ_TIMEOUT_SECONDS
        )

    async def post(
        self, address: settings.Address, path: str, document: Mapping
    ) -> result.Result[Any, failures.Failure]:
        """Send an order and return the JSON document of the answer."""
        return await asyncio.to_thread(
            send_request, address, "POST", path, document, ORDER_TIMEOUT_SECONDS
        )


def send_request(
    address: settings.Address,
    method: str,
    path: str,
    document: Mapping | None,
    timeout_seconds: float,
) -> result.Result[Any, failures.Failure]:
    """Send one request and wait for its answer, blocking the thread."""
    name = settings.format_address(address)
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=timeout_seconds
    )
    try:
        connection.connect()
    except OSError as error:
        return result.Failure(failures.EntryUnreachable(name, str(error)))
    body = None if document is None else json.dumps(document).encode()
    try:
        connection.request(method, path, body, {"Content-Type": "application/json"})
        response = connection.getresponse()
        text = response.read(MAXIMUM_ANSWER_BYTES + 1)
        status = response.status
    except (OSError, http.client.HTTPException) as error:
        return result.Failure(failures.EntryAnswerLost(name, str(error)))
    finally:
        connection.close()
    return read_answer(name, status, text)


def read_answer(
    address: str, status: int, content: bytes
) -> result.Result[Any, failures.Failure]:
    """Return the document of an answer, or the failure that corresponds to its status.

    With a status of 500 or more, it is unknown whether an order took effect.
    """
    if status >= 500:
        detail = f"status {status}: {content[:200].decode(errors='replace')}"
        return result.Failure(failures.EntryAnswerLost(address, detail))
    if status >= 300:
        detail = content[:200].decode(errors="replace")
        return result.Failure(failures.OrderRefused(address, status, detail))
    try:
        return result.Success(json.loads(content))
    except ValueError as error:
        return result.Failure(failures.EntryAnswerLost(address, str(error)))


class Entry(NamedTuple):
    """What is known about an entry process from member lists and gate rows."""

    name: str
    data_centre: str | None
    incarnation: str | None
    operator_address: settings.Address | None
    alive: bool | None
    """Whether the process that listed it receives its heartbeats, None if unknown."""


async def find_entries(
    client: EntryClient, seeds: tuple[settings.Address, ...], gate_entries: Mapping
) -> dict[str, Entry]:
    """Return all entry processes that seeds list or gate rows name, by name.

    Parameters
    ----------
    client : EntryClient
        Client for the member lists of the seeds.
    seeds : tuple of Address
        Operator addresses of some entry processes.
    gate_entries : Mapping of str to Address or None
        Entry processes in the rows `gate/`, with the operator address if known.
    """
    found = {
        name: Entry(name, None, None, address, None)
        for name, address in gate_entries.items()
    }
    addresses = dict.fromkeys((*seeds, *(a for a in gate_entries.values() if a)))
    answers = await asyncio.gather(
        *(client.get(seed, "/members") for seed in addresses)
    )
    for answer in answers:
        for entry in read_members(answer.value_or(None)):
            known_entry = found.get(entry.name)
            # A process is assumed to be alive if any peer receives its heartbeats, so
            # that it is not left out while it may still answer.
            if known_entry is None:
                found[entry.name] = entry
            elif not known_entry.alive:
                address = entry.operator_address or known_entry.operator_address
                found[entry.name] = entry._replace(operator_address=address)
    return found


def read_members(document: Any) -> tuple[Entry, ...]:
    """Return the entry processes in an answer to `GET /members`.

    Items without a name are left out. An invalid address is treated as unknown.
    """
    if isinstance(document, Mapping):
        document = document.get("members")
    if not isinstance(document, list):
        return ()
    return tuple(
        Entry(
            item["entry"],
            item.get("data_centre"),
            item.get("incarnation"),
            fields.read_address(item.get("operator_address")),
            item.get("alive") is not False,
        )
        for item in document
        if isinstance(item, Mapping) and isinstance(item.get("entry"), str)
    )


async def read_dump(
    client: EntryClient, entry: Entry
) -> result.Result[Mapping, failures.Failure]:
    """Return the state dump of an entry process."""
    if entry.operator_address is None:
        return result.Failure(failures.EntryAddressUnknown(entry.name))
    answer = await client.get(entry.operator_address, "/dump")
    return answer.bind(
        lambda document: (
            result.Success(document)
            if isinstance(document, Mapping)
            else result.Failure(
                failures.EntryAnswerLost(
                    settings.format_address(entry.operator_address),
                    "the dump is not a JSON object",
                )
            )
        )
    )
