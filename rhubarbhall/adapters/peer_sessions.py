"""Connections that peers open to this daemon: their requests and the outcomes.

A connection may break while both daemons run. Its requests then continue for
`ORPHAN_TIMEOUT_S`; the sender connects again, names the requests whose outcome it still
awaits, and receives their outcomes. For a request that never arrived it learns that it
has not run. Only the receiver can know that, and only of requests that were sent in the
session that it remembers: of all others nothing is known, whoever received them.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from rhubarbhall.adapters.connection_order import (
    NOT_NUMBERED,
    ConnectionOrder,
    PeerRun,
)
from rhubarbhall.adapters.peer_events import MissingRequests, Origin, PeerEvents
from rhubarbhall.adapters.peer_frames import (
    Cancel,
    ConfigurationPush,
    Forward,
    Frame,
    Hello,
    LeaseRenewed,
    Ping,
    Push,
    RenewLease,
    ReplacementRequest,
    ReplacementVote,
    Reply,
    Resume,
    ShutdownNotice,
    SuspectsPush,
    SyncRequest,
)
from rhubarbhall.adapters.peer_outcomes import decode_key, encode_outcome, pair_headers
from rhubarbhall.adapters.peer_session import Session
from rhubarbhall.adapters.peer_stream import FrameReader, FrameWriter, stored_body
from rhubarbhall.adapters.peer_traffic import PeerTraffic
from rhubarbhall.adapters.session_eviction import SessionEviction
from rhubarbhall.adapters.sockets import Listener
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.body_budget import SMALL_BODY_BYTES, BodyBudget
from rhubarbhall.core.traffic.requests import (
    Load,
    NotRun,
    Outcome,
    RoutedRequest,
    Unknown,
)
from rhubarbhall.settings import parse_address, split_address

if TYPE_CHECKING:
    import socket

    from rhubarbhall.types import Address, Seconds

#: Time for which requests continue after their connection has ended. Short, because the
#: daemon that sent them may have ended, together with its callers.
ORPHAN_TIMEOUT_S = 0.45
#: Maximum number of connections without another setting.
MAX_CONNECTIONS = 1000
#: Time after which a connection without a `Hello` is closed, in seconds.
HELLO_TIMEOUT_S = 5.0
_MS_PER_S = 1000


def _read_frames(
    reader: FrameReader, data: bytes
) -> tuple[list[Frame], ValueError | None]:
    """Return frames that are complete, and the error of bytes that are invalid.

    All of them are held at once, so that a `Cancel` is seen before its
    `Forward` is begun.
    """
    frames: list[Frame] = []
    try:
        for frame in reader.feed_some(data):
            frames.append(frame)  # noqa: PERF402  # those before an error are kept
    except ValueError as error:
        return frames, error
    return frames, None


class _Acceptor(Listener):
    """Accepts connections and passes their bytes and their end to `PeerSessions`."""

    def __init__(
        self, bind: tuple[str, int], channel: str, sessions: PeerSessions
    ) -> None:
        super().__init__(bind, channel)
        self._sessions = sessions

    def on_accepted(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Pass on a new connection."""
        self._sessions.connection_accepted(sock)

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Pass on received bytes."""
        self._sessions.receive(sock, data)

    def on_deferred(self, sock: socket.socket) -> None:
        """Let more of the bytes be handled that were received before."""
        self._poller.addReader(self, sock)
        self._sessions.receive(sock, b"")

    def handle_later(self, sock: socket.socket) -> None:
        """Handle more of the bytes received before, and read no others until then."""
        self._poller.defer(self, sock)

    def on_closed(self, sock: socket.socket) -> None:
        """Report that a connection has ended."""
        self._sessions.connection_closed(sock)


class PeerSessions:
    """The sessions of all peers that have connected to the local daemon.

    Parameters
    ----------
    local_address : str
        Address to listen on.
    handler : PeerEvents
        Handles messages of peers.
    clock : callable
        Returns the time, in seconds.
    traffic : PeerTraffic, optional
        Counts what is sent.
    budget : BodyBudget, optional
        Room for what is held for all connections of the process.
    max_connections : int
        Maximum number of connections.

    Attributes
    ----------
    acceptor : Listener
        Component that accepts the connections.
    rejected : int
        Connections that were closed because their bytes were not valid frames.
    yielded : int
        Connections that were closed for the room that they took.
    """

    def __init__(
        self,
        local_address: Address,
        handler: PeerEvents,
        clock: Callable[[], Seconds],
        traffic: PeerTraffic | None = None,
        budget: BodyBudget | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._handler = handler
        self._traffic = traffic or PeerTraffic()
        self._clock = clock
        self._max_connections = max_connections
        self.acceptor = _Acceptor(
            split_address(local_address), f"peers-{local_address}", self
        )
        self._budget = self.acceptor.budget = budget or BodyBudget()
        self._session_by_sock: dict[socket.socket, Session] = {}
        self._broken_by_peer: dict[PeerRun, Session] = {}
        self._connection_order = ConnectionOrder()
        #: When each connection without a `Hello` was opened, the oldest first.
        self._opened_by_unintroduced: dict[socket.socket, Seconds] = {}
        self._is_shutting_down = False
        self._eviction = SessionEviction(self.acceptor, self._session_by_sock, clock)
        self.rejected = 0
        self.yielded = 0

    def cancel_orphans(self) -> None:
        """Cancel the requests of peers that have not connected again in time.

        Called regularly; "in time" means within `ORPHAN_TIMEOUT_S`.
        """
        now = self._clock()
        for key, session in list(self._broken_by_peer.items()):
            if now - session.broken_at > ORPHAN_TIMEOUT_S:
                del self._broken_by_peer[key]
                self._cancel_requests_except(session, set())
        self._connection_order.forget_ended(now)
        self._close_unintroduced(now)

    def _close_unintroduced(self, now: Seconds) -> None:
        """Close the connections whose `Hello` is overdue."""
        while self._opened_by_unintroduced:
            sock, opened_at = next(iter(self._opened_by_unintroduced.items()))
            if now - opened_at <= HELLO_TIMEOUT_S:
                return
            self.acceptor.drop(sock)

    def _cancel_requests_except(self, session: Session, wanted: set[int]) -> None:
        """Cancel the requests of a session other than the wanted ones."""
        for number in set(session.ticket_by_number) - wanted:
            self._handler.on_cancel(session.ticket_by_number.pop(number))

    def announce_shutdown(self) -> None:
        """Announce the shutdown to all peers, so that they send no more requests.

        Peers that connect later are told as well.
        """
        self._is_shutting_down = True
        for session in list(self._session_by_sock.values()):
            self._send(session, ShutdownNotice())

    @property
    def held_bytes(self) -> int:
        """Bytes that wait to be sent, and those of frames received in part."""
        readers = (each.reader for each in self._session_by_sock.values())
        received = sum(reader.buffered_bytes for reader in readers)
        kept = sum(
            len(frame.body)
            for session in self._broken_by_peer.values()
            for frame in session.undelivered.values()
            if isinstance(frame, Reply)
        )
        return self.acceptor.unsent_bytes + received + kept

    @property
    def has_undelivered(self) -> bool:
        """Whether a peer has not been sent an outcome, or is sending a request.

        Outcomes for a peer whose connection has ended are kept for `ORPHAN_TIMEOUT_S`.
        """
        return (
            self.acceptor.has_unsent
            or any(session.undelivered for session in self._broken_by_peer.values())
            or any(
                session.reader.is_within_frame
                for session in self._session_by_sock.values()
            )
        )

    # Connections

    def connection_accepted(self, sock: socket.socket) -> None:
        """Create the session of a connection that a peer opened, or refuse it.

        At the limit the connection gives way that is of the least use.
        """
        if len(self._session_by_sock) >= self._max_connections:
            replaced = self._eviction.next_replaceable()
            if replaced is None:
                self.acceptor.drop(sock)
                return
            self.yielded += 1
            self.acceptor.drop(replaced)
        now = self._clock()
        reader = FrameReader()
        reader.accepts_large = False
        self._session_by_sock[sock] = Session(sock, reader, last_contact_at=now)
        self._opened_by_unintroduced[sock] = now

    def relieve(self, age_s: Seconds) -> bool:
        """Close the connection that holds the most bytes for the longest time.

        Counted are frames received in part and bytes that the peer does not accept. The
        peer may connect again and resume its requests.

        Parameters
        ----------
        age_s : float
            Minimum time for which nothing more of them was received or accepted, in
            seconds. Below `YIELD_TO_BODY_S` it is raised to that, unless it is 0: other
            regions are far, and an answer whose sending ends here is lost.

        Returns
        -------
        bool
            Whether a connection was closed.
        """
        sock = self._eviction.next_byte_holder(age_s)
        if sock is None:
            return False
        self.yielded += 1
        self.acceptor.drop(sock)
        return True

    def connection_closed(self, sock: socket.socket) -> None:
        """Keep the session of an ended connection, so that the peer can resume it."""
        self._opened_by_unintroduced.pop(sock, None)
        session = self._session_by_sock.pop(sock, None)
        if session is None or not session.address:
            return
        session.sock = None
        # The codecs of a connection are of no use for the next one, and take memory.
        session.reader, session.writer = FrameReader(), FrameWriter()
        session.broken_at = self._clock()
        self._broken_by_peer[session.peer] = session
        self._connection_order.record_ended(
            session.broken_at, session.peer, session.connection_number
        )

    def receive(self, sock: socket.socket, data: bytes) -> None:
        """Handle received bytes; close the connection if they are not valid frames."""
        session = self._session_by_sock.get(sock)
        if session is None:
            return
        session.last_contact_at = self._clock()
        session.received_at = time.monotonic()
        try:
            frames, error = _read_frames(session.reader, data)
            cancels = {each.number: each for each in frames if isinstance(each, Cancel)}
            for frame in frames:
                # A `Hello` may replace this session by an earlier one.
                session = self._session_by_sock.get(sock)
                if session is None:
                    return
                if not self._cancelled_early(session, frame, cancels):
                    self._on_frame(session, frame)
            if error is not None:
                raise error
        except ValueError:
            self.rejected += 1
            self.acceptor.drop(sock)
        if session.address:
            self._handler.on_contact(session.address)
        if session.sock is not sock:
            return
        if session.reader.has_more:
            self.acceptor.handle_later(sock)
        if session.reader.buffered_bytes > SMALL_BODY_BYTES:
            self._budget.relieve_excess()

    def _cancelled_early(
        self, session: Session, frame: Frame, cancels: dict[int, Cancel]
    ) -> bool:
        """Return whether a request was cancelled before this process looked at it.

        While this process is slow, a request and its cancellation arrive together. The
        request is then not begun; a withdrawn one is reported as not run.
        """
        if not isinstance(frame, Forward) or frame.number not in cancels:
            return False
        session.last_number = max(session.last_number, frame.number)
        if cancels[frame.number].withdraws:
            not_run = NotRun(ErrorKind.DEADLINE_UNREACHABLE)
            self._send(
                session,
                encode_outcome(frame.number, not_run, self._handler.local_load()),
            )
        return True

    def _send(self, session: Session, frame: Frame) -> None:
        if session.sock is not None:
            body = stored_body(frame)
            parts = session.writer.encode_parts(frame)
            scope = self._traffic.scope(session.address)
            self._traffic.record(frame, scope, sum(map(len, parts)))
            if body is None:
                self.acceptor.send(session.sock, b"".join(parts))
            else:
                self.acceptor.send_parts(session.sock, parts, body)
            unsent = self.acceptor.unsent(session.sock)
            if unsent is not None and unsent.size > SMALL_BODY_BYTES:
                self._budget.relieve_excess()

    def _on_frame(self, session: Session, frame: Frame) -> None:
        if isinstance(frame, Forward):
            self._on_forward(session, frame)
        elif isinstance(frame, Hello):
            self._on_hello(session, frame)
        elif isinstance(frame, Resume):
            self._on_resume(session, frame)
        elif isinstance(frame, Cancel):
            self._on_cancel(session, frame)
        elif isinstance(frame, Ping):
            self._send(session, self._handler.pong(frame.number))
        elif isinstance(frame, RenewLease):
            if self._handler.on_renewal_request(session.address):
                self._send(session, LeaseRenewed(frame.number))
        elif isinstance(frame, ReplacementRequest):
            if self._handler.on_replacement_request(frame.owner, frame.at):
                self._send(session, ReplacementVote(frame.owner, frame.at))
        elif isinstance(frame, Push):
            self._handler.on_push(frame)
        elif isinstance(frame, ConfigurationPush):
            self._handler.on_configuration_push(frame)
        elif isinstance(frame, SuspectsPush):
            self._handler.on_suspects(frame)
        elif isinstance(frame, SyncRequest):
            self._send(session, self._handler.on_sync_request(frame))

    def _on_cancel(self, session: Session, frame: Cancel) -> None:
        """Cancel or withdraw a request.

        There is nothing to do for a request that is not recorded: its outcome is on its
        way, or the `Resume` before has been answered for it.
        """
        if frame.withdraws:
            ticket = session.ticket_by_number.get(frame.number)
            if ticket is not None:
                self._handler.on_withdraw(ticket)
            return
        ticket = session.ticket_by_number.pop(frame.number, None)
        if ticket is not None:
            self._handler.on_cancel(ticket)

    # Broken and resumed sessions

    def _on_hello(self, session: Session, hello: Hello) -> None:
        """Record which peer has connected and continue its earlier session, if any."""
        if session.address:
            raise ValueError(f"a second Hello, of {hello.address!r}; allowed: one")
        parse_address(hello.address)
        peer = (hello.address, hello.session)
        if self._connection_order.is_given_up(peer, hello.connection):
            self.acceptor.drop(session.sock)
            return
        for sock, other in list(self._session_by_sock.items()):
            if other.peer == peer:
                # The peer has given up this connection; bytes still on it are not
                # read.
                self.acceptor.drop(sock)
        self._connection_order.record_opened(peer, hello.connection)
        session = self._continued(session, hello)
        self._opened_by_unintroduced.pop(session.sock, None)
        session.connection_number = hello.connection
        if self._is_shutting_down:
            self._send(session, ShutdownNotice())

    def _continued(self, session: Session, hello: Hello) -> Session:
        """Return the session that a connection is of, an earlier one or its own."""
        earlier = self._broken_by_peer.pop((hello.address, hello.session), None)
        if earlier is not None:
            earlier.sock = session.sock
            earlier.reader, earlier.writer = session.reader, session.writer
            self._session_by_sock[session.sock] = earlier
            return earlier
        session.address, session.service = hello.address, hello.service
        session.session_number = hello.session
        if hello.connection != NOT_NUMBERED:
            session.first_number = hello.first_number
        return session

    def _on_resume(self, session: Session, resume: Resume) -> None:
        """Send the outcomes of requests that were sent over an earlier connection."""
        wanted = set(resume.numbers)
        self._cancel_requests_except(session, wanted)
        undelivered, session.undelivered = session.undelivered, {}
        missing: list[int] = []
        for number in sorted(wanted - set(session.ticket_by_number)):
            if number in undelivered:
                self._send(session, undelivered[number])
            else:
                missing.append(number)
        if missing:
            self._report_missing(session, missing)

    def _report_missing(self, session: Session, missing: list[int]) -> None:
        """Send the outcomes of requests of which nothing is recorded here.

        One that was sent in this session and never arrived has not run: the connection
        that it was sent on is closed, so it cannot arrive any more. The outcome of any
        other is unknown.
        """
        load = self._handler.local_load()
        not_run, unknown = [], []
        for number in missing:
            if session.never_received(number):
                not_run.append(number)
                outcome = NotRun(ErrorKind.OWNER_UNREACHABLE)
                frame = encode_outcome(number, outcome, load)
                frame = msgspec.structs.replace(frame, never_received=True)
            else:
                unknown.append(number)
                outcome = Unknown(ErrorKind.ANSWER_LOST)
                frame = encode_outcome(number, outcome, load)
            self._send(session, frame)
        report = MissingRequests(tuple(not_run), tuple(unknown))
        self._handler.on_missing_requests(session.address, report)

    # Requests

    def _on_forward(self, session: Session, frame: Forward) -> None:
        if not session.service:
            raise ValueError("Forward frame before the Hello frame of its connection")
        now = self._clock()
        session.last_number = max(session.last_number, frame.number)
        request = RoutedRequest(
            id=frame.id,
            service=frame.service,
            route=frame.route,
            key=decode_key(frame.key),
            method=frame.method,
            path=frame.path,
            host=frame.host,
            headers=pair_headers(frame.headers),
            body=frame.body,
            caller=session.service,
            idempotent=frame.idempotent,
            priority=frame.priority,
            deadline=now + frame.remaining_ms / _MS_PER_S,
            target_latency_deadline=now + frame.target_latency_remaining_ms / _MS_PER_S,
            is_retry=frame.is_retry,
            is_suspected=frame.is_suspected,
        )
        origin = Origin(session, frame.number)
        session.ticket_by_number[frame.number] = 0
        ticket = self._handler.on_forward(origin, request)
        if frame.number in session.ticket_by_number:
            session.ticket_by_number[frame.number] = ticket

    def answer(self, origin: Origin, outcome: Outcome, load: Load) -> None:
        """Send the outcome of a request to the daemon that sent the request.

        Without a connection the outcome is kept until that daemon connects again. An
        outcome of a cancelled request is dropped.

        Parameters
        ----------
        origin : Origin
            The request's origin, as given to `PeerEvents.on_forward`.
        outcome : Outcome
            The outcome.
        load : Load
            Load of the local target.
        """
        session = origin.session
        if session.ticket_by_number.pop(origin.number, None) is None:
            return
        frame = encode_outcome(origin.number, outcome, load)
        if session.sock is not None:
            self._send(session, frame)
        else:
            session.undelivered[origin.number] = frame
