"""Slices: the unit of ownership that keys hash to, and the table of owners."""

from __future__ import annotations

from array import array
from collections.abc import Iterator

from rhubarbhall.core.hashing import hash64

NO_OWNER = -1
MAX_SLICES_PER_SERVICE = 1 << 20


def slice_of_key(key: str, slice_count: int) -> int:
    """Return the slice that `key` belongs to.

    Examples
    --------
    >>> slice_of_key("batch-7", 64) == slice_of_key("batch-7", 64)
    True
    """
    return hash64(key) % slice_count


class OwnerTable:
    """Owner and epoch of each slice of one service, held in flat arrays.

    Parameters
    ----------
    slice_count : int
        Number of slices. A slice takes 8 bytes.
    """

    def __init__(self, slice_count: int) -> None:
        self.owners = array("i", [NO_OWNER]) * slice_count
        self.epochs = array("I", [0]) * slice_count
        #: Earlier owners not yet known to have stopped, oldest first.
        self.predecessors: dict[int, tuple[int, ...]] = {}

    def __len__(self) -> int:
        return len(self.owners)

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
