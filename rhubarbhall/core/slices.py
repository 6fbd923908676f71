"""Slices: the unit of ownership that keys hash to, and the table of owners."""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple

from rhubarbhall.core.hashing import hash64

if TYPE_CHECKING:
    from rhubarbhall.types import ServiceName, SliceIndex

NO_OWNER = -1
#: Owner of a slice that no key belongs to at present.
NOT_IN_USE = -2
MAX_SLICES_PER_SERVICE = 1 << 20


def slice_of_key(key: str, slice_count: int) -> int:
    """Return the slice that `key` belongs to.

    Examples
    --------
    >>> slice_of_key("batch-7", 64) == slice_of_key("batch-7", 64)
    True
    """
    return hash64(key) % slice_count


class SliceRef(NamedTuple):
    """One slice of one service."""

    service: ServiceName
    index: SliceIndex

    def __str__(self) -> str:
        return f"{self.service}/{self.index}"


class OwnerTable:
    """Owner and epoch of each slice of one service, held in flat arrays.

    Parameters
    ----------
    slice_count : int
        Number of slices. A slice takes 8 bytes.
    """

    def __init__(self, slice_count: int) -> None:
        #: Slices that keys hash to; those after them are for single hot keys.
        self.hashed = slice_count
        self.index_by_hot_key: dict[str, int] = {}
        self.not_in_use: list[int] = []
        self.owners = array("i", [NO_OWNER]) * slice_count
        self.epochs = array("I", [0]) * slice_count
        #: Earlier owners not yet known to have stopped, oldest first.
        self.predecessors: dict[int, tuple[int, ...]] = {}

    def __len__(self) -> int:
        return len(self.owners)

    @property
    def in_use(self) -> int:
        """Number of slices that keys belong to."""
        return len(self.owners) - len(self.not_in_use)

    def index_of(self, key: str) -> int:
        """Return the slice of a key."""
        index = self.index_by_hot_key.get(key)
        return slice_of_key(key, self.hashed) if index is None else index

    def split_out(self, key: str, owner: int) -> int:
        """Give `key` a slice of its own under an epoch that is new to it."""
        parent_epoch = self.epochs[slice_of_key(key, self.hashed)]
        if self.not_in_use:
            index = self.not_in_use.pop()
        else:
            index = len(self.owners)
            self.owners.append(NO_OWNER)
            self.epochs.append(0)
        self.epochs[index] = max(self.epochs[index], parent_epoch)
        self.assign(index, owner)
        self.index_by_hot_key[key] = index
        return index

    def merge_back(self, key: str) -> int:
        """Take the own slice of `key` out of use and return its index."""
        index = self.index_by_hot_key.pop(key)
        self.assign(index, NOT_IN_USE)
        self.not_in_use.append(index)
        return index

    def owned_by(self, owner: int) -> Iterator[int]:
        """Yield the slices whose owner has the number `owner`."""
        position = 0
        try:
            while True:
                position = self.owners.index(owner, position)
                yield position
                position += 1
        except ValueError:
            return

    def assign(
        self, index: int, owner: int, predecessors: tuple[int, ...] = ()
    ) -> None:
        """Give the slice `index` to `owner` under the next epoch."""
        self.owners[index] = owner
        self.epochs[index] += 1
        if predecessors:
            self.predecessors[index] = predecessors
        else:
            self.predecessors.pop(index, None)

    def close(self, numbers: set[int]) -> None:
        """Strike members that have stopped from the lists of predecessors."""
        for index, listed in list(self.predecessors.items()):
            left = tuple(each for each in listed if each not in numbers)
            if left:
                self.predecessors[index] = left
            else:
                del self.predecessors[index]
