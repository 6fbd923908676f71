"""Connections between daemons: requests, their outcomes, signs of life, records.

Every daemon opens one connection to each other one and sends its requests over it, many
at a time; outcomes come back on the same connection. Where requests flow, they are the
sign of life; pings go only over links that are silent.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from errno import ECONNREFUSED
from typing import TYPE_CHECKING, Protocol

from rhubarbhall.adapters.peer_frames import (
    Bye,
    Cancel,
    Forward,
    Frame,
    Hello,
    LapseAsk,
    LapseVote,
    Ping,
    Pong,
    Push,
    Refused,
    Renew,
    Renewed,
    Reply,
    SyncAsk,
    SyncEntry,
    SyncTell,
)
from rhubarbhall.adapters.peer_stream import FrameReader, FrameWriter
from rhubarbhall.adapters.sockets import Listener, Outgoing
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import (
    Answered,
    Headers,
    Load,
    NotRun,
    Outcome,
    Request,
    Unknown,
)
from rhubarbhall.settings import split_address

if TYPE_CHECKING:
    import socket

    from rhubarbhall.types import Address, Seconds

#: Silence after which a link is pinged, in the own region and across regions.
NEAR_PING_S = 0.5
FAR_PING_S = 2.0
#: The same while an outcome is awaited there.
BUSY_PING_S = 0.5
#: Time for the answer to a ping, in the own region and across regions.
NEAR_PONG_S = 0.7
FAR_PONG_S = 1.0
#: Time there and back before it was measured, and the longest that is believed.
NEAR_WAY_S = 0.003
FAR_WAY_S = 0.065
MAX_WAY_S = 0.2
#: Time for a connection to be made.
CONNECT_S = 1.0
#: Pause between two attempts to connect.
REDIAL_S = 0.3
#: Time between looks at all links.
LOOK_S = 0.1
_MS_PER_S = 1000
_NO_KEY = -1


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


@dataclass(frozen=True, slots=True)
class Origin:
    """Where a request for the own target came from."""

    sock: socket.socket
    ticket: int


@dataclass(slots=True)
class _Link:
    """The connection opened to one daemon."""

    address: Address
    near: bool
    region: str = ""
    way_s: Seconds = 0.0
    sock: socket.socket | None = None
    is_open: bool = False
    is_leaving: bool = False
    reader: FrameReader = field(default_factory=FrameReader)
    writer: FrameWriter = field(default_factory=FrameWriter)
    tickets: set[int] = field(default_factory=set)
    dialed_at: Seconds = float("-inf")
    heard_at: Seconds = float("-inf")
    pinged_at: Seconds | None = None
    ping_number: int = 0
    sync_asked_at: Seconds = float("-inf")
    renewal: int = 0
    renewal_asked_at: Seconds = float("-inf")


@dataclass(slots=True)
class _Inbound:
    """A connection opened by another daemon."""

    reader: FrameReader = field(default_factory=FrameReader)
    writer: FrameWriter = field(default_factory=FrameWriter)
    address: Address = ""
    service: str = ""
    ticket_by_theirs: dict[int, int] = field(default_factory=dict)


def _flat(headers: Headers) -> list[str]:
    return [text for pair in headers for text in pair]


def _paired(flat: list[str]) -> Headers:
    return tuple(zip(flat[::2], flat[1::2], strict=True))


def _outcome_frame(ticket: int, outcome: Outcome, load: Load) -> Frame:
    if isinstance(outcome, Answered):
        return Reply(
            ticket,
            outcome.status,
            _flat(outcome.headers),
            outcome.body,
            load.running,
            load.waiting,
            load.slots,
        )
    retry_after_s = outcome.retry_after_s if isinstance(outcome, NotRun) else 0.0
    return Refused(
        ticket,
        outcome.kind,
        isinstance(outcome, NotRun),
        int(retry_after_s * _MS_PER_S),
        load.running,
        load.waiting,
        load.slots,
    )


def _refused_outcome(frame: Refused) -> Outcome:
    kind = ErrorKind(frame.kind)
    if frame.not_run:
        return NotRun(kind, frame.retry_after_ms / _MS_PER_S)
    return Unknown(kind)


class _Acceptor(Listener):
    """Accepts connections and hands their bytes to the hub."""

    def __init__(self, bind: tuple[str, int], channel: str, hub: PeerHub) -> None:
        super().__init__(bind, channel)
        self._hub = hub

    def on_accepted(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Begin to read a new connection."""
        self._hub.accepted(sock)

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Take bytes of another daemon."""
        self._hub.inbound_data(sock, data)

    def on_closed(self, sock: socket.socket) -> None:
        """Learn that a connection has ended."""
        self._hub.inbound_closed(sock)


class _Dialer(Outgoing):
    """Opens connections and hands their bytes to the hub."""

    def __init__(self, channel: str, hub: PeerHub) -> None:
        super().__init__(channel)
        self._hub = hub

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Take bytes of another daemon."""
        self._hub.link_data(sock, data)

    def on_closed(self, sock: socket.socket) -> None:
        """Learn that a connection has ended."""
        self._hub.link_closed(sock, self.connect_error == ECONNREFUSED)


