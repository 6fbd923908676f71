"""Members of the mesh as the log tells them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core.placement import Seat, seat_of
from rhubarbhall.core.records import Join

if TYPE_CHECKING:
    from rhubarbhall.types import Offset

#: Label that every target bears besides those of its settings.
REGION_LABEL = "region"
DOMAIN_LABEL = "domain"
MEMBER_LABEL = "member"


@dataclass(slots=True)
class Member:
    """One run of a daemon.

    Parameters
    ----------
    number : int
        Short number that owner tables use.
    join : Join
        What the member said of itself.
    witnesses : tuple of str
        Members that renew its lease.
    witness_version : int
        Count of changes of `witnesses`.
    retiring : bool
        Whether it has announced that it is about to leave.
    """

    number: int
    join: Join
    witnesses: tuple[str, ...] = ()
    witness_version: int = 0
    retiring: bool = False
    seat: Seat = field(init=False)

    def __post_init__(self) -> None:
        self.seat = seat_of(self.join.member, self.join.weight)

    @property
    def id(self) -> str:
        """Identity of the run."""
        return self.join.member

    @property
    def labels(self) -> dict[str, str]:
        """Labels of the target with those that its place adds."""
        join = self.join
        return {
            **join.labels,
            REGION_LABEL: join.region,
            DOMAIN_LABEL: join.domain,
            MEMBER_LABEL: join.member,
        }

    @property
    def majority(self) -> int:
        """Number of witnesses that make a majority."""
        return len(self.witnesses) // 2 + 1


class Closing(enum.StrEnum):
    """Why a member ended."""

    LEFT = "left"
    SUPERSEDED = "superseded"
    FAILED_OVER = "failed_over"
    DECLARED_LOST = "declared_lost"


@dataclass(frozen=True, slots=True)
class ClosedMember:
    """A member that ended."""

    member: Member
    reason: Closing
    offset: Offset
