"""The port to the platform's store: keyed records in an append-only log."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeAlias

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.directory import Entry
    from rhubarbhall.types import Offset, Seconds


@dataclass(frozen=True, slots=True)
class NewestPage:
    """The newest record of each key, in part.

    Parameters
    ----------
    entries : tuple of Entry
        The records.
    after : str, optional
        Key that the next page begins after; none on the last page.
    end : int
        Offset after the last record of the log.
    """

    entries: tuple[Entry, ...]
    after: str | None
    end: Offset


@dataclass(frozen=True, slots=True)
class Tail:
    """The records from an offset on.

    Parameters
    ----------
    entries : tuple of Entry
        The records that could be read.
    next_offset : int
        Offset after the last record of the answer, readable or not.
    end : int
        Offset after the last record of the log.
    """

    entries: tuple[Entry, ...]
    next_offset: Offset
    end: Offset


@dataclass(frozen=True, slots=True)
class Trimmed:
    """The records asked for have been dropped."""


@dataclass(frozen=True, slots=True)
class Appended:
    """A record was written.

    Parameters
    ----------
    offset : int
        Its offset.
    """

    offset: Offset


@dataclass(frozen=True, slots=True)
class Conflict:
    """Somebody else has written since; nothing was done."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store gave no useful answer.

    Parameters
    ----------
    reason : str
        What came instead.
    may_be_done : bool
        Whether a write may have been carried out, or still be.
    """

    reason: str
    may_be_done: bool = False


ReadResult: TypeAlias = "NewestPage | Tail | Trimmed | Unavailable"
AppendResult: TypeAlias = "Appended | Conflict | Unavailable"


class Store(Protocol):
    """What the platform's store does; each call answers once, later."""

    def read_newest(
        self, topic: str, after: str | None, on_done: Callable[[ReadResult], None]
    ) -> None:
        """Read the newest record of each key."""

    def read_tail(
        self,
        topic: str,
        offset: Offset,
        wait_s: Seconds,
        on_done: Callable[[ReadResult], None],
    ) -> None:
        """Read the records from `offset` on; wait for one if there is none."""

    def append(
        self,
        topic: str,
        key: str,
        value: bytes,
        at: Offset | None,
        on_done: Callable[[AppendResult], None],
    ) -> None:
        """Write a record, if the log ends at `at` where that is given."""
