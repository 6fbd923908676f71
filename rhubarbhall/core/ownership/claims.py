"""Which targets of the local service may own keys, and which may get more of them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.key_table import Claim
from rhubarbhall.core.ownership.records import TargetState

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.directory import KeyDirectory
    from rhubarbhall.core.ownership.liveness import Liveness
    from rhubarbhall.core.ownership.range_witness import RangeWitness, WitnessedLease
    from rhubarbhall.core.ownership.records import Member
    from rhubarbhall.core.ownership.target_keys import TargetKeys
    from rhubarbhall.types import Address, Seconds

#: Time since the last contact up to which a daemon is assigned keys or becomes a
#: witness: a ping to another region and its answer. It is shorter than the lease
#: that witnesses renew, so an owner that was replaced is assigned nothing.
ASSIGNMENT_TIMEOUT_S = 2.8
#: Time since the last lease renewal from which a daemon is suspected and gets neither
#: keys nor leases to witness: two requests for a renewal and their answers. It applies
#: to owners that this daemon is a witness of and to witnesses of the local target.
SUSPICION_TIMEOUT_S = 1.2


class ServiceClaims:
    """The claims of the targets of one service, as this daemon knows them.

    Parameters
    ----------
    local_address : str
        Address of the local daemon.
    service, region : str
        Service and region of the local target.
    directory : KeyDirectory
        Members that the store is known to hold.
    target_keys : TargetKeys
        The local target.
    liveness : Liveness
        Time since the last contact with each peer.
    range_witness : RangeWitness
        Leases that this daemon renews as a witness.
    witnessed_lease : WitnessedLease
        Lease of the local target, renewed by its witnesses.
    """

    def __init__(
        self,
        local_address: Address,
        service: str,
        region: str,
        directory: KeyDirectory,
        target_keys: TargetKeys,
        liveness: Liveness,
        range_witness: RangeWitness,
        witnessed_lease: WitnessedLease,
    ) -> None:
        self._local_address = local_address
        self._service = service
        self._region = region
        self._directory = directory
        self._target_keys = target_keys
        self._liveness = liveness
        self._range_witness = range_witness
        self._witnessed_lease = witnessed_lease

    def all(self, now: Seconds) -> Iterator[Claim]:
        """Yield the claims of the targets that may own keys."""
        for address, member in self._directory.members_of(self._service):
            if address == self._local_address:
                if self._target_keys.state(now) is TargetState.READY:
                    yield self._target_keys.claim()
            elif self._may_claim(now, address, member):
                yield Claim(address, member.run)

    def _may_claim(self, now: Seconds, address: Address, member: Member) -> bool:
        """Return whether the target beside another daemon may own keys.

        After a restore of the store, a daemon that cannot write to it gets no lease.
        """
        return (
            member.state is TargetState.READY
            and self._directory.has_booted(address)
            and not self.is_unresponsive(now, address)
        )

    def receivers(self, now: Seconds) -> list[Claim]:
        """Return the claims of targets that may get keys and witness other owners.

        The condition is stricter than that for keeping keys: a key that is assigned to
        a daemon that is lost as well has no owner for another takeover wait.
        """
        return [
            claim
            for claim in self.all(now)
            if claim.owner == self._local_address
            or not self._is_suspected(now, claim.owner)
        ]

    def _is_suspected(self, now: Seconds, address: Address) -> bool:
        contact_age_s = self._liveness.time_since_contact_s(now, address)
        if not self._liveness.has_been_contacted(address):
            return True
        if (
            contact_age_s > ASSIGNMENT_TIMEOUT_S
            or self._range_witness.time_since_renewal_s(now, address)
            > SUSPICION_TIMEOUT_S
        ):
            return True
        misses_renewals = address in self._witnessed_lease.unresponsive(
            now, SUSPICION_TIMEOUT_S
        )
        return misses_renewals and contact_age_s > SUSPICION_TIMEOUT_S

    def is_unresponsive(self, now: Seconds, address: Address) -> bool:
        """Return whether a daemon counts as lost, as reported or seen from here."""
        member = self._directory.member_by_address.get(address)
        same_region = member is not None and member.region == self._region
        return self._directory.is_lost(address) or self._liveness.is_unresponsive(
            now, address, same_region
        )
