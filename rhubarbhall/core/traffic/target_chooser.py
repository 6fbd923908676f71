"""Choice of the target for a request of a service that is not divided by key.

Targets are ranked by the estimated time until their answer. The estimate covers the
network hop, the mean duration of the route, the wait in the target's queue and the cost
of requests that the target does not serve.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Protocol

from rhubarbhall.core.digest import digest
from rhubarbhall.core.ownership.records import TargetState
from rhubarbhall.core.retry import backoff_s
from rhubarbhall.core.traffic.far_targets import FarTargets, weight_of
from rhubarbhall.core.traffic.requests import Load
from rhubarbhall.core.traffic.slowdown import aged, weight as report_weight

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.directory import KeyDirectory
    from rhubarbhall.core.ownership.liveness import Liveness
    from rhubarbhall.core.ownership.records import Member
    from rhubarbhall.core.traffic.eligibility import Eligibility
    from rhubarbhall.core.traffic.routes import ServiceRules
    from rhubarbhall.types import Address, Fingerprint, Seconds

#: Assumed round-trip times of a hop to another VM of the local region and to another
#: region.
SAME_REGION_HOP_S = 0.003
CROSS_REGION_HOP_S = 0.075
#: Share of a hop's assumed round-trip time that every hop takes.
MIN_HOP_SHARE = 0.8
#: Share of a route's mean duration that nearly all of its requests take.
MIN_DURATION_SHARE = 0.4
#: Share of the time left for the target latency that the estimate for a target of the
#: local region may use; the rest covers errors of the estimate.
LATENCY_BUDGET_SHARE = 0.6
#: Weight of a new sample in the mean duration of a route and of a target.
DURATION_SMOOTHING = 0.1
#: Weight of a new sample in the share of requests that a target did not serve.
REFUSAL_SMOOTHING = 0.1
#: Assumed cost of a refusal: another hop and another wait.
REFUSAL_COST_S = 0.3
#: Assumed duration of a route of which no duration is known.
DEFAULT_DURATION_S = 0.05
#: Time for which a target is avoided after one failure, and at most.
FIRST_BACKOFF_S = 0.3
MAX_BACKOFF_S = 3.0
#: Minimum and maximum time for which a cold target that refused a request is left to
#: other daemons; the time doubles with each such refusal and halves with each answer.
MIN_COLD_PAUSE_S = 0.05
MAX_COLD_PAUSE_S = 2.0
#: Minimum time for which it counts that a target was known to be cold, in seconds, if
#: its service states a shorter warm-up.
MIN_WARMUP_S = 0.5
#: Maximum number of targets of the local region, and of all others, that are compared
#: for one request.
MAX_RANKED = 12
#: Share of occupied slots above which requests are assumed to queue.
QUEUEING_UTILIZATION = 0.7
#: Bytes of the digest by which a target is chosen for a request.
HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class _Candidates:
    """Targets of one service that accept work, at one version of the directory."""

    version: int
    local_region: list[tuple[Address, Member]]
    other_regions: list[tuple[Address, Member]]


@dataclass(slots=True)
class TargetView:
    """State of one target as the local daemon knows it.

    Parameters
    ----------
    outstanding : int
        Number of requests that this daemon has sent to the target and that have no
        outcome.
    load : Load
        Load that the target's admission queue reported last.
    relative_duration : float
        Durations of the target divided by the mean durations of the routes, smoothed.
    unserved_share : float
        Share of the requests that the target refused or failed, smoothed.
    consecutive_failures : int
        Number of failures since the last success.
    avoided_until : float
        Time until which other targets are preferred, local clock, in seconds.
    reported_at : float
        Time of that report, local clock, in seconds.
    run : str
        Run of the target that `load` belongs to; empty until a record of it was seen.
    new_run : str
        Run that was seen last and has not reported its load.
    new_run_at : float
        Time when it was first seen, local clock, in seconds.
    cold_pause_s : float
        Present time without requests after the refusal of a cold target, in seconds.
    cold_until : float
        Time until which a cold target is left to other daemons, local clock, in
        seconds.
    """

    outstanding: int = 0
    load: Load = field(default_factory=Load)
    relative_duration: float = 1.0
    unserved_share: float = 0.0
    consecutive_failures: int = 0
    avoided_until: Seconds = float("-inf")
    reported_at: Seconds = float("-inf")
    run: str = ""
    new_run: str = ""
    new_run_at: Seconds = float("-inf")
    cold_pause_s: Seconds = 0.0
    cold_until: Seconds = float("-inf")

    def record_failure(self, now: Seconds) -> None:
        """Avoid the target for a time that doubles with each failure in a row."""
        self.consecutive_failures += 1
        pause_s = backoff_s(FIRST_BACKOFF_S, MAX_BACKOFF_S, self.consecutive_failures)
        self.avoided_until = now + pause_s

    def record_served(self, served: bool) -> None:
        """Record whether the target accepted a request and served it."""
        self.unserved_share += REFUSAL_SMOOTHING * ((not served) - self.unserved_share)

    def record_success(self) -> None:
        """Record a request that was served, and stop avoiding the target."""
        self.record_served(True)
        self.consecutive_failures = 0
        self.avoided_until = float("-inf")
        self.cold_pause_s /= 2

    def record_cold_refusal(self, now: Seconds, spread: float) -> None:
        """Leave a cold target to other daemons for a while.

        The daemons that send to it don't know of each other. As each of them waits for
        longer after a refusal and for less after an answer, they share the target's
        pace.

        Parameters
        ----------
        now : float
            Present time, local clock, in seconds.
        spread : float
            Random factor on the pause, so that daemons don't return at the same time.
        """
        pause_s = max(MIN_COLD_PAUSE_S, 1 / (self.load.rate or 1.0))
        self.cold_pause_s = min(MAX_COLD_PAUSE_S, max(pause_s, 2 * self.cold_pause_s))
        self.cold_until = now + spread * self.cold_pause_s


class LocalTarget(Protocol):
    """Port for what this process knows of the target beside it.

    The directory may still hold a record of the local address that an earlier process
    has written, for a target of another service.
    """

    @property
    def service(self) -> str:
        """Service of the local target."""

    def candidate(self, now: Seconds) -> Member | None:
        """Return the member record of the target; `None` if it does not accept work."""


def _group(member: Member) -> str:
    """Return the name of the targets of a member's service in its region."""
    return f"{member.service}/{member.region}"


