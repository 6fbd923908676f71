"""Connections that this daemon opens to its peers.

A daemon keeps connections with the few peers that it watches; they carry pings, lease
renewals and records of the store. A connection with any other peer is opened for the
first request to it and closed when it has been idle. Requests go over a connection many
at a time, and their outcomes come back on it. Any received bytes show that the peer
responds, so pings are sent only where nothing has been received for a while.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Collection, Mapping
from errno import ECONNREFUSED
from typing import TYPE_CHECKING

import msgspec

from rhubarbhall.adapters.peer_frames import (
    Cancel,
    ConfigurationPush,
    Forward,
    Frame,
    Hello,
    LeaseRenewed,
    Ping,
    Pong,
    Push,
    RenewLease,
    ReplacementRequest,
    ReplacementVote,
    Reply,
    RequestFailed,
    ShutdownNotice,
    SuspectsPush,
    SyncEntry,
    SyncRequest,
    SyncResponse,
)
from rhubarbhall.adapters.peer_link import PeerLink
from rhubarbhall.adapters.peer_outcomes import (
    decode_load,
    decode_outcome,
    encode_key,
    flatten_headers,
)
from rhubarbhall.adapters.peer_stream import FrameReader, FrameWriter, stored_body
from rhubarbhall.adapters.peer_traffic import PeerTraffic
from rhubarbhall.adapters.sockets import Connector
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.ownership.peer_selection import relay_plan
from rhubarbhall.core.traffic.requests import NotRun, RoutedRequest, Unknown
from rhubarbhall.settings import split_address

if TYPE_CHECKING:
    import socket

    from rhubarbhall.adapters.peer_events import PeerEvents
    from rhubarbhall.types import Address, Seconds

#: Time without received bytes after which a link is pinged, in the local region and
#: across regions.
LOCAL_REGION_PING_DELAY_S = 0.5
REMOTE_REGION_PING_DELAY_S = 2.0
#: Upper bounds of that delay while a request on the link awaits its outcome.
LOCAL_REGION_PENDING_PING_DELAY_S = 0.5
REMOTE_REGION_PENDING_PING_DELAY_S = 1.0
#: Time for the answer to a ping, in the local region and across regions.
LOCAL_REGION_PONG_TIMEOUT_S = 0.7
REMOTE_REGION_PONG_TIMEOUT_S = 1.0
#: Round trip assumed before one was measured, in the local region and across regions,
#: and the upper bound of what a measured one counts as.
LOCAL_REGION_ROUND_TRIP_S = 0.003
REMOTE_REGION_ROUND_TRIP_S = 0.065
MAX_ROUND_TRIP_S = 0.2
#: Time for a connection to be established.
CONNECT_TIMEOUT_S = 1.0
#: Time within which the first connection to a running daemon is established: the round
#: trip to another region and the processing on both sides.
FIRST_CONNECT_GRACE_S = 0.25
#: Time between two attempts to connect.
REDIAL_DELAY_S = 0.3
#: Requests for renewal on one link whose answers are awaited at a time.
MAX_PENDING_RENEWALS = 32
#: Time without requests after which a connection with a peer that is not watched is
#: closed.
LINK_IDLE_TIMEOUT_S = 15.0
#: Time between checks of all links.
CHECK_INTERVAL_S = 0.1
#: Time after a connection has ended in which a new one can still bring the outcomes of
#: the requests on it.
RESUME_TIMEOUT_S = 0.35
_MS_PER_S = 1000


class _Dialer(Connector):
    """Opens connections and passes their bytes and their end to `PeerLinks`."""

    def __init__(self, channel: str, links: PeerLinks) -> None:
        super().__init__(channel)
        self._links = links

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Pass on received bytes."""
        self._links.receive(sock, data)

    def on_deferred(self, sock: socket.socket) -> None:
        """Let more of the bytes be handled that were received before."""
        self._poller.addReader(self, sock)
        self._links.receive(sock, b"")

    def handle_later(self, sock: socket.socket) -> None:
        """Handle more of the bytes received before, and read no others until then."""
        self._poller.defer(self, sock)

    def on_closed(self, sock: socket.socket) -> None:
        """Report that a connection has ended."""
        self._links.connection_closed(sock, self.connect_error == ECONNREFUSED)


