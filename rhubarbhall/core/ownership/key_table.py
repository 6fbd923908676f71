"""The table of key ranges of one service, with the present and previous owners.

A table is immutable. Every change returns a new one, and a new owner of a range always
gets a fence above all fences that the table has given out before.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Container, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from rhubarbhall.types import Address, StoreEpoch

#: Number of keys of a service; keys run from 0 to ``KEY_COUNT - 1``.
KEY_COUNT = 65536

#: Bits of a fence below the epoch of the store in which it was given out.
FENCE_BITS = 32

#: First and last key of a range, both included.
Range: TypeAlias = "tuple[int, int]"


@dataclass(frozen=True, slots=True)
class Span:
    """A range of keys with one owner.

    Parameters
    ----------
    first, last : int
        First and last key of the range, both included.
    owner : str
        Daemon whose target holds the range or will hold it.
    run : str
        Run of the owner's target that the fence belongs to.
    fence : int
        Fencing token of the grant.
    previous : str
        Daemon whose target may still hold the range; empty once the target has
        released it. While it is set, the owner must not be granted the range.
    previous_lost : bool
        Whether `previous` is lost, so that the end of its lease frees the range.
    token : str
        Handover token that the previous target gave when it released the range.
    """

    first: int
    last: int
    owner: Address
    run: str
    fence: int
    previous: Address = ""
    previous_lost: bool = False
    token: str = ""

    @property
    def size(self) -> int:
        """Number of keys in the range."""
        return self.last - self.first + 1

    @property
    def is_free(self) -> bool:
        """Whether the owner may be granted the range, as no other target holds it."""
        return not self.previous

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether the span and a range have a key in common."""
        return self.first <= last and first <= self.last

    def cut(self, first: int, last: int) -> Span:
        """Return the part of the span that lies in a range."""
        return replace(self, first=max(first, self.first), last=min(last, self.last))


@dataclass(frozen=True, slots=True)
class Claim:
    """A target that may own keys.

    Parameters
    ----------
    owner : str
        Address of the daemon beside it.
    run : str
        The present run of the target.
    """

    owner: Address
    run: str


@dataclass(frozen=True, slots=True)
class OwnerWitnesses:
    """The witnesses of one owner.

    Parameters
    ----------
    owner : str
        Address of the owner.
    version : int
        Grows with each change of the owner's witnesses.
    witnesses : tuple of str
        Addresses of the daemons that renew the owner's lease.
    """

    owner: Address
    version: int
    witnesses: tuple[Address, ...]


def _equal_except_range(left: Span, right: Span) -> bool:
    return replace(left, first=right.first, last=right.last) == right


def _merged(spans: Iterable[Span]) -> tuple[Span, ...]:
    """Return the spans with neighbours joined that differ in their range only."""
    merged: list[Span] = []
    for span in spans:
        if merged and _equal_except_range(merged[-1], span):
            merged[-1] = replace(merged[-1], last=span.last)
        else:
            merged.append(span)
    return tuple(merged)