class TargetChooser:
    """Ranks the targets of a service by the estimated time until their answer.

    Parameters
    ----------
    local_address : str
        Address of the local daemon.
    region : str
        Region of the local VM.
    directory : KeyDirectory
        Members of all services. What it says of the local address is not used.
    liveness : Liveness
        Time since the last contact with each other daemon.
    local_target : LocalTarget
        The target beside the local daemon.
    """

    def __init__(
        self,
        local_address: Address,
        region: str,
        directory: KeyDirectory,
        liveness: Liveness,
        local_target: LocalTarget,
    ) -> None:
        self._local_address = local_address
        self._region = region
        self._directory = directory
        self._liveness = liveness
        self._local_target = local_target
        self.view_by_address: dict[Address, TargetView] = {}
        #: Services whose targets accept fewer requests while they are cold.
        self.warmup_by_service: dict[str, ServiceRules] = {}
        self.far_targets = FarTargets()
        self._mean_by_route: dict[str, Seconds] = {}
        self._known_candidates: dict[tuple[str, Eligibility], _Candidates] = {}
        self._rng = random.Random(local_address)

    def view(self, address: Address) -> TargetView:
        """Return the state of a target, created if the target was unknown."""
        return self.view_by_address.setdefault(address, TargetView())

    def record_load(self, now: Seconds, address: Address, load: Load) -> None:
        """Record the load that a target's admission queue has reported."""
        view = self.view(address)
        view.load, view.reported_at = load, now
        self.far_targets.record_report(now, address, load)
        member = self._directory.member_by_address.get(address)
        if member is not None:
            view.run = member.run
        if load.rate is None:
            view.cold_pause_s, view.cold_until = 0.0, float("-inf")

    def record_cold_refusal(self, now: Seconds, address: Address) -> None:
        """Record that a target refused a request, as it is cold."""
        self.view(address).record_cold_refusal(now, self._rng.uniform(0.5, 1.5))

    def _rate_wait_s(self, now: Seconds, address: Address, member: Member) -> Seconds:
        """Return the estimated wait until a target's rate allows a request.

        A run that has not reported its load counts as cold, unless it is the first one
        that is seen. The local admission queue always knows. What is known of a cold
        target loses weight with age, until its warm-up must have passed: only a request
        that is sent there tells that it is warm.
        """
        view = self.view(address)
        if not view.run:
            view.run = member.run
        rate, known_at = view.load.rate, view.reported_at
        rules = self.warmup_by_service.get(member.service)
        is_known = member.run == view.run or address == self._local_address
        if rules is not None and not is_known:
            if view.new_run != member.run:
                view.new_run, view.new_run_at = member.run, now
            rate, known_at = rules.warmup_per_s, view.new_run_at
        if rate is None:
            return 0.0
        wait_s = (max(view.outstanding, view.load.waiting) + 1) / rate
        if rules is None:
            return wait_s
        age = (now - known_at) / max(MIN_WARMUP_S, rules.warmup_s)
        return wait_s * max(0.0, 1 - age)

    def _is_far_report_outdated(
        self, now: Seconds, address: Address, member: Member
    ) -> bool:
        """Return whether the last report of a target in another region is too old.

        Only replies to requests bring a new one.
        """
        is_far = member.region != self._region and address != self._local_address
        return is_far and self.far_targets.is_outdated(now, address)

    def _occupied(
        self, now: Seconds, view: TargetView, member: Member, is_outdated: bool
    ) -> float:
        """Return the estimated number of requests at a target with one more.

        Where targets may be cold or report how fast they are, reports lose weight with
        age. A target that was busy when it was last used is then tried again.
        """
        reported = 0 if is_outdated else view.load.running + view.load.waiting
        loses_weight = view.load.slowdown is not None
        if loses_weight or member.service in self.warmup_by_service:
            reported *= report_weight(now - view.reported_at)
        return max(view.outstanding, reported) + 1

    def record_duration(self, address: Address, route: str, took_s: Seconds) -> None:
        """Record how long an answer took.

        Parameters
        ----------
        address : str
            Address of the daemon whose target answered.
        route : str
            Name of the route.
        took_s : float
            Time from sending the request to its answer, both hops included, in seconds.
        """
        member = self._directory.member_by_address.get(address)
        work_s = took_s - self._hop_s(address, member) if member else took_s
        view = self.view(address)
        # The report came with the answer; means are those at the usual speed.
        work_s /= view.load.slowdown or 1.0
        mean = self._mean_by_route.get(route, work_s)
        self._mean_by_route[route] = mean + DURATION_SMOOTHING * (work_s - mean)
        relative_duration = min(10.0, max(0.1, work_s / max(mean, 1e-3)))
        view.relative_duration += DURATION_SMOOTHING * (
            relative_duration - view.relative_duration
        )

    def _hop_s(self, address: Address, member: Member) -> Seconds:
        if address == self._local_address:
            return 0.0
        return (
            SAME_REGION_HOP_S if member.region == self._region else CROSS_REGION_HOP_S
        )

    def min_answer_time_s(self, now: Seconds, address: Address, route: str) -> Seconds:
        """Return the minimum time in which a target can be expected to answer.

        The estimate is in seconds and includes both hops.
        """
        member = self._directory.member_by_address.get(address)
        hop_s = self._hop_s(address, member) if member else 0.0
        view = self.view(address)
        work_s = self._mean_by_route.get(route, 0.0) * view.relative_duration
        if view.load.slowdown is not None:
            work_s *= aged(view.load.slowdown, now - view.reported_at)
        return MIN_HOP_SHARE * hop_s + MIN_DURATION_SHARE * work_s

    def choose(
        self,
        now: Seconds,
        service: str,
        route: str,
        tried: Collection[Address],
        latency_budget_s: Seconds,
        eligibility: Eligibility,
        body_bytes: int = 0,
    ) -> Address | None:
        """Return the address of the daemon whose target gets the request.

        Links between regions are slow and metered. Therefore a target in the local
        region is chosen if it is estimated to meet the target latency, and otherwise
        the target that is estimated to answer first. While targets of the local region
        respond, far ones are used within the bounds of `FarTargets`. A target that is
        avoided after a failure is still chosen if there is no other.

        Parameters
        ----------
        now : float
            Present time, local clock, in seconds.
        service, route : str
            Names of the service and the route.
        tried : collection of str
            Addresses of daemons that must not be chosen.
        latency_budget_s : float
            Time left in which the answer meets the target latency, in seconds.
        eligibility : Eligibility
            Where the request may run. No other target is chosen, whatever the load.
        body_bytes : int
            Size of the request's body.

        Returns
        -------
        str or None
            The address; None if no target can be used.
        """
        candidates = self._candidates(now, service, eligibility)
        near = self._ranked(now, candidates.local_region, route, tried)
        for avoided, cost_s, address in near:
            if cost_s <= LATENCY_BUDGET_SHARE * latency_budget_s and not avoided:
                return address
        far_candidates = candidates.other_regions
        if self._is_served_locally(now, candidates):
            weight = weight_of(body_bytes)
            far_candidates = [
                (address, member)
                for address, member in far_candidates
                if self.far_targets.may_send(now, _group(member), address, weight)
            ]
        far = self._ranked(now, far_candidates, route, tried)
        return min((*near, *far))[2] if near or far else None

    def has_target(self, now: Seconds, service: str, eligibility: Eligibility) -> bool:
        """Return whether any eligible target of a service accepts work."""
        candidates = self._candidates(now, service, eligibility)
        return bool(candidates.local_region or candidates.other_regions)

    def _is_served_locally(self, now: Seconds, candidates: _Candidates) -> bool:
        """Return whether any target of the local region responds, tried or not."""
        return any(
            self._is_responsive(now, address, member)
            for address, member in candidates.local_region
        )

    def record_sent(
        self,
        now: Seconds,
        address: Address,
        ticket: int,
        body_bytes: int,
        by_key: bool = False,
    ) -> None:
        """Record that a request has been sent to a target.

        Parameters
        ----------
        by_key : bool
            Whether it had to go to the owner of its key. What such owners refuse says
            nothing about where other requests go.
        """
        self.view(address).outstanding += 1
        member = self._directory.member_by_address.get(address)
        if by_key or address == self._local_address or member is None:
            return
        if member.region != self._region:
            weight = weight_of(body_bytes)
            self.far_targets.record_sent(now, _group(member), address, ticket, weight)

    def choose_by_hash(
        self,
        now: Seconds,
        service: str,
        fingerprint: Fingerprint,
        tried: Collection[Address],
        eligibility: Eligibility,
    ) -> Address | None:
        """Return the target that all daemons choose for a request, whatever its load.

        The choice is a rendezvous hash of the request over the eligible targets that
        accept work; those that are avoided after a failure come last.

        Returns
        -------
        str or None
            Address of its daemon; None if no target can be used.
        """
        candidates = self._candidates(now, service, eligibility)
        usable = [
            address
            for address, member in (*candidates.local_region, *candidates.other_regions)
            if address not in tried and self._is_responsive(now, address, member)
        ]
        return min(
            usable,
            key=lambda address: (
                now < self.view(address).avoided_until,
                digest([fingerprint, address.encode()], HASH_BYTES),
            ),
            default=None,
        )

    def _candidates(
        self, now: Seconds, service: str, eligibility: Eligibility
    ) -> _Candidates:
        """Return the eligible targets of a service that accept work."""
        others = self._other_candidates(service, eligibility)
        if service != self._local_target.service:
            return others
        local = self._local_target.candidate(now)
        if local is None or not eligibility.allows(local):
            return others
        local_region = [(self._local_address, local), *others.local_region]
        return replace(others, local_region=local_region)

    def _other_candidates(self, service: str, eligibility: Eligibility) -> _Candidates:
        """Return the targets of other daemons that accept work, by their records."""
        known = self._known_candidates.get((service, eligibility))
        if known is not None:
            if known.version == self._directory.state_version:
                return known
            # Those of rules that are not in force any more go as well.
            self._known_candidates.clear()
        candidates = _Candidates(self._directory.state_version, [], [])
        for address, member in self._directory.members_of(service):
            is_local = address == self._local_address
            is_ready = member.state is TargetState.READY
            if is_local or not is_ready or self._directory.is_lost(address):
                continue
            if not eligibility.allows(member):
                continue
            if member.region == self._region:
                candidates.local_region.append((address, member))
            else:
                candidates.other_regions.append((address, member))
        self._known_candidates[service, eligibility] = candidates
        return candidates

    def _ranked(
        self,
        now: Seconds,
        candidates: list[tuple[Address, Member]],
        route: str,
        tried: Collection[Address],
    ) -> list[tuple[bool, Seconds, Address]]:
        """Return usable candidates, of many a random sample, the best first."""
        if len(candidates) > MAX_RANKED:
            candidates = self._rng.sample(candidates, MAX_RANKED)
        return sorted(
            (*self._cost(now, address, member, route), address)
            for address, member in candidates
            if address not in tried and self._is_responsive(now, address, member)
        )

    def _is_responsive(self, now: Seconds, address: Address, member: Member) -> bool:
        in_local_region = member.region == self._region
        return address == self._local_address or not self._liveness.is_unresponsive(
            now, address, in_local_region
        )

    def _cost(
        self, now: Seconds, address: Address, member: Member, route: str
    ) -> tuple[bool, Seconds]:
        view = self.view(address)
        work_s = (
            self._mean_by_route.get(route, DEFAULT_DURATION_S) * view.relative_duration
        )
        if view.load.slowdown is not None:
            work_s *= aged(view.load.slowdown, now - view.reported_at)
        slots = max(1, member.slots)
        is_outdated = self._is_far_report_outdated(now, address, member)
        occupied = self._occupied(now, view, member, is_outdated)
        queue_s = work_s * max(0.0, occupied / slots - QUEUEING_UTILIZATION)
        if not is_outdated:
            queue_s = max(queue_s, self._rate_wait_s(now, address, member))
        # Prefers the less occupied target while none has a queue.
        spread_s = 0.2 * work_s * occupied / slots
        refusal_s = REFUSAL_COST_S * view.unserved_share
        hop_s = self._hop_s(address, member)
        cost_s = hop_s + work_s + queue_s + spread_s + refusal_s
        return now < max(view.avoided_until, view.cold_until), cost_s
