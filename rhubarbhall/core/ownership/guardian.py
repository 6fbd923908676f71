"""Guardians: how a silent daemon is replaced within seconds, store or no store.

Each owner has a few guardians, other daemons that are named in the table and renew its
lease. The owner may grant while a majority of them has renewed it of late. A guardian
that has let the lease lapse asks the others whether they have too; once a majority has,
the owner cannot hold a lease any more and is replaced without another wait. So the loss
of an owner together with a minority of its guardians delays nothing.

Only the owner itself changes its guardians. All of them write by compare and append, so
of a replacement and a change of guardians, one wins.

A write whose outcome is not known may still be carried out while the log ends where
it did. Until it has grown, the guardians that let an owner be replaced do not renew it,
and an owner that tried to change its guardians believes none. A daemon that was started
again forgets what it tried: it renews nobody and grants nothing before a record of its
own has made the log grow.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.read_lease import CLOCK_DRIFT

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import KeyTable
    from rhubarbhall.types import Address, Offset, Seconds

#: Guardians of an owner at most; always an odd number.
MAX_GUARDIANS = 5
#: How long a renewal lasts, from when the owner asked for it.
GUARD_S = 3.0
#: Time between two questions of an owner.
RENEW_S = 0.5
#: Silence of a guardian after which the owner does without it, if one more lost
#: guardian would cost the lease.
CHANGE_S = 1.0
#: The same if more may be lost; longer than a daemon takes to be started again.
SPARE_CHANGE_S = 6.0
#: Added to the wait of a guardian, in seconds.
GUARD_MARGIN_S = 0.1
#: Time between two questions to the same guardian whether a lease has lapsed.
ASK_S = 0.2
#: Time by which the next guardian in order waits longer before it asks.
STAGGER_S = 0.15


def guardian_count(available: int) -> int:
    """Return how many guardians an owner has; an even number would gain nothing."""
    count = min(MAX_GUARDIANS, available)
    return count if count % 2 else max(0, count - 1)


def majority(guardians: tuple[Address, ...]) -> int:
    """Return how many guardians decide."""
    return len(guardians) // 2 + 1


class GuardedLease:
    """The owner's side: until when its guardians have renewed its lease."""

    def __init__(self, started_at: Seconds) -> None:
        self._started_at = started_at
        self._guardians: tuple[Address, ...] = ()
        #: When renewals were asked for that guardians gave.
        self._confirmed_at: dict[Address, Seconds] = {}
        #: Since when a guardian has not answered.
        self._silent_since: dict[Address, Seconds] = {}
        self._pending_at: Offset | None = None

    def note_guardians(self, now: Seconds, guardians: tuple[Address, ...]) -> None:
        """Take over the guardians that the table names."""
        if guardians == self._guardians:
            return
        self._guardians = guardians
        for by_guardian in (self._confirmed_at, self._silent_since):
            for gone in set(by_guardian) - set(guardians):
                del by_guardian[gone]
        for guardian in guardians:
            self._silent_since.setdefault(guardian, now)

    def confirm(
        self, now: Seconds, guardian: Address, asked_at: Seconds, directory_end: Offset
    ) -> None:
        """Take a renewal by a present guardian."""
        if guardian not in self._guardians:
            return
        self._silent_since[guardian] = now
        if self._pending_at is not None and directory_end <= self._pending_at:
            return
        self._pending_at = None
        known = self._confirmed_at.get(guardian, float("-inf"))
        self._confirmed_at[guardian] = max(known, asked_at)

    def note_change(self, now: Seconds, at: Offset) -> None:
        """Note that other guardians are being written into the table."""
        self._pending_at = at
        for guardian in self._silent_since:
            self._silent_since[guardian] = now

    def silent(self, now: Seconds, longer_than_s: Seconds) -> list[Address]:
        """Return the guardians that have not answered for some time."""
        return [
            guardian
            for guardian in self._guardians
            if now - self._silent_since[guardian] > longer_than_s
        ]

    def left_s(self, now: Seconds) -> Seconds:
        """Return the rest of the lease; zero or less when it has lapsed."""
        times = sorted(self._confirmed_at.values(), reverse=True)
        needed = majority(self._guardians)
        if len(times) < needed:
            return float("-inf")
        return times[needed - 1] + GUARD_S - now