@dataclass(frozen=True, slots=True)
class KeyTable:
    """All ranges of one service in order, without gaps.

    Parameters
    ----------
    spans : tuple of Span
        The ranges.
    next_fence : int
        The fence of the next new owner; versions of witnesses are drawn from it too.
    owner_witnesses : tuple of OwnerWitnesses
        The witnesses of each owner, ordered by owner.
    """

    spans: tuple[Span, ...]
    next_fence: int
    owner_witnesses: tuple[OwnerWitnesses, ...] = ()

    @classmethod
    def divided(cls, claims: list[Claim]) -> KeyTable:
        """Return a first table that divides the keys evenly among targets.

        Raises
        ------
        ValueError
            If `claims` is empty.
        """
        if not claims:
            raise ValueError("a table needs at least one target; none was given")
        bounds = [KEY_COUNT * index // len(claims) for index in range(len(claims) + 1)]
        spans = tuple(
            Span(low, high - 1, claim.owner, claim.run, fence)
            for fence, (low, high, claim) in enumerate(
                zip(bounds, bounds[1:], claims, strict=False), start=1
            )
        )
        return cls(spans, len(claims) + 1)

    def find(self, key: int) -> Span:
        """Return the span that a key is in."""
        index = bisect_right(self.spans, key, key=lambda span: span.first)
        return self.spans[index - 1]

    def owned_by(self, owner: Address) -> list[Span]:
        """Return the spans that a daemon's target holds or will hold."""
        return [span for span in self.spans if span.owner == owner]

    def unreleased_by(self, previous: Address) -> list[Span]:
        """Return the spans that a daemon's target still has to release."""
        return [span for span in self.spans if span.previous == previous]

    def witnesses_of(self, owner: Address) -> tuple[Address, ...]:
        """Return the witnesses of an owner; empty if it has none."""
        for row in self.owner_witnesses:
            if row.owner == owner:
                return row.witnesses
        return ()

    def with_witnesses(self, owner: Address, witnesses: Iterable[Address]) -> KeyTable:
        """Return the table with other witnesses of an owner, or with none."""
        rows = [each for each in self.owner_witnesses if each.owner != owner]
        wanted = tuple(witnesses)
        if wanted:
            rows.append(OwnerWitnesses(owner, self.next_fence, wanted))
        rows.sort(key=lambda each: each.owner)
        return replace(
            self, owner_witnesses=tuple(rows), next_fence=self.next_fence + 1
        )

    def size_by_owner(self) -> dict[Address, int]:
        """Return the number of keys of each owner."""
        sizes: dict[Address, int] = {}
        for span in self.spans:
            sizes[span.owner] = sizes.get(span.owner, 0) + span.size
        return sizes

    def _mapped(self, change: Callable[[Span], Span]) -> KeyTable:
        return replace(self, spans=_merged(change(span) for span in self.spans))

    def moved(self, ranges: Iterable[tuple[Range, Claim]]) -> KeyTable:
        """Return the table with ranges given to other owners.

        The former owner stays in `previous` until its target has released the range. A
        range that is moved again before that keeps the same `previous`: the owner in
        between never held it.
        """
        table = self
        for (first, last), claim in ranges:
            table = table._moved_one(first, last, claim)
        return table

    def _moved_one(self, first: int, last: int, claim: Claim) -> KeyTable:
        spans: list[Span] = []
        for span in self.spans:
            if not span.overlaps(first, last) or span.owner == claim.owner:
                spans.append(span)
                continue
            if span.first < first:
                spans.append(span.cut(span.first, first - 1))
            spans.append(
                replace(
                    span.cut(first, last),
                    owner=claim.owner,
                    run=claim.run,
                    fence=self.next_fence,
                    previous=span.previous or span.owner,
                    token="",
                )
            )
            if last < span.last:
                spans.append(span.cut(last + 1, span.last))
        spans_and_fence = {"spans": _merged(spans), "next_fence": self.next_fence + 1}
        return replace(self, **spans_and_fence)

    def released(
        self, previous: Address, ranges: Iterable[Range], tokens: Mapping[Range, str]
    ) -> KeyTable:
        """Return the table after a target has released ranges.

        Parameters
        ----------
        previous : str
            Daemon of the target.
        ranges : iterable of (int, int)
            The released ranges; each lies within one span.
        tokens : mapping of (int, int) to str
            Handover tokens of ranges that were handed over.
        """
        table = self
        for first, last in ranges:
            table = table._released_one(previous, first, last, tokens)
        return table

    def _released_one(
        self, previous: Address, first: int, last: int, tokens: Mapping[Range, str]
    ) -> KeyTable:
        spans: list[Span] = []
        for span in self.spans:
            if span.previous != previous or not span.overlaps(first, last):
                spans.append(span)
                continue
            if span.first < first:
                spans.append(span.cut(span.first, first - 1))
            part = span.cut(first, last)
            token = _token_for(part, tokens)
            spans.append(replace(part, previous="", previous_lost=False, token=token))
            if last < span.last:
                spans.append(span.cut(last + 1, span.last))
        return replace(self, spans=_merged(spans))

    def with_owner_lost(self, owner: Address) -> KeyTable:
        """Return the table with a daemon marked as lost wherever it may hold keys."""

        def change(span: Span) -> Span:
            if span.previous == owner:
                return replace(span, previous_lost=True)
            if span.owner == owner and not span.previous:
                return replace(span, previous=owner, previous_lost=True, token="")
            return span

        return self._mapped(change)

    def with_runs(self, run_by_owner: Mapping[Address, str]) -> KeyTable:
        """Return the table after targets of several owners were restarted.

        Spans that they own get a new fence for the new run. What they had to release
        stays with them: only the daemon beside a target knows what it holds, and a run
        in the table may come from a record that was written late.
        """
        fence = self.next_fence

        def change(span: Span) -> Span:
            run = run_by_owner.get(span.owner, span.run)
            if run == span.run:
                return span
            return replace(span, run=run, fence=fence, token="")

        return replace(self._mapped(change), next_fence=fence + 1)

    def in_epoch(self, epoch: StoreEpoch, renews_fences: bool) -> KeyTable:
        """Return the table as it is written after a restore of the store.

        All later fences are above those that were given out in writes that the store
        has lost. Spans stay apart, also with new fences.

        Parameters
        ----------
        renews_fences : bool
            Whether the present owners get new fences too, since another target may have
            been granted their keys in a write that is lost.
        """

        def raised(fence: int) -> int:
            return epoch << FENCE_BITS | fence & (1 << FENCE_BITS) - 1

        spans = self.spans
        if renews_fences:
            spans = tuple(replace(span, fence=raised(span.fence)) for span in spans)
        return replace(self, spans=spans, next_fence=raised(self.next_fence))

    def with_new_fences(self, owner: Address, refused: Container[int]) -> KeyTable:
        """Return the table with a new fence for an owner's spans of refused fences."""
        fence = self.next_fence

        def change(span: Span) -> Span:
            if span.owner == owner and span.fence in refused:
                return replace(span, fence=fence)
            return span

        return replace(self._mapped(change), next_fence=fence + 1)


def _token_for(span: Span, tokens: Mapping[Range, str]) -> str:
    """Return the token of the handed-over range that contains the span, or ``""``."""
    for (first, last), token in tokens.items():
        if first <= span.first and span.last <= last:
            return token
    return ""