class PeerLinks:
    """The links from the local daemon to its peers.

    Parameters
    ----------
    local_address : str
        Address of the local daemon.
    service : str
        Service of the local VM.
    handler : PeerEvents
        Handles messages of peers and the state of the links.
    clock : callable
        Returns the time, in seconds.
    session : int
        Number that each process draws anew.
    traffic : PeerTraffic, optional
        Counts what is sent.

    Attributes
    ----------
    dialer : Connector
        Component that opens the connections.
    rejected : int
        Connections that were closed because their bytes were not valid frames.
    """

    def __init__(
        self,
        local_address: Address,
        service: str,
        handler: PeerEvents,
        clock: Callable[[], Seconds],
        session: int,
        traffic: PeerTraffic | None = None,
    ) -> None:
        self._local_address = local_address
        self.service = service
        self._handler = handler
        self._clock = clock
        self._session = session
        self._traffic = traffic or PeerTraffic()
        #: Number of the next request. Never reused within a session, so that a late
        #: answer cannot be taken for that of another request.
        self._next_number = 1
        #: Numbers of the connections to all peers.
        self._connections = itertools.count(1)
        self.dialer = _Dialer(f"links-{local_address}", self)
        self._region = ""
        self._region_by_address: Mapping[Address, str] = {}
        self._link_by_address: dict[Address, PeerLink] = {}
        self._link_by_sock: dict[socket.socket, PeerLink] = {}
        self.rejected = 0

    # Peers

    def set_members(
        self, region: str, region_by_address: Mapping[Address, str]
    ) -> None:
        """Set the daemons that links may lead to, and close all other links.

        Parameters
        ----------
        region : str
            The local region.
        region_by_address : mapping of str to str
            Region of each daemon by its address.
        """
        self._region = region
        self._region_by_address = region_by_address
        self._traffic.set_members(region, region_by_address)
        for address in set(self._link_by_address) - set(region_by_address):
            self._remove(self._link_by_address[address])
        for address, link in self._link_by_address.items():
            self._set_region(link, region_by_address[address])

    def _set_region(self, link: PeerLink, region: str) -> None:
        link.region, link.same_region = region, region == self._region
        link.round_trip_s = link.round_trip_s or (
            LOCAL_REGION_ROUND_TRIP_S
            if link.same_region
            else REMOTE_REGION_ROUND_TRIP_S
        )

    def _remove(self, link: PeerLink) -> None:
        del self._link_by_address[link.address]
        if link.sock is not None:
            self.dialer.drop(link.sock)
        self._abandon_requests(link)

    @property
    def held_bytes(self) -> int:
        """Bytes that wait to be sent, and those of frames received in part."""
        readers = (each.reader for each in self._link_by_sock.values())
        received = sum(reader.buffered_bytes for reader in readers)
        return self.dialer.unsent_bytes + received

    def keep(self, addresses: Collection[Address]) -> None:
        """Set the peers that are watched: their links are kept open and pinged."""
        for link in self._link_by_address.values():
            if link.is_kept and link.address not in addresses:
                link.is_kept = False
                link.last_used_at = self._clock()
        for address in addresses:
            link = self._link_to(address)
            if link is not None:
                link.is_kept = True
                self._open_link_to(address)

    def _link_to(self, address: Address) -> PeerLink | None:
        """Return the link to a daemon, created if needed; None if it is unknown."""
        link = self._link_by_address.get(address)
        if link is None and address in self._region_by_address:
            link = PeerLink(address, same_region=False)
            self._set_region(link, self._region_by_address[address])
            self._link_by_address[address] = link
        return link

    def _open_link_to(self, address: Address) -> PeerLink | None:
        """Return the link to a daemon if it is open; begin to open it otherwise."""
        link = self._link_to(address)
        if link is None:
            return None
        now = self._clock()
        link.last_used_at = now
        if link.is_open:
            return link
        if link.sock is None and now - link.dialed_at >= REDIAL_DELAY_S:
            self._dial(now, link)
        return None

    def awaited_peers(self) -> list[Address]:
        """Return the peers that answer soon if they run.

        These are the peers that are pinged, those with requests under way and those
        that a connection is being opened to.
        """
        return [
            link.address
            for link in self._link_by_address.values()
            if link.is_kept or link.ticket_by_number or not link.is_open
        ]

    def check(self) -> None:
        """Dial, ping and drop connections as needed; called at each check interval."""
        now = self._clock()
        for link in list(self._link_by_address.values()):
            if link.broken_at is not None and now - link.broken_at > RESUME_TIMEOUT_S:
                self._abandon_requests(link)
            if self._is_idle(now, link):
                self._remove(link)
            elif link.sock is None:
                if now - link.dialed_at >= REDIAL_DELAY_S:
                    self._dial(now, link)
            elif not link.is_open:
                if now - link.dialed_at > CONNECT_TIMEOUT_S:
                    self.dialer.drop(link.sock)
            else:
                self._check_open_link(now, link)

    @staticmethod
    def _is_idle(now: Seconds, link: PeerLink) -> bool:
        if link.is_kept or link.ticket_by_number:
            return False
        return now - link.last_used_at > LINK_IDLE_TIMEOUT_S

    def _check_open_link(self, now: Seconds, link: PeerLink) -> None:
        if link.pinged_at is not None:
            bound = (
                LOCAL_REGION_PONG_TIMEOUT_S
                if link.same_region
                else REMOTE_REGION_PONG_TIMEOUT_S
            )
            if now - max(link.pinged_at, link.last_contact_at) > bound:
                self.dialer.drop(link.sock)
            return
        if not link.is_kept and not link.ticket_by_number:
            return
        idle_s = (
            LOCAL_REGION_PING_DELAY_S
            if link.same_region
            else REMOTE_REGION_PING_DELAY_S
        )
        active_at = max(link.last_contact_at, link.dialed_at)
        if link.ticket_by_number:
            pending_s = (
                LOCAL_REGION_PENDING_PING_DELAY_S
                if link.same_region
                else REMOTE_REGION_PENDING_PING_DELAY_S
            )
            idle_s = min(idle_s, pending_s)
            if not link.is_kept:
                # Silence before the request says nothing about a link without pings.
                active_at = max(active_at, link.last_used_at)
        if now - active_at >= idle_s:
            self._ping(link)

    def ping(self, address: Address) -> None:
        """Ping a daemon, whose answer also reports its state of the store.

        Opens the link instead if it is not open, and does nothing if another ping
        awaits its answer.
        """
        link = self._open_link_to(address)
        if link is not None and link.pinged_at is None:
            self._ping(link)

    def _ping(self, link: PeerLink) -> None:
        link.ping_number += 1
        link.pinged_at = self._clock()
        self._send(link, Ping(link.ping_number))

    def request_renewal(self, address: Address) -> None:
        """Request that a witness renews the lease."""
        link = self._open_link_to(address)
        if link is not None:
            link.renewal_number += 1
            link.renewal_requested_at[link.renewal_number] = self._clock()
            link.renewal_requested_at.pop(
                link.renewal_number - MAX_PENDING_RENEWALS, None
            )
            self._send(link, RenewLease(link.renewal_number))

    def request_replacement_vote(
        self, witness: Address, owner: Address, at: int
    ) -> None:
        """Request a witness's vote for replacing an owner by a record at an offset."""
        link = self._open_link_to(witness)
        if link is not None:
            self._send(link, ReplacementRequest(owner, at))

    def same_region_peers(self) -> list[Address]:
        """Return the watched peers of the local region whose links are open."""
        return [
            link.address
            for link in self._link_by_address.values()
            if link.same_region and link.is_kept and link.is_open
        ]

    def push(self, entry: SyncEntry) -> None:
        """Send a record to the whole local region and to one daemon of each other.

        Bytes between regions are expensive, so that daemon passes the record on within
        its region.
        """
        self.relay(entry, self._local_address)
        regions: set[str] = set()
        for link in self._link_by_address.values():
            if link.is_open and not link.same_region and link.region not in regions:
                regions.add(link.region)
                self._send(link, Push(entry, relay=True))

    def push_to(self, address: Address, entry: SyncEntry) -> None:
        """Send a record to one watched peer, if its link is open.

        It passes the record on: in its whole region if that is another one, else up to
        the next peer that this daemon is connected with.
        """
        link = self._link_by_address.get(address)
        if link is None or not link.is_open or not link.is_kept:
            return
        peers, local = self.same_region_peers(), self._local_address
        limit = dict(relay_plan(local, peers, local)).get(address, "")
        self._send(link, Push(entry, relay=not link.same_region, limit=limit))

    def relay(self, entry: SyncEntry, limit: Address) -> None:
        """Pass a record on within the local region.

        Parameters
        ----------
        entry : SyncEntry
            The record.
        limit : str
            Address in the ring of the region before which it is passed on; the local
            address for the whole region.
        """
        peers = self.same_region_peers()
        for address, next_limit in relay_plan(self._local_address, peers, limit):
            push = Push(entry, relay=False, limit=next_limit)
            self._send(self._link_by_address[address], push)

    def relay_configuration(self, push: ConfigurationPush) -> None:
        """Pass an operators' configuration on within the local region up to its limit.

        The local address as the limit stands for the whole region.
        """
        peers = self.same_region_peers()
        plan = relay_plan(self._local_address, peers, push.limit)
        for address, next_limit in plan:
            link = self._link_by_address[address]
            self._send(link, msgspec.structs.replace(push, limit=next_limit))

    def push_suspects(self, push: SuspectsPush) -> None:
        """Send requests under which targets have ended to all watched peers."""
        for link in self._link_by_address.values():
            if link.is_open and link.is_kept:
                self._send(link, push)

    def send_suspects(self, address: Address, push: SuspectsPush) -> None:
        """Send such requests to one watched peer, if its link is open."""
        link = self._link_by_address.get(address)
        if link is not None and link.is_open and link.is_kept:
            self._send(link, push)

    def _dial(self, now: Seconds, link: PeerLink) -> None:
        link.dialed_at = now
        if link.first_dialed_at is None:
            link.first_dialed_at = now
        link.is_shutting_down = False
        link.reader = FrameReader()
        link.writer = FrameWriter(carries_records=link.is_kept)
        link.pinged_at = None
        try:
            link.sock = self.dialer.open(
                split_address(link.address), lambda: self._opened(link)
            )
        except OSError:
            link.sock = None
            return
        self._link_by_sock[link.sock] = link

    def _opened(self, link: PeerLink) -> None:
        link.is_open = link.has_been_open = True
        now = self._clock()
        link.last_contact_at = now
        hello = Hello(
            self._local_address,
            self.service,
            self._session,
            next(self._connections),
            self._next_number,
        )
        self._send(link, hello)
        link.broken_at = None
        self._send(link, link.resume())
        for number in sorted(link.withdrawn):
            self._send(link, Cancel(number, withdraws=True))
        self._handler.on_contact(link.address)
        self._handler.on_link_changed(link.address, True)

    def _send(self, link: PeerLink, frame: Frame) -> None:
        body = stored_body(frame)
        parts = link.writer.encode_parts(frame)
        size = sum(map(len, parts))
        link.queued_bytes += size
        self._traffic.record(frame, self._traffic.scope(link.address), size)
        if body is None:
            self.dialer.send(link.sock, b"".join(parts))
        else:
            self.dialer.send_parts(link.sock, parts, body)

    # Requests to peers

    def forward(
        self, now: Seconds, address: Address, ticket: int, request: RoutedRequest
    ) -> bool:
        """Send a request to a daemon.

        Parameters
        ----------
        now : float
            The time.
        address : str
            The daemon.
        ticket : int
            Identifies the request in `cancel` and in the handler's `on_outcome`.
        request : RoutedRequest
            The request.

        Returns
        -------
        bool
            False if nothing was sent, because the link is not open or the daemon shuts
            down.
        """
        link = self._open_link_to(address)
        if link is None or link.is_shutting_down:
            return False
        number = self._next_number
        self._next_number += 1
        link.add(number, ticket)
        # The receiver gets the remaining times less the round trip, so that the answer
        # arrives here in time.
        after_round_trip = now + link.round_trip_s
        frame = Forward(
            number,
            request.service,
            request.route,
            encode_key(request.key),
            int((request.deadline - after_round_trip) * _MS_PER_S),
            int((request.target_latency_deadline - after_round_trip) * _MS_PER_S),
            request.is_retry,
            request.idempotent,
            request.priority,
            request.method,
            request.path,
            request.host,
            request.id,
            flatten_headers(request.headers),
            request.body,
            request.is_suspected,
        )
        self._send(link, frame)
        return True

    def opens_soon(self, now: Seconds, address: Address) -> bool:
        """Return whether a connection to a daemon is likely to be established soon.

        True within `FIRST_CONNECT_GRACE_S` after the begin of the first attempt, which
        this call makes if necessary, and within `RESUME_TIMEOUT_S` after a connection
        has broken. False once an attempt has failed.
        """
        link = self._link_to(address)
        if link is None or self._open_link_to(address) is not None:
            return False
        if link.sock is None:
            return False
        if link.has_been_open:
            broken_at = link.broken_at
            return broken_at is not None and now - broken_at < RESUME_TIMEOUT_S
        return now - link.first_dialed_at < FIRST_CONNECT_GRACE_S

    def cancel(self, address: Address, ticket: int) -> None:
        """Cancel a request that was sent to a daemon; its outcome is not reported."""
        link = self._link_by_address.get(address)
        number = link.number_by_ticket.get(ticket) if link is not None else None
        if number is None:
            return
        link.pop_ticket(number)
        if link.is_open:
            self._send(link, Cancel(number))

    def withdraw(self, address: Address, ticket: int) -> None:
        """Withdraw a request that was sent to a daemon, if no target has received it.

        If so, the daemon reports it as not run; otherwise its outcome is still awaited.
        Without a connection this is sent over the next one.
        """
        link = self._link_by_address.get(address)
        number = link.number_by_ticket.get(ticket) if link is not None else None
        if number is None:
            return
        link.withdrawn.add(number)
        if link.is_open:
            self._send(link, Cancel(number, withdraws=True))

    def round_trip_s(self, address: Address) -> Seconds:
        """Return the round trip to a daemon as last measured, in seconds."""
        link = self._link_by_address.get(address)
        return REMOTE_REGION_ROUND_TRIP_S if link is None else link.round_trip_s

    def request_sync(
        self, address: Address, offset: int, configuration: int, evacuations: int
    ) -> None:
        """Request records of the store from a daemon, at most once per check interval.

        Parameters
        ----------
        address : str
            The daemon.
        offset : int
            First offset of the directory that is missing here.
        configuration : int
            Version of the operators' configuration in force here; -1 without one.
        evacuations : int
            Position up to which evacuations are known here; -1 without any.
        """
        link = self._link_by_address.get(address)
        now = self._clock()
        if (
            link is not None
            and link.is_open
            and now - link.sync_requested_at > CHECK_INTERVAL_S
        ):
            link.sync_requested_at = now
            self._send(link, SyncRequest(offset, configuration, evacuations))

    def receive(self, sock: socket.socket, data: bytes) -> None:
        """Handle received bytes; close the connection if they are not valid frames."""
        link = self._link_by_sock.get(sock)
        if link is None:
            return
        link.last_contact_at = self._clock()
        self._handler.on_contact(link.address)
        try:
            for frame in link.reader.feed_some(data):
                self._on_frame(link, frame)
        except ValueError:
            self.rejected += 1
            self.dialer.drop(sock)
        if link.sock is sock and link.reader.has_more:
            self.dialer.handle_later(sock)

    def _on_frame(self, link: PeerLink, frame: Frame) -> None:
        if isinstance(frame, Reply | RequestFailed):
            self._on_outcome_frame(link, frame)
        elif isinstance(frame, Pong):
            self._on_pong(link, frame)
        elif isinstance(frame, LeaseRenewed):
            # The lease is renewed from the time at which this very renewal was
            # requested; later ones may have been requested since.
            requested_at = link.renewal_requested_at.pop(frame.number, None)
            if requested_at is not None:
                self._handler.on_lease_renewed(link.address, requested_at)
        elif isinstance(frame, ReplacementVote):
            self._handler.on_replacement_vote(link.address, frame.owner, frame.at)
        elif isinstance(frame, ShutdownNotice):
            link.is_shutting_down = True
            self._handler.on_link_changed(link.address, False)
        elif isinstance(frame, SyncResponse):
            self._handler.on_sync_response(link.address, link.sync_requested_at, frame)

    def _on_pong(self, link: PeerLink, pong: Pong) -> None:
        if link.pinged_at is None or pong.number != link.ping_number:
            return
        sent_at, link.pinged_at = link.pinged_at, None
        link.round_trip_s = min(MAX_ROUND_TRIP_S, self._clock() - sent_at)
        self._handler.on_pong(link.address, sent_at, pong)

    def _on_outcome_frame(self, link: PeerLink, frame: Reply | RequestFailed) -> None:
        # Decoded first: an invalid frame must not count as the outcome of its request.
        outcome = decode_outcome(frame)
        if link.is_doubtful(frame):
            outcome = Unknown(ErrorKind.ANSWER_LOST)
        ticket = link.pop_ticket(frame.number)
        if ticket is not None:
            load = decode_load(frame)
            self._handler.on_outcome(link.address, ticket, outcome, load)

    def connection_closed(self, sock: socket.socket, refused: bool) -> None:
        """Handle the end of a connection.

        The next connection brings the outcomes of the requests on this one, if it is
        established within `RESUME_TIMEOUT_S`. Requests of which no byte was sent have
        not run.

        Parameters
        ----------
        sock : socket
            The connection.
        refused : bool
            Whether no process listened at the peer's address.
        """
        link = self._link_by_sock.pop(sock, None)
        if link is None:
            return
        had_opened = link.is_open
        link.sock, link.is_open, link.pinged_at = None, False, None
        unsent = link.end_connection(self.dialer.unsent_at_close)
        if had_opened:
            link.broken_at = self._clock()
            self._handler.on_link_changed(link.address, False)
        unsent_tickets = [link.pop_ticket(number) for number in unsent]
        if refused:
            # The process that had received the requests has ended.
            self._handler.on_connection_refused(link.address)
            self._abandon_requests(link)
        elif had_opened and link.address in self._link_by_address:
            if link.is_kept or link.ticket_by_number:
                self._dial(self._clock(), link)
        for ticket in unsent_tickets:
            not_run = NotRun(ErrorKind.OWNER_UNREACHABLE, REDIAL_DELAY_S)
            self._handler.on_outcome(link.address, ticket, not_run, None)

    def _abandon_requests(self, link: PeerLink) -> None:
        """Report the outcomes of the requests on an ended connection as unknown."""
        link.broken_at = None
        for number in list(link.ticket_by_number):
            ticket = link.pop_ticket(number)
            lost = Unknown(ErrorKind.ANSWER_LOST)
            self._handler.on_outcome(link.address, ticket, lost, None)
