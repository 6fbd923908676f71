"""Requests that wait for a slot of the target, in the order in which they are sent."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import TYPE_CHECKING

from rhubarbhall.core.traffic.queue_entries import (
    QueueEntry,
    QueuePosition,
    Urgency,
    queue_position,
)

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.requests import RoutedRequest


class WaitingRequests:
    """A priority queue of requests, from which any of them can be removed.

    The urgency of a request must not change while it is in the queue.
    """

    def __init__(self) -> None:
        #: Positions, also earlier ones of requests that were removed since.
        self._heap: list[QueuePosition] = []
        self._place_by_ticket: dict[int, tuple[QueuePosition, QueueEntry]] = {}

    def __len__(self) -> int:
        return len(self._place_by_ticket)

    def __contains__(self, entry: QueueEntry) -> bool:
        return entry.ticket in self._place_by_ticket

    def push(self, entry: QueueEntry) -> None:
        """Add a request."""
        position = queue_position(entry.request, entry.urgency, entry.ticket)
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
        rank = queue_position(request, urgency, 0)[:3]
        for position, entry in self._place_by_ticket.values():
            if position[:3] <= rank:
                yield entry

    def in_order(self) -> list[QueueEntry]:
        """Return all requests in the order in which they are sent."""
        return [entry for _, entry in sorted(self._place_by_ticket.values())]
