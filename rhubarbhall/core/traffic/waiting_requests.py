"""Requests that wait for a slot of the target, in the order in which they are sent."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, TypeAlias

from rhubarbhall.core.traffic.queue_entries import (
    QueueEntry,
    Rank,
    Urgency,
    rank_by_priority,
)

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.requests import RoutedRequest


#: Position of a waiting request in the heap: its rank and its ticket.
_Position: TypeAlias = "tuple[Rank, int]"


class WaitingRequests:
    """A priority queue of requests, from which any of them can be removed.

    The urgency of a request must not change while it is in the queue.

    Parameters
    ----------
    rank : callable
        Returns the rank of a request of an urgency.
    """

    def __init__(
        self, rank: Callable[[RoutedRequest, Urgency], Rank] = rank_by_priority
    ) -> None:
        self._rank = rank
        #: Positions, also earlier ones of requests that were removed since.
        self._heap: list[_Position] = []
        self._place_by_ticket: dict[int, tuple[_Position, QueueEntry]] = {}

    def __len__(self) -> int:
        return len(self._place_by_ticket)

    def __contains__(self, entry: QueueEntry) -> bool:
        return entry.ticket in self._place_by_ticket

    def push(self, entry: QueueEntry) -> None:
        """Add a request."""
        position = (self._rank(entry.request, entry.urgency), entry.ticket)
        self._place_by_ticket[entry.ticket] = position, entry
        heapq.heappush(self._heap, position)

    def pop(self) -> QueueEntry | None:
        """Remove and return the request that is sent next; None if none waits."""
        while self._heap:
            position = heapq.heappop(self._heap)
            known, entry = self._place_by_ticket.get(position[-1], (None, None))
            if known == position:
                del self._place_by_ticket[entry.ticket]
                return entry
        return None

    def remove(self, entry: QueueEntry) -> None:
        """Remove a request, if it is in the queue."""
        self._place_by_ticket.pop(entry.ticket, None)

    def ahead_of(
        self, request: RoutedRequest, urgency: Urgency
    ) -> Iterator[QueueEntry]:
        """Yield those that are sent before a request of an urgency, in no order."""
        rank = self._rank(request, urgency)
        for position, entry in self._place_by_ticket.values():
            if position[0] <= rank:
                yield entry

    def reorder(self) -> None:
        """Rank all requests again, as the ranks have changed."""
        entries = [entry for _, entry in self._place_by_ticket.values()]
        self._heap.clear()
        self._place_by_ticket.clear()
        for entry in entries:
            self.push(entry)

    def last(self) -> tuple[Rank, QueueEntry] | None:
        """Return the request that is sent last, and its rank; None if none waits."""
        if not self._place_by_ticket:
            return None
        position, entry = max(
            self._place_by_ticket.values(), key=lambda place: place[0]
        )
        return position[0], entry

    def in_order(self) -> list[QueueEntry]:
        """Return all requests in the order in which they are sent."""
        places = sorted(self._place_by_ticket.values(), key=lambda place: place[0])
        return [entry for _, entry in places]
