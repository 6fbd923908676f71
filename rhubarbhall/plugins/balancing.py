"""Policies that choose the member for a request to a service without keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhall.core import policies

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from rhubarbhall.types import MemberId


@policies.balancing.register("two-choices")
class TwoChoices:
    """Chooses the less loaded of two members that are drawn at random."""

    def choose(
        self,
        members: Sequence[MemberId],
        load_by_member: Mapping[MemberId, float],
        rng: random.Random,
    ) -> MemberId:
        """Return one of `members`, which is not empty."""
        if len(members) == 1:
            return members[0]
        first, second = rng.sample(members, 2)
        if load_by_member.get(second, 0) < load_by_member.get(first, 0):
            return second
        return first


@policies.balancing.register("random")
class Uniform:
    """Chooses any member with equal probability; a baseline for other policies."""

    def choose(
        self,
        members: Sequence[MemberId],
        load_by_member: Mapping[MemberId, float],
        rng: random.Random,
    ) -> MemberId:
        """Return one of `members`, which is not empty."""
        return rng.choice(members)
