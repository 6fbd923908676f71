"""Callbacks for messages of other daemons, whichever side opened the connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhall.adapters.peer_frames import (
        ConfigurationPush,
        Pong,
        Push,
        SuspectsPush,
        SyncRequest,
        SyncResponse,
    )
    from rhubarbhall.adapters.peer_session import Session
    from rhubarbhall.core.traffic.requests import Load, Outcome, RoutedRequest
    from rhubarbhall.types import Address, Seconds


@dataclass(frozen=True, slots=True)
class Origin:
    """The peer that sent a request for the local target.

    Parameters
    ----------
    session : Session
        Session of the daemon that sent the request.
    number : int
        That daemon's number for the request.
    """

    session: Session
    number: int


@dataclass(frozen=True, slots=True)
class MissingRequests:
    """Requests that a peer awaits and that its session does not know.

    Parameters
    ----------
    not_run : tuple of int
        The peer's numbers for those that it was told have not run, as they were sent in
        this session and never arrived.
    unknown : tuple of int
        Its numbers for those that may have run, here or at an earlier process.
    """

    not_run: tuple[int, ...]
    unknown: tuple[int, ...]


class PeerEvents(Protocol):
    """Handles the messages of other daemons and the state of the connections to them.

    Addresses are those that the daemons listen on.
    """

    def on_outcome(
        self, address: Address, ticket: int, outcome: Outcome, load: Load | None
    ) -> None:
        """Handle the outcome of a request that was sent to a daemon.

        Parameters
        ----------
        address : str
            The daemon.
        ticket : int
            Ticket under which the request was sent.
        outcome : Outcome
            Outcome of the request.
        load : Load, optional
            Load of the daemon's target; None if the connection was lost instead.
        """

    def on_forward(self, origin: Origin, request: RoutedRequest) -> int:
        """Handle a request for the local target; return a ticket to cancel it by."""

    def on_cancel(self, ticket: int) -> None:
        """Cancel a request for the local target."""

    def on_withdraw(self, ticket: int) -> None:
        """Refuse a request for the local target as not run, if it still waits."""

    def on_missing_requests(self, address: Address, missing: MissingRequests) -> None:
        """Record what a daemon was told of requests that are not known here."""

    def on_contact(self, address: Address) -> None:
        """Record that a daemon has sent something."""

    def on_connection_refused(self, address: Address) -> None:
        """Record that no process listens at an address."""

    def on_link_changed(self, address: Address, is_up: bool) -> None:
        """Record that a daemon can now be sent requests, or no longer can."""

    def on_pong(self, address: Address, sent_at: Seconds, pong: Pong) -> None:
        """Handle the answer to the ping that was sent at `sent_at`."""

    def on_sync_request(self, request: SyncRequest) -> SyncResponse:
        """Return the records that a daemon lacks."""

    def on_sync_response(
        self, address: Address, requested_at: Seconds, response: SyncResponse
    ) -> None:
        """Handle the records that were requested from a daemon at `requested_at`."""

    def on_push(self, push: Push) -> None:
        """Handle a record that was just written."""

    def on_configuration_push(self, push: ConfigurationPush) -> None:
        """Handle an operators' configuration that a peer passes on.

        Raises
        ------
        ValueError
            If it cannot be decompressed; the connection is then closed.
        """

    def on_suspects(self, push: SuspectsPush) -> None:
        """Handle requests under which targets have ended, as a peer passes them on."""

    def on_renewal_request(self, owner: Address) -> bool:
        """Return whether this daemon, as a witness, renews an owner's lease."""

    def on_replacement_request(self, owner: Address, at: int) -> bool:
        """Return whether this daemon, as a witness, votes for replacing an owner.

        Parameters
        ----------
        owner : str
            The owner.
        at : int
            Offset that the record replacing the owner would have.
        """

    def on_replacement_vote(self, witness: Address, owner: Address, at: int) -> None:
        """Handle a witness's vote for replacing an owner by a record at offset `at`."""

    def on_lease_renewed(self, witness: Address, requested_at: Seconds) -> None:
        """Handle a witness's renewal of the lease, requested at `requested_at`."""

    def local_load(self) -> Load:
        """Return the load of the local target."""

    def pong(self, number: int) -> Pong:
        """Return the answer to the ping with this number."""
