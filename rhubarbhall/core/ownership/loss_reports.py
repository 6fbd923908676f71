"""Which peers this daemon reports as lost to all others, through the store.

A daemon is watched by a few others only. One of these writes a record when it does not
respond, so that no daemon sends requests to it. The record decides nothing about keys:
those of a lost owner are replaced by its witnesses.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.peer_selection import ring_order
from rhubarbhall.core.ownership.records import TargetState

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.directory import KeyDirectory
    from rhubarbhall.core.ownership.liveness import Liveness
    from rhubarbhall.types import Address, Seconds

#: Extra delay of a watcher each time that its distance from the lost daemon doubles, so
#: that one of them writes and the others read its record.
DISTANCE_DELAY_S = 0.3


class LossReports:
    """Finds watched peers of the local region that have to be reported as lost.

    Parameters
    ----------
    local_address, region : str
        Address and region of the local daemon.
    directory : KeyDirectory
        Members, and which of them are reported already.
    liveness : Liveness
        Time since the last contact with each peer.
    """

    def __init__(
        self,
        local_address: Address,
        region: str,
        directory: KeyDirectory,
        liveness: Liveness,
    ) -> None:
        self._local_address = local_address
        self._region = region
        self._directory = directory
        self._liveness = liveness
        self._due_since: dict[Address, Seconds] = {}

    def due(self, now: Seconds) -> Address | None:
        """Return a peer that this daemon has to report now, if there is one."""
        unreported = {
            address
            for address in self._liveness.watched
            if self._is_unreported(now, address)
        }
        for gone in self._due_since.keys() - unreported:
            del self._due_since[gone]
        for address in sorted(unreported):
            since = self._due_since.setdefault(address, now)
            if now - since >= self._delay_s(address):
                return address
        return None

    def _is_unreported(self, now: Seconds, address: Address) -> bool:
        member = self._directory.member_by_address.get(address)
        if member is None or member.region != self._region:
            return False
        if member.state is TargetState.GONE or self._directory.is_lost(address):
            return False
        return self._liveness.is_unresponsive(
            now, address, same_region=True
        ) and self._liveness.may_declare_lost(now, address)

    def _delay_s(self, address: Address) -> Seconds:
        """Return the delay of this daemon; it grows with the distance in the ring."""
        members = self._directory.member_by_address
        ring = [each for each in members if members[each].region == self._region]
        distance = ring_order(self._local_address, ring).index(address)
        return DISTANCE_DELAY_S * (max(1, distance).bit_length() - 1)
