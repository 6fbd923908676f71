"""Chooses the witnesses of owners, and when the local owner gets other ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.range_witness import (
    LAST_WITNESS_TIMEOUT_S,
    SPARE_WITNESS_TIMEOUT_S,
    WITNESS_TIMEOUT_S,
    majority,
    witness_count,
)
from rhubarbhall.core.ownership.records import TargetState

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Sequence

    from rhubarbhall.core.ownership.directory import KeyDirectory
    from rhubarbhall.core.ownership.key_table import Claim, KeyTable
    from rhubarbhall.core.ownership.liveness import Liveness
    from rhubarbhall.core.ownership.range_witness import WitnessedLease
    from rhubarbhall.types import Address, Seconds

#: Time after a change of witnesses before their number is increased.
WITNESS_INCREASE_DELAY_S = 5.0


class WitnessChooser:
    """Chooses witnesses among the daemons of one service.

    Parameters
    ----------
    local_address : str
        Address of the local daemon.
    service, region : str
        Service and region of the local target.
    directory : KeyDirectory
        Members that the store is known to hold.
    liveness : Liveness
        Names the peers that are watched.
    witnessed_lease : WitnessedLease
        Lease of the local target, renewed by its witnesses.
    """

    def __init__(
        self,
        local_address: Address,
        service: str,
        region: str,
        directory: KeyDirectory,
        liveness: Liveness,
        witnessed_lease: WitnessedLease,
    ) -> None:
        self._local_address = local_address
        self._service = service
        self._region = region
        self._directory = directory
        self._liveness = liveness
        self._witnessed_lease = witnessed_lease
        self._changed_at: Seconds = float("-inf")

    def record_change(self, now: Seconds) -> None:
        """Record that other witnesses of the local target are being written."""
        self._changed_at = now

    def witnesses_for(
        self,
        owner: Address,
        claims: Iterable[Claim],
        receivers: Iterable[Claim],
        avoided: Container[Address] = (),
    ) -> tuple[Address, ...]:
        """Return the witnesses that an owner needs; itself if it is alone.

        Daemons of the owner's region come first because they answer soonest. The rest
        follow by address, beginning after the owner, so that each daemon is a witness
        of about as many owners. Watched daemons that are silent are left out; of those
        that are not watched, the owner drops the ones that do not answer.

        Parameters
        ----------
        claims : iterable of Claim
            Targets that may own keys.
        receivers : iterable of Claim
            Those that may get keys and witness other owners.
        avoided : container of str
            Daemons that are not to be chosen.
        """
        members = self._directory.member_by_address
        region = members[owner].region if owner in members else self._region
        watched = set(self._liveness.watched)
        responsive = {claim.owner for claim in receivers}
        others = [
            claim.owner
            for claim in claims
            if claim.owner != owner
            and claim.owner not in avoided
            and (claim.owner in responsive or claim.owner not in watched)
        ]
        in_order = sorted(
            others,
            key=lambda each: (members[each].region != region, each < owner, each),
        )
        chosen = in_order[: witness_count(len(in_order))]
        return tuple(sorted(chosen)) or (owner,)

    def changed(
        self,
        now: Seconds,
        table: KeyTable,
        claims: Sequence[Claim],
        receivers: Sequence[Claim],
    ) -> KeyTable:
        """Return the table with other witnesses of the local target, if it needs them.

        The present ones are kept while they are complete and responsive. Without any
        other candidate, the local daemon becomes its own witness; see `_is_alone`.
        Parameters as of `witnesses_for`.
        """
        present = table.witnesses_of(self._local_address)
        unresponsive = self._unresponsive(now, present)
        wanted = self.witnesses_for(
            self._local_address, claims, receivers, unresponsive
        )
        if wanted == present:
            return table
        if wanted == (self._local_address,):
            is_due = self._is_alone(now, present)
        else:
            has_others = present not in ((), (self._local_address,))
            may_grow = now - self._changed_at > WITNESS_INCREASE_DELAY_S
            grows = may_grow and len(wanted) > len(present)
            is_due = not has_others or bool(unresponsive) or grows
        return table.with_witnesses(self._local_address, wanted) if is_due else table

    def _unresponsive(
        self, now: Seconds, present: tuple[Address, ...]
    ) -> list[Address]:
        """Return the witnesses to be dropped; later while there are some to spare."""
        unresponsive = self._witnessed_lease.unresponsive(now, WITNESS_TIMEOUT_S)
        spare = len(present) - len(unresponsive) - majority(present)
        if spare > 0:
            return self._witnessed_lease.unresponsive(now, SPARE_WITNESS_TIMEOUT_S)
        return unresponsive

    def _is_alone(self, now: Seconds, witnesses: tuple[Address, ...]) -> bool:
        """Return whether too few witnesses are left for the lease of the local target.

        A witness whose target has left counts for nothing: its daemon ends soon. One
        that is only silent may run out of sight, and is then given the time to replace
        the local target.
        """
        silent = self._witnessed_lease.silent(now, LAST_WITNESS_TIMEOUT_S)
        left = [
            witness
            for witness in witnesses
            if witness not in silent and self._serves(witness)
        ]
        return len(left) < majority(witnesses)

    def _serves(self, address: Address) -> bool:
        """Return whether the target beside a daemon serves the local service."""
        member = self._directory.member_by_address.get(address)
        return (
            member is not None
            and member.service == self._service
            and member.state is TargetState.READY
        )
