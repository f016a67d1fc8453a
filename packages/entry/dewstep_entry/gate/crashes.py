"""Writes crash suspects to the table and reads those of other gates."""

import asyncio
from collections.abc import Callable

from returns import result

from dewstep_core import data, errors, events
from dewstep_entry import interfaces
from dewstep_entry.gate import quarantine, rows

# Attempts to write a row that other gates change at the same time.
WRITE_ATTEMPTS = 3


class CrashRecorder:
    """Synchronises a suspect table with the table service.

    While the table service is down, crashes are counted in this gate only. Other gates
    read them after the next successful write.
    """

    def __init__(
        self,
        service: str,
        table: interfaces.TableClient,
        make_operation_id: Callable[[], str],
    ):
        self.service = service
        self.table = table
        self.make_operation_id = make_operation_id
        self.suspects = quarantine.SuspectTable()

    async def receive_crash(self, fingerprints: list[str], alone: bool) -> None:
        """Count a crash and write the rows of its suspects."""
        records = self.suspects.receive_crash(fingerprints, alone)
        for record in records:
            events.warning(
                "crash_suspect",
                service=self.service,
                fingerprint=record.fingerprint,
                crashes=record.crashes,
                state=record.state,
            )
        await asyncio.gather(*(self.write(record, alone) for record in records))

    async def write(self, record: rows.QuarantineRecord, alone: bool) -> None:
        """Write one row; after a conflict, merge it with the row of the other gate."""
        key = rows.make_quarantine_key(self.service, record.fingerprint)
        for _ in range(WRITE_ATTEMPTS):
            operation_id = self.make_operation_id()
            outcome = await self.table.commit(
                data.Transaction(
                    operation_id,
                    (data.Check(key, record.version),),
                    (data.Write(key, rows.encode_quarantine(record, operation_id)),),
                )
            )
            if isinstance(outcome, result.Success):
                version = outcome.unwrap().versions[key]
                self.suspects.note_row_written(record, version)
                return
            if not isinstance(outcome.failure(), errors.Conflict):
                break
            found = await self.table.read(key)
            if isinstance(found, result.Failure):
                break
            record = self.merge(record, found.unwrap(), alone)
        events.warning(
            "suspect_not_written",
            service=self.service,
            fingerprint=record.fingerprint,
        )

    def merge(
        self, record: rows.QuarantineRecord, row: data.Row, alone: bool
    ) -> rows.QuarantineRecord:
        """Return the record to write over `row`."""
        if row.value is None:
            return record._replace(version=0)
        decoded = rows.decode_quarantine(row)
        if isinstance(decoded, result.Failure):
            return record._replace(version=row.version)
        return self.suspects.merge_row(decoded.unwrap(), alone)

    async def receive_success(self, fingerprint: str) -> None:
        """Clear a suspect that completed, and delete its row."""
        record = self.suspects.receive_success(fingerprint)
        if record is None:
            return
        key = rows.make_quarantine_key(self.service, fingerprint)
        await self.table.commit(
            data.Transaction(
                self.make_operation_id(),
                (data.Check(key, record.version),),
                (data.Write(key, None),),
            )
        )

    async def refresh(self) -> result.Result[None, interfaces.Failure]:
        """Read all rows of the service."""
        written = self.suspects.get_row_versions()
        found = await self.table.read_prefix(rows.make_quarantine_key(self.service))
        if isinstance(found, result.Failure):
            return found
        decoded = [rows.decode_quarantine(row) for row in found.unwrap()]
        records = [
            item.unwrap() for item in decoded if isinstance(item, result.Success)
        ]
        self.suspects.receive_rows(records, written)
        return result.Success(None)
