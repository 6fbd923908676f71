"""Moves ranges away from the own target while it is busier than the others."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.key_heat import KeyHeat, TargetLoad, choose_piece

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import Claim, KeyTable, Range, Span
    from rhubarbhall.types import Address, Seconds

#: Utilization below which a target keeps its keys however idle the others are: nobody
#: serves a range for about a second while it moves.
BUSY = 0.7
#: Utilization down to which a target that was busier gives keys away.
RELIEVED = 0.4
#: How much busier than the receiver a target is before it gives keys away.
MIN_DIFFERENCE = 0.2
#: Part of the difference that one move takes away.
MOVED_PART = 0.45
#: Utilization from which a single hot key is moved as a whole. Below it, the requests
#: that are refused while the key stays are fewer than those lost while it moves.
OVERLOADED = 1.4
#: Part of the requests from which on a key counts as hot.
HOT_PART = 0.3
#: Utilization of a receiver over the present one that makes such a move worth it.
MUCH_BETTER = 0.75
#: Targets that get keys at one time.
MAX_RECEIVERS = 3
#: Time after a move before the next, so that its effect shows first.
PAUSE_S = 1.0
#: Age at which what another daemon said of its load is of no more use.
MAX_AGE_S = 1.0
#: Spans of one target above which it gets no more; its grants have to fit one answer.
MAX_SPANS = 40
#: Sampled requests below which a sample says nothing.
MIN_SAMPLES = 12


class HeatBalancer:
    """Decides what the own target gives away.

    Parameters
    ----------
    me : str
        The own daemon.
    heat : KeyHeat
        Where its requests fall.
    """

    def __init__(self, me: Address, heat: KeyHeat) -> None:
        self._me = me
        self.heat = heat
        self.slots = 1
        self._load_by_owner: dict[Address, tuple[Seconds, TargetLoad]] = {}
        self._moved_at: Seconds = float("-inf")
        #: What the last moves rested on, for the log.
        self.last_decision: dict[str, object] | None = None

    def note_load(self, now: Seconds, owner: Address, load: TargetLoad) -> None:
        """Take what another daemon says of its target."""
        self._load_by_owner[owner] = (now, load)

    def own_load(self, now: Seconds) -> TargetLoad:
        """Return how busy the own target is."""
        return self.heat.load(now, self.slots)

    def is_busy(self, now: Seconds) -> bool:
        """Tell whether the loads of the others are worth asking for."""
        return self.own_load(now).utilization > BUSY

    def moves(
        self, now: Seconds, table: KeyTable, claims: list[Claim]
    ) -> list[tuple[Range, Claim]]:
        """Return the ranges to give away, and who gets each."""
        own = self.own_load(now)
        if own.utilization < BUSY or now - self._moved_at < PAUSE_S:
            return []
        if table.leaving(self._me):
            return []
        receivers = self._receivers(now, table, claims)
        keys_by_span = self.heat.keys_in(
            now, [span for span in table.owned_by(self._me) if span.is_settled]
        )
        sampled = sum(len(keys) for _, keys in keys_by_span)
        if sampled < MIN_SAMPLES:
            return []
        given = _hottest_key_moved(own, receivers, keys_by_span)
        if given:
            return given
        left = own.utilization
        for claim, load in receivers[:MAX_RECEIVERS]:
            difference = left - load.utilization
            if difference < MIN_DIFFERENCE or left < RELIEVED:
                break
            rate = MOVED_PART * difference / max(1e-6, (own.cost + load.cost) / 2)
            count = int(sampled * min(0.9, rate * own.cost / own.utilization))
            piece = choose_piece(keys_by_span, count) if count else None
            if piece is None:
                continue
            held, taken = piece
            given.append((taken, claim))
            left -= own.utilization * held / sampled
            keys_by_span = _without(keys_by_span, taken)
        return given

    def note_moved(self, now: Seconds, moves: list[tuple[Range, Claim]]) -> None:
        """Note that keys are given away, and what that rests on."""
        self._moved_at = now
        own = self.own_load(now)
        self.last_decision = {
            "utilization": round(own.utilization, 3),
            "cost": round(own.cost, 5),
            "others": {
                owner: [round(now - at, 2), round(load.utilization, 3)]
                for owner, (at, load) in self._load_by_owner.items()
            },
            "moves": [[*given, claim.owner] for given, claim in moves],
        }

    def _receivers(
        self, now: Seconds, table: KeyTable, claims: list[Claim]
    ) -> list[tuple[Claim, TargetLoad]]:
        """Return those who may get keys, the least busy first."""
        receivers = []
        for claim in claims:
            told = self._load_by_owner.get(claim.owner)
            if claim.owner == self._me or told is None or now - told[0] > MAX_AGE_S:
                continue
            spans = table.owned_by(claim.owner)
            is_getting = any(not span.is_settled for span in spans)
            if not is_getting and len(spans) < MAX_SPANS:
                receivers.append((claim, told[1]))
        return sorted(receivers, key=lambda each: each[1].utilization)


def _hottest_key_moved(
    own: TargetLoad,
    receivers: list[tuple[Claim, TargetLoad]],
    keys_by_span: list[tuple[Span, list[int]]],
) -> list[tuple[Range, Claim]]:
    """Return the move of a key that is most of the work to a faster target.

    A single key cannot be divided, so it belongs to a target that is quick enough.
    """
    counts = Counter(key for _, keys in keys_by_span for key in keys)
    if not counts or own.utilization < OVERLOADED:
        return []
    key, count = counts.most_common(1)[0]
    needed = own.utilization * count / counts.total()
    if count < HOT_PART * counts.total():
        return []
    if not receivers:
        return []

    def utilization_after(receiver: tuple[Claim, TargetLoad]) -> float:
        load = receiver[1]
        return load.utilization + needed * load.cost / own.cost

    best = min(receivers, key=utilization_after)
    if utilization_after(best) >= MUCH_BETTER * own.utilization:
        return []
    return [((key, key), best[0])]


def _without(keys_by_span: list, taken: Range) -> list:
    """Return the spans and their keys without a range that was cut from an end."""
    first, last = taken
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
