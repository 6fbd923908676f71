"""Moves key ranges away from the local target while it is busier than the others."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.key_load import KeyLoadSampler, TargetLoad, choose_piece

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import Claim, KeyTable, Range, Span
    from rhubarbhall.types import Address, Seconds

#: Utilization below which a target keeps its keys however idle the others are: no
#: target serves a range for about a second while it moves.
BUSY_UTILIZATION = 0.7
#: Utilization down to which a target that was busier moves keys away.
RELIEVED_UTILIZATION = 0.4
#: Least difference to the utilization of a receiver for which keys are moved to it.
MIN_UTILIZATION_GAP = 0.2
#: Share of that difference that one move removes.
MOVED_SHARE = 0.45
#: Utilization from which a single hot key is moved as a whole. Below it, fewer requests
#: are refused while the key stays than are lost while it moves.
OVERLOADED_UTILIZATION = 1.4
#: Share of the sampled requests from which a single key counts as hot.
HOT_KEY_SHARE = 0.3
#: A hot key is moved only if the utilization of the receiver after the move is below
#: this part of the present utilization of the local target.
MAX_RECEIVER_RATIO = 0.75
#: Largest number of targets that get keys in one decision. An overload of many times
#: the slots of one target has to be divided at once, as each decision costs a pause.
MAX_RECEIVERS = 8
#: Least time between two decisions to move keys, so that the effect of the first shows
#: before the second.
MOVE_INTERVAL_S = 1.0
#: Age from which the load that another daemon reported is no longer used.
MAX_LOAD_AGE_S = 1.0
#: Number of spans from which a target gets no more; its grants have to fit into one
#: answer to a heartbeat.
MAX_RECEIVER_SPANS = 40
#: Lower bound of the cost of a request, in utilization for each request per second, so
#: that no capacity is infinite.
MIN_COST = 1e-6
#: Least number of sampled requests that a decision may rest on.
MIN_SAMPLES = 12


class RangeLoadBalancer:
    """Chooses the key ranges that the local target moves to less busy targets.

    Parameters
    ----------
    local_address : str
        Address of the local daemon.
    sampler : KeyLoadSampler
        Samples the keys of the requests to the local target.
    """

    def __init__(self, local_address: Address, sampler: KeyLoadSampler) -> None:
        self._local_address = local_address
        self.sampler = sampler
        self.slots = 1
        #: Requests per second that the local target takes; None without a limit.
        self.rate_limit: float | None = None
        self._load_by_owner: dict[Address, tuple[Seconds, TargetLoad]] = {}
        self._moved_at: Seconds = float("-inf")
        #: The last moves and the loads that they were based on, for the log.
        self.last_decision: dict[str, object] | None = None

    def record_load(self, now: Seconds, owner: Address, load: TargetLoad) -> None:
        """Record the load that another daemon reports of its target."""
        self._load_by_owner[owner] = (now, load)

    def local_load(self, now: Seconds) -> TargetLoad:
        """Return the load of the local target."""
        return self.sampler.load(now, self.slots, self.rate_limit)

    def is_busy(self, now: Seconds) -> bool:
        """Return whether the local target is so busy that the peers' loads matter."""
        return self.local_load(now).utilization > BUSY_UTILIZATION

    def moves(
        self, now: Seconds, table: KeyTable, claims: list[Claim]
    ) -> list[tuple[Range, Claim]]:
        """Return the ranges to move away, each with the claim of its receiver.

        Parameters
        ----------
        claims : list of Claim
            Targets that may get keys.
        """
        local = self.local_load(now)
        if (
            local.utilization < BUSY_UTILIZATION
            or now - self._moved_at < MOVE_INTERVAL_S
        ):
            return []
        if table.unreleased_by(self._local_address):
            return []
        receivers = self._receivers(now, table, claims)
        keys_by_span = self.sampler.keys_in(
            now,
            [span for span in table.owned_by(self._local_address) if span.is_free],
        )
        sampled = sum(len(keys) for _, keys in keys_by_span)
        if sampled < MIN_SAMPLES:
            return []
        moves = _move_of_hottest_key(local, receivers, keys_by_span)
        if moves:
            return moves
        utilization_left = local.utilization
        receivers = receivers[:MAX_RECEIVERS]
        fair = _fair_utilization(local, receivers)
        for claim, load in receivers:
            difference = utilization_left - load.utilization
            if (
                difference < MIN_UTILIZATION_GAP
                or utilization_left < RELIEVED_UTILIZATION
            ):
                break
            rate = min(
                2 * MOVED_SHARE * difference / max(MIN_COST, local.cost + load.cost),
                (fair - load.utilization) / max(MIN_COST, load.cost),
            )
            if rate <= 0:
                break
            count = int(sampled * min(0.9, rate * local.cost / local.utilization))
            piece = choose_piece(keys_by_span, count) if count else None
            if piece is None:
                continue
            requests, moved_range = piece
            moves.append((moved_range, claim))
            utilization_left -= local.utilization * requests / sampled
            keys_by_span = _without_range(keys_by_span, moved_range)
        return moves

    def record_moves(self, now: Seconds, moves: list[tuple[Range, Claim]]) -> None:
        """Record that ranges are moved away, and the loads that this is based on."""
        self._moved_at = now
        local = self.local_load(now)
        self.last_decision = {
            "utilization": round(local.utilization, 3),
            "cost": round(local.cost, 5),
            "others": {
                owner: [round(now - at, 2), round(load.utilization, 3)]
                for owner, (at, load) in self._load_by_owner.items()
            },
            "moves": [[*moved_range, claim.owner] for moved_range, claim in moves],
        }

    def _receivers(
        self, now: Seconds, table: KeyTable, claims: list[Claim]
    ) -> list[tuple[Claim, TargetLoad]]:
        """Return the targets that may get keys with their loads, least busy first."""
        receivers = []
        for claim in claims:
            reported = self._load_by_owner.get(claim.owner)
            if (
                claim.owner == self._local_address
                or reported is None
                or now - reported[0] > MAX_LOAD_AGE_S
            ):
                continue
            spans = table.owned_by(claim.owner)
            awaits_keys = any(not span.is_free for span in spans)
            if not awaits_keys and len(spans) < MAX_RECEIVER_SPANS:
                receivers.append((claim, reported[1]))
        return sorted(receivers, key=lambda each: each[1].utilization)


