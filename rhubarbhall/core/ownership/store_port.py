"""The port to the platform's store: records with keys in an append-only log.

The store may be restored from an older copy. Offsets that were given out after the copy
was made are then given out again, for other records. The epoch of the store counts the
restores, and a position combines it with the offset, so positions only grow. In epoch 0
a position equals the offset. All offsets in this port, in the directory and between
routers are positions.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeAlias

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.entries import Entry
    from rhubarbhall.types import Offset, Seconds, StoreEpoch

#: Bits of a position that hold the offset; the epoch is above them.
OFFSET_BITS = 40


def position(epoch: StoreEpoch, offset: int) -> Offset:
    """Return the position of the record at an offset of the log in an epoch."""
    return epoch << OFFSET_BITS | offset


def epoch_of(position: Offset) -> StoreEpoch:
    """Return the epoch of a position; 0 for -1, which stands for no record."""
    return max(0, position) >> OFFSET_BITS


def offset_of(position: Offset) -> int:
    """Return the offset in the log of a position."""
    return position & (1 << OFFSET_BITS) - 1


@dataclass(frozen=True, slots=True)
class NewestPage:
    """A page of the newest records of each key.

    Parameters
    ----------
    entries : tuple of Entry
        The records of the page.
    after : str, optional
        Key after which the next page begins; `None` on the last page.
    end : int
        Offset after the last record of the log.
    """

    entries: tuple[Entry, ...]
    after: str | None
    end: Offset


@dataclass(frozen=True, slots=True)
class Tail:
    """The records of the log from an offset on.

    Parameters
    ----------
    entries : tuple of Entry
        The records that could be decoded.
    next_offset : int
        Offset after the last record of the answer, whether it could be decoded or not.
    end : int
        Offset after the last record of the log.
    """

    entries: tuple[Entry, ...]
    next_offset: Offset
    end: Offset


@dataclass(frozen=True, slots=True)
class Trimmed:
    """The requested records have been deleted from the log."""


@dataclass(frozen=True, slots=True)
class Appended:
    """A record was written.

    Parameters
    ----------
    offset : int
        Offset of the record.
    """

    offset: Offset


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another writer appended first, so the record was not written."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store gave no useful answer.

    Parameters
    ----------
    reason : str
        The error, or the answer that was not understood.
    outcome_unknown : bool
        Whether the write may have been carried out or may still be carried out.
    """

    reason: str
    outcome_unknown: bool = False


ReadResult: TypeAlias = "NewestPage | Tail | Trimmed | Unavailable"
AppendResult: TypeAlias = "Appended | Conflict | Unavailable"


@dataclass(frozen=True, slots=True)
class LongPoll:
    """How long a read of new records may take.

    Parameters
    ----------
    hold_s : float
        How long the store holds the read open while there is no new record, in seconds.
    answer_timeout_s : float
        Time for the answer beyond that, in seconds. A connection may go silent without
        a reset, so a longer read notices it later.
    """

    hold_s: Seconds
    answer_timeout_s: Seconds


#: Time for the answer to any other call, in seconds.
ANSWER_TIMEOUT_S = 2.5
#: A read that the store answers at once, with or without records.
NO_WAIT = LongPoll(0.0, ANSWER_TIMEOUT_S)


class Store(Protocol):
    """Operations of the platform's store.

    Each call returns at once and calls `on_done` once, later.
    """

    def read_newest(
        self, topic: str, after: str | None, on_done: Callable[[ReadResult], None]
    ) -> None:
        """Read the newest record of each key."""

    def read_tail(
        self,
        topic: str,
        offset: Offset,
        poll: LongPoll,
        on_done: Callable[[ReadResult], None],
    ) -> None:
        """Read the records from `offset` on.

        If there is none, the store waits for one as long as the poll says.
        """

    def append(
        self,
        topic: str,
        key: str,
        value: bytes,
        at: Offset | None,
        on_done: Callable[[AppendResult], None],
    ) -> None:
        """Append a record; if `at` is given, only if the log ends at that offset."""