class Guard:
    """A guardian's side: whose lease it has renewed, and when.

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
        self._version: dict[Address, int] = {}
        self._pending: dict[Address, Offset] = {}
        #: Offset of a record that this daemon wrote since it was started.
        self.boot_offset: Offset | None = None

    def note_table(self, now: Seconds, table: KeyTable) -> None:
        """Note whom the table makes this daemon a guardian of."""
        versions = {
            guarding.owner: guarding.version
            for guarding in table.guardings
            if self._me in guarding.guardians
        }
        for owner, version in versions.items():
            # Others may have renewed the lease until the guardians were changed, so a
            # version that was not known begins with a whole wait.
            if self._version.get(owner) != version:
                self._renewed_at[owner] = now
        for owner in set(self._renewed_at) - set(versions):
            del self._renewed_at[owner]
        self._version = versions

    def has_begun(self, directory_end: Offset) -> bool:
        """Tell whether the log has grown by a record of this run of the daemon.

        From then on, no write of an earlier run can be carried out any more.
        """
        return self.boot_offset is not None and directory_end > self.boot_offset

    def renews(self, now: Seconds, owner: Address, directory_end: Offset) -> bool:
        """Tell whether an owner may go on, and note that it was told so."""
        if owner not in self._renewed_at or not self.has_begun(directory_end):
            return False
        pending_at = self._pending.get(owner)
        if pending_at is not None and directory_end <= pending_at:
            return False
        self._pending.pop(owner, None)
        self._renewed_at[owner] = now
        return True

    def silence_s(self, now: Seconds, owner: Address) -> Seconds:
        """Return for how long an owner has not been renewed; 0 for one of others."""
        renewed_at = self._renewed_at.get(owner)
        return 0.0 if renewed_at is None else now - max(renewed_at, self._started_at)

    def lapsed_for_s(self, now: Seconds, owner: Address) -> Seconds:
        """Return for how long a lease has surely run out; negative before that."""
        if owner not in self._renewed_at:
            return float("-inf")
        wait_s = GUARD_S * (1 + CLOCK_DRIFT) + GUARD_MARGIN_S
        return self.silence_s(now, owner) - wait_s

    def lapsed(self, now: Seconds) -> list[Address]:
        """Return the owners whose leases this guardian has let lapse."""
        return sorted(
            owner for owner in self._renewed_at if self.lapsed_for_s(now, owner) > 0
        )

    def lets_replace(self, now: Seconds, owner: Address, at: Offset) -> bool:
        """Tell whether an owner may be replaced by a record at an offset.

        If so, it is not renewed until the log has grown beyond that offset.
        """
        if self.lapsed_for_s(now, owner) <= 0:
            return False
        self._pending[owner] = max(at, self._pending.get(owner, at))
        return True


class LapseVotes:
    """What the guardians of silent owners have said to one of them.

    Parameters
    ----------
    me : str
        The own daemon, one of the guardians.
    guard : Guard
        What the own daemon says.
    """

    def __init__(self, me: Address, guard: Guard) -> None:
        self._me = me
        self._guard = guard
        self._voted: dict[Address, dict[Address, Offset]] = {}
        self._asked_at: dict[tuple[Address, Address], Seconds] = {}

    def note(self, guardian: Address, owner: Address, at: Offset) -> None:
        """Note that a guardian lets an owner be replaced by a record at an offset."""
        self._voted.setdefault(owner, {})[guardian] = at

    def questions(
        self, now: Seconds, table: KeyTable, end: Offset
    ) -> Iterator[tuple[Address, Address]]:
        """Yield guardians to ask, and the owners to ask them about."""
        for owner in self._guard.lapsed(now):
            guardians = table.guardians_of(owner)
            if self._me not in guardians:
                continue
            waits_s = STAGGER_S * guardians.index(self._me)
            if self._guard.lapsed_for_s(now, owner) < waits_s:
                continue
            for guardian in guardians:
                if self._may_ask(now, guardian, owner, end):
                    self._asked_at[guardian, owner] = now
                    yield guardian, owner

    def _may_ask(
        self, now: Seconds, guardian: Address, owner: Address, end: Offset
    ) -> bool:
        if guardian == self._me or self._voted.get(owner, {}).get(guardian) == end:
            return False
        asked_at = self._asked_at.get((guardian, owner), float("-inf"))
        return now - asked_at >= ASK_S

    def replaceable(self, now: Seconds, table: KeyTable, end: Offset) -> list[Address]:
        """Return the owners that a record at the end of the log may replace."""
        return [
            owner
            for owner in self._guard.lapsed(now)
            if self._has_majority(owner, table, end)
        ]

    def _has_majority(self, owner: Address, table: KeyTable, end: Offset) -> bool:
        guardians = table.guardians_of(owner)
        if self._me not in guardians:
            return False
        votes = self._voted.get(owner, {})
        others = sum(votes.get(each) == end for each in guardians if each != self._me)
        return others + 1 >= majority(guardians)
