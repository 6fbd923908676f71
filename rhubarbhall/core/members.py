"""Members of the mesh as recorded in the log.

A member is one run of a daemon: a daemon that starts again joins as a new member.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core.placement import RingPosition, ring_position_of
from rhubarbhall.core.records import Join

if TYPE_CHECKING:
    from rhubarbhall.types import Offset

#: Labels that every target has in addition to those of its settings: its region, its
#: failure domain and the id of its member.
REGION_LABEL = "region"
DOMAIN_LABEL = "domain"
MEMBER_LABEL = "member"


@dataclass(slots=True)
class Member:
    """One run of a daemon.

    Parameters
    ----------
    number : int
        Number of the member in owner tables, which are arrays of integers.
    join : Join
        Record by which the member joined, with its addresses and labels.
    witnesses : tuple of str
        Ids of the members that renew its lease.
    witness_version : int
        Version of `witnesses`; counts witness records and resumes.
    retiring : bool
        Whether it has announced that it is about to leave.
    """

    number: int
    join: Join
    witnesses: tuple[str, ...] = ()
    witness_version: int = 0
    retiring: bool = False
    #: Position of the member on the rings from which owners and witnesses are chosen.
    ring_position: RingPosition = field(init=False)

    def __post_init__(self) -> None:
        self.ring_position = ring_position_of(self.join.member, self.join.weight)

    @property
    def id(self) -> str:
        """Id of the run."""
        return self.join.member

    @property
    def labels(self) -> dict[str, str]:
        """Labels of the target, with its region, domain and member id added."""
        join = self.join
        return {
            **join.labels,
            REGION_LABEL: join.region,
            DOMAIN_LABEL: join.domain,
            MEMBER_LABEL: join.member,
        }

    @property
    def majority(self) -> int:
        """Smallest number of witnesses that is a majority."""
        return len(self.witnesses) // 2 + 1


class EndReason(enum.StrEnum):
    """Why a member ended; the values appear in log events and in snapshots.

    A member has left by its own record, was superseded by a later run in the same slot,
    was failed over by a verdict of its witnesses, or was declared lost by an operator.
    """

    LEFT = "left"
    SUPERSEDED = "superseded"
    FAILED_OVER = "failed_over"
    DECLARED_LOST = "declared_lost"


@dataclass(frozen=True, slots=True)
class ClosedMember:
    """A member that has ended.

    Parameters
    ----------
    member : Member
        Its last state.
    reason : EndReason
        Why it ended.
    offset : int
        Offset of the record that ended it.
    """

    member: Member
    reason: EndReason
    offset: Offset
