"""Decides how the table of the own service has to change.

Every daemon beside a target of the service may change the table; the store takes a
change only if nobody else wrote meanwhile. So a duty may be done by anyone: daemons
take turns by rank to avoid doing it twice, never for safety.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership import spreading
from rhubarbhall.core.ownership.guardian import (
    CHANGE_S,
    SPARE_CHANGE_S,
    guardian_count,
    majority,
)
from rhubarbhall.core.ownership.key_table import Claim, KeyTable
from rhubarbhall.core.ownership.read_lease import takeover_wait_s
from rhubarbhall.core.ownership.records import TargetState

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.directory import Directory
    from rhubarbhall.core.ownership.guardian import (
        Guard,
        GuardedLease,
        LapseVotes,
    )
    from rhubarbhall.core.ownership.heat_balancer import HeatBalancer
    from rhubarbhall.core.ownership.key_table import Range
    from rhubarbhall.core.ownership.liveness import Liveness
    from rhubarbhall.core.ownership.target_holds import TargetHolds
    from rhubarbhall.types import Address, Offset, Seconds

#: Time after a start in which others announce their targets, before keys are divided.
GATHERING_S = 3.0
#: Time by which the next in rank waits longer before it does a duty.
TURN_S = 0.7
#: Time for which a newcomer is known before it gets keys.
SETTLING_S = 0.3
#: Silence up to which a daemon gets keys or becomes a guardian: a ping to another
#: region and its answer. A lease lapses later, so who was replaced gets nothing.
RECENT_S = 2.8
#: The same for owners that this daemon is a guardian of, and for its own guardians: two
#: questions and their answers.
DOUBT_S = 1.2
#: Time without a lease and without news from the log after which a record is written
#: to make it grow.
STUCK_S = 1.0
#: Time after a change of guardians before more are taken.
GROWTH_PAUSE_S = 5.0
#: Reason of a change in which witnesses replace an owner. It goes to the operators' log
#: and also decides whether a change names the owners that it replaces.
REPLACED_BY_WITNESSES = "replace_unguarded"


@dataclass(frozen=True, slots=True)
class Proposal:
    """A changed table for the store.

    Parameters
    ----------
    table : KeyTable
        The table as it shall be.
    reason : str
        Why, for the log.
    replaced : tuple of str
        Owners that this daemon, one of their guardians, replaces.
    changes_guardians : bool
        Whether the own target gets other guardians.
    freed : tuple of (int, int)
        Ranges that the own target has let go, or never took.
    """

    table: KeyTable
    reason: str
    replaced: tuple[Address, ...] = ()
    changes_guardians: bool = False
    freed: tuple[Range, ...] = ()


class Keeper:
    """Proposes changes of the table of one service.

    Parameters
    ----------
    me : str
        The own daemon.
    service, region : str
        Of the own target.
    directory : Directory
        What is known of the others.
    holds : TargetHolds
        What the own target holds.
    liveness : Liveness
        Who is heard.
    balancer : HeatBalancer
        Decides what a busy target gives away.
    guard : Guard
        Whom this daemon is a guardian of.
    votes : LapseVotes
        What the other guardians of silent owners have said.
    guarded_lease : GuardedLease
        Renewed by the own guardians.
    started_at : float
        When this daemon began, own clock.
    """

    def __init__(
        self,
        me: Address,
        service: str,
        region: str,
        directory: Directory,
        holds: TargetHolds,
        liveness: Liveness,
        balancer: HeatBalancer,
        guard: Guard,
        votes: LapseVotes,
        guarded_lease: GuardedLease,
        started_at: Seconds,
    ) -> None:
        self._me = me
        self._service = service
        self._region = region
        self._directory = directory
        self._holds = holds
        self._liveness = liveness
        self._balancer = balancer
        self._guard = guard
        self._votes = votes
        self._guarded_lease = guarded_lease
        self._started_at = started_at
        self._replaced: list[Address] = []
        self._freed: list[Range] = []
        self._guardians_changed_at: Seconds = float("-inf")
        self._without_lease: tuple[Seconds, Offset] | None = None
        self._needed_since: dict[str, Seconds] = {}
        self._lost_since: dict[tuple[Address, int], Seconds] = {}
        #: The steps in order, each with its reason for the operators' log.
        self._steps: tuple[tuple[str, Callable[[Seconds, KeyTable], KeyTable]], ...] = (
            ("let_go", self._let_go),
            ("renew_run", self._renew_run),
            ("leave", self._leave),
            ("take_over", self._take_over),
            ("replace_reused", self._replace_reused),
            ("choose_guardians", self._choose_guardians),
            (REPLACED_BY_WITNESSES, self._replace_unguarded),
            ("replace_silent", self._replace_silent),
            ("replace_left", self._replace_left),
            ("welcome", self._welcome),
            ("cool_down", self._cool_down),
        )

    def propose(self, now: Seconds) -> Proposal | None:
        """Return the change that is due, or none."""
        table = self._directory.table_by_service.get(self._service)
        if table is None:
            return self._found(now)
        self._note_lost(now, table)
        self._freed = []
        reasons: list[str] = []
        changed = table
        for reason, step in self._steps:
            before = changed
            changed = step(now, changed)
            if changed is not before and changed != before:
                reasons.append(reason)
        if not reasons:
            return None
        after, before = changed.guardians_of(self._me), table.guardians_of(self._me)
        replaced = tuple(self._replaced) if REPLACED_BY_WITNESSES in reasons else ()
        freed = tuple(self._freed)
        return Proposal(changed, "+".join(reasons), replaced, after != before, freed)

    def note_writing(self, now: Seconds, proposal: Proposal, at: Offset) -> None:
        """Note that a proposal is being written at an offset."""
        self._holds.note_freeing(proposal.freed, at)
        for owner in proposal.replaced:
            self._guard.lets_replace(now, owner, at)
        if proposal.changes_guardians:
            self._guardians_changed_at = now
            self._guarded_lease.note_change(now, at)

    def is_stuck(self, now: Seconds) -> bool:
        """Tell whether the lease may be missing only because the log does not grow.

        A write whose outcome is unknown binds the owner, or its guardians, until the
        log has grown; on a quiet day nobody else might ever write.
        """
        table = self._directory.table_by_service.get(self._service)
        if table is None or not table.owned_by(self._me):
            return False
        if self._guarded_lease.left_s(now) > 0:
            self._without_lease = None
            return False
        end = self._directory.end
        if self._without_lease is None or self._without_lease[1] != end:
            self._without_lease = (now, end)
        if now - self._without_lease[0] < STUCK_S:
            return False
        self._without_lease = (now, end)
        return True

    # Who there is

    def _claims(self, now: Seconds) -> Iterator[Claim]:
        """Yield the targets that may own keys."""
        for address, member in self._directory.members_of(self._service):
            if address == self._me:
                if self._holds.state(now) is TargetState.READY:
                    yield self._holds.claim()
            elif member.state is TargetState.READY and not self._is_silent(
                now, address
            ):
                yield Claim(address, member.run)

    def _receivers(self, now: Seconds) -> list[Claim]:
        """Return the targets that may be given keys or a lease to guard.

        Fewer than may keep what they own: giving a key to a daemon that is gone as well
        leaves the key without an owner for another wait.
        """
        return [
            claim
            for claim in self._claims(now)
            if claim.owner == self._me or not self._is_doubted(now, claim.owner)
        ]

    def _is_doubted(self, now: Seconds, address: Address) -> bool:
        silence_s = self._liveness.silence_s(now, address)
        if not self._liveness.was_heard(address):
            return True
        if silence_s > RECENT_S or self._guard.silence_s(now, address) > DOUBT_S:
            return True
        is_asked = address in self._guarded_lease.silent(now, DOUBT_S)
        return is_asked and silence_s > DOUBT_S

    def _is_silent(self, now: Seconds, address: Address) -> bool:
        member = self._directory.member_by_address.get(address)
        near = member is not None and member.region == self._region
        return self._liveness.is_silent(now, address, near)

    def _is_my_turn(self, now: Seconds, duty: str, needed: bool) -> bool:
        """Tell whether a duty has waited long enough for the own rank."""
        if not needed:
            self._needed_since.pop(duty, None)
            return False
        since = self._needed_since.setdefault(duty, now)
        ranked = [claim.owner for claim in self._claims(now)]
        rank = ranked.index(self._me) if self._me in ranked else len(ranked)
        return now - since >= rank * TURN_S

    # Duties

    def _found(self, now: Seconds) -> Proposal | None:
        claims = list(self._claims(now))
        gathered = now - self._started_at > GATHERING_S and self._directory.is_loaded
        needed = bool(claims) and gathered
        if not self._is_my_turn(now, "found", needed) or not claims:
            return None
        table = KeyTable.divided(claims)
        for claim in claims:
            table = table.guarded(claim.owner, self._guardians_for(now, claim.owner))
        return Proposal(table, "found")

    # Guardians

    def _guardians_for(
        self, now: Seconds, owner: Address, avoided: Container[Address] = ()
    ) -> tuple[Address, ...]:
        """Return the guardians that an owner should have; itself if it is alone.

        Those of the same region answer soonest; the others follow in turn, so that
        each is a guardian of about as many.
        """
        members = self._directory.member_by_address
        region = members[owner].region if owner in members else self._region
        others = [
            claim.owner
            for claim in self._receivers(now)
            if claim.owner != owner and claim.owner not in avoided
        ]
        in_turn = sorted(
            others,
            key=lambda each: (members[each].region != region, each < owner, each),
        )
        chosen = in_turn[: guardian_count(len(in_turn))]
        return tuple(sorted(chosen)) or (owner,)

    def _choose_guardians(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Choose other guardians of the own target if some are missing or silent."""
        if not table.owned_by(self._me) or not self._holds.run:
            return table
        present = table.guardians_of(self._me)
        silent = self._guarded_lease.silent(now, CHANGE_S)
        spare = len(present) - len(silent) - majority(present)
        if spare > 0:
            silent = self._guarded_lease.silent(now, SPARE_CHANGE_S)
        wanted = self._guardians_for(now, self._me, silent)
        alone = present in ((), (self._me,))
        settled = now - self._guardians_changed_at > GROWTH_PAUSE_S
        grows = settled and len(wanted) > len(present)
        if not alone and not silent and not grows:
            return table
        if wanted == (self._me,) and present:
            return table
        return table.guarded(self._me, wanted)

    def _replace_unguarded(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Replace owners whose leases a majority of guardians has let lapse."""
        self._guard.note_table(now, table)
        ready = self._votes.replaceable(now, table, self._directory.end)
        self._replaced = [owner for owner in ready if owner != self._me]
        for owner in self._replaced:
            table = self._given_away(now, table.lost(owner), owner)
            ranges = [(span.first, span.last) for span in table.leaving(owner)]
            table = table.released(owner, ranges, {}).guarded(owner, ())
        return table

    def _let_go(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Note what the own target has let go."""
        ranges = list(self._holds.let_go(now, table))
        if not ranges:
            return table
        self._freed += ranges
        heartbeat = self._holds.heartbeat
        tokens = self._holds.tokens if heartbeat else {}
        return table.released(self._me, ranges, tokens)

    def _renew_run(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Give the keys of the own target's former run to the present one."""
        run = self._holds.run
        if not run or self._holds.state(now) is not TargetState.READY:
            return table
        stale = any(span.run != run for span in table.owned_by(self._me))
        return table.renewed(self._me, run) if stale else table

    def _leave(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Give the keys of the own target away when it leaves or is gone."""
        known = self._holds.heartbeat is not None or self._holds.is_overdue(now)
        if not known or self._holds.state(now) is TargetState.READY:
            return table
        changed = self._given_away(now, table, self._me)
        if changed is table:
            return table
        return self._let_go(now, changed)

    def _given_away(self, now: Seconds, table: KeyTable, owner: Address) -> KeyTable:
        spans = table.owned_by(owner)
        claims = [claim for claim in self._receivers(now) if claim.owner != owner]
        if not spans or not claims:
            return table
        return table.moved(spreading.spread(spans, claims, table.size_by_owner()))

    def _note_lost(self, now: Seconds, table: KeyTable) -> None:
        lost = {
            (span.previous, span.fence) for span in table.spans if span.previous_lost
        }
        self._lost_since = {each: self._lost_since.get(each, now) for each in lost}

    def _take_over(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Free own spans once the lease of a silent former owner has run out."""
        wait_s = takeover_wait_s()
        for span in table.owned_by(self._me):
            since = self._lost_since.get((span.previous, span.fence))
            if span.previous_lost and since is not None and now - since >= wait_s:
                table = table.released(span.previous, [(span.first, span.last)], {})
        return table

    def _replace_reused(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Take the keys of VMs whose addresses have gone to another service.

        The daemon that is there now has written so itself. An address belongs to one
        VM at a time, so the target that held the keys has ended.
        """
        members = self._directory.member_by_address
        reused = [
            address
            for address in sorted(_involved(table))
            if address in members and members[address].service != self._service
        ]
        if not self._is_my_turn(now, "replace_reused", bool(reused)):
            return table
        for address in reused:
            table = self._given_away(now, table.lost(address), address)
            ranges = [(span.first, span.last) for span in table.leaving(address)]
            table = table.released(address, ranges, {}).guarded(address, ())
        return table

    def _replace_silent(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Note daemons that are silent and give their keys to others."""
        involved = _involved(table)
        others = list(self._directory.member_by_address)
        silent = [
            address
            for address in sorted(involved - {self._me})
            if self._is_silent(now, address)
            and self._liveness.may_judge(now, address, others)
        ]
        if not self._is_my_turn(now, "replace_silent", bool(silent)):
            return table
        for address in silent:
            table = self._given_away(now, table.lost(address), address)
            if not table.guardians_of(address):
                # Without guardians it never had a lease, so it was granted nothing.
                ranges = [(span.first, span.last) for span in table.leaving(address)]
                table = table.released(address, ranges, {})
        return table

    def _replace_left(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Give keys of targets away that have left, if their daemons do not."""
        members = self._directory.member_by_address
        left = [
            owner
            for owner in table.size_by_owner()
            if owner != self._me
            and owner in members
            and members[owner].state is not TargetState.READY
        ]
        if not self._is_my_turn(now - TURN_S, "replace_left", bool(left)):
            return table
        for owner in left:
            table = self._given_away(now, table, owner)
        return table

    def _welcome(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Give an even share to targets that own nothing yet."""
        owners = table.size_by_owner()
        claims = self._receivers(now)
        newcomers = [claim for claim in claims if claim.owner not in owners]
        turn = self._is_my_turn(now - SETTLING_S, "welcome", bool(newcomers))
        if not turn:
            return table
        given = spreading.share_for_newcomers(table, newcomers, len(claims))
        return table.moved(given)

    def _cool_down(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Give busy ranges of the own target to targets that are less busy."""
        if self._holds.state(now) is not TargetState.READY:
            return table
        moves = self._balancer.moves(now, table, self._receivers(now))
        if not moves:
            return table
        self._balancer.note_moved(now, moves)
        return table.moved(moves)

    def other_owners(self) -> list[Address]:
        """Return the daemons whose targets the own one shares the keys with."""
        members = self._directory.members_of(self._service)
        return [address for address, _ in members if address != self._me]


def _involved(table: KeyTable) -> set[Address]:
    """Return the daemons whose targets hold keys or are to hold some."""
    owners = {span.owner for span in table.spans}
    former = {
        span.previous
        for span in table.spans
        if span.previous and not span.previous_lost
    }
    return owners | former
