"""The order in which connections are given up for the room that they take."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket

    from rhubarbhall.types import Seconds

#: Time after which the order is determined anew, in seconds.
ORDER_LIFETIME_S = 0.1
#: Time for which nobody is looked for again once there was nobody, in seconds.
NONE_LIFETIME_S = 0.02


@dataclass(frozen=True, slots=True)
class Candidate:
    """A connection that may be given up.

    Parameters
    ----------
    sock : socket
        The connection.
    since : float
        Since when it takes the room, by the monotonic clock.
    weight : float
        The connection with the largest one is given up first.
    """

    sock: socket.socket
    since: Seconds
    weight: float


class EvictionOrder:
    """Connections in the order in which they are given up.

    All connections are looked through only if that may find one: the time that it takes
    grows with their number, and many clients may come again at once after a refusal.

    Parameters
    ----------
    candidates : callable
        Takes the time and yields the connections that may be given up, of any age.
    is_candidate : callable
        Returns whether a connection still is one.
    """

    def __init__(
        self,
        candidates: Callable[[Seconds], Iterable[Candidate]],
        is_candidate: Callable[[socket.socket], bool],
    ) -> None:
        self._candidates = candidates
        self._is_candidate = is_candidate
        #: Those that are old enough, the first one last.
        self._order: list[Candidate] = []
        self._ordered_at = float("-inf")
        self._age_s = 0.0
        #: Time before which none is as old as `_age_s`.
        self._none_before = float("-inf")

    def next(self, now: Seconds, age_s: Seconds) -> socket.socket | None:
        """Return the connection to be given up first; None if there is none.

        Parameters
        ----------
        now : float
            Present time, by the monotonic clock.
        age_s : float
            Minimum time for which it has taken the room, in seconds.
        """
        if age_s < self._age_s or now - self._ordered_at > ORDER_LIFETIME_S:
            self._order.clear()
        sock = self._take()
        if sock is not None or (age_s >= self._age_s and now < self._none_before):
            return sock
        self._determine(now, age_s)
        return self._take()

    def _take(self) -> socket.socket | None:
        while self._order:
            sock = self._order.pop().sock
            if self._is_candidate(sock):
                return sock
        return None

    def _determine(self, now: Seconds, age_s: Seconds) -> None:
        self._ordered_at, self._age_s = now, age_s
        self._none_before = now + age_s
        for candidate in self._candidates(now):
            if now - candidate.since >= age_s:
                self._order.append(candidate)
            else:
                old_at = candidate.since + age_s
                self._none_before = min(self._none_before, old_at)
        if not self._order:
            self._none_before = max(self._none_before, now + NONE_LIFETIME_S)
        # Among equals, the one that was looked at first is the last of the list.
        self._order.reverse()
        self._order.sort(key=lambda candidate: candidate.weight)
