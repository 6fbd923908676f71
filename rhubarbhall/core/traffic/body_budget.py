"""The bytes of bodies that a process holds, bounded over all of its connections.

Counted are the bodies of requests, received in part or whole, until their outcome, and
what sources report: bytes that wait to be sent and answers that are being received.
"""

from __future__ import annotations

from collections.abc import Callable

#: Size up to which a body is taken whatever else is held, so that large bodies do not
#: keep out small ones, in bytes.
SMALL_BODY_BYTES = 16 * 1024


class BodyReservation:
    """The room that the body of one request takes, until it is dropped at the latest.

    Parameters
    ----------
    budget : BodyBudget
        Where the room is taken.
    """

    __slots__ = ("_budget", "_bytes")

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._bytes = 0

    def grow(self, count: int) -> bool:
        """Take more room and return whether there is enough; else take none."""
        size = self._bytes + count
        if size > SMALL_BODY_BYTES and not self._budget.has_room(count):
            return False
        self._bytes = size
        self._budget.reserved += count
        return True

    def release(self) -> None:
        """Give the room back; a second call has no effect."""
        self._budget.reserved -= self._bytes
        self._bytes = 0

    def __del__(self) -> None:
        self.release()


class BodyBudget:
    """Bounds the bytes of bodies in a process.

    Parameters
    ----------
    limit : float
        Maximum number of bytes; infinite for none.

    Attributes
    ----------
    reserved : int
        Bytes that reservations hold.
    """

    def __init__(self, limit: float = float("inf")) -> None:
        self.limit = limit
        self.reserved = 0
        self._sources: list[Callable[[], int]] = []

    def add_source(self, count: Callable[[], int]) -> None:
        """Add a function that returns a number of bytes which also count."""
        self._sources.append(count)

    @property
    def used(self) -> int:
        """Number of bytes that are held."""
        return self.reserved + sum(count() for count in self._sources)

    def has_room(self, count: int) -> bool:
        """Return whether a number of bytes may be added."""
        return self.used + count <= self.limit
