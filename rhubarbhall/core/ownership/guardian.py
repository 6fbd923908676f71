"""Guardians: how a silent daemon is replaced within seconds, store or no store.

Each owner has one guardian, another daemon that is named in the table and renews its
lease. The owner may grant while that lease holds; the guardian may replace it once the
last renewal has run out, without another wait. Only the owner itself changes its
guardian. Both write by compare and append, so of a replacement
and a change of guardian, one wins.

A write whose outcome is not known may still be carried out while the log ends where
it did. Until it has grown, the guardian does not renew an owner that it tried to
replace, and an owner that tried to change its guardian believes none. A guardian that
was started again forgets what it tried: it renews nobody before a record of its
own has made the log grow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.read_lease import CLOCK_DRIFT

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import KeyTable
    from rhubarbhall.types import Address, Offset, Seconds

#: How long a renewal lasts, from when the owner asked for it.
GUARD_S = 3.0
#: Time between two questions of an owner.
RENEW_S = 0.4
#: Silence of a guardian after which the owner chooses another.
CHANGE_S = 1.0
#: Added to the wait of a guardian, in seconds.
GUARD_MARGIN_S = 0.1


class GuardedLease:
    """The owner's side: until when its guardian has renewed its lease."""

    def __init__(self, started_at: Seconds) -> None:
        self._confirmed_at: Seconds = float("-inf")
        self._asked_since: Seconds = started_at
        self._pending_at: Offset | None = None

    def confirm(self, now: Seconds, asked_at: Seconds, directory_end: Offset) -> None:
        """Take a renewal by the present guardian."""
        self._asked_since = now
        if self._pending_at is not None and directory_end <= self._pending_at:
            return
        self._pending_at = None
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def note_change(self, now: Seconds, at: Offset) -> None:
        """Note that another guardian is being written into the table."""
        self._pending_at = at
        self._asked_since = now

    def silence_s(self, now: Seconds) -> Seconds:
        """Return for how long the guardian has not answered."""
        return now - self._asked_since

    def left_s(self, now: Seconds) -> Seconds:
        """Return the rest of the lease; zero or less when it has lapsed."""
        return self._confirmed_at + GUARD_S - now


class Guard:
    """The guardian's side: whose lease it has renewed, and when.

    Parameters
    ----------
    me : str
        The own daemon.
    started_at : float
        When this daemon began, own clock; one before it may have renewed until then.
    """

    def __init__(self, me: Address, started_at: Seconds) -> None:
        self._me = me
        self._started_at = started_at
        self._renewed_at: dict[Address, Seconds] = {}
        self._pending: dict[Address, Offset] = {}
        #: Offset of a record that this daemon wrote since it was started.
        self.boot_offset: Offset | None = None

    def note_table(self, now: Seconds, table: KeyTable) -> None:
        """Note whom the table makes this daemon the guardian of."""
        guarded = {owner for owner, guardian in table.guardians if guardian == self._me}
        for owner in guarded - set(self._renewed_at):
            self._renewed_at[owner] = now
        for owner in set(self._renewed_at) - guarded:
            del self._renewed_at[owner]

    def renews(self, now: Seconds, owner: Address, directory_end: Offset) -> bool:
        """Tell whether an owner may go on, and note that it was told so."""
        if owner not in self._renewed_at:
            return False
        if self.boot_offset is None or directory_end <= self.boot_offset:
            return False
        pending_at = self._pending.get(owner)
        if pending_at is not None and directory_end <= pending_at:
            return False
        self._pending.pop(owner, None)
        self._renewed_at[owner] = now
        return True

    def lapsed(self, now: Seconds) -> list[Address]:
        """Return the owners whose leases have surely run out."""
        wait_s = GUARD_S * (1 + CLOCK_DRIFT) + GUARD_MARGIN_S
        return sorted(
            owner
            for owner, renewed_at in self._renewed_at.items()
            if now - max(renewed_at, self._started_at) > wait_s
        )

    def note_replacing(self, owners: list[Address], at: Offset) -> None:
        """Note that owners are being replaced by a write at an offset."""
        for owner in owners:
            self._pending[owner] = at
