"""Deterministic choice of members: weighted rendezvous hashing over ring candidates.

Rendezvous hashing over all members computes a hash for every member and slice. At the
deployment size that this code is made for, the loss of a failure domain would cost
hundreds of millions of hashes. Here a slice first finds a few candidates on a hash ring
by binary search. Weighted rendezvous hashing then chooses among these alone, so the
cost of a choice does not depend on the number of members.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core.hashing import hash64

if TYPE_CHECKING:
    import random

#: Number of candidates among which a name's member is chosen.
CANDIDATE_COUNT = 8
#: Number of different 64-bit hashes.
_HASH_RANGE = float(1 << 64)


@dataclass(frozen=True, slots=True, order=True)
class RingPosition:
    """Position of a member on a ring.

    Parameters
    ----------
    point : int
        64-bit hash of the member id, by which the ring is ordered.
    member : str
        Id of the member.
    weight : float
        Positive weight; the chance that the member is chosen grows with it.
    """

    point: int
    member: str
    weight: float


def ring_position_of(member: str, weight: float) -> RingPosition:
    """Return the position of a member, which is the same on every ring."""
    return RingPosition(hash64(member), member, weight)


class Ring:
    """Members of one pool in the order of their hashes.

    Its length is the number of members.
    """

    def __init__(self) -> None:
        self._positions: list[RingPosition] = []
        #: Sum of the weights of all members.
        self.total_weight = 0.0

    def __len__(self) -> int:
        return len(self._positions)

    def add(self, member: str, weight: float) -> None:
        """Add `member` with a positive `weight`."""
        self.add_position(ring_position_of(member, weight))

    def add_position(self, position: RingPosition) -> None:
        """Add a position, which other rings may share."""
        insort(self._positions, position)
        self.total_weight += position.weight

    def remove(self, member: str) -> None:
        """Remove `member` from the ring if it is there."""
        point = hash64(member)
        index = bisect_left(self._positions, point, key=lambda each: each.point)
        while index < len(self._positions) and self._positions[index].point == point:
            if self._positions[index].member == member:
                self.total_weight -= self._positions[index].weight
                del self._positions[index]
                return
            index += 1

    def sample(self, rng: random.Random, count: int) -> list[RingPosition]:
        """Return up to `count` positions, drawn at random without repeats.

        Parameters
        ----------
        rng : random.Random
            Source of randomness; it is not used if the ring has at most `count`
            members.
        count : int
            Largest number of positions.

        Returns
        -------
        list of RingPosition
        """
        if len(self._positions) <= count:
            return list(self._positions)
        return rng.sample(self._positions, count)

    def ranked(self, name: str) -> Iterator[str]:
        """Yield the id of every member once, in ring order from the hash of `name` on.

        The order depends on `name` and the members alone.
        """
        for position in self._from_point(hash64(name)):
            yield position.member

    def _from_point(self, point: int) -> Iterator[RingPosition]:
        start = bisect_left(self._positions, point, key=lambda each: each.point)
        for step in range(len(self._positions)):
            yield self._positions[(start + step) % len(self._positions)]

    def _candidates(self, name: str) -> list[RingPosition]:
        if len(self._positions) <= CANDIDATE_COUNT:
            return self._positions
        found: dict[str, RingPosition] = {}
        for probe in range(CANDIDATE_COUNT):
            point = hash64(name, seed=probe)
            position = next(self._from_point(point))
            found[position.member] = position
        return list(found.values())

    def choose(self, name: str) -> str | None:
        """Return the member for `name`.

        The chance of a member grows with its weight. On a ring of up to
        `CANDIDATE_COUNT` members, adding or removing one changes the choice only for
        the names that this member gets or had. On a larger ring it also changes the
        choice for a few names that have or had this member as a candidate. Only slices
        without an owner are assigned in this way, so a change of the ring moves no
        slice by itself.

        Parameters
        ----------
        name : str
            Name of the slice or other item.

        Returns
        -------
        str or None
            Id of the member; none if the ring is empty.
        """
        candidates = self._candidates(name)
        best = max(
            candidates, key=lambda each: _rendezvous_score(name, each), default=None
        )
        return best.member if best else None


def _rendezvous_score(name: str, position: RingPosition) -> tuple[float, str]:
    # The bound below 1 keeps the logarithm from being zero.
    draw = (hash64(f"{name}|{position.member}") + 1) / _HASH_RANGE
    return -position.weight / math.log(min(draw, 1 - 1e-15)), position.member
