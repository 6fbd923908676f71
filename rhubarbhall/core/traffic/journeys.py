"""A caller's request on its way to an outcome, and the ports that it passes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import Span
    from rhubarbhall.core.timers import Subscription
    from rhubarbhall.core.traffic.requests import Headers, Outcome, Request
    from rhubarbhall.types import Address, Seconds


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as a caller sent it.

    Parameters
    ----------
    id : str
        The caller's name for it.
    method, path, host : str
        What is asked, of whom.
    headers : tuple of (str, str)
        Headers that go on to the target.
    body : bytes
        The whole body.
    timeout_s : float, optional
        How long the caller waits.
    key : int, optional
        Key of a service that is divided by key.
    """

    id: str
    method: str
    path: str
    host: str
    headers: Headers
    body: bytes
    timeout_s: Seconds | None = None
    key: int | None = None


class Peers(Protocol):
    """The port to other daemons."""

    def forward(
        self, now: Seconds, address: Address, ticket: int, request: Request
    ) -> bool:
        """Send a request to a daemon; return False if nothing was sent.

        Its outcome comes as `Entrance.on_outcome`.
        """

    def opens_soon(self, now: Seconds, address: Address) -> bool:
        """Tell whether a first connection to a daemon is just being made."""

    def cancel(self, address: Address, ticket: int) -> None:
        """Tell a daemon that a request's outcome is of no more use."""


class Journal(Protocol):
    """Where decisions on requests are written down."""

    def sent(self, now: Seconds, journey: Journey) -> None:
        """Note where a request was sent, and by which facts."""

    def ended(self, now: Seconds, journey: Journey, outcome: Outcome) -> None:
        """Note the outcome that a caller gets."""


@dataclass(slots=True)
class Journey:
    """A request on its way.

    Parameters
    ----------
    request : Request
        The request.
    reply : callable
        Takes the one outcome that the caller gets.
    began_at : float
        When it came, own clock.
    """

    ticket: int
    request: Request
    reply: Callable[[Outcome], None]
    began_at: Seconds
    alarm: Subscription | None = None
    look: Subscription | None = None
    at: Address | None = None
    gate_ticket: int | None = None
    span: Span | None = None
    sent_at: Seconds = 0.0
    tries: int = 0
    attempts: int = 0
    tried: set[Address] = field(default_factory=set)
    not_holding: set[tuple[Address, int]] = field(default_factory=set)
    waits_since: Seconds | None = None
    may_have_run: bool = False
