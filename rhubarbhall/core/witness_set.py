"""Keeps the member's own set of witnesses whole, one record at a time."""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

from rhubarbhall.core import events
from rhubarbhall.core.peer_messages import HeartbeatAnswer
from rhubarbhall.core.records import Witnesses

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.kernel import Handler
    from rhubarbhall.core.lease import LeaseKeeper
    from rhubarbhall.core.members import Member
    from rhubarbhall.types import MemberId, RecordId, Seconds

WITNESS_COUNT = 3
#: Time between looks at the set.
LOOK_S = 0.2
#: Time for which a witness may refuse renewal before its promise is voided.
REFUSAL_S = 3.0
#: Time without a lease after which a witness that does not answer is replaced.
SILENT_S = 1.0
#: Candidates looked at for one place in a set.
MAX_LOOKED_AT = 256
#: Time between looks at whether the set could be spread wider.
PLACE_LOOK_S = 3.0
#: Losses in one record from which on repairs are spread over time.
MANY_LOST = 8
#: Records that the members which miss one lost witness write, on average.
RECORDS_PER_LOSS = 6
#: Records a second that repairs after a large loss may take of the log.
REPAIRS_PER_S = 100.0
#: Time for which a witness that did not answer is not chosen again.
AVOIDED_S = 30.0


class _Place(enum.Enum):
    """Where a witness stands, as its member sees it."""

    OWN_DOMAIN = enum.auto()
    OWN_REGION = enum.auto()
    ELSEWHERE = enum.auto()


class _Spread(NamedTuple):
    """How widely a set is spread; the larger the better."""

    places: int
    domains: int

    def is_full(self, count: int) -> bool:
        """Tell whether `count` witnesses could not be spread wider."""
        return self.places == self.domains == count


def _place(member: Member, witness: Member) -> _Place:
    if witness.join.domain == member.join.domain:
        return _Place.OWN_DOMAIN
    if witness.join.region == member.join.region:
        return _Place.OWN_REGION
    return _Place.ELSEWHERE


def _spread(member: Member, witnesses: list[Member]) -> _Spread:
    places = {_place(member, each) for each in witnesses}
    return _Spread(len(places), len({each.join.domain for each in witnesses}))


