"""Policies that order the requests that wait for a target."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import TYPE_CHECKING

from rhubarbhall.core import policies

if TYPE_CHECKING:
    from rhubarbhall.core.requests import Request


@policies.queueing.register("fair")
class FairQueue:
    """Serves callers round-robin, and each caller's requests in order of arrival.

    A full queue evicts the newest request of the caller that has most requests waiting,
    so that a caller with many requests cannot crowd out the others.

    Parameters
    ----------
    capacity : int
        Most requests that may wait.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._waiting_by_caller: OrderedDict[str, OrderedDict[int, Request]] = (
            OrderedDict()
        )
        self._caller_by_id: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._caller_by_id)

    def __iter__(self) -> Iterator[Request]:
        for waiting in self._waiting_by_caller.values():
            yield from waiting.values()

    def push(self, request: Request) -> Request | None:
        """Add a request; return the one that is evicted for it, if any."""
        if self.capacity == 0:
            return request
        evicted = None
        if len(self) >= self.capacity:
            evicted = self._choose_evicted(request)
            if evicted is request:
                return request
            self.remove(evicted.id)
        waiting = self._waiting_by_caller.setdefault(request.caller, OrderedDict())
        waiting[request.id] = request
        self._caller_by_id[request.id] = request.caller
        return evicted

    def _choose_evicted(self, new_request: Request) -> Request:
        """Return the request that has to be evicted from the full queue.

        It is the new request unless another caller has at least two more requests
        waiting than the caller of the new one.
        """
        busiest = max(
            self._waiting_by_caller, key=lambda c: len(self._waiting_by_caller[c])
        )
        from_caller = len(self._waiting_by_caller.get(new_request.caller, ()))
        if len(self._waiting_by_caller[busiest]) <= from_caller + 1:
            return new_request
        return next(reversed(self._waiting_by_caller[busiest].values()))

    def pop(self) -> Request:
        """Remove and return the oldest request of the caller whose turn is next."""
        caller, waiting = next(iter(self._waiting_by_caller.items()))
        _, request = waiting.popitem(last=False)
        del self._caller_by_id[request.id]
        if waiting:
            self._waiting_by_caller.move_to_end(caller)
        else:
            del self._waiting_by_caller[caller]
        return request

    def remove(self, request_id: int) -> Request | None:
        """Remove and return the request with an id; return None if it does not wait."""
        caller = self._caller_by_id.pop(request_id, None)
        if caller is None:
            return None
        waiting = self._waiting_by_caller[caller]
        request = waiting.pop(request_id)
        if not waiting:
            del self._waiting_by_caller[caller]
        return request


@policies.queueing.register("fifo")
class FifoQueue:
    """Serves requests in order of arrival; a baseline for other policies.

    A full queue rejects new requests.

    Parameters
    ----------
    capacity : int
        Most requests that may wait.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._waiting_by_id: OrderedDict[int, Request] = OrderedDict()

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def __iter__(self) -> Iterator[Request]:
        return iter(self._waiting_by_id.values())

    def push(self, request: Request) -> Request | None:
        """Add a request; return it if the queue is full."""
        if len(self) >= self.capacity:
            return request
        self._waiting_by_id[request.id] = request
        return None

    def pop(self) -> Request:
        """Remove and return the oldest request."""
        return self._waiting_by_id.popitem(last=False)[1]

    def remove(self, request_id: int) -> Request | None:
        """Remove and return the request with an id; return None if it does not wait."""
        return self._waiting_by_id.pop(request_id, None)
