"""Requests in the admission queue, their urgency and their order."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from rhubarbhall.core.traffic.crash_suspects import Standing

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.requests import Outcome, RoutedRequest
    from rhubarbhall.types import Seconds


class Urgency(enum.IntEnum):
    """Order in which waiting requests of equal priority are sent.

    IN_TIME : the answer can still meet the target latency of the route.
    RETRIED : it cannot, and the caller seems to have been refused before.
    LATE : it cannot, and this seems to be the caller's first attempt.
    """

    IN_TIME = 0
    RETRIED = 1
    LATE = 2


#: Order of waiting requests: two numbers that depend on the policy, and the time by
#: which the request should be answered (target latency or deadline). The lowest goes
#: first.
Rank: TypeAlias = "tuple[int, float, Seconds]"


@dataclass(slots=True)
class QueueEntry:
    """A request that waits for a slot or a key, or that was sent to the target.

    Parameters
    ----------
    ticket : int
        Number of the request within the queue.
    request : RoutedRequest
        The request.
    arrived_at : float
        Time of its arrival, local clock, in seconds.
    on_outcome : callable
        Called once with its outcome.
    urgency : Urgency
        Its order among waiting requests of equal priority.
    sent_at : float, optional
        Time when it was sent to the target, local clock; None while it waits.
    is_long : bool
        Whether it counts as long work.
    standing : Standing
        Whether targets have ended under it.
    slowdown : float
        Slowdown that its answer reports; 1 if it reports none.
    """

    ticket: int
    request: RoutedRequest
    arrived_at: Seconds
    on_outcome: Callable[[Outcome], None]
    urgency: Urgency = Urgency.IN_TIME
    sent_at: Seconds | None = None
    is_long: bool = False
    standing: Standing = Standing.CLEAR
    slowdown: float = 1.0


def rank_by_priority(request: RoutedRequest, urgency: Urgency) -> Rank:
    """Return the rank of a request by priority, urgency and time."""
    in_time = urgency is Urgency.IN_TIME
    due = request.target_latency_deadline if in_time else request.deadline
    return request.priority, urgency, due
