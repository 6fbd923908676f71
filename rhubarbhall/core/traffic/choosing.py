"""Chooses the target for a request of a service that is not divided by key."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.records import TargetState
from rhubarbhall.core.traffic.requests import Load

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.directory import Directory
    from rhubarbhall.core.ownership.liveness import Liveness
    from rhubarbhall.core.ownership.records import Member
    from rhubarbhall.types import Address, Seconds

#: What a hop is taken to cost, there and back.
DOMAIN_HOP_S = 0.003
REGION_HOP_S = 0.075
#: Part of a hop's usual time that it takes at least.
HOP_PART = 0.8
#: Part of a route's mean duration that nearly all of its requests take.
LEAST_PART = 0.4
#: Part of the time in which an answer is worth most that a target of the own region may
#: be expected to take; the rest is for what the estimate misses.
IN_TIME_PART = 0.6
#: Weight of a new sample in a target's mean duration.
SMOOTHING = 0.1
#: Weight of a new sample in the share of refusals.
REFUSAL_SMOOTHING = 0.1
#: What being refused is taken to cost: another way and another wait.
REFUSAL_S = 0.3
#: Duration taken for a target of which nothing is known.
USUAL_S = 0.05
#: Time for which a target is passed over after it failed, at first and at most.
FIRST_PENALTY_S = 0.3
MAX_PENALTY_S = 3.0
#: Share of the slots above which a target becomes slower.
BUSY_SHARE = 0.7


@dataclass(slots=True)
class TargetView:
    """What this daemon knows of one target.

    Parameters
    ----------
    outstanding : int
        Own requests without an outcome.
    load : Load
        What its gate said last.
    relative : float
        Its durations over those of the service's routes, smoothed.
    refusals : float
        Share of requests that it did not take or failed, smoothed.
    failures : int
        Failures in a row.
    passed_over_until : float
        When it may be chosen again.
    """

    outstanding: int = 0
    load: Load = field(default_factory=Load)
    relative: float = 1.0
    refusals: float = 0.0
    failures: int = 0
    passed_over_until: Seconds = float("-inf")

    def note_failure(self, now: Seconds) -> None:
        """Pass the target over for a time that grows with its failures."""
        self.failures += 1
        pause_s = min(MAX_PENALTY_S, FIRST_PENALTY_S * 2 ** (self.failures - 1))
        self.passed_over_until = now + pause_s

    def note_taken(self, taken: bool) -> None:
        """Learn whether the target took a request and served it."""
        self.refusals += REFUSAL_SMOOTHING * ((not taken) - self.refusals)

    def note_success(self) -> None:
        """Trust the target again."""
        self.note_taken(True)
        self.failures = 0
        self.passed_over_until = float("-inf")


class TargetChooser:
    """Ranks the targets of a service by when they would answer.

    Parameters
    ----------
    me : str
        The own daemon.
    domain, region : str
        Where it is.
    directory : Directory
        Who there is.
    liveness : Liveness
        Who is heard.
    """

    def __init__(
        self,
        me: Address,
        domain: str,
        region: str,
        directory: Directory,
        liveness: Liveness,
    ) -> None:
        self._me = me
        self._domain = domain
        self._region = region
        self._directory = directory
        self._liveness = liveness
        self.view_by_address: dict[Address, TargetView] = {}
        self._mean_by_route: dict[str, Seconds] = {}

    def view(self, address: Address) -> TargetView:
        """Return what is known of a target."""
        return self.view_by_address.setdefault(address, TargetView())

    def note_duration(self, address: Address, route: str, took_s: Seconds) -> None:
        """Learn from how long an answer took, the way there and back included."""
        member = self._directory.member_by_address.get(address)
        work_s = took_s - self._hop_s(address, member) if member else took_s
        mean = self._mean_by_route.get(route, work_s)
        self._mean_by_route[route] = mean + SMOOTHING * (work_s - mean)
        view = self.view(address)
        relative = min(10.0, max(0.1, work_s / max(mean, 1e-3)))
        view.relative += SMOOTHING * (relative - view.relative)

    def _hop_s(self, address: Address, member: Member) -> Seconds:
        if address == self._me:
            return 0.0
        return DOMAIN_HOP_S if member.region == self._region else REGION_HOP_S

    def least_s(self, address: Address, route: str) -> Seconds:
        """Return the time below which no answer of a target is to be expected."""
        member = self._directory.member_by_address.get(address)
        hop_s = self._hop_s(address, member) if member else 0.0
        work_s = self._mean_by_route.get(route, 0.0) * self.view(address).relative
        return HOP_PART * hop_s + LEAST_PART * work_s

    def choose(
        self,
        now: Seconds,
        service: str,
        route: str,
        tried: Collection[Address],
        in_time_s: Seconds,
    ) -> Address | None:
        """Return the target to take, or none.

        The links between regions are slow and metered. So a target of the own region
        is taken if it would answer in time, and else whichever would answer first. A
        target that was passed over is still taken when there is no other.

        Parameters
        ----------
        in_time_s : float
            Time within which an answer is worth most.
        """
        ranked = sorted(
            (*self._cost(now, address, member, route), address, member)
            for address, member in self._directory.members_of(service)
            if address not in tried and self._is_usable(now, address, member)
        )
        for passed_over, cost_s, address, member in ranked:
            in_time = cost_s <= IN_TIME_PART * in_time_s
            if member.region == self._region and in_time and not passed_over:
                return address
        return ranked[0][2] if ranked else None

    def _is_usable(self, now: Seconds, address: Address, member: Member) -> bool:
        if member.state is not TargetState.READY:
            return False
        near = member.region == self._region
        return address == self._me or not self._liveness.is_silent(now, address, near)

    def _cost(
        self, now: Seconds, address: Address, member: Member, route: str
    ) -> tuple[bool, Seconds]:
        view = self.view(address)
        work_s = self._mean_by_route.get(route, USUAL_S) * view.relative
        slots = max(1, member.slots)
        busy = max(view.outstanding, view.load.running + view.load.waiting) + 1
        queue_s = work_s * max(0.0, busy / slots - BUSY_SHARE)
        spread_s = 0.2 * work_s * busy / slots
        refusal_s = REFUSAL_S * view.refusals
        hop_s = self._hop_s(address, member)
        cost_s = hop_s + work_s + queue_s + spread_s + refusal_s
        return now < view.passed_over_until, cost_s
