"""Divides ranges among targets so that each gets about as many keys."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.key_table import KEY_COUNT

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import Claim, KeyTable, Range, Span
    from rhubarbhall.types import Address

#: Ranges are not cut below this many keys, so that tables stay short.
MIN_PIECE = KEY_COUNT // 64


def _pieces(span: Span, count: int) -> list[Range]:
    """Return a span cut into at most `count` pieces."""
    count = max(1, min(count, span.size // MIN_PIECE))
    cuts = [span.first + span.size * index // count for index in range(count + 1)]
    return [(low, high - 1) for low, high in zip(cuts, cuts[1:], strict=False)]


def spread(
    spans: Iterable[Span], claims: list[Claim], sizes: Mapping[Address, int]
) -> list[tuple[Range, Claim]]:
    """Give spans to those who have the fewest keys.

    Parameters
    ----------
    spans : iterable of Span
        What is given away.
    claims : list of Claim
        Who may get it.
    sizes : mapping of str to int
        Keys that each owner has already.
    """
    size_by_owner = {claim.owner: sizes.get(claim.owner, 0) for claim in claims}
    given: list[tuple[Range, Claim]] = []
    for span in spans:
        for first, last in _pieces(span, len(claims)):
            claim = min(claims, key=lambda each: size_by_owner[each.owner])
            size_by_owner[claim.owner] += last - first + 1
            given.append(((first, last), claim))
    return given


def share_for_newcomers(
    table: KeyTable, newcomers: list[Claim], members: int
) -> list[tuple[Range, Claim]]:
    """Take an even share from every owner for those that own nothing yet.

    Parameters
    ----------
    members : int
        Number of targets, newcomers included.
    """
    given: list[tuple[Range, Claim]] = []
    for owner, size in sorted(table.size_by_owner().items()):
        share = size // members
        for claim in newcomers:
            given += _taken_from(table, owner, share, claim, given)
    return given


def _taken_from(
    table: KeyTable,
    owner: Address,
    share: int,
    claim: Claim,
    given: list[tuple[Range, Claim]],
) -> list[tuple[Range, Claim]]:
    """Return ranges of an owner, from its last keys on, that make up a share."""
    lowest_given = {last: first for (first, last), _ in given}
    taken: list[tuple[Range, Claim]] = []
    for span in reversed(table.owned_by(owner)):
        last = span.last
        while last in lowest_given:
            last = lowest_given[last] - 1
        size = min(share, last - span.first + 1)
        if size <= 0 or not span.is_settled:
            continue
        taken.append(((last - size + 1, last), claim))
        share -= size
        if share <= 0:
            break
    return taken
