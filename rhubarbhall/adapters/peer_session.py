"""The state of one run of a peer, across its successive connections to this daemon."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.adapters.peer_stream import FrameReader, FrameWriter

if TYPE_CHECKING:
    import socket

    from rhubarbhall.adapters.connection_order import PeerRun
    from rhubarbhall.adapters.peer_frames import Frame
    from rhubarbhall.types import Address, Seconds


@dataclass(eq=False, slots=True)
class Session:
    """State of one run of a peer across its successive connections.

    Parameters
    ----------
    sock : socket, optional
        The present connection.
    reader, writer : FrameReader, FrameWriter
        Codec of the present connection.
    address : str
        Address of the peer; empty before its `Hello`.
    service : str
        Service of the peer's VM; empty before its `Hello`.
    session_number : int
        Number that the peer's process drew for itself.
    ticket_by_number : dict of int to int
        Requests submitted to the local target: their tickets, by the peer's number.
    undelivered : dict of int to Frame
        Outcomes that were decided while there was no connection, by the peer's number.
    last_number : int
        Highest number of a request that arrived.
    broken_at : float
        When the last connection ended.
    connection_number : int
        The peer's number for the present connection, or for the last one.
    first_number : int, optional
        Lowest number of a request that was sent in this session. The peer sent those
        with lower numbers before, perhaps to an earlier process. None if it does not
        say so.
    last_contact_at, received_at : float
        When bytes were last received, by the clock of the sessions and by the monotonic
        clock.
    """

    sock: socket.socket | None
    reader: FrameReader = field(default_factory=FrameReader)
    writer: FrameWriter = field(default_factory=FrameWriter)
    address: Address = ""
    service: str = ""
    session_number: int = 0
    ticket_by_number: dict[int, int] = field(default_factory=dict)
    undelivered: dict[int, Frame] = field(default_factory=dict)
    last_number: int = 0
    broken_at: Seconds = 0.0
    connection_number: int = 0
    first_number: int | None = None
    last_contact_at: Seconds = 0.0
    received_at: Seconds = 0.0

    @property
    def peer(self) -> PeerRun:
        """The run of the peer."""
        return self.address, self.session_number

    def never_received(self, number: int) -> bool:
        """Return whether a request of the peer certainly never arrived.

        That is known only if the request was sent in this session: the session is lost
        with its process, and some time after a connection has ended. The connection
        that it was sent on must have been closed.
        """
        if self.first_number is None or number < self.first_number:
            return False
        return number > self.last_number
