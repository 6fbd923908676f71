"""Queues in front of a target."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import TYPE_CHECKING

from rhubarbhall.core import policies

if TYPE_CHECKING:
    from rhubarbhall.core.requests import Request


@policies.queueing.register("fair")
class FairQueue:
    """Serves callers in turn; the caller with most waiting gives way first.

    Parameters
    ----------
    capacity : int
        Requests that may wait.
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
        """Add a request; return the one that has to give way, if any."""
        if self.capacity == 0:
            return request
        evicted = None
        if len(self) >= self.capacity:
            evicted = self._victim(request)
            if evicted is request:
                return request
            self.remove(evicted.id)
        waiting = self._waiting_by_caller.setdefault(request.caller, OrderedDict())
        waiting[request.id] = request
        self._caller_by_id[request.id] = request.caller
        return evicted

    def _victim(self, newcomer: Request) -> Request:
        greediest = max(
            self._waiting_by_caller, key=lambda c: len(self._waiting_by_caller[c])
        )
        own = len(self._waiting_by_caller.get(newcomer.caller, ()))
        if len(self._waiting_by_caller[greediest]) <= own + 1:
            return newcomer
        return next(reversed(self._waiting_by_caller[greediest].values()))

    def pop(self) -> Request:
        """Remove and return the oldest request of the next caller in turn."""
        caller, waiting = next(iter(self._waiting_by_caller.items()))
        _, request = waiting.popitem(last=False)
        del self._caller_by_id[request.id]
        if waiting:
            self._waiting_by_caller.move_to_end(caller)
        else:
            del self._waiting_by_caller[caller]
        return request

    def remove(self, request_id: int) -> Request | None:
        """Remove a request by its id, if it waits."""
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
    """First in, first out; the baseline that others are measured against.

    Parameters
    ----------
    capacity : int
        Requests that may wait.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._waiting_by_id: OrderedDict[int, Request] = OrderedDict()

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def __iter__(self) -> Iterator[Request]:
        return iter(self._waiting_by_id.values())

    def push(self, request: Request) -> Request | None:
        """Add a request; return it when there is no room."""
        if len(self) >= self.capacity:
            return request
        self._waiting_by_id[request.id] = request
        return None

    def pop(self) -> Request:
        """Remove and return the oldest request."""
        return self._waiting_by_id.popitem(last=False)[1]

    def remove(self, request_id: int) -> Request | None:
        """Remove a request by its id, if it waits."""
        return self._waiting_by_id.pop(request_id, None)
