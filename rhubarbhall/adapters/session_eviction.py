"""Which connections of peers give way to others, and to the bodies of requests."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING

from rhubarbhall.adapters.eviction import Candidate, EvictionOrder
from rhubarbhall.core.traffic.body_budget import SMALL_BODY_BYTES, YIELD_TO_BODY_S

if TYPE_CHECKING:
    import socket

    from rhubarbhall.adapters.peer_session import Session
    from rhubarbhall.adapters.sockets import Listener
    from rhubarbhall.types import Seconds

#: Time without received bytes after which the connection of a peer may give way to a
#: new one, in seconds: longer than the time between two pings of a peer that watches.
SILENCE_S = 10.0


class SessionEviction:
    """The connections of peers in the orders in which they are given up.

    Parameters
    ----------
    acceptor : Listener
        Holds the bytes that the peers have not accepted yet.
    session_by_sock : mapping of socket to Session
        The sessions that have a connection.
    clock : callable
        Returns the time, in seconds.
    """

    def __init__(
        self,
        acceptor: Listener,
        session_by_sock: Mapping[socket.socket, Session],
        clock: Callable[[], Seconds],
    ) -> None:
        self._acceptor = acceptor
        self._session_by_sock = session_by_sock
        self._clock = clock
        self._order_by_bytes = EvictionOrder(self._byte_holders, self._holds_bytes)
        self._order_by_use = EvictionOrder(self._replaceable, self._is_replaceable)

    def next_replaceable(self) -> socket.socket | None:
        """Return the connection of the least use; none if each is of use."""
        return self._order_by_use.next(self._clock(), 0.0)

    def next_byte_holder(self, age_s: Seconds) -> socket.socket | None:
        """Return the connection that holds the most bytes for the longest time.

        Parameters
        ----------
        age_s : float
            Minimum time without progress, in seconds. Below `YIELD_TO_BODY_S` it is
            raised to that, unless it is 0.
        """
        if age_s:
            age_s = max(age_s, YIELD_TO_BODY_S)
        return self._order_by_bytes.next(time.monotonic(), age_s)

    def _replaceable(self, now: Seconds) -> Iterator[Candidate]:
        """Yield the connections that bring nothing, those without a `Hello` first."""
        for sock, session in self._session_by_sock.items():
            if self._is_replaceable(sock):
                since = session.last_contact_at
                yield Candidate(sock, since, now - since if session.address else now)

    def _is_replaceable(self, sock: socket.socket) -> bool:
        session = self._session_by_sock.get(sock)
        if session is None:
            return False
        is_silent = self._clock() - session.last_contact_at > SILENCE_S
        return not session.address or (is_silent and not session.ticket_by_number)

    def _byte_holders(self, now: Seconds) -> Iterator[Candidate]:
        for sock, session in self._session_by_sock.items():
            size, since = self._held(sock, session)
            if size > SMALL_BODY_BYTES:
                yield Candidate(sock, since, size * (now - since))

    def _holds_bytes(self, sock: socket.socket) -> bool:
        session = self._session_by_sock.get(sock)
        return session is not None and self._held(sock, session)[0] > SMALL_BODY_BYTES

    def _held(self, sock: socket.socket, session: Session) -> tuple[int, Seconds]:
        """Return how many bytes a connection holds, and since when."""
        unsent = self._acceptor.unsent(sock)
        received = session.reader.buffered_bytes
        if unsent is not None and unsent.size >= received:
            return unsent.size, unsent.progress_at
        return received, session.received_at
