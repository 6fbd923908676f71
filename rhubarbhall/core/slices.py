"""Slices, the units of ownership that keys hash to, and the tables of their owners.

Each key of a service hashes to one of a fixed number of slices. A hot key can get a
further slice of its own.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple

from rhubarbhall.core.hashing import hash64

if TYPE_CHECKING:
    from rhubarbhall.types import ServiceName, SliceIndex

#: Owner number of a slice that has no owner.
NO_OWNER = -1
#: Owner number of a slice that was split out for a hot key and merged back, so that no
#: key belongs to it.
NOT_IN_USE = -2
#: Most slices that a service may have for its keys to hash to.
MAX_SLICES_PER_SERVICE = 1 << 20


def slice_of_key(key: str, slice_count: int) -> int:
    """Return the index of the slice that `key` hashes to.

    A hot key may have a slice of its own instead, see `OwnerTable.index_of`.

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
    """Owner and epoch of each slice of one service, in flat arrays.

    Owners are given by the short numbers of members in the directory. The epoch of
    a slice grows with each change of its owner.

    Parameters
    ----------
    slice_count : int
        Number of slices that keys hash to. A slice takes 8 bytes.
    """

    def __init__(self, slice_count: int) -> None:
        #: Number of slices that keys hash to; the slices after them are for single hot
        #: keys.
        self.hashed = slice_count
        #: Slices of the keys that have a slice of their own.
        self.index_by_hot_key: dict[str, int] = {}
        #: Slices that were merged back, which the next hot keys reuse.
        self.not_in_use: list[int] = []
        self.owners = array("i", [NO_OWNER]) * slice_count
        self.epochs = array("I", [0]) * slice_count
        #: Earlier owners by slice that are not known to have stopped, oldest first.
        self.predecessors: dict[int, tuple[int, ...]] = {}

    def __len__(self) -> int:
        return len(self.owners)

    @property
    def in_use(self) -> int:
        """Number of slices that keys may belong to."""
        return len(self.owners) - len(self.not_in_use)

    def index_of(self, key: str) -> int:
        """Return the index of the slice that `key` belongs to."""
        index = self.index_by_hot_key.get(key)
        return slice_of_key(key, self.hashed) if index is None else index

    def split_out(self, key: str, owner: int) -> int:
        """Give `key` a slice of its own and return the index of that slice.

        The epoch of that slice is higher than the one under which the key was owned so
        far, and than any that the slice had before.
        """
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
        """Take the slice that was split out for `key` out of use; return its index."""
        index = self.index_by_hot_key.pop(key)
        self.assign(index, NOT_IN_USE)
        self.not_in_use.append(index)
        return index

    def owned_by(self, owner: int) -> Iterator[int]:
        """Yield the indexes of the slices whose owner has the number `owner`."""
        start = 0
        try:
            while True:
                start = self.owners.index(owner, start)
                yield start
                start += 1
        except ValueError:
            return

    def assign(
        self, index: int, owner: int, predecessors: tuple[int, ...] = ()
    ) -> None:
        """Set the owner of the slice `index`, its next epoch and its predecessors."""
        self.owners[index] = owner
        self.epochs[index] += 1
        if predecessors:
            self.predecessors[index] = predecessors
        else:
            self.predecessors.pop(index, None)

    def remove_predecessors(self, numbers: set[int]) -> None:
        """Remove members that have stopped from the predecessors of all slices."""
        for index, listed in list(self.predecessors.items()):
            remaining = tuple(each for each in listed if each not in numbers)
            if remaining:
                self.predecessors[index] = remaining
            else:
                del self.predecessors[index]
