"""Requests of callers, requests without an outcome, and ports of the request router."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import Span
    from rhubarbhall.core.timers import Timer
    from rhubarbhall.core.traffic.requests import (
        Answered,
        Headers,
        Outcome,
        RoutedRequest,
    )
    from rhubarbhall.types import Address, Seconds


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as a caller sent it.

    Parameters
    ----------
    id : str
        Request id that the caller chose.
    method, path, host : str
        HTTP method, path with the query, and host of the request.
    headers : tuple of (str, str)
        Headers that are passed on to the target.
    body : bytes
        The whole body.
    timeout_s : float, optional
        Time that the caller waits for the outcome, in seconds; None if not stated.
    key : int, optional
        Key of the request, for a service that is divided by key.
    """

    id: str
    method: str
    path: str
    host: str
    headers: Headers
    body: bytes
    timeout_s: Seconds | None = None
    key: int | None = None


class PeerClient(Protocol):
    """Port for sending requests to other daemons."""

    def forward(
        self, now: Seconds, address: Address, ticket: int, request: RoutedRequest
    ) -> bool:
        """Send a request to a daemon.

        Its outcome is reported to `RequestRouter.on_outcome`.

        Returns
        -------
        bool
            Whether the request was sent. If not, no outcome is reported.
        """

    def opens_soon(self, now: Seconds, address: Address) -> bool:
        """Return whether the first connection to a daemon is being opened."""

    def round_trip_s(self, address: Address) -> Seconds:
        """Return the round trip to a daemon as last measured, in seconds."""

    def withdraw(self, address: Address, ticket: int) -> None:
        """Withdraw a request from a daemon, if no target has received it yet.

        If so, `RequestRouter.on_outcome` gets `NotRun`, else the outcome of the target.
        """

    def cancel(self, address: Address, ticket: int) -> None:
        """Inform a daemon that nobody waits for the outcome of a request."""


class RequestLog(Protocol):
    """Port for logging where requests are sent and their outcomes."""

    def sent(self, now: Seconds, pending: PendingRequest) -> None:
        """Log where a request was sent, and the state that the choice was based on."""

    def ended(self, now: Seconds, pending: PendingRequest, outcome: Outcome) -> None:
        """Log the outcome that the caller gets."""


@dataclass(slots=True)
class PendingRequest:
    """A request that has no outcome yet.

    Parameters
    ----------
    ticket : int
        Number of the request within this daemon.
    request : RoutedRequest
        The request.
    reply : callable
        Called once with the outcome that the caller gets.
    began_at : float
        Time of arrival, local clock, in seconds.
    wanted_until : float
        Time until which the caller wants the answer, local clock, in seconds. The
        deadline of the request may be earlier, as the process exits.
    deadline_timer : Timer, optional
        Timer that ends the request at its deadline.
    withdrawal_timer : Timer, optional
        Timer that withdraws the request from another daemon shortly before its
        deadline.
    is_withdrawn : bool
        Whether that was done.
    retry_timer : Timer, optional
        Timer of the next attempt while the request waits for a key or a connection.
    current_address : str, optional
        Address of the daemon that has the request; None while no daemon has it.
    queue_ticket : int, optional
        Ticket in the admission queue of the local target, while the request is there.
    span : Span, optional
        Range of keys that the key of the request fell in when it was routed last.
    sent_at : float
        Time when the request was sent last, local clock, in seconds.
    sends : int
        Number of times that the request was sent to a daemon; starts again at 0 when
        it waits for a key or a connection.
    attempts : int
        Number of times that a target may have received the request.
    tried : set of str
        Addresses of all daemons that the request was sent to, and of those left out
        as they would refuse it.
    non_owners : set of (str, int)
        Addresses of daemons that refused the request as not theirs, each with the fence
        of the span at that time.
    awaited_address : str, optional
        Address of the daemon whose connection the request waits for.
    waiting_since : float, optional
        Time when the request first waited for a key or a connection, local clock.
    may_have_run : bool
        Whether a target may have executed the request.
    failed_answer : Answered, optional
        Answer with a server error while the request is sent again. The caller gets it
        unless the other attempt is answered.
    """

    ticket: int
    request: RoutedRequest
    reply: Callable[[Outcome], None]
    began_at: Seconds
    wanted_until: Seconds
    deadline_timer: Timer | None = None
    withdrawal_timer: Timer | None = None
    is_withdrawn: bool = False
    retry_timer: Timer | None = None
    current_address: Address | None = None
    queue_ticket: int | None = None
    span: Span | None = None
    sent_at: Seconds = 0.0
    sends: int = 0
    attempts: int = 0
    tried: set[Address] = field(default_factory=set)
    non_owners: set[tuple[Address, int]] = field(default_factory=set)
    awaited_address: Address | None = None
    waiting_since: Seconds | None = None
    may_have_run: bool = False
    failed_answer: Answered | None = None
