"""Chooses the member for requests that have no owner.

Near members with free slots are preferred; members that keep failing are left out for
a while.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core import policies
from rhubarbhall.core.retry import backoff_s

if TYPE_CHECKING:
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.intent import Service
    from rhubarbhall.core.requests import Response
    from rhubarbhall.types import MemberId, Seconds, ServiceName

#: Balancing policy that is used unless another is named.
DEFAULT_POLICY = "two-choices"
#: Most members of one ring that are compared for a request. A larger ring is sampled at
#: random, so that the cost does not grow with the number of members.
SAMPLE_SIZE = 8
#: Time over which a new member's share of the requests grows to its full size, in
#: seconds.
SLOW_START_S = 10.0
#: Share of a new member at the start, as a fraction of its full share.
MIN_SLOW_START_SHARE = 0.1
#: Consecutive failures after which a member is ejected: left out for a while.
EJECTION_FAILURES = 3
#: Duration of the first ejection, in seconds; it doubles with each further one until
#: the member answers without an error.
EJECTION_S = 2.0
#: Longest duration of an ejection, in seconds.
MAX_EJECTION_S = 30.0
#: Largest share of the compared members that may be ejected at the same time.
MAX_EJECTED_SHARE = 0.5
#: Requests in flight at one member, as a share of its slots, from which on the member
#: counts as full and members farther away are used.
FULL_SHARE = 0.9


@dataclass(slots=True)
class _MemberStatistics:
    """What this daemon has observed of a member.

    Parameters
    ----------
    joined_at : float
        Time at which the member joined, on the local monotonic clock, in seconds. For a
        member whose joining was not observed it lies `SLOW_START_S` in the past.
    in_flight : int
        Requests sent to the member that have no answer yet.
    failures : int
        Consecutive failures since the last success or ejection.
    ejected_until : float
        End of the last ejection, on the same clock.
    ejections : int
        Ejections since the last success.
    """

    joined_at: Seconds
    in_flight: int = 0
    failures: int = 0
    ejected_until: Seconds = float("-inf")
    ejections: int = 0


@dataclass(frozen=True, slots=True)
class _Rings:
    """Members of a service by distance.

    Parameters
    ----------
    version : int
        Version of the membership that the rings were made from.
    members : list of list of str
        Rings of members, the nearest first.
    """

    version: int
    members: list[list[MemberId]]


class Balancer:
    """Chooses members by the requests in flight.

    Only requests that this daemon has sent count; the daemons do not exchange their
    counts.

    Parameters
    ----------
    context : Context
        Directory, and the region of this daemon.
    policy : str
        Name of the balancing policy.
    """

    def __init__(self, context: Context, policy: str = DEFAULT_POLICY) -> None:
        self._context = context
        self._policy = policies.balancing.create(policy)
        self._statistics_by_member: dict[MemberId, _MemberStatistics] = {}
        self._rings_by_service: dict[ServiceName, _Rings] = {}

    def choose(
        self, now: Seconds, service: Service, exclude: frozenset[MemberId]
    ) -> MemberId | None:
        """Return a member for a request, or none if all are excluded.

        A member farther away is chosen only if the nearer ones are full. The cost does
        not depend on the number of members, since at most `SAMPLE_SIZE` members of each
        ring are compared.

        Parameters
        ----------
        now : float
            Present time on the local monotonic clock, in seconds.
        service : Service
            Service that the request is for.
        exclude : frozenset of str
            Members that must not be chosen.
        """
        full: list[MemberId] = []
        for ring in self._rings(service.name):
            sampled = [each for each in self._sample(ring) if each not in exclude]
            allowed = self._without_ejected(now, sampled)
            with_room = [each for each in allowed if not self._is_full(each, service)]
            if with_room:
                return self._pick(now, with_room)
            full += allowed
        return self._pick(now, full) if full else None

    def _rings(self, name: ServiceName) -> list[list[MemberId]]:
        """Return the rings of members that may run requests, the nearest first."""
        directory = self._context.directory
        cached = self._rings_by_service.get(name)
        if cached is not None and cached.version == directory.membership_version:
            return cached.members
        members = list(directory.pool(name, witnessed=False).ranked(""))
        rings = _Rings(directory.membership_version, self._by_distance(members))
        self._rings_by_service[name] = rings
        return rings.members

    def _sample(self, ring: list[MemberId]) -> list[MemberId]:
        if len(ring) <= SAMPLE_SIZE:
            return ring
        return self._context.rng.sample(ring, SAMPLE_SIZE)

    def _without_ejected(self, now: Seconds, members: list[MemberId]) -> list[MemberId]:
        kept = [each for each in members if not self._is_ejected(now, each)]
        # If most members fail, ejecting them would only overload the others, so none is
        # ejected.
        if len(kept) < len(members) * (1 - MAX_EJECTED_SHARE):
            return members
        return kept

    def _is_ejected(self, now: Seconds, member: MemberId) -> bool:
        statistics = self._statistics_by_member.get(member)
        return statistics is not None and now < statistics.ejected_until

    def _by_distance(self, members: list[MemberId]) -> list[list[MemberId]]:
        """Return three rings: the local region, preferred regions, other regions."""
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
        statistics = self._statistics_by_member.get(member)
        return statistics is not None and (
            statistics.in_flight >= FULL_SHARE * service.slots
        )

    def _pick(self, now: Seconds, members: list[MemberId]) -> MemberId:
        load_by_member = {each: self._load(now, each) for each in members}
        return self._policy.choose(members, load_by_member, self._context.rng)

    def _load(self, now: Seconds, member: MemberId) -> float:
        statistics = self._statistics_of(now, member)
        age = now - statistics.joined_at
        share = max(MIN_SLOW_START_SHARE, min(1.0, age / SLOW_START_S))
        return (statistics.in_flight + 1) / share

    def _statistics_of(self, now: Seconds, member: MemberId) -> _MemberStatistics:
        statistics = self._statistics_by_member.get(member)
        if statistics is None:
            statistics = _MemberStatistics(joined_at=now - SLOW_START_S)
            self._statistics_by_member[member] = statistics
        return statistics

    def record_joined(self, now: Seconds, members: tuple[MemberId, ...]) -> None:
        """Give members that have just joined a small share that grows."""
        for member in members:
            self._statistics_by_member[member] = _MemberStatistics(joined_at=now)

    def record_sent(self, now: Seconds, member: MemberId) -> None:
        """Count a request that is sent to `member`."""
        self._statistics_of(now, member).in_flight += 1

    def record_outcome(
        self, now: Seconds, member: MemberId, response: Response | None
    ) -> None:
        """Record that a request sent to `member` has ended.

        Parameters
        ----------
        now : float
            Present time on the local monotonic clock, in seconds.
        member : str
            Member that the request was sent to.
        response : Response, optional
            Answer; one with a status of 500 or more counts as a failure. None for a
            failure without an answer.
        """
        statistics = self._statistics_of(now, member)
        statistics.in_flight = max(0, statistics.in_flight - 1)
        if response is not None and response.status < 500:
            statistics.failures = 0
            statistics.ejections = 0
            return
        statistics.failures += 1
        if statistics.failures >= EJECTION_FAILURES:
            statistics.failures = 0
            statistics.ejections += 1
            pause = backoff_s(EJECTION_S, MAX_EJECTION_S, statistics.ejections)
            statistics.ejected_until = now + pause

    def forget(self, members: tuple[MemberId, ...]) -> None:
        """Remove the statistics of members that have ended."""
        for member in members:
            self._statistics_by_member.pop(member, None)

    def in_flight(self) -> dict[MemberId, int]:
        """Return the number of requests in flight by member, without zeros."""
        return {
            member: statistics.in_flight
            for member, statistics in self._statistics_by_member.items()
            if statistics.in_flight
        }
