"""The state of the link to one peer, across its successive connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.adapters.peer_frames import RequestFailed, Resume
from rhubarbhall.adapters.peer_stream import FrameReader, FrameWriter
from rhubarbhall.core.errors import ErrorKind

if TYPE_CHECKING:
    import socket

    from rhubarbhall.adapters.peer_frames import Reply
    from rhubarbhall.types import Address, Seconds


@dataclass(slots=True)
class PeerLink:
    """The link to one peer: its connection, dialled again whenever it ends.

    Parameters
    ----------
    address : str
        Address of the peer.
    same_region : bool
        Whether the peer is in the local region.
    first_dialed_at : float, optional
        When the first attempt to connect began.
    has_been_open : bool
        Whether a connection to the peer was ever established.
    region : str
        Region of the peer.
    round_trip_s : float
        Last measured or assumed round trip.
    sock : socket, optional
        The present connection, established or not.
    is_open : bool
        Whether the present connection is established.
    is_shutting_down : bool
        Whether the peer has announced its shutdown on the present connection.
    reader, writer : FrameReader, FrameWriter
        Codec of the present connection.
    ticket_by_number : dict of int to int
        Requests that await their outcome, by their number on the link.
    number_by_ticket : dict of int to int
        The reverse of `ticket_by_number`.
    queued_bytes : int
        Number of bytes that were given to the present connection.
    start_by_number : dict of int to int
        Value of `queued_bytes` before each request on the present connection.
    resumes_by_number : dict of int to int
        For how many connections each awaited request was named in a `Resume`.
    withdrawn : set of int
        Requests that were withdrawn and have no outcome yet.
    broken_at : float, optional
        When the last connection ended, while requests on it may still be resumed.
    dialed_at : float
        When the last attempt to connect began.
    last_used_at : float
        When the link was last needed.
    is_kept : bool
        Whether the peer is watched, so that the link is kept open and pinged.
    last_contact_at : float
        When bytes were last received or a connection was last established.
    pinged_at : float, optional
        When the ping was sent that has no answer yet.
    ping_number : int
        Number of the last ping.
    sync_requested_at : float
        When records of the store were last requested.
    renewal_number : int
        Number of the last request for renewal.
    renewal_requested_at : dict of int to float
        When the renewals were requested that have not been received, by number.
    """

    address: Address
    same_region: bool
    first_dialed_at: Seconds | None = None
    has_been_open: bool = False
    region: str = ""
    round_trip_s: Seconds = 0.0
    sock: socket.socket | None = None
    is_open: bool = False
    is_shutting_down: bool = False
    reader: FrameReader = field(default_factory=FrameReader)
    writer: FrameWriter = field(default_factory=FrameWriter)
    ticket_by_number: dict[int, int] = field(default_factory=dict)
    number_by_ticket: dict[int, int] = field(default_factory=dict)
    queued_bytes: int = 0
    start_by_number: dict[int, int] = field(default_factory=dict)
    resumes_by_number: dict[int, int] = field(default_factory=dict)
    withdrawn: set[int] = field(default_factory=set)
    broken_at: Seconds | None = None
    dialed_at: Seconds = float("-inf")
    last_used_at: Seconds = float("-inf")
    is_kept: bool = False
    last_contact_at: Seconds = float("-inf")
    pinged_at: Seconds | None = None
    ping_number: int = 0
    sync_requested_at: Seconds = float("-inf")
    renewal_number: int = 0
    renewal_requested_at: dict[int, Seconds] = field(default_factory=dict)

    def add(self, number: int, ticket: int) -> None:
        """Record a request that is about to be sent."""
        self.start_by_number[number] = self.queued_bytes
        self.ticket_by_number[number] = ticket
        self.number_by_ticket[ticket] = number

    def pop_ticket(self, number: int) -> int | None:
        """Forget a request and return its ticket; None if it is not awaited."""
        ticket = self.ticket_by_number.pop(number, None)
        self.start_by_number.pop(number, None)
        self.resumes_by_number.pop(number, None)
        self.withdrawn.discard(number)
        if ticket is not None:
            del self.number_by_ticket[ticket]
        return ticket

    def resume(self) -> Resume:
        """Return the frame that requests the outcomes of all awaited requests."""
        for number in self.ticket_by_number:
            self.resumes_by_number[number] = self.resumes_by_number.get(number, 0) + 1
        return Resume(list(self.ticket_by_number))

    def is_doubtful(self, frame: Reply | RequestFailed) -> bool:
        """Return whether a request that is reported as not run may have run.

        A receiver of an earlier build reports a request that it does not know in this
        way also if its session has begun with an earlier `Resume` that names it.
        """
        return (
            isinstance(frame, RequestFailed)
            and frame.not_run
            and frame.kind == ErrorKind.OWNER_UNREACHABLE
            and not frame.never_received
            and self.resumes_by_number.get(frame.number, 0) > 1
        )

    def end_connection(self, unsent_bytes: int) -> list[int]:
        """Forget the bytes of the present connection, which has ended.

        Parameters
        ----------
        unsent_bytes : int
            Number of bytes at the end of those in `queued_bytes` that were not sent.

        Returns
        -------
        list of int
            Requests of which no byte was sent, so that no target can have received
            them. A frame that was sent in part may be complete for the receiver: the
            end of a compressed frame carries no data.
        """
        sent_bytes = self.queued_bytes - unsent_bytes
        unsent = [
            number
            for number, start in self.start_by_number.items()
            if start >= sent_bytes
        ]
        self.start_by_number.clear()
        self.queued_bytes = 0
        return unsent
