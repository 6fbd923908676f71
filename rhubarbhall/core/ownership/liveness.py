"""Which other daemons are heard, and which have been silent for too long."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhall.types import Address, Seconds

#: Silence after which a daemon of the own region counts as lost: four pings.
NEAR_SILENCE_S = 2.0
#: The same for another region, where pings are rare because bytes there are dear.
FAR_SILENCE_S = 5.0
#: Time for a process whose VM refuses connections to be started again.
RESTART_S = 4.0
#: Silence that counts even for a daemon that hears only few others.
LONG_SILENCE_S = 15.0


class Liveness:
    """Notes when each daemon was last heard.

    Parameters
    ----------
    started_at : float
        When this daemon began to listen, own clock.
    """

    def __init__(self, started_at: Seconds) -> None:
        self._started_at = started_at
        self._heard_at: dict[Address, Seconds] = {}
        self._refused_at: dict[Address, Seconds] = {}

    def note_heard(self, now: Seconds, address: Address) -> None:
        """Note a message of a daemon."""
        self._heard_at[address] = now

    def note_refused(self, now: Seconds, address: Address) -> None:
        """Note that the VM answers but no process listens there."""
        self._refused_at[address] = now

    def was_heard(self, address: Address) -> bool:
        """Tell whether a daemon was heard since this one was started."""
        return address in self._heard_at

    def silence_s(self, now: Seconds, address: Address) -> Seconds:
        """Return for how long a daemon has not been heard."""
        return now - self._heard_at.get(address, self._started_at)

    def is_silent(self, now: Seconds, address: Address, near: bool) -> bool:
        """Tell whether a daemon counts as lost.

        Parameters
        ----------
        near : bool
            Whether it is in the own region.
        """
        bound = NEAR_SILENCE_S if near else FAR_SILENCE_S
        if now - self._refused_at.get(address, float("-inf")) < RESTART_S:
            bound = max(bound, RESTART_S)
        return self.silence_s(now, address) > bound

    def may_judge(
        self, now: Seconds, suspect: Address, others: Iterable[Address]
    ) -> bool:
        """Tell whether the silence is the suspect's, not that of the own link.

        A daemon that hears fewer than half of the others may be the one that is cut
        off.
        """
        if self.silence_s(now, suspect) > LONG_SILENCE_S:
            return True
        silences = [self.silence_s(now, each) for each in others if each != suspect]
        heard = sum(silence <= FAR_SILENCE_S for silence in silences)
        return 2 * heard >= len(silences)
