"""The bytes of bodies that a process holds, bounded over all of its connections.

Counted are the bodies of requests, received in part or whole, until their outcome,
their heads unless they are short, and what sources report: bytes that wait to be sent,
answers that are being received and heads of requests that wait.
Beyond the limit, reliefs give up the connections that hold most for longest.
"""

from __future__ import annotations

from collections.abc import Callable

#: Share of the process's memory for bodies. While a body is encoded it is held up to
#: three times, and the program itself takes a fifth.
BODY_SHARE = 1 / 3
#: Size up to which a body is taken although the budget is used up, so that large bodies
#: do not keep out small ones, in bytes.
SMALL_BODY_BYTES = 16 * 1024
#: Bytes above the limit that small bodies may take together.
SMALL_ROOM_BYTES = 8 << 20
#: Age from which what a connection holds yields to a new body that has no room, and
#: to answers that are ready, in seconds. A caller on the same VM reads an answer within
#: milliseconds.
YIELD_TO_BODY_S = 2.0
YIELD_TO_ANSWER_S = 0.1
#: Part of the limit beyond which connections yield whatever their age: together with
#: the program itself (a fifth) it fits into the memory that the limit is a third of.
HARD_LIMIT_SHARE = 1.25


class BodyReservation:
    """The room that the body of one request takes, until it is dropped at the latest.

    Parameters
    ----------
    budget : BodyBudget
        Where the room is taken.
    """

    __slots__ = ("_body", "_budget", "_bytes")

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._bytes = 0
        self._body: bytes | None = None

    @property
    def size(self) -> int:
        """Number of bytes that are reserved, without a whole body."""
        return self._bytes

    def grow(self, count: int) -> bool:
        """Take more room and return whether there is enough; else take none."""
        size = self._bytes + count
        if size > SMALL_BODY_BYTES:
            has_room = self._budget.make_room(count)
        else:
            has_room = self._budget.make_small_room(count)
        if not has_room:
            return False
        self._bytes = size
        self._budget.reserved += count
        return True

    def settle(self, body: bytes) -> None:
        """Hold the whole body from now on, once with all others who hold it.

        Its bytes were taken before by `grow`, maybe with others, which stay reserved.
        """
        self._budget.reserved -= len(body)
        self._bytes -= len(body)
        self._body = body
        self._budget.hold(body)

    def release(self) -> None:
        """Give the room back; a second call has no effect."""
        self._budget.reserved -= self._bytes
        self._bytes = 0
        body, self._body = self._body, None
        if body is not None:
            self._budget.drop(body)

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
        self._reliefs: list[Callable[[float], bool]] = []
        #: Number of holders of each body, by its identity.
        self._holders: dict[int, int] = {}

    def add_source(self, count: Callable[[], int]) -> None:
        """Add a function that returns a number of bytes which also count."""
        self._sources.append(count)

    def add_relief(self, free: Callable[[float], bool]) -> None:
        """Add a function that closes the connection which holds most for longest.

        It takes the age from which a connection yields, in seconds, and returns whether
        it has closed one.
        """
        self._reliefs.append(free)

    def hold(self, body: bytes) -> None:
        """Count a body; one that is held several times takes its room once.

        The holder keeps a reference to the body until it calls `drop`.
        """
        holders = self._holders.get(id(body), 0)
        if not holders:
            self.reserved += len(body)
        self._holders[id(body)] = holders + 1

    def drop(self, body: bytes) -> None:
        """Count a body no longer for one of its holders."""
        holders = self._holders[id(body)] - 1
        if holders:
            self._holders[id(body)] = holders
        else:
            del self._holders[id(body)]
            self.reserved -= len(body)

    @property
    def used(self) -> int:
        """Number of bytes that are held."""
        return self.reserved + sum(count() for count in self._sources)

    def has_room(self, count: int) -> bool:
        """Return whether a number of bytes may be added."""
        return self.used + count <= self.limit

    def make_room(self, count: int) -> bool:
        """Return whether a number of bytes may be added, after others have yielded."""
        if count > self.limit:
            return False
        while not self.has_room(count):
            if not any(free(YIELD_TO_BODY_S) for free in self._reliefs):
                return False
        return True

    def make_small_room(self, count: int) -> bool:
        """Return whether a small body may grow; small ones may exceed the limit."""
        if self.reserved + count <= self.limit:
            # Nearly always so, and cheap to tell.
            return True
        while self.used + count > self.limit + SMALL_ROOM_BYTES:
            if not any(free(YIELD_TO_BODY_S) for free in self._reliefs):
                return False
        return True

    def relieve(self) -> None:
        """Let connections yield until the limit is met, or none is left that may."""
        self.relieve_excess()
        while self.used > self.limit:
            if not any(free(YIELD_TO_ANSWER_S) for free in self._reliefs):
                return

    def relieve_excess(self) -> None:
        """Let connections of any age yield while the hard limit is exceeded."""
        while self.used > HARD_LIMIT_SHARE * self.limit:
            if not any(free(0.0) for free in self._reliefs):
                return
