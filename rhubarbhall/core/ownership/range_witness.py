"""Witnesses of key ranges: replace an unresponsive owner within seconds.

Each owner has a few witnesses: other daemons that are named in the table and renew the
owner's lease. The owner may grant keys while a majority of its witnesses has renewed
the lease recently, whether or not the store answers. A witness that has let the lease
lapse asks the other witnesses for their votes. Once a majority has let the lease lapse,
the owner cannot hold a lease any more and is replaced without another wait. So the loss
of an owner together with a minority of its witnesses causes no further delay.

Only the owner itself changes its witnesses. All daemons write by compare and append, so
of a replacement and a change of witnesses at the same offset only one succeeds.

An owner that is the only one left is its own witness. Former witnesses that come back
cannot replace it: their record would have to follow the one that names the owner, which
they have to read first. Whoever replaces it then waits for the end of its read lease.

A write whose outcome is unknown may still be carried out while the log has not grown.
Until then, witnesses that voted for the replacement of an owner do not renew its lease,
and an owner that tried to change its witnesses counts no renewal. A restarted daemon
does not know what it tried to write before: it renews no lease and grants no keys until
a record of its own has made the log grow.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.read_lease import CLOCK_DRIFT

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import KeyTable
    from rhubarbhall.types import Address, Offset, Seconds

#: Largest number of witnesses of an owner; always odd.
MAX_WITNESSES = 5
#: Duration of a renewal, counted from when the owner requested it.
WITNESS_LEASE_S = 3.0
#: Time between two requests of an owner to renew its lease.
RENEWAL_INTERVAL_S = 0.5
#: Time without an answer after which the owner drops a witness, if the loss of one more
#: would cost the lease.
WITNESS_TIMEOUT_S = 1.0
#: Time without an answer after which the owner drops a witness while it has witnesses
#: to spare; longer than the restart of a daemon takes.
SPARE_WITNESS_TIMEOUT_S = 6.0
#: Time without an answer after which an owner that knows no other candidate gives up a
#: witness. Witnesses that run, but cannot reach the owner, replace it sooner.
LAST_WITNESS_TIMEOUT_S = 5.0
#: Margin that a witness adds before it regards a lease as lapsed.
LAPSE_MARGIN_S = 0.1
#: Time between two requests to the same witness for a vote on the same owner.
VOTE_REQUEST_INTERVAL_S = 0.2
#: Extra delay of each next witness in order before it requests votes.
VOTE_RANK_DELAY_S = 0.15


def witness_count(available: int) -> int:
    """Return the number of witnesses of an owner; an even number would gain nothing.

    Parameters
    ----------
    available : int
        Number of daemons that may be witnesses.
    """
    count = min(MAX_WITNESSES, available)
    return count if count % 2 else max(0, count - 1)


def majority(witnesses: tuple[Address, ...]) -> int:
    """Return how many witnesses form a majority."""
    return len(witnesses) // 2 + 1


class WitnessedLease:
    """The owner's side: the lease that its witnesses renew.

    Parameters
    ----------
    started_at : float
        Start of this daemon on the local clock, in seconds.
    """

    def __init__(self, started_at: Seconds) -> None:
        self._started_at = started_at
        self._witnesses: tuple[Address, ...] = ()
        #: When the owner requested the latest renewal that each witness gave.
        self._confirmed_at: dict[Address, Seconds] = {}
        #: Since when each witness has not answered.
        self._unanswered_since: dict[Address, Seconds] = {}
        #: The same, but not reset when a change of witnesses is tried.
        self._silent_since: dict[Address, Seconds] = {}
        #: Offset of a change of witnesses whose outcome is unknown.
        self._pending_at: Offset | None = None

    def set_witnesses(self, now: Seconds, witnesses: tuple[Address, ...]) -> None:
        """Set the witnesses that the table names."""
        if witnesses == self._witnesses:
            return
        self._witnesses = witnesses
        known = (self._confirmed_at, self._unanswered_since, self._silent_since)
        for by_witness in known:
            for gone in set(by_witness) - set(witnesses):
                del by_witness[gone]
        for witness in witnesses:
            self._unanswered_since.setdefault(witness, now)
            self._silent_since.setdefault(witness, now)

    def confirm(
        self,
        now: Seconds,
        witness: Address,
        requested_at: Seconds,
        directory_end: Offset,
    ) -> None:
        """Record a renewal by a present witness.

        Renewals count for nothing while a change of witnesses may still be written.

        Parameters
        ----------
        witness : str
            Address of the witness; renewals by other daemons are ignored.
        requested_at : float
            When the owner requested the renewal, on the local clock.
        directory_end : int
            Offset before which every record of the log is known.
        """
        if witness not in self._witnesses:
            return
        self._unanswered_since[witness] = self._silent_since[witness] = now
        if self._pending_at is not None and directory_end <= self._pending_at:
            return
        self._pending_at = None
        known = self._confirmed_at.get(witness, float("-inf"))
        self._confirmed_at[witness] = max(known, requested_at)

    def record_change(self, now: Seconds, at: Offset) -> None:
        """Record that a change of the witnesses is being written at an offset."""
        self._pending_at = at
        for witness in self._unanswered_since:
            self._unanswered_since[witness] = now

    def excuse_witnesses(self, now: Seconds) -> None:
        """Record that the witnesses had a reason not to answer until now."""
        for witness in self._witnesses:
            self._unanswered_since[witness] = self._silent_since[witness] = now

    def unresponsive(self, now: Seconds, longer_than_s: Seconds) -> list[Address]:
        """Return the witnesses that have not answered for a time."""
        return [
            witness
            for witness in self._witnesses
            if now - self._unanswered_since[witness] > longer_than_s
        ]

    def silent(self, now: Seconds, longer_than_s: Seconds) -> list[Address]:
        """Return the witnesses that have not answered for a time.

        Unlike in `unresponsive`, the time goes on when a change of witnesses is tried.
        """
        return [
            witness
            for witness in self._witnesses
            if now - self._silent_since[witness] > longer_than_s
        ]

    def remaining_s(self, now: Seconds) -> Seconds:
        """Return the remaining time of the lease; zero or less once it has lapsed."""
        times = sorted(self._confirmed_at.values(), reverse=True)
        needed = majority(self._witnesses)
        if len(times) < needed:
            return float("-inf")
        return times[needed - 1] + WITNESS_LEASE_S - now


class RangeWitness:
    """The witness's side: which leases it has renewed, and when.

    Parameters
    ----------
    local_address : str
        Address of the local daemon.
    started_at : float
        Start of this daemon on the local clock, in seconds. An earlier process at the
        same address may have renewed leases until then.
    """

    def __init__(self, local_address: Address, started_at: Seconds) -> None:
        self._local_address = local_address
        self._started_at = started_at
        #: When each lease was last renewed, by owner.
        self._renewed_at: dict[Address, Seconds] = {}
        #: Version of the witnesses of each owner.
        self._version: dict[Address, int] = {}
        #: Offset of the latest vote to replace each owner.
        self._pending: dict[Address, Offset] = {}
        #: Offset of a record that this daemon has written since its start.
        self.boot_offset: Offset | None = None

    def begin_epoch(self) -> None:
        """Record that the store was restored from an older copy.

        Another record has to be written, which tells which table this daemon knows.
        """
        self.boot_offset = None

    def update_from_table(self, now: Seconds, table: KeyTable) -> None:
        """Update the owners that this daemon is a witness of from the table."""
        versions = {
            row.owner: row.version
            for row in table.owner_witnesses
            if self._local_address in row.witnesses
        }
        for owner, version in versions.items():
            # Other witnesses may have renewed the lease until this version of the
            # witnesses was written, so an unknown version begins with a whole wait.
            if self._version.get(owner) != version:
                self._renewed_at[owner] = now
        for owner in set(self._renewed_at) - set(versions):
            del self._renewed_at[owner]
        self._version = versions

    def has_boot_record(self, directory_end: Offset) -> bool:
        """Return whether the log contains a record of this run of the daemon.

        From then on, no write of an earlier run can be carried out any more.
        """
        return self.boot_offset is not None and directory_end > self.boot_offset

    def try_renew(
        self,
        now: Seconds,
        owner: Address,
        directory_end: Offset,
        settled_end: Offset | None = None,
    ) -> bool:
        """Renew the lease of an owner and return `True`, or return `False`.

        A lease is not renewed if this daemon is no witness of the owner, or while a
        write of an earlier run or a replacement of the owner may still be carried out.

        Parameters
        ----------
        directory_end : int
            Offset before which every record of the log is known.
        settled_end : int, optional
            Offset before which the outcome of each write to the table is known, if that
            differs; see `KeyDirectory.settled_end`.
        """
        settled_end = directory_end if settled_end is None else settled_end
        if owner not in self._renewed_at or not self.has_boot_record(directory_end):
            return False
        pending_at = self._pending.get(owner)
        if pending_at is not None and settled_end <= pending_at:
            return False
        self._pending.pop(owner, None)
        self._renewed_at[owner] = now
        return True

    def time_since_renewal_s(self, now: Seconds, owner: Address) -> Seconds:
        """Return the time since the lease of an owner was last renewed here.

        It is 0 for an owner that this daemon is no witness of.
        """
        renewed_at = self._renewed_at.get(owner)
        return 0.0 if renewed_at is None else now - max(renewed_at, self._started_at)

    def lapsed_for_s(self, now: Seconds, owner: Address) -> Seconds:
        """Return for how long a lease has certainly lapsed; negative before that.

        The wait allows for the drift between the clocks of the owner and the witness.
        """
        if owner not in self._renewed_at:
            return float("-inf")
        wait_s = WITNESS_LEASE_S * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_S
        return self.time_since_renewal_s(now, owner) - wait_s

    def lapsed_owners(self, now: Seconds) -> list[Address]:
        """Return the owners whose leases this witness has let lapse."""
        return sorted(
            owner for owner in self._renewed_at if self.lapsed_for_s(now, owner) > 0
        )

    def vote_to_replace(self, now: Seconds, owner: Address, at: Offset) -> bool:
        """Return whether this witness votes to replace an owner.

        The vote is for a record at an offset of the log. If it is given, the lease is
        not renewed until the log has grown beyond that offset.
        """
        if self.lapsed_for_s(now, owner) <= 0:
            return False
        self._pending[owner] = max(at, self._pending.get(owner, at))
        return True


class ReplacementVotes:
    """Votes of witnesses for the replacement of owners, gathered by one of them.

    Parameters
    ----------
    local_address : str
        Address of the local daemon, one of the witnesses.
    range_witness : RangeWitness
        Gives the vote of the local daemon.
    """

    def __init__(self, local_address: Address, range_witness: RangeWitness) -> None:
        self._local_address = local_address
        self._range_witness = range_witness
        #: Offset that each witness has voted for, by owner and witness.
        self._vote_offsets: dict[Address, dict[Address, Offset]] = {}
        self._requested_at: dict[tuple[Address, Address], Seconds] = {}

    def record_vote(self, witness: Address, owner: Address, at: Offset) -> None:
        """Record the vote of a witness to replace an owner by a record at an offset."""
        self._vote_offsets.setdefault(owner, {})[witness] = at

    def vote_requests(
        self, now: Seconds, table: KeyTable, end: Offset
    ) -> Iterator[tuple[Address, Address]]:
        """Yield each witness to request a vote from, and the owner to vote on."""
        for owner in self._range_witness.lapsed_owners(now):
            witnesses = table.witnesses_of(owner)
            if self._local_address not in witnesses:
                continue
            delay_s = VOTE_RANK_DELAY_S * witnesses.index(self._local_address)
            if self._range_witness.lapsed_for_s(now, owner) < delay_s:
                continue
            for witness in witnesses:
                if self._may_request_vote(now, witness, owner, end):
                    self._requested_at[witness, owner] = now
                    yield witness, owner

    def _may_request_vote(
        self, now: Seconds, witness: Address, owner: Address, end: Offset
    ) -> bool:
        if (
            witness == self._local_address
            or self._vote_offsets.get(owner, {}).get(witness) == end
        ):
            return False
        requested_at = self._requested_at.get((witness, owner), float("-inf"))
        return now - requested_at >= VOTE_REQUEST_INTERVAL_S

    def replaceable(self, now: Seconds, table: KeyTable, end: Offset) -> list[Address]:
        """Return the owners that a record at the end of the log may replace."""
        return [
            owner
            for owner in self._range_witness.lapsed_owners(now)
            if self._has_majority(owner, table, end)
        ]

    def _has_majority(self, owner: Address, table: KeyTable, end: Offset) -> bool:
        witnesses = table.witnesses_of(owner)
        if self._local_address not in witnesses:
            return False
        votes = self._vote_offsets.get(owner, {})
        others = sum(
            votes.get(each) == end for each in witnesses if each != self._local_address
        )
        return others + 1 >= majority(witnesses)
