"""Connections that other daemons open: their requests, and the answers to them.

A connection may break while both daemons live. The requests on it go on for a moment;
the sender connects again, names those that it still waits for, and gets their outcomes.
Of one that never arrived it is told so, which nobody else could know.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.adapters.peer_events import Origin, PeerEvents
from rhubarbhall.adapters.peer_frames import (
    Bye,
    Cancel,
    Forward,
    Frame,
    Hello,
    LapseAsk,
    LapseVote,
    Ping,
    Push,
    Renew,
    Renewed,
    Resume,
    SyncAsk,
)
from rhubarbhall.adapters.peer_outcomes import key_of, outcome_frame, paired
from rhubarbhall.adapters.peer_stream import FrameReader, FrameWriter
from rhubarbhall.adapters.sockets import Listener
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import Load, NotRun, Outcome, Request, Unknown
from rhubarbhall.settings import split_address

if TYPE_CHECKING:
    import socket

    from rhubarbhall.types import Address, Seconds

#: Time for which requests go on after their connection has ended. Short, as the daemon
#: that sent them may be gone, and its callers with it.
ORPHAN_S = 0.45
_MS_PER_S = 1000


@dataclass(eq=False, slots=True)
class Session:
    """What one run of another daemon has sent, over one connection after another.

    Parameters
    ----------
    sock : socket, optional
        The present connection.
    ticket_by_number : dict of int to int
        Requests at the own gate, and its tickets for them.
    kept : dict of int to Frame
        Outcomes that came while there was no connection.
    last_number : int
        The last request that arrived.
    """

    sock: socket.socket | None
    reader: FrameReader = field(default_factory=FrameReader)
    writer: FrameWriter = field(default_factory=FrameWriter)
    address: Address = ""
    service: str = ""
    number: int = 0
    ticket_by_number: dict[int, int] = field(default_factory=dict)
    kept: dict[int, Frame] = field(default_factory=dict)
    last_number: int = 0
    broken_at: Seconds = 0.0
    is_resumed: bool = False


class _Acceptor(Listener):
    """Accepts connections and hands their bytes on."""

    def __init__(
        self, bind: tuple[str, int], channel: str, sessions: PeerSessions
    ) -> None:
        super().__init__(bind, channel)
        self._sessions = sessions

    def on_accepted(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Begin to read a new connection."""
        self._sessions.accepted(sock)

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Take bytes of another daemon."""
        self._sessions.take(sock, data)

    def on_closed(self, sock: socket.socket) -> None:
        """Learn that a connection has ended."""
        self._sessions.closed(sock)


class PeerSessions:
    """All connections that other daemons have opened.

    Parameters
    ----------
    me : str
        Address to listen on.
    handler : PeerEvents
        Takes what others say.
    clock : callable
        Returns the time.
    """

    def __init__(
        self, me: Address, handler: PeerEvents, clock: Callable[[], Seconds]
    ) -> None:
        self._handler = handler
        self._clock = clock
        self.acceptor = _Acceptor(split_address(me), f"peers-{me}", self)
        self._session_by_sock: dict[socket.socket, Session] = {}
        self._broken_by_peer: dict[tuple[Address, int], Session] = {}
        #: Connections whose bytes could not be read.
        self.rejected = 0

    def look(self) -> None:
        """Give up what nobody has asked for again in time; called now and then."""
        now = self._clock()
        for key, session in list(self._broken_by_peer.items()):
            if now - session.broken_at > ORPHAN_S:
                del self._broken_by_peer[key]
                self._give_up(session, set())

    def _give_up(self, session: Session, wanted: set[int]) -> None:
        """Cancel the requests of a session that are not wanted any more."""
        for number in set(session.ticket_by_number) - wanted:
            self._handler.on_cancel(session.ticket_by_number.pop(number))

    def say_goodbye(self) -> None:
        """Ask all daemons to send no more requests here."""
        for session in list(self._session_by_sock.values()):
            self._send(session, Bye())

    # Connections

    def accepted(self, sock: socket.socket) -> None:
        """Begin to read a connection that another daemon opened."""
        self._session_by_sock[sock] = Session(sock)

    def closed(self, sock: socket.socket) -> None:
        """Let the requests of a broken connection go on for a moment."""
        session = self._session_by_sock.pop(sock, None)
        if session is None or not session.address:
            return
        session.sock = None
        session.broken_at = self._clock()
        self._broken_by_peer[session.address, session.number] = session

    def take(self, sock: socket.socket, data: bytes) -> None:
        """Take bytes on a connection that another daemon opened."""
        session = self._session_by_sock.get(sock)
        if session is None:
            return
        try:
            for frame in session.reader.feed(data):
                # A greeting may put an earlier session in the place of this one.
                session = self._session_by_sock.get(sock)
                if session is None:
                    return
                self._on_frame(session, frame)
        except ValueError:
            self.rejected += 1
            self.acceptor.drop(sock)
        if session.address:
            self._handler.on_heard(session.address)

    def _send(self, session: Session, frame: Frame) -> None:
        if session.sock is not None:
            self.acceptor.send(session.sock, session.writer.encode(frame))

    def _on_frame(self, session: Session, frame: Frame) -> None:
        if isinstance(frame, Forward):
            self._on_forward(session, frame)
        elif isinstance(frame, Hello):
            self._on_hello(session, frame)
        elif isinstance(frame, Resume):
            self._on_resume(session, frame)
        elif isinstance(frame, Cancel):
            ticket = session.ticket_by_number.pop(frame.number, None)
            if ticket is not None:
                self._handler.on_cancel(ticket)
        elif isinstance(frame, Ping):
            self._send(session, self._handler.pong(frame.number))
        elif isinstance(frame, Renew):
            if self._handler.on_renew(session.address):
                self._send(session, Renewed(frame.number))
        elif isinstance(frame, LapseAsk):
            if self._handler.on_lapse_ask(frame.owner, frame.at):
                self._send(session, LapseVote(frame.owner, frame.at))
        elif isinstance(frame, Push):
            self._handler.on_push(frame)
        elif isinstance(frame, SyncAsk):
            self._send(session, self._handler.on_sync_ask(frame))

    # Broken and resumed sessions

    def _on_hello(self, session: Session, hello: Hello) -> None:
        """Learn who has connected, and put its earlier session in this one's place."""
        key = (hello.address, hello.session)
        for sock, other in list(self._session_by_sock.items()):
            if (other.address, other.number) == key:
                # It has given this connection up; what is still on it is not read.
                self.acceptor.drop(sock)
        earlier = self._broken_by_peer.pop(key, None)
        if earlier is not None:
            earlier.sock = session.sock
            earlier.reader, earlier.writer = session.reader, session.writer
            earlier.is_resumed = True
            session = self._session_by_sock[session.sock] = earlier
        session.address, session.service = hello.address, hello.service
        session.number = hello.session

    def _on_resume(self, session: Session, resume: Resume) -> None:
        """Send the outcomes of requests whose connection has broken."""
        wanted = set(resume.numbers)
        self._give_up(session, wanted)
        kept, session.kept = session.kept, {}
        for number in sorted(wanted - set(session.ticket_by_number)):
            self._send(session, kept.get(number) or self._fate(session, number))

    def _fate(self, session: Session, number: int) -> Frame:
        """Return what is known of a request that is neither here nor answered since."""
        if session.is_resumed and number > session.last_number:
            # It never arrived, and the connection that it was sent on is closed.
            not_run = NotRun(ErrorKind.OWNER_UNREACHABLE)
            return outcome_frame(number, not_run, Load())
        return outcome_frame(number, Unknown(ErrorKind.ANSWER_LOST), Load())

    # Requests

    def _on_forward(self, session: Session, frame: Forward) -> None:
        if not session.service:
            raise ValueError("a request before the greeting")
        now = self._clock()
        session.last_number = max(session.last_number, frame.number)
        request = Request(
            id=frame.id,
            service=frame.service,
            route=frame.route,
            key=key_of(frame.key),
            method=frame.method,
            path=frame.path,
            host=frame.host,
            headers=paired(frame.headers),
            body=frame.body,
            caller=session.service,
            idempotent=frame.idempotent,
            priority=frame.priority,
            deadline=now + frame.left_ms / _MS_PER_S,
            worth_most_until=now + frame.worth_most_ms / _MS_PER_S,
            came_back=frame.came_back,
        )
        origin = Origin(session, frame.number)
        session.ticket_by_number[frame.number] = 0
        ticket = self._handler.on_forward(origin, request)
        if frame.number in session.ticket_by_number:
            session.ticket_by_number[frame.number] = ticket

    def answer(self, origin: Origin, outcome: Outcome, load: Load) -> None:
        """Send the outcome of a request to the daemon that it came from."""
        session = origin.session
        if session.ticket_by_number.pop(origin.number, None) is None:
            return
        frame = outcome_frame(origin.number, outcome, load)
        if session.sock is not None:
            self._send(session, frame)
        else:
            session.kept[origin.number] = frame