class WitnessSet:
    """Chooses witnesses for this member: own domain, own region, elsewhere.

    A change is one record that adds or removes one witness, and the next
    change waits until that record was read back. Majorities of neighbouring
    sets always meet, so neither kind of change needs to wait for the old
    witnesses. A witness goes when it has ended, or when it does not answer
    and the member cannot hold its lease with the others.
    """

    def __init__(self, context: Context, lease: LeaseKeeper) -> None:
        self._context = context
        self._lease = lease
        self._pending: RecordId | None = None
        self._repair_at: Seconds = float("-inf")
        self._place_at: Seconds = float("-inf")
        self._refused_since: dict[MemberId, Seconds] = {}
        self._avoided_until: dict[MemberId, Seconds] = {}

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""
        return {
            events.Started: self._on_started,
            events.WitnessSetDue: self._on_due,
            events.RecordApplied: self._on_record_applied,
            events.PeerMessageReceived: self._on_peer_message,
            events.Settled: self._on_settled,
        }

    def _on_started(self, now: Seconds, event: Event) -> Iterator[Command]:
        self._context.timers.every(LOOK_S, events.WitnessSetDue(), first=now)
        yield from ()

    def _on_due(self, now: Seconds, event: Event) -> Iterator[Event]:
        yield from self._improve(now)

    def _on_record_applied(
        self, now: Seconds, event: events.RecordApplied
    ) -> Iterator[Event]:
        member = self._context.member
        if member is None:
            return
        closed = event.applied.closed
        if len(closed) >= MANY_LOST:
            # Several members miss each lost one, and all have read this record
            # at once; the log must stay free for the next loss.
            spread = len(closed) * RECORDS_PER_LOSS / REPAIRS_PER_S
            self._repair_at = now + self._context.rng.random() * spread
        if set(closed) & set(member.witnesses):
            yield from self._improve(now)

    def _on_peer_message(
        self, now: Seconds, event: events.PeerMessageReceived
    ) -> Iterator[Event]:
        if isinstance(event.message, HeartbeatAnswer):
            if event.message.renewed:
                self._refused_since.pop(event.sender, None)
            else:
                self._refused_since.setdefault(event.sender, now)
        yield from ()

    def _on_settled(self, now: Seconds, event: events.Settled) -> Iterator[Event]:
        if event.record_id == self._pending:
            self._pending = None
            self._refused_since.clear()
            yield from self._improve(now)

    def _improve(self, now: Seconds) -> Iterator[Event]:
        member = self._context.member
        if member is None or self._pending is not None:
            return
        if now < self._repair_at and self._lease.is_held(now):
            return
        wanted = self._next_set(now, member)
        if wanted is not None:
            self._pending = self._context.new_record_id()
            record = Witnesses(member.id, wanted, member.witness_version)
            yield events.Submit(self._pending, record)

    def _next_set(self, now: Seconds, member: Member) -> tuple[MemberId, ...] | None:
        """Return the set one step closer to a whole one, or none."""
        unfit = self._unfit(now, member)
        if unfit is not None:
            return tuple(each for each in member.witnesses if each != unfit)
        if len(member.witnesses) < WITNESS_COUNT:
            candidate = self._candidate(now, member, member.witnesses)
            if candidate is not None and self._would_be_odd(now, member):
                return (*member.witnesses, candidate)
        if len(member.witnesses) == 2 and not self._would_be_odd(now, member):
            # Two witnesses must both answer and both be there to promise, so
            # they are worse than one in every way.
            return member.witnesses[:1]
        if len(member.witnesses) == WITNESS_COUNT:
            misplaced = self._misplaced(now, member)
            if misplaced is not None:
                return tuple(each for each in member.witnesses if each != misplaced)
        if self._is_refused_for_long(now, member):
            # The same set under a new version voids a promise that was given
            # against a member that came back.
            return member.witnesses
        return None

    def _would_be_odd(self, now: Seconds, member: Member) -> bool:
        """Tell whether there are enough candidates for one or three witnesses."""
        if not member.witnesses:
            return True
        missing = WITNESS_COUNT - len(member.witnesses)
        return len(list(islice(self._candidates(now, member), missing))) == missing

    def _unfit(self, now: Seconds, member: Member) -> MemberId | None:
        """Return a witness that must go, or none."""
        directory = self._context.directory
        for witness in member.witnesses:
            if not directory.is_live(witness):
                return witness
        if self._lease.lapsed_s(now) < SILENT_S:
            return None
        for witness in member.witnesses:
            if not self._lease.answers(now, witness):
                self._avoided_until[witness] = now + AVOIDED_S
                return witness
        return None

    def _is_refused_for_long(self, now: Seconds, member: Member) -> bool:
        return any(
            now - self._refused_since.get(witness, now) > REFUSAL_S
            for witness in member.witnesses
        )

    def _candidate(
        self, now: Seconds, member: Member, kept: tuple[MemberId, ...]
    ) -> MemberId | None:
        """Return the member that goes best with the witnesses that are kept."""
        members = self._context.directory.member_by_id
        best, best_spread = None, None
        for each in islice(self._candidates(now, member), MAX_LOOKED_AT):
            spread = _spread(member, [members[one] for one in (*kept, each)])
            if best_spread is None or spread > best_spread:
                best, best_spread = each, spread
            if spread.is_full(len(kept) + 1):
                break
        return best

    def _misplaced(self, now: Seconds, member: Member) -> MemberId | None:
        """Return a witness in whose place another would spread the set wider."""
        if now < self._place_at:
            return None
        self._place_at = now + PLACE_LOOK_S
        members = self._context.directory.member_by_id
        present = _spread(member, [members[each] for each in member.witnesses])
        if present.is_full(WITNESS_COUNT):
            return None
        for witness in reversed(member.witnesses):
            kept = tuple(each for each in member.witnesses if each != witness)
            candidate = self._candidate(now, member, kept)
            if candidate is None:
                return None
            changed = [members[each] for each in (*kept, candidate)]
            if _spread(member, changed) > present:
                return witness
        return None

    def _candidates(self, now: Seconds, member: Member) -> Iterator[MemberId]:
        """Yield the members that could become witnesses, in order of rank."""
        directory = self._context.directory
        avoided = {each for each, until in self._avoided_until.items() if now < until}
        taken = {member.id, *member.witnesses, *avoided}
        for each in directory.everyone.ranked(member.id):
            if each not in taken and not directory.member_by_id[each].retiring:
                yield each
