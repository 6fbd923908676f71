"""Tells the newest connection of a peer from those that it has given up.

The bytes of a connection that the peer has given up may be read after those of the
next one: they were on their way, or this process did not run. The requests on it must
not be begun then, as the peer may have been told that they never arrived.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhall.types import Address, Seconds

#: Identifies a run of a peer: its address and the number of its sessions.
PeerRun: TypeAlias = "tuple[Address, int]"

#: Number of a connection of a peer that does not number its connections, as daemons of
#: earlier builds do not.
NOT_NUMBERED = 0
#: Time after the end of the newest connection of a peer in which an earlier one may
#: still be read, in seconds: twice the time that a connection without a `Hello` has.
EARLIER_CONNECTION_S = 10.0
#: Peers without a connection that are remembered; the ones that ended first go.
MAX_REMEMBERED = 10_000


@dataclass(slots=True)
class _Newest:
    """The newest connection of a run of a peer.

    Parameters
    ----------
    number : int
        Its number among the connections that the peer has opened.
    ended_at : float, optional
        When it ended, on the local clock, in seconds; None while it is open.
    """

    number: int
    ended_at: Seconds | None = None


class ConnectionOrder:
    """The newest connection of each run of a peer, also for some time after its end."""

    def __init__(self) -> None:
        self._newest_by_peer: dict[PeerRun, _Newest] = {}
        #: Those of them that have ended, the ones that ended first in front.
        self._ended: dict[PeerRun, _Newest] = {}

    def is_given_up(self, peer: PeerRun, number: int) -> bool:
        """Return whether a peer has opened a later connection than this one."""
        newest = self._newest_by_peer.get(peer)
        return number != NOT_NUMBERED and newest is not None and number <= newest.number

    def record_opened(self, peer: PeerRun, number: int) -> None:
        """Record the newest connection of a peer."""
        if number != NOT_NUMBERED:
            self._newest_by_peer[peer] = _Newest(number)
            self._ended.pop(peer, None)

    def record_ended(self, now: Seconds, peer: PeerRun, number: int) -> None:
        """Record the end of a connection."""
        newest = self._newest_by_peer.get(peer)
        if newest is None or newest.number != number:
            return
        newest.ended_at = now
        self._ended[peer] = newest
        if len(self._ended) > MAX_REMEMBERED:
            self._forget(next(iter(self._ended)))

    def forget_ended(self, now: Seconds) -> None:
        """Forget connections that no earlier one can follow any more."""
        while self._ended:
            peer, newest = next(iter(self._ended.items()))
            if now - newest.ended_at <= EARLIER_CONNECTION_S:
                return
            self._forget(peer)

    def _forget(self, peer: PeerRun) -> None:
        del self._ended[peer]
        del self._newest_by_peer[peer]
