"""Reconciles the key table of the local service with the state of its targets.

Every daemon beside a target of the service may change the table. The store accepts a
change only if nothing else was written in between, so any daemon may carry out any
step. Daemons act in order of rank only to avoid duplicate writes; safety does not
depend on it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership import range_distribution
from rhubarbhall.core.ownership.claims import ServiceClaims
from rhubarbhall.core.ownership.key_table import KeyTable
from rhubarbhall.core.ownership.read_lease import takeover_wait_s
from rhubarbhall.core.ownership.records import TargetState
from rhubarbhall.core.ownership.table_restore import TableRestore
from rhubarbhall.core.ownership.witness_chooser import WitnessChooser

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.directory import KeyDirectory
    from rhubarbhall.core.ownership.key_table import Claim, Range
    from rhubarbhall.core.ownership.liveness import Liveness
    from rhubarbhall.core.ownership.range_load_balancer import RangeLoadBalancer
    from rhubarbhall.core.ownership.range_witness import (
        RangeWitness,
        ReplacementVotes,
        WitnessedLease,
    )
    from rhubarbhall.core.ownership.target_keys import TargetKeys
    from rhubarbhall.types import Address, Offset, Seconds

#: Time after the start of a daemon in which its peers announce their targets; the first
#: table is not created before.
DISCOVERY_PERIOD_S = 3.0
#: Extra delay of each next daemon in rank before it carries out a step.
RANK_DELAY_S = 0.7
#: Number of ranks. Daemons that share a rank may write at the same time; the store
#: takes one of their changes, and the wait does not grow with the number of daemons.
MAX_RANKS = 8
#: Time for which a new target is known before keys are assigned to it.
NEW_TARGET_DELAY_S = 0.3
#: Time after the start of this daemon in which new targets count as part of the first
#: start of a deployment. They are not cold then.
DEPLOYMENT_START_S = 10.0
#: Time without a lease and without a new record in the log after which a record is
#: written only to make the log grow.
LOG_GROWTH_TIMEOUT_S = 1.0
#: Age of the last contact up to which a daemon that was reported as lost counts as
#: returned, in seconds; a peer of the region is pinged more often.
RETURN_CONTACT_S = 1.0
#: Reason of a change in which witnesses replace an owner. It goes to the operators' log
#: and also decides whether a change names the owners that it replaces; both have to use
#: the same text.
REPLACED_BY_WITNESSES = "replace_unguarded"


@dataclass(frozen=True, slots=True)
class TableChange:
    """A change of the key table that is to be written to the store.

    Parameters
    ----------
    table : KeyTable
        The table after the change.
    reason : str
        Reasons of the steps that took part, joined by ``+``, for the operators' log.
    replaced : tuple of str
        Owners that this daemon replaces as one of their witnesses.
    changes_witnesses : bool
        Whether the change names other witnesses for the local target.
    freed : tuple of (int, int)
        Ranges that the local target has released or never took; first and last key,
        both included.
    """

    table: KeyTable
    reason: str
    replaced: tuple[Address, ...] = ()
    changes_witnesses: bool = False
    freed: tuple[Range, ...] = ()


class TableReconciler:
    """Proposes changes of the key table of one service.

    Parameters
    ----------
    local_address : str
        Address of the local daemon.
    service, region : str
        Service and region of the local target.
    directory : KeyDirectory
        Members and tables that the store is known to hold.
    target_keys : TargetKeys
        Keys that the local target holds.
    liveness : Liveness
        Time since the last contact with each peer.
    balancer : RangeLoadBalancer
        Chooses the ranges that a busy target sheds.
    range_witness : RangeWitness
        Leases that this daemon renews as a witness.
    votes : ReplacementVotes
        Votes of the other witnesses for the replacement of owners.
    witnessed_lease : WitnessedLease
        Lease of the local target, renewed by its witnesses.
    started_at : float
        Start of this daemon on the local clock, in seconds.

    Attributes
    ----------
    evacuated_domains : frozenset of str
        Failure domains whose targets give their keys away and get none.
    """

    def __init__(
        self,
        local_address: Address,
        service: str,
        region: str,
        directory: KeyDirectory,
        target_keys: TargetKeys,
        liveness: Liveness,
        balancer: RangeLoadBalancer,
        range_witness: RangeWitness,
        votes: ReplacementVotes,
        witnessed_lease: WitnessedLease,
        started_at: Seconds,
    ) -> None:
        self._local_address = local_address
        self._service = service
        self._directory = directory
        self._target_keys = target_keys
        self._liveness = liveness
        self._balancer = balancer
        self._range_witness = range_witness
        self._votes = votes
        self._witnessed_lease = witnessed_lease
        self._started_at = started_at
        self.evacuated_domains: frozenset[str] = frozenset()
        #: Duration of the warm-up of a target, if it accepts fewer requests meanwhile.
        self.warmup_s: Seconds = 0.0
        #: Since when targets without keys have been known, by their owners.
        self._new_since: dict[Address, Seconds] = {}
        self._claims = ServiceClaims(
            local_address,
            service,
            region,
            directory,
            target_keys,
            liveness,
            range_witness,
            witnessed_lease,
        )
        self._restore = TableRestore(service, directory)
        self._witnesses = WitnessChooser(
            local_address, service, region, directory, liveness, witnessed_lease
        )
        self._replaced: list[Address] = []
        self._freed: list[Range] = []
        #: Since when the lease is missing while the log does not grow, and its end.
        self._lease_missing: tuple[Seconds, Offset] | None = None
        #: Since when a step has been due, by the name of the step.
        self._due_since: dict[str, Seconds] = {}
        #: Since when the table is known to mark a previous owner of a span as lost, by
        #: that owner and the fence of the span.
        self._lost_since: dict[tuple[Address, int], Seconds] = {}
        #: The steps in order, each with its reason for the operators' log.
        self._steps: tuple[tuple[str, Callable[[Seconds, KeyTable], KeyTable]], ...] = (
            ("let_go", self._release_relinquished),
            ("renew_run", self._renew_run),
            ("renew_fence", self._renew_refused_fences),
            ("renew_runs", self._renew_other_runs),
            ("leave", self._reassign_local_keys),
            ("evacuate", self._reassign_evacuated),
            ("take_over", self._free_lost_spans),
            ("replace_reused", self._replace_reused),
            ("choose_guardians", self._choose_witnesses),
            (REPLACED_BY_WITNESSES, self._replace_lapsed),
            ("replace_silent", self._replace_unresponsive),
            ("replace_left", self._replace_departed),
            ("welcome", self._assign_to_new_targets),
            ("cool_down", self._shed_load),
        )

    def begin_epoch(self, now: Seconds) -> None:
        """Record that the store was restored from an older copy."""
        self._restore.begin_epoch(now)

    def propose(self, now: Seconds) -> TableChange | None:
        """Return the change that is due, or `None` if the table needs none."""
        table = self._directory.table_by_service.get(self._service)
        if table is None:
            return self._create_table(now)
        if self._directory.is_restoring(self._service):
            return self._restore_table(now, table)
        self._update_lost_since(now, table)
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
        changed = self._with_known_runs(changed)
        after, before = (
            changed.witnesses_of(self._local_address),
            table.witnesses_of(self._local_address),
        )
        replaced = tuple(self._replaced) if REPLACED_BY_WITNESSES in reasons else ()
        freed = tuple(self._freed)
        return TableChange(changed, "+".join(reasons), replaced, after != before, freed)

    def record_pending_write(
        self, now: Seconds, change: TableChange, at: Offset
    ) -> None:
        """Record that a write of a change at an offset of the log has begun.

        Until the log has grown beyond that offset, the outcome of the write is unknown.
        """
        self._target_keys.record_pending_release(change.freed, at)
        for owner in change.replaced:
            self._range_witness.vote_to_replace(now, owner, at)
        if change.changes_witnesses:
            self._witnesses.record_change(now)
            self._witnessed_lease.record_change(now, at)

    def is_blocked(self, now: Seconds) -> bool:
        """Return whether the lease may be missing only because the log does not grow.

        A write whose outcome is unknown blocks the owner, or its witnesses, until the
        log has grown. Without other traffic no daemon might ever write a record.
        """
        table = self._directory.table_by_service.get(self._service)
        if table is None or not table.owned_by(self._local_address):
            return False
        if self._directory.is_restoring(self._service):
            return False
        if self._witnessed_lease.remaining_s(now) > 0:
            self._lease_missing = None
            return False
        end = self._directory.end
        if self._lease_missing is None or self._lease_missing[1] != end:
            self._lease_missing = (now, end)
        if now - self._lease_missing[0] < LOG_GROWTH_TIMEOUT_S:
            return False
        self._lease_missing = (now, end)
        return True

    def _rank_delay_passed(self, now: Seconds, step_name: str, needed: bool) -> bool:
        """Return whether a step has been due for the delay of the local rank."""
        if not needed:
            self._due_since.pop(step_name, None)
            return False
        since = self._due_since.setdefault(step_name, now)
        ranked = [claim.owner for claim in self._claims.all(now)]
        rank = (
            ranked.index(self._local_address)
            if self._local_address in ranked
            else len(ranked)
        )
        return now - since >= rank % MAX_RANKS * RANK_DELAY_S

    # First table

    def _create_table(self, now: Seconds) -> TableChange | None:
        claims = self._assignable(self._claims.all(now))
        peers_discovered = (
            now - self._started_at > DISCOVERY_PERIOD_S and self._directory.is_loaded
        )
        may_found = self._restore.may_found(now)
        needed = bool(claims) and peers_discovered and may_found
        if not self._rank_delay_passed(now, "found", needed) or not claims:
            return None
        table = KeyTable.divided(claims)
        receivers = self._claims.receivers(now)
        for claim in claims:
            witnesses = self._witnesses.witnesses_for(claim.owner, claims, receivers)
            table = table.with_witnesses(claim.owner, witnesses)
        table = table.in_epoch(self._directory.epoch, renews_fences=True)
        return TableChange(table, "found")

    # Table after a restore of the store

    def _restore_table(self, now: Seconds, table: KeyTable) -> TableChange | None:
        """Return the newest known table as it is to be written again, when it is due.

        Every other change has to wait: the table that it would be based on is not in
        the store. Until then some witnesses have no boot record and renew no lease.
        """
        self._witnessed_lease.excuse_witnesses(now)
        restored = self._restore.due(now, table)
        is_due = self._rank_delay_passed(now, "restore", restored is not None)
        if not is_due or restored is None:
            return None
        return TableChange(restored, "restore")

    # Steps

    def _choose_witnesses(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Choose other witnesses for the local target, if it needs them."""
        if not table.owned_by(self._local_address) or not self._target_keys.run:
            return table
        claims = list(self._claims.all(now))
        return self._witnesses.changed(now, table, claims, self._claims.receivers(now))

    def _replace_lapsed(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Replace owners whose lease a majority of witnesses has let lapse."""
        self._range_witness.update_from_table(now, table)
        replaceable_owners = self._votes.replaceable(now, table, self._directory.end)
        self._replaced = [
            owner for owner in replaceable_owners if owner != self._local_address
        ]
        for owner in self._replaced:
            table = self._reassigned(now, table.with_owner_lost(owner), owner)
            table = self._freed_from(table, owner).with_witnesses(owner, ())
        return table

    def _release_relinquished(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Release the ranges that the local target no longer holds."""
        ranges = list(self._target_keys.relinquished(now, table))
        if not ranges:
            return table
        self._freed += ranges
        heartbeat = self._target_keys.heartbeat
        tokens = self._target_keys.tokens if heartbeat else {}
        return table.released(self._local_address, ranges, tokens)

    def _renew_run(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Assign the keys of an earlier run of the local target to its present run.

        What the earlier run had to release is freed by `_release_relinquished`.
        """
        run = self._target_keys.run
        if not run or self._target_keys.state(now) is not TargetState.READY:
            return table
        stale = any(span.run != run for span in table.owned_by(self._local_address))
        return table.with_runs({self._local_address: run}) if stale else table

    def _renew_other_runs(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Assign the keys of earlier runs of other targets to their present runs.

        Their daemons do the same, one after the other. After a restart of all targets
        one change for all of them saves most of these writes.
        """
        needed = self._with_known_runs(table) is not table
        if not self._rank_delay_passed(now, "renew_runs", needed):
            return table
        return self._with_known_runs(table)

    def _with_known_runs(self, table: KeyTable) -> KeyTable:
        """Return the table with the runs that the members have recorded."""
        members = self._directory.member_by_address
        stale = {
            span.owner: members[span.owner].run
            for span in table.spans
            if span.owner != self._local_address
            and span.owner in members
            and members[span.owner].state is TargetState.READY
            and members[span.owner].service == self._service
            and members[span.owner].run not in ("", span.run)
        }
        return table.with_runs(stale) if stale else table

    def _renew_refused_fences(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Give a new fence to spans whose fence the local target has refused."""
        refused = self._target_keys.refused_fences
        owned = table.owned_by(self._local_address)
        if not any(span.fence in refused for span in owned):
            return table
        return table.with_new_fences(self._local_address, refused)

    def _reassign_local_keys(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Reassign all keys of the local target when it leaves or is gone."""
        known = self._target_keys.heartbeat is not None or self._target_keys.is_overdue(
            now
        )
        if not known or self._target_keys.state(now) is TargetState.READY:
            return table
        changed = self._reassigned(now, table, self._local_address)
        if changed is table:
            return table
        return self._release_relinquished(now, changed)

    def _reassigned(self, now: Seconds, table: KeyTable, owner: Address) -> KeyTable:
        spans = table.owned_by(owner)
        receivers = self._assignable(self._claims.receivers(now))
        receivers = receivers or self._assignable(self._claims.all(now))
        claims = [claim for claim in receivers if claim.owner != owner]
        if not spans or not claims:
            return table
        return table.moved(
            range_distribution.distribute(spans, claims, table.size_by_owner())
        )

    def _assignable(self, claims: Iterable[Claim]) -> list[Claim]:
        """Return the claims of targets that may get keys: not in evacuated domains."""
        return [each for each in claims if not self._is_evacuated(each.owner)]

    def _is_evacuated(self, address: Address) -> bool:
        member = self._directory.member_by_address.get(address)
        return member is not None and member.domain in self.evacuated_domains

    def _reassign_evacuated(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Reassign the keys of all targets in evacuated domains, by handover.

        One change moves the keys of all of them, so that no owner waits for the writes
        of the others. The daemons beside them write it at once, and the rest if they do
        not. Without a target elsewhere the keys stay.
        """
        evacuated = [each for each in table.size_by_owner() if self._is_evacuated(each)]
        is_due = self._rank_delay_passed(now, "evacuate", bool(evacuated))
        if not is_due and self._local_address not in evacuated:
            return table
        for owner in evacuated:
            table = self._reassigned(now, table, owner)
        return table

    def _update_lost_since(self, now: Seconds, table: KeyTable) -> None:
        lost = {
            (span.previous, span.fence) for span in table.spans if span.previous_lost
        }
        self._lost_since = {each: self._lost_since.get(each, now) for each in lost}

    def _free_lost_spans(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Free local spans once the lease of a lost previous owner has run out."""
        wait_s = takeover_wait_s()
        for span in table.owned_by(self._local_address):
            since = self._lost_since.get((span.previous, span.fence))
            if span.previous_lost and since is not None and now - since >= wait_s:
                table = table.released(span.previous, [(span.first, span.last)], {})
        return table

    def _replace_reused(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Mark addresses that now belong to another service as lost.

        The record that says so may be an old one that the store has written late, so
        their keys wait for the end of a lease, as those of any lost owner do. If the
        record is true, the witnesses let that lease lapse and free the keys.
        """
        members = self._directory.member_by_address
        reused = [
            address
            for address in sorted(_owners_and_holders(table) - {self._local_address})
            if address in members and members[address].service != self._service
        ]
        if not self._rank_delay_passed(now, "replace_reused", bool(reused)):
            return table
        for address in reused:
            table = self._with_owner_lost(now, table, address)
        return table

    def _replace_unresponsive(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Mark unresponsive daemons as lost and reassign their keys."""
        daemons = _owners_and_holders(table)
        unresponsive = [
            address
            for address in sorted(daemons - {self._local_address})
            if self._claims.is_unresponsive(now, address)
            and not self._has_returned(now, address)
            and self._liveness.may_declare_lost(now, address)
        ]
        if not self._rank_delay_passed(now, "replace_silent", bool(unresponsive)):
            return table
        for address in unresponsive:
            table = self._with_owner_lost(now, table, address)
        return table

    def _has_returned(self, now: Seconds, address: Address) -> bool:
        """Return whether a daemon that was reported as lost runs again.

        The report counts until the daemon writes its member record, for which it needs
        a heartbeat of its target. Until then its keys stay, as it may go on with them.
        """
        if not self._liveness.has_been_contacted(address):
            return False
        contact_age_s = self._liveness.time_since_contact_s(now, address)
        return contact_age_s <= RETURN_CONTACT_S

    def _with_owner_lost(
        self, now: Seconds, table: KeyTable, owner: Address
    ) -> KeyTable:
        """Mark an owner as lost and reassign its keys, to be granted after its lease.

        Its witnesses stay in the table, so that they can free the keys sooner.
        """
        table = self._reassigned(now, table.with_owner_lost(owner), owner)
        if table.witnesses_of(owner):
            return table
        # An owner without witnesses never had a lease and was granted nothing.
        return self._freed_from(table, owner)

    @staticmethod
    def _freed_from(table: KeyTable, owner: Address) -> KeyTable:
        """Free what an owner without a lease would have to release."""
        ranges = [(span.first, span.last) for span in table.unreleased_by(owner)]
        return table.released(owner, ranges, {})

    def _replace_departed(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Reassign the keys of targets that have left, if their daemons do not."""
        members = self._directory.member_by_address
        left = [
            owner
            for owner in table.size_by_owner()
            if owner != self._local_address
            and owner in members
            and members[owner].state is not TargetState.READY
        ]
        if not self._rank_delay_passed(now - RANK_DELAY_S, "replace_left", bool(left)):
            return table
        for owner in left:
            table = self._reassigned(now, table, owner)
        return table

    def _assign_to_new_targets(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Assign an even share of the keys to targets that own none yet.

        A target that has come back during traffic first warms up: it could not serve
        the requests for its share, which the present owners can.
        """
        owners = table.size_by_owner()
        claims = self._assignable(self._claims.all(now))
        new_targets = [
            claim
            for claim in self._assignable(self._claims.receivers(now))
            if claim.owner not in owners
        ]
        new_targets = self._warm(now, new_targets)
        is_due = self._rank_delay_passed(
            now - NEW_TARGET_DELAY_S, "welcome", bool(new_targets)
        )
        if not is_due:
            return table
        moves = range_distribution.share_for_new_targets(
            table, new_targets, len(claims)
        )
        return table.moved(moves)

    def _warm(self, now: Seconds, new_targets: list[Claim]) -> list[Claim]:
        """Return the targets without keys whose warm-up must have passed."""
        self._new_since = {
            claim.owner: self._new_since.get(claim.owner, now) for claim in new_targets
        }
        if now - self._started_at <= DEPLOYMENT_START_S:
            return new_targets
        return [
            claim
            for claim in new_targets
            if now - self._new_since[claim.owner] >= self.warmup_s
        ]

    def _shed_load(self, now: Seconds, table: KeyTable) -> KeyTable:
        """Move busy ranges of the local target to targets that are less busy."""
        if self._target_keys.state(now) is not TargetState.READY:
            return table
        receivers = self._assignable(self._claims.receivers(now))
        moves = self._balancer.moves(now, table, receivers)
        if not moves:
            return table
        self._balancer.record_moves(now, moves)
        return table.moved(moves)

    def service_peers(self) -> list[Address]:
        """Return the other daemons beside targets of the same service."""
        members = self._directory.members_of(self._service)
        return [address for address, _ in members if address != self._local_address]


def _owners_and_holders(table: KeyTable) -> set[Address]:
    """Return the daemons whose targets own keys or may still hold some.

    Previous owners that are already marked as lost are left out.
    """
    owners = {span.owner for span in table.spans}
    former = {
        span.previous
        for span in table.spans
        if span.previous and not span.previous_lost
    }
    return owners | former
