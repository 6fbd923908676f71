"""Deterministic choice of members: weighted rendezvous over ring candidates.

A full rendezvous looks at every member for every slice, which costs hundreds
of millions of hashes when a failure domain of the target size is lost. Here a
slice first finds a few candidates on a ring by binary search and then applies
the weighted rendezvous to these alone, so that the cost of a choice does not
depend on the number of members.
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

CANDIDATES = 8
_HASH_SPAN = float(1 << 64)


@dataclass(frozen=True, slots=True, order=True)
class Seat:
    """A member's place on the ring."""

    point: int
    member: str
    weight: float


def seat_of(member: str, weight: float) -> Seat:
    """Return the seat of a member; it is the same in every ring."""
    return Seat(hash64(member), member, weight)


class Ring:
    """Members of one pool in the order of their hashes."""

    def __init__(self) -> None:
        self._seats: list[Seat] = []
        #: Sum of the weights of all members.
        self.total_weight = 0.0

    def __len__(self) -> int:
        return len(self._seats)

    def add(self, member: str, weight: float) -> None:
        """Seat `member` with a positive `weight`."""
        self.add_seat(seat_of(member, weight))

    def add_seat(self, seat: Seat) -> None:
        """Add a seat, which other rings may share."""
        insort(self._seats, seat)
        self.total_weight += seat.weight

    def remove(self, member: str) -> None:
        """Take `member` off the ring if it is seated there."""
        point = hash64(member)
        position = bisect_left(self._seats, point, key=lambda seat: seat.point)
        while position < len(self._seats) and self._seats[position].point == point:
            if self._seats[position].member == member:
                self.total_weight -= self._seats[position].weight
                del self._seats[position]
                return
            position += 1

    def sample(self, rng: random.Random, count: int) -> list[Seat]:
        """Return up to `count` seats, drawn at random."""
        if len(self._seats) <= count:
            return list(self._seats)
        return rng.sample(self._seats, count)

    def ranked(self, name: str) -> Iterator[str]:
        """Yield every member once, in an order that depends on `name` alone."""
        for seat in self._from_point(hash64(name)):
            yield seat.member

    def _from_point(self, point: int) -> Iterator[Seat]:
        start = bisect_left(self._seats, point, key=lambda seat: seat.point)
        for step in range(len(self._seats)):
            yield self._seats[(start + step) % len(self._seats)]

    def _candidates(self, name: str) -> list[Seat]:
        if len(self._seats) <= CANDIDATES:
            return self._seats
        found: dict[str, Seat] = {}
        for probe in range(CANDIDATES):
            point = hash64(name, seed=probe)
            seat = next(self._from_point(point))
            found[seat.member] = seat
        return list(found.values())

    def choose(self, name: str) -> str | None:
        """Return the member for `name`, or none when the ring is empty.

        A member's chance grows with its weight. Up to `CANDIDATES` members,
        adding or removing one changes the choice only for names that it wins
        or won; in larger rings a change reaches a few more names, whose
        candidates it was. Only slices without an owner are placed this way,
        so that such a change moves nothing by itself.
        """
        seats = self._candidates(name)
        best = max(seats, key=lambda seat: _rendezvous_score(name, seat), default=None)
        return best.member if best else None


def _rendezvous_score(name: str, seat: Seat) -> tuple[float, str]:
    draw = (hash64(f"{name}|{seat.member}") + 1) / _HASH_SPAN
    return -seat.weight / math.log(min(draw, 1 - 1e-15)), seat.member
