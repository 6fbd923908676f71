"""Where requests of services without keys go."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core import policies

if TYPE_CHECKING:
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.intent import Service
    from rhubarbhall.core.requests import Response
    from rhubarbhall.types import MemberId, Seconds, ServiceName

DEFAULT_POLICY = "two-choices"
#: Members drawn at random that stand for all of one distance.
DRAWN = 8
#: Time over which a new member's share grows to its full size.
SLOW_START_S = 10.0
#: Smallest share of a new member.
SLOW_START_FLOOR = 0.1
#: Failures in a row after which a member is left out for a while.
EJECT_AFTER = 3
#: How long a member is left out the first time.
EJECT_S = 2.0
MAX_EJECT_S = 30.0
#: Share of the members that may be left out at once.
MAX_EJECTED_SHARE = 0.5
#: Requests in flight at one member, as a share of its slots, from which on
#: members farther away are looked at as well.
SPILL_SHARE = 0.9


@dataclass(slots=True)
class _MemberStats:
    """How a member has fared from here; `seen_at` is when it joined."""

    seen_at: Seconds
    in_flight: int = 0
    failures: int = 0
    ejected_until: Seconds = float("-inf")
    ejections: int = 0


@dataclass(frozen=True, slots=True)
class _Rings:
    """Members by distance, as of one version of the membership."""

    version: int
    members: list[list[MemberId]]


class Balancer:
    """Chooses members by the requests in flight that this daemon sees itself.

    Parameters
    ----------
    context : Context
        Directory and place of this daemon.
    policy : str
        Name of the balancing policy.
    """

    def __init__(self, context: Context, policy: str = DEFAULT_POLICY) -> None:
        self._context = context
        self._policy = policies.balancing.create(policy)
        self._stats_by_member: dict[MemberId, _MemberStats] = {}
        self._rings_by_service: dict[ServiceName, _Rings] = {}

    def choose(
        self, now: Seconds, service: Service, exclude: frozenset[MemberId]
    ) -> MemberId | None:
        """Return a member for a request, or none when there is no other.

        The nearest members go first; those farther away get the request only
        when the nearer ones are full. The cost does not depend on the number of
        members, since a few drawn at random stand for each ring.
        """
        spare: list[MemberId] = []
        for ring in self._rings(service.name):
            drawn = [each for each in self._draw(ring) if each not in exclude]
            allowed = self._without_ejected(now, drawn)
            roomy = [each for each in allowed if not self._is_full(each, service)]
            if roomy:
                return self._pick(now, roomy)
            spare += allowed
        return self._pick(now, spare) if spare else None

    def _rings(self, name: ServiceName) -> list[list[MemberId]]:
        """Return the members that may take work, by their distance from here."""
        directory = self._context.directory
        known = self._rings_by_service.get(name)
        if known is not None and known.version == directory.membership_version:
            return known.members
        members = list(directory.pool(name, witnessed=False).ranked(""))
        rings = _Rings(directory.membership_version, self._by_distance(members))
        self._rings_by_service[name] = rings
        return rings.members

    def _draw(self, ring: list[MemberId]) -> list[MemberId]:
        if len(ring) <= DRAWN:
            return ring
        return self._context.rng.sample(ring, DRAWN)

    def _without_ejected(self, now: Seconds, members: list[MemberId]) -> list[MemberId]:
        kept = [each for each in members if not self._is_ejected(now, each)]
        # Ejecting most members would only crowd the rest, so a fault that
        # shows everywhere ejects nobody.
        if len(kept) < len(members) * (1 - MAX_EJECTED_SHARE):
            return members
        return kept

    def _is_ejected(self, now: Seconds, member: MemberId) -> bool:
        stats = self._stats_by_member.get(member)
        return stats is not None and now < stats.ejected_until

    def _by_distance(self, members: list[MemberId]) -> list[list[MemberId]]:
        """Return three rings: own region, preferred regions, others."""
        directory = self._context.directory
        rings: list[list[MemberId]] = [[], [], []]
        for each in members:
            region = directory.member_by_id[each].join.region
            if region == self._context.join.region:
                rings[0].append(each)
            else:
                rings[1 if region in directory.intent.regions else 2].append(each)
        return rings

    def _is_full(self, member: MemberId, service: Service) -> bool:
        stats = self._stats_by_member.get(member)
        return stats is not None and (stats.in_flight >= SPILL_SHARE * service.slots)

    def _pick(self, now: Seconds, members: list[MemberId]) -> MemberId:
        load_by_member = {each: self._load(now, each) for each in members}
        return self._policy.choose(members, load_by_member, self._context.rng)

    def _load(self, now: Seconds, member: MemberId) -> float:
        stats = self._stats(now, member)
        age = now - stats.seen_at
        share = max(SLOW_START_FLOOR, min(1.0, age / SLOW_START_S))
        return (stats.in_flight + 1) / share

    def _stats(self, now: Seconds, member: MemberId) -> _MemberStats:
        stats = self._stats_by_member.get(member)
        if stats is None:
            stats = _MemberStats(seen_at=now - SLOW_START_S)
            self._stats_by_member[member] = stats
        return stats

    def note_joined(self, now: Seconds, members: tuple[MemberId, ...]) -> None:
        """Let members that have just joined start slowly."""
        for member in members:
            self._stats_by_member[member] = _MemberStats(seen_at=now)

    def note_sent(self, now: Seconds, member: MemberId) -> None:
        """Count a request that goes to `member`."""
        self._stats(now, member).in_flight += 1

    def note_outcome(
        self, now: Seconds, member: MemberId, response: Response | None
    ) -> None:
        """Count an answer, or a failure when `response` is none."""
        stats = self._stats(now, member)
        stats.in_flight = max(0, stats.in_flight - 1)
        if response is not None and response.status < 500:
            stats.failures = 0
            stats.ejections = 0
            return
        stats.failures += 1
        if stats.failures >= EJECT_AFTER:
            stats.failures = 0
            pause = min(MAX_EJECT_S, EJECT_S * 2**stats.ejections)
            stats.ejections += 1
            stats.ejected_until = now + pause

    def forget(self, members: tuple[MemberId, ...]) -> None:
        """Drop what is known of members that have ended."""
        for member in members:
            self._stats_by_member.pop(member, None)

    def in_flight(self) -> dict[MemberId, int]:
        """Return the requests in flight by member."""
        return {
            member: stats.in_flight
            for member, stats in self._stats_by_member.items()
            if stats.in_flight
        }
