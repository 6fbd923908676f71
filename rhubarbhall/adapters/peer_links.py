"""Connections to other daemons: requests, signs of life, leases, records.

Every daemon opens one connection to each other one and sends its requests over it, many
at a time; outcomes come back on the same connection. Where requests flow, they are the
sign of life; pings go only over links that are silent.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from errno import ECONNREFUSED
from typing import TYPE_CHECKING

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
    Resume,
    SyncAsk,
    SyncEntry,
    SyncTell,
)
from rhubarbhall.adapters.peer_outcomes import flat, key_number, outcome_of
from rhubarbhall.adapters.peer_stream import FrameReader, FrameWriter
from rhubarbhall.adapters.sockets import Outgoing
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import Load, Request, Unknown
from rhubarbhall.settings import split_address

if TYPE_CHECKING:
    import socket

    from rhubarbhall.adapters.peer_events import PeerEvents
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
#: Time for the first connection to a daemon that is there: a look at the links, and the
#: way to another region and back.
FIRST_OPEN_S = 0.25
#: Pause between two attempts to connect.
REDIAL_S = 0.3
#: Questions for a renewal whose answers are awaited at a time.
MAX_RENEWALS = 32
#: Time between looks at all links.
LOOK_S = 0.1
#: Time after a connection has ended for a new one to bring the outcomes on it.
RESUME_S = 0.35
_MS_PER_S = 1000


@dataclass(slots=True)
class _Link:
    """The connection opened to one daemon."""

    address: Address
    near: bool
    known_since: Seconds
    was_open: bool = False
    region: str = ""
    way_s: Seconds = 0.0
    sock: socket.socket | None = None
    is_open: bool = False
    is_leaving: bool = False
    reader: FrameReader = field(default_factory=FrameReader)
    writer: FrameWriter = field(default_factory=FrameWriter)
    ticket_by_number: dict[int, int] = field(default_factory=dict)
    number_by_ticket: dict[int, int] = field(default_factory=dict)
    broken_at: Seconds | None = None
    dialed_at: Seconds = float("-inf")
    heard_at: Seconds = float("-inf")
    pinged_at: Seconds | None = None
    ping_number: int = 0
    sync_asked_at: Seconds = float("-inf")
    renewal: int = 0
    #: When renewals were asked for that have not come, by number.
    renewal_asked_at: dict[int, Seconds] = field(default_factory=dict)

    def add(self, number: int, ticket: int) -> None:
        """Note a request that is sent."""
        self.ticket_by_number[number] = ticket
        self.number_by_ticket[ticket] = number

    def take(self, number: int) -> int | None:
        """Return the ticket of a request whose outcome has come, once."""
        ticket = self.ticket_by_number.pop(number, None)
        if ticket is not None:
            del self.number_by_ticket[ticket]
        return ticket


class _Dialer(Outgoing):
    """Opens connections and hands their bytes on."""

    def __init__(self, channel: str, links: PeerLinks) -> None:
        super().__init__(channel)
        self._links = links

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Take bytes of another daemon."""
        self._links.take(sock, data)

    def on_closed(self, sock: socket.socket) -> None:
        """Learn that a connection has ended."""
        self._links.closed(sock, self.connect_error == ECONNREFUSED)


