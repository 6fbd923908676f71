"""Time since the last contact with each peer, and which peers count as lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhall.types import Address, Seconds

#: Time since the last contact after which a daemon of the same region counts as lost:
#: four pings.
SAME_REGION_TIMEOUT_S = 2.0
#: Time since the last contact after which a daemon of another region counts as lost;
#: longer, as pings between regions are rarer because that traffic is expensive.
OTHER_REGION_TIMEOUT_S = 5.0
#: Time for a process to restart whose VM refuses connections.
RESTART_GRACE_S = 4.0
#: Time since the last contact after which a daemon counts as lost even if this daemon
#: has contact with few of its peers.
CERTAIN_LOSS_TIMEOUT_S = 15.0
#: Addresses whose last contact is recorded: several times as many as there are daemons.
MAX_CONTACTS = 100_000


class Liveness:
    """Records the last contact with each peer.

    Parameters
    ----------
    started_at : float
        When this daemon began to listen on the local clock, in seconds. It stands in
        for the last contact with peers that were never contacted.
    """

    def __init__(self, started_at: Seconds) -> None:
        self._started_at = started_at
        self._last_contact_at: dict[Address, Seconds] = {}
        self._refused_at: dict[Address, Seconds] = {}
        #: Since when an answer is expected of each watched peer.
        self._watched_since: dict[Address, Seconds] = {}

    def watch(self, now: Seconds, addresses: Iterable[Address]) -> None:
        """Set the peers that answer within `SAME_REGION_TIMEOUT_S` while they run.

        These are the peers that are pinged or that a connection is being opened to. The
        silence of any other peer means nothing.
        """
        watched = set(addresses)
        for address in watched - self._watched_since.keys():
            self._watched_since[address] = now
        for address in self._watched_since.keys() - watched:
            del self._watched_since[address]

    @property
    def watched(self) -> list[Address]:
        """The watched peers."""
        return list(self._watched_since)

    def record_contact(self, now: Seconds, address: Address) -> None:
        """Record a message from a daemon.

        Anybody may claim to be a daemon, so only a limited number is recorded.
        """
        is_known = address in self._last_contact_at
        if is_known or len(self._last_contact_at) < MAX_CONTACTS:
            self._last_contact_at[address] = now

    def record_refused_connection(self, now: Seconds, address: Address) -> None:
        """Record that the VM answers but no process listens at the address."""
        self._refused_at[address] = now

    def has_been_contacted(self, address: Address) -> bool:
        """Return whether there was contact with a daemon since this one started."""
        return address in self._last_contact_at

    def time_since_contact_s(self, now: Seconds, address: Address) -> Seconds:
        """Return the time since the last contact with a daemon."""
        return now - self._last_contact_at.get(address, self._started_at)

    def is_unresponsive(
        self, now: Seconds, address: Address, same_region: bool
    ) -> bool:
        """Return whether a daemon counts as lost; one that is not watched never does.

        Parameters
        ----------
        same_region : bool
            Whether it is in the region of the local daemon.
        """
        watched_since = self._watched_since.get(address)
        if watched_since is None:
            return False
        timeout_s = SAME_REGION_TIMEOUT_S if same_region else OTHER_REGION_TIMEOUT_S
        if now - self._refused_at.get(address, float("-inf")) < RESTART_GRACE_S:
            timeout_s = max(timeout_s, RESTART_GRACE_S)
        silence_s = min(self.time_since_contact_s(now, address), now - watched_since)
        return silence_s > timeout_s

    def may_declare_lost(self, now: Seconds, suspect: Address) -> bool:
        """Return whether the suspect may be declared lost by this daemon.

        A daemon that has contact with fewer than half of the other peers that it
        watches may be cut off itself, so it must not declare a peer lost before
        `CERTAIN_LOSS_TIMEOUT_S`.
        """
        if self.time_since_contact_s(now, suspect) > CERTAIN_LOSS_TIMEOUT_S:
            return True
        contact_ages_s = [
            self.time_since_contact_s(now, peer)
            for peer in self._watched_since
            if peer != suspect
        ]
        recent = sum(age_s <= OTHER_REGION_TIMEOUT_S for age_s in contact_ages_s)
        return 2 * recent >= len(contact_ages_s)
