"""Records of the store as they were read, before their values are decoded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Offset


@dataclass(frozen=True, slots=True)
class Entry:
    """One record of the store.

    Parameters
    ----------
    offset : int
        Position in the log; of two records with the same key, the higher one counts.
    key : str
        Key that the record is stored under.
    value : bytes
        Content; empty if the key was deleted.
    """

    offset: Offset
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """A record that cannot be decoded; the value before it stays in force.

    Parameters
    ----------
    entry : Entry
        The record.
    reason : str
        Why it cannot be decoded.
    """

    entry: Entry
    reason: str