class PeerLinks:
    """The connections that this daemon opens to all others.

    Parameters
    ----------
    me : str
        The own daemon.
    service : str
        Service of the own VM.
    handler : PeerEvents
        Takes what others say.
    clock : callable
        Returns the time.
    session : int
        Chosen anew by each process.
    """

    def __init__(
        self,
        me: Address,
        service: str,
        handler: PeerEvents,
        clock: Callable[[], Seconds],
        session: int,
    ) -> None:
        self._me = me
        self.service = service
        self._handler = handler
        self._clock = clock
        self._session = session
        #: Never used twice in a session, so that a late answer meets no other request.
        self._numbers = itertools.count(1)
        self.dialer = _Dialer(f"links-{me}", self)
        self._link_by_address: dict[Address, _Link] = {}
        self._link_by_sock: dict[socket.socket, _Link] = {}
        #: Connections whose bytes could not be read.
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
            self._give_up(link)
        for address, place in region_by_address.items():
            near = place == region
            link = self._link_by_address.get(address)
            if link is None:
                link = _Link(address, near, known_since=self._clock())
                self._link_by_address[address] = link
            link.near, link.region = near, place
            link.way_s = link.way_s or (NEAR_WAY_S if near else FAR_WAY_S)

    def look(self) -> None:
        """Dial, ping and give up links as needed; called every `LOOK_S`."""
        now = self._clock()
        for link in list(self._link_by_address.values()):
            if link.broken_at is not None and now - link.broken_at > RESUME_S:
                self._give_up(link)
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
        if link.ticket_by_number:
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
            link.renewal_asked_at[link.renewal] = self._clock()
            link.renewal_asked_at.pop(link.renewal - MAX_RENEWALS, None)
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
        link.is_open = link.was_open = True
        now = self._clock()
        link.heard_at = now
        self._send(link, Hello(self._me, self.service, self._session))
        link.broken_at = None
        self._send(link, Resume(list(link.ticket_by_number)))
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
        number = next(self._numbers)
        link.add(number, ticket)
        # The answer has to be back in time.
        there_and_back_at = now + link.way_s
        frame = Forward(
            number,
            request.service,
            request.route,
            key_number(request.key),
            int((request.deadline - there_and_back_at) * _MS_PER_S),
            int((request.worth_most_until - there_and_back_at) * _MS_PER_S),
            request.came_back,
            request.idempotent,
            request.priority,
            request.method,
            request.path,
            request.host,
            request.id,
            flat(request.headers),
            request.body,
        )
        self._send(link, frame)
        return True

    def opens_soon(self, now: Seconds, address: Address) -> bool:
        """Tell whether a first connection to a daemon is just being made."""
        link = self._link_by_address.get(address)
        if link is None or link.was_open:
            return False
        return now - link.known_since < FIRST_OPEN_S

    def cancel(self, address: Address, ticket: int) -> None:
        """Tell a daemon that a request's outcome is of no more use."""
        link = self._link_by_address.get(address)
        number = link.number_by_ticket.get(ticket) if link is not None else None
        if number is None:
            return
        link.take(number)
        if link.is_open:
            self._send(link, Cancel(number))

    def ask_sync(self, address: Address, offset: int, configuration: int) -> None:
        """Ask a daemon for records."""
        link = self._link_by_address.get(address)
        now = self._clock()
        if link is not None and link.is_open and now - link.sync_asked_at > LOOK_S:
            link.sync_asked_at = now
            self._send(link, SyncAsk(offset, configuration))

    def take(self, sock: socket.socket, data: bytes) -> None:
        """Take bytes on a connection that this daemon opened."""
        link = self._link_by_sock.get(sock)
        if link is None:
            return
        link.heard_at = self._clock()
        self._handler.on_heard(link.address)
        try:
            for frame in link.reader.feed(data):
                self._on_frame(link, frame)
        except ValueError:
            self.rejected += 1
            self.dialer.drop(sock)

    def _on_frame(self, link: _Link, frame: Frame) -> None:
        if isinstance(frame, Reply | Refused):
            self._settle(link, frame)
        elif isinstance(frame, Pong):
            self._on_pong(link, frame)
        elif isinstance(frame, Renewed):
            # It counts from when this question was sent; others may have been since.
            asked_at = link.renewal_asked_at.pop(frame.number, None)
            if asked_at is not None:
                self._handler.on_renewed(link.address, asked_at)
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

    def _settle(self, link: _Link, frame: Reply | Refused) -> None:
        # Read first: a frame that cannot be read must not settle its request.
        outcome = outcome_of(frame)
        ticket = link.take(frame.number)
        if ticket is not None:
            load = Load(frame.running, frame.waiting, frame.slots)
            self._handler.on_outcome(link.address, ticket, outcome, load)

    def closed(self, sock: socket.socket, refused: bool) -> None:
        """Learn that a connection that this daemon opened has ended.

        The next one brings the outcomes of its requests, if it comes soon.
        """
        link = self._link_by_sock.pop(sock, None)
        if link is None:
            return
        was_open = link.is_open
        link.sock, link.is_open, link.pinged_at = None, False, None
        if was_open:
            link.broken_at = self._clock()
            self._handler.on_link(link.address, False)
        if refused:
            # The process that had them has ended.
            self._handler.on_refused(link.address)
            self._give_up(link)
        elif was_open and link.address in self._link_by_address:
            self._dial(self._clock(), link)

    def _give_up(self, link: _Link) -> None:
        """Tell that the outcomes of a broken connection's requests are not known."""
        link.broken_at = None
        for number in list(link.ticket_by_number):
            ticket = link.take(number)
            lost = Unknown(ErrorKind.ANSWER_LOST)
            self._handler.on_outcome(link.address, ticket, lost, None)
