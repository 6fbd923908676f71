"""The newest records, kept to be relayed to other daemons."""

from __future__ import annotations

from collections import deque
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.core.records import StoredRecord
    from rhubarbhall.types import Offset

#: Records kept; a daemon that is further behind fetches a snapshot.
KEPT_RECORDS = 5_000


class RecordTail:
    """A run of consecutive records that ends with the newest one read."""

    def __init__(self) -> None:
        self._records: deque[StoredRecord] = deque(maxlen=KEPT_RECORDS)

    @property
    def first_offset(self) -> Offset:
        """Offset of the oldest record kept."""
        return self._records[0].offset if self._records else 0

    @property
    def end(self) -> Offset:
        """Offset after the newest record kept."""
        return self._records[-1].offset + 1 if self._records else 0

    def add(self, records: tuple[StoredRecord, ...]) -> None:
        """Add records; those known already are passed over."""
        for record in records:
            if self._records and record.offset < self.end:
                continue
            if self._records and record.offset > self.end:
                # A gap: what came before cannot be relayed with what follows.
                self._records.clear()
            self._records.append(record)

    def read(self, offset: Offset, limit: int) -> tuple[StoredRecord, ...]:
        """Return up to `limit` records from `offset` on."""
        start = max(0, offset - self.first_offset)
        return tuple(islice(self._records, start, start + limit))
