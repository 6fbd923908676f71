"""What the daemon is told of other daemons, whoever opened the connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhall.adapters.peer_frames import Pong, Push, SyncAsk, SyncTell
    from rhubarbhall.adapters.peer_sessions import Session
    from rhubarbhall.core.traffic.requests import Load, Outcome, Request
    from rhubarbhall.types import Address, Seconds


@dataclass(frozen=True, slots=True)
class Origin:
    """Where a request for the own target came from.

    Parameters
    ----------
    session : Session
        The daemon that sent it.
    number : int
        Its number for it.
    """

    session: Session
    number: int


class PeerEvents(Protocol):
    """Takes what other daemons say."""

    def on_outcome(
        self, address: Address, ticket: int, outcome: Outcome, load: Load | None
    ) -> None:
        """Take the outcome of a request that was sent there."""

    def on_forward(self, origin: Origin, request: Request) -> int:
        """Take a request for the own target; return a ticket to cancel it by."""

    def on_cancel(self, ticket: int) -> None:
        """Give up a request for the own target."""

    def on_heard(self, address: Address) -> None:
        """Learn that a daemon is alive."""

    def on_refused(self, address: Address) -> None:
        """Learn that no process listens at an address."""

    def on_link(self, address: Address, is_up: bool) -> None:
        """Learn that a connection stands, or no longer does."""

    def on_pong(self, address: Address, asked_at: Seconds, pong: Pong) -> None:
        """Learn what a daemon knows of the store."""

    def on_sync_ask(self, ask: SyncAsk) -> SyncTell:
        """Return records for a daemon that lacks them."""

    def on_sync_tell(self, address: Address, asked_at: Seconds, tell: SyncTell) -> None:
        """Take records that a daemon passes on."""

    def on_push(self, push: Push) -> None:
        """Take a record that was just written."""

    def on_renew(self, owner: Address) -> bool:
        """Tell whether this daemon, as a guardian, renews an owner's lease."""

    def on_lapse_ask(self, owner: Address, at: int) -> bool:
        """Tell whether this daemon, as a guardian, lets an owner be replaced."""

    def on_lapse_vote(self, guardian: Address, owner: Address, at: int) -> None:
        """Take a guardian's word that an owner may be replaced."""

    def on_renewed(self, guardian: Address, asked_at: Seconds) -> None:
        """Take a renewal by a guardian."""

    def pong(self, number: int) -> Pong:
        """Return the answer to a ping."""