class PeerHub:
    """All connections to other daemons.

    Parameters
    ----------
    me : str
        Address to listen on.
    service : str
        Service of the own VM.
    handler : PeerEvents
        Takes what others say.
    clock : callable
        Returns the time.
    """

    def __init__(
        self,
        me: Address,
        service: str,
        handler: PeerEvents,
        clock: Callable[[], Seconds],
    ) -> None:
        self._me = me
        self.service = service
        self._handler = handler
        self._clock = clock
        self.acceptor = _Acceptor(split_address(me), f"peers-{me}", self)
        self.dialer = _Dialer(f"links-{me}", self)
        self._link_by_address: dict[Address, _Link] = {}
        self._link_by_sock: dict[socket.socket, _Link] = {}
        self._inbound_by_sock: dict[socket.socket, _Inbound] = {}
        #: Frames that could not be read.
        self.rejected = 0

    # Who there is

    def set_members(
        self, region: str, region_by_address: Mapping[Address, str]
    ) -> None:
        """Keep a connection to each of these daemons.

        Parameters
        ----------
        region : str
            The own region.
        region_by_address : mapping of str to str
            Where each one is.
        """
        for address in set(self._link_by_address) - set(region_by_address):
            link = self._link_by_address.pop(address)
            if link.sock is not None:
                self.dialer.drop(link.sock)
        for address, place in region_by_address.items():
            near = place == region
            link = self._link_by_address.setdefault(address, _Link(address, near))
            link.near, link.region = near, place
            link.way_s = link.way_s or (NEAR_WAY_S if near else FAR_WAY_S)

    def look(self) -> None:
        """Dial, ping and give up links as needed; called every `LOOK_S`."""
        now = self._clock()
        for link in list(self._link_by_address.values()):
            if link.sock is None:
                if now - link.dialed_at >= REDIAL_S:
                    self._dial(now, link)
            elif not link.is_open:
                if now - link.dialed_at > CONNECT_S:
                    self.dialer.drop(link.sock)
            else:
                self._check(now, link)

    def _check(self, now: Seconds, link: _Link) -> None:
        if link.pinged_at is not None:
            bound = NEAR_PONG_S if link.near else FAR_PONG_S
            if now - max(link.pinged_at, link.heard_at) > bound:
                self.dialer.drop(link.sock)
            return
        idle_s = NEAR_PING_S if link.near else FAR_PING_S
        if link.tickets:
            idle_s = min(idle_s, BUSY_PING_S)
        if now - max(link.heard_at, link.dialed_at) >= idle_s:
            self.ping(link.address)

    def ping(self, address: Address) -> None:
        """Ask a daemon for a sign of life and what it knows of the store."""
        link = self._link_by_address.get(address)
        if link is None or not link.is_open or link.pinged_at is not None:
            return
        link.ping_number += 1
        link.pinged_at = self._clock()
        self._send(link, Ping(link.ping_number))

    def ask_renewal(self, address: Address) -> None:
        """Ask a guardian to renew the lease."""
        link = self._link_by_address.get(address)
        if link is not None and link.is_open:
            link.renewal += 1
            link.renewal_asked_at = self._clock()
            self._send(link, Renew(link.renewal))

    def ask_lapse(self, guardian: Address, owner: Address, at: int) -> None:
        """Ask a guardian whether an owner may be replaced by a record at an offset."""
        link = self._link_by_address.get(guardian)
        if link is not None and link.is_open:
            self._send(link, LapseAsk(owner, at))

    def near_peers(self) -> list[Address]:
        """Return the daemons of the own region that are connected."""
        return [
            link.address
            for link in self._link_by_address.values()
            if link.near and link.is_open
        ]

    def push(self, entry: SyncEntry, everywhere: bool) -> None:
        """Pass a record on that has just been written.

        Bytes between regions are dear: one daemon of each other region gets it and
        passes it on there.

        Parameters
        ----------
        everywhere : bool
            Whether other regions get it too.
        """
        regions: set[str] = set()
        for link in self._link_by_address.values():
            if not link.is_open:
                continue
            if link.near:
                self._send(link, Push(entry, relay=False))
            elif everywhere and link.region not in regions:
                regions.add(link.region)
                self._send(link, Push(entry, relay=True))

    def say_goodbye(self) -> None:
        """Ask all daemons to send no more requests here."""
        for sock in list(self._inbound_by_sock):
            self._answer(sock, Bye())

    def _dial(self, now: Seconds, link: _Link) -> None:
        link.dialed_at = now
        link.is_leaving = False
        link.reader, link.writer = FrameReader(), FrameWriter()
        link.pinged_at = None
        try:
            link.sock = self.dialer.open(
                split_address(link.address), lambda: self._opened(link)
            )
        except OSError:
            link.sock = None
            return
        self._link_by_sock[link.sock] = link

    def _opened(self, link: _Link) -> None:
        link.is_open = True
        now = self._clock()
        link.heard_at = now
        self._send(link, Hello(self._me, self.service))
        self._handler.on_heard(link.address)
        self._handler.on_link(link.address, True)

    def _send(self, link: _Link, frame: Frame) -> None:
        self.dialer.send(link.sock, link.writer.encode(frame))

    # Requests for others

    def forward(
        self, now: Seconds, address: Address, ticket: int, request: Request
    ) -> bool:
        """Send a request to a daemon; return False if nothing was sent."""
        link = self._link_by_address.get(address)
        if link is None or not link.is_open or link.is_leaving:
            return False
        link.tickets.add(ticket)
        # The answer has to be back in time.
        there_and_back_at = now + link.way_s
        frame = Forward(
            ticket,
            request.service,
            request.route,
            _NO_KEY if request.key is None else request.key,
            int((request.deadline - there_and_back_at) * _MS_PER_S),
            int((request.worth_most_until - there_and_back_at) * _MS_PER_S),
            request.came_back,
            request.idempotent,
            request.priority,
            request.method,
            request.path,
            request.host,
            request.id,
            _flat(request.headers),
            request.body,
        )
        self._send(link, frame)
        return True

    def cancel(self, address: Address, ticket: int) -> None:
        """Tell a daemon that a request's outcome is of no more use."""
        link = self._link_by_address.get(address)
        if link is not None and link.is_open and ticket in link.tickets:
            link.tickets.discard(ticket)
            self._send(link, Cancel(ticket))

    def ask_sync(self, address: Address, offset: int, configuration: int) -> None:
        """Ask a daemon for records."""
        link = self._link_by_address.get(address)
        now = self._clock()
        if link is not None and link.is_open and now - link.sync_asked_at > LOOK_S:
            link.sync_asked_at = now
            self._send(link, SyncAsk(offset, configuration))

    def link_data(self, sock: socket.socket, data: bytes) -> None:
        """Take bytes on a connection that this daemon opened."""
        link = self._link_by_sock.get(sock)
        if link is None:
            return
        link.heard_at = self._clock()
        self._handler.on_heard(link.address)
        try:
            for frame in link.reader.feed(data):
                self._on_link_frame(link, frame)
        except ValueError:
            self.rejected += 1
            self.dialer.drop(sock)

    def _on_link_frame(self, link: _Link, frame: Frame) -> None:
        if isinstance(frame, Reply):
            outcome = Answered(frame.status, _paired(frame.headers), frame.body)
            self._settle(link, frame, outcome)
        elif isinstance(frame, Refused):
            self._settle(link, frame, _refused_outcome(frame))
        elif isinstance(frame, Pong):
            self._on_pong(link, frame)
        elif isinstance(frame, Renewed):
            # It counts from when the last question was sent, not an earlier one.
            if frame.number == link.renewal:
                self._handler.on_renewed(link.address, link.renewal_asked_at)
        elif isinstance(frame, LapseVote):
            self._handler.on_lapse_vote(link.address, frame.owner, frame.at)
        elif isinstance(frame, Bye):
            link.is_leaving = True
            self._handler.on_link(link.address, False)
        elif isinstance(frame, SyncTell):
            self._handler.on_sync_tell(link.address, link.sync_asked_at, frame)

    def _on_pong(self, link: _Link, pong: Pong) -> None:
        if link.pinged_at is None or pong.number != link.ping_number:
            return
        asked_at, link.pinged_at = link.pinged_at, None
        link.way_s = min(MAX_WAY_S, self._clock() - asked_at)
        self._handler.on_pong(link.address, asked_at, pong)

    def _settle(self, link: _Link, frame: Reply | Refused, outcome: Outcome) -> None:
        if frame.ticket not in link.tickets:
            return
        link.tickets.discard(frame.ticket)
        load = Load(frame.running, frame.waiting, frame.slots)
        self._handler.on_outcome(link.address, frame.ticket, outcome, load)

    def link_closed(self, sock: socket.socket, refused: bool) -> None:
        """Learn that a connection that this daemon opened has ended."""
        link = self._link_by_sock.pop(sock, None)
        if link is None:
            return
        was_open = link.is_open
        link.sock, link.is_open, link.pinged_at = None, False, None
        if refused:
            self._handler.on_refused(link.address)
        tickets, link.tickets = link.tickets, set()
        if was_open:
            self._handler.on_link(link.address, False)
        for ticket in tickets:
            lost = Unknown(ErrorKind.ANSWER_LOST)
            self._handler.on_outcome(link.address, ticket, lost, None)

    # Requests of others

    def accepted(self, sock: socket.socket) -> None:
        """Begin to read a connection that another daemon opened."""
        self._inbound_by_sock[sock] = _Inbound()

    def inbound_data(self, sock: socket.socket, data: bytes) -> None:
        """Take bytes on a connection that another daemon opened."""
        inbound = self._inbound_by_sock.get(sock)
        if inbound is None:
            return
        try:
            for frame in inbound.reader.feed(data):
                self._on_inbound_frame(sock, inbound, frame)
        except ValueError:
            self.rejected += 1
            self.acceptor.drop(sock)
        if inbound.address:
            self._handler.on_heard(inbound.address)

    def _on_inbound_frame(
        self, sock: socket.socket, inbound: _Inbound, frame: Frame
    ) -> None:
        if isinstance(frame, Hello):
            inbound.address, inbound.service = frame.address, frame.service
        elif isinstance(frame, Forward):
            self._on_forward(sock, inbound, frame)
        elif isinstance(frame, Cancel):
            ticket = inbound.ticket_by_theirs.pop(frame.ticket, None)
            if ticket is not None:
                self._handler.on_cancel(ticket)
        elif isinstance(frame, Ping):
            self._answer(sock, self._handler.pong(frame.number))
        elif isinstance(frame, Renew):
            if self._handler.on_renew(inbound.address):
                self._answer(sock, Renewed(frame.number))
        elif isinstance(frame, LapseAsk):
            if self._handler.on_lapse_ask(frame.owner, frame.at):
                self._answer(sock, LapseVote(frame.owner, frame.at))
        elif isinstance(frame, Push):
            self._handler.on_push(frame)
        elif isinstance(frame, SyncAsk):
            self._answer(sock, self._handler.on_sync_ask(frame))

    def _answer(self, sock: socket.socket, frame: Frame) -> None:
        inbound = self._inbound_by_sock.get(sock)
        if inbound is not None:
            self.acceptor.send(sock, inbound.writer.encode(frame))

    def _on_forward(
        self, sock: socket.socket, inbound: _Inbound, frame: Forward
    ) -> None:
        if not inbound.service:
            raise ValueError("a request before the greeting")
        now = self._clock()
        request = Request(
            id=frame.id,
            service=frame.service,
            route=frame.route,
            key=None if frame.key == _NO_KEY else frame.key,
            method=frame.method,
            path=frame.path,
            host=frame.host,
            headers=_paired(frame.headers),
            body=frame.body,
            caller=inbound.service,
            idempotent=frame.idempotent,
            priority=frame.priority,
            deadline=now + frame.left_ms / _MS_PER_S,
            worth_most_until=now + frame.worth_most_ms / _MS_PER_S,
            came_back=frame.came_back,
        )
        ticket = self._handler.on_forward(Origin(sock, frame.ticket), request)
        inbound.ticket_by_theirs[frame.ticket] = ticket

    def answer(self, origin: Origin, outcome: Outcome, load: Load) -> None:
        """Send the outcome of a request to the daemon that it came from."""
        inbound = self._inbound_by_sock.get(origin.sock)
        if inbound is not None:
            inbound.ticket_by_theirs.pop(origin.ticket, None)
            self._answer(origin.sock, _outcome_frame(origin.ticket, outcome, load))

    def inbound_closed(self, sock: socket.socket) -> None:
        """Give up the requests of a daemon whose connection has ended."""
        inbound = self._inbound_by_sock.pop(sock, None)
        if inbound is not None:
            for ticket in inbound.ticket_by_theirs.values():
                self._handler.on_cancel(ticket)