def _fair_utilization(
    local: TargetLoad, receivers: list[tuple[Claim, TargetLoad]]
) -> float:
    """Return the utilization of each target if all of them were equally busy.

    No target gets more than that, so that none has to pass keys on at once. Targets
    that can serve more requests per second count for more.
    """
    loads = [local, *(load for _, load in receivers)]
    capacities = [1 / max(MIN_COST, load.cost) for load in loads]
    demand = sum(
        load.utilization * capacity
        for load, capacity in zip(loads, capacities, strict=True)
    )
    return demand / sum(capacities)


def _move_of_hottest_key(
    local: TargetLoad,
    receivers: list[tuple[Claim, TargetLoad]],
    keys_by_span: list[tuple[Span, list[int]]],
) -> list[tuple[Range, Claim]]:
    """Return the move of a key with a large share of the work to a faster target.

    A single key cannot be divided, so it needs a target that is fast enough for it. The
    list is empty if there is no such key or no target that is clearly better.
    """
    counts = Counter(key for _, keys in keys_by_span for key in keys)
    if not counts or local.utilization < OVERLOADED_UTILIZATION:
        return []
    key, count = counts.most_common(1)[0]
    needed = local.utilization * count / counts.total()
    if count < HOT_KEY_SHARE * counts.total():
        return []
    if not receivers:
        return []

    def utilization_after(receiver: tuple[Claim, TargetLoad]) -> float:
        load = receiver[1]
        return load.utilization + needed * load.cost / local.cost

    best = min(receivers, key=utilization_after)
    if utilization_after(best) >= MAX_RECEIVER_RATIO * local.utilization:
        return []
    return [((key, key), best[0])]


def _without_range(keys_by_span: list, moved_range: Range) -> list:
    """Return the spans and their keys without a range at the end of one of them."""
    first, last = moved_range
    rest = []
    for span, keys in keys_by_span:
        if not span.overlaps(first, last):
            rest.append((span, keys))
        elif first > span.first:
            kept = span.cut(span.first, first - 1)
            rest.append((kept, [key for key in keys if key < first]))
        elif last < span.last:
            kept = span.cut(last + 1, span.last)
            rest.append((kept, [key for key in keys if key > last]))
    return rest
