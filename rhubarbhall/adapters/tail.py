"""The newest records of the log, kept so that other daemons can read them here."""

from __future__ import annotations

from collections import deque
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.core.records import StoredRecord
    from rhubarbhall.types import Offset

#: Most records kept; a daemon that is further behind fetches a snapshot.
MAX_RECORDS = 5_000


class RecordTail:
    """Consecutive records that end with the newest one read from the log."""

    def __init__(self) -> None:
        self._records: deque[StoredRecord] = deque(maxlen=MAX_RECORDS)

    @property
    def first_offset(self) -> Offset:
        """Offset of the oldest record kept; 0 if there is none."""
        return self._records[0].offset if self._records else 0

    @property
    def end(self) -> Offset:
        """Offset after the newest record kept; 0 if there is none."""
        return self._records[-1].offset + 1 if self._records else 0

    def add(self, records: tuple[StoredRecord, ...]) -> None:
        """Add records; those added before are skipped."""
        for record in records:
            if self._records and record.offset < self.end:
                continue
            if self._records and record.offset > self.end:
                # Records are missing in between; a read returns only consecutive ones.
                self._records.clear()
            self._records.append(record)

    def read(self, offset: Offset, limit: int) -> tuple[StoredRecord, ...]:
        """Return up to `limit` records from `offset` on."""
        start = max(0, offset - self.first_offset)
        return tuple(islice(self._records, start, start + limit))
