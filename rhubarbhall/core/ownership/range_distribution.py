"""Distributes key ranges among targets so that each gets about as many keys."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from rhubarbhall.core.ownership.key_table import KEY_COUNT

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.key_table import Claim, KeyTable, Range, Span
    from rhubarbhall.types import Address

#: Maximum number of targets that the keys of one target are divided among, or that one
#: target's keys are taken from, when there are many.
MAX_PARTIES = 8
#: Least number of keys of a piece that a span is cut into while there are few targets,
#: so that tables stay short.
MIN_PIECE_KEYS = KEY_COUNT // 64


def _pieces(span: Span, count: int, min_keys: int) -> list[Range]:
    """Return the ranges of a span that is cut into at most `count` pieces."""
    count = max(1, min(count, span.size // max(1, min_keys)))
    cuts = [span.first + span.size * index // count for index in range(count + 1)]
    return [(low, high - 1) for low, high in zip(cuts, cuts[1:], strict=False)]


def distribute(
    spans: Iterable[Span], claims: list[Claim], sizes: Mapping[Address, int]
) -> list[tuple[Range, Claim]]:
    """Assign the pieces of spans to the targets that have the fewest keys.

    Parameters
    ----------
    spans : iterable of Span
        The spans to distribute.
    claims : list of Claim
        Targets that may get keys; at least one.
    sizes : mapping of str to int
        Number of keys that each owner has already.

    Returns
    -------
    list of ((int, int), Claim)
        Each range with the claim of its new owner.
    """
    size_by_owner = {claim.owner: sizes.get(claim.owner, 0) for claim in claims}
    moves: list[tuple[Range, Claim]] = []
    spans = list(spans)
    count = len(claims)
    if count > MAX_PARTIES:
        count = max(1, MAX_PARTIES // max(1, len(spans)))
    min_keys = min(MIN_PIECE_KEYS, KEY_COUNT // (MAX_PARTIES * len(claims)))
    for span in spans:
        for first, last in _pieces(span, count, min_keys):
            claim = min(claims, key=lambda each: size_by_owner[each.owner])
            size_by_owner[claim.owner] += last - first + 1
            moves.append(((first, last), claim))
    return moves


def share_for_new_targets(
    table: KeyTable, new_targets: list[Claim], target_count: int
) -> list[tuple[Range, Claim]]:
    """Return an even share of the keys for each target that owns none yet.

    It is taken from the owners with the most keys, `MAX_PARTIES` at most, so that the
    number of ranges does not grow with that of the targets.

    Parameters
    ----------
    table : KeyTable
        The present table.
    new_targets : list of Claim
        Targets that own no keys.
    target_count : int
        Number of targets, new ones included.

    Returns
    -------
    list of ((int, int), Claim)
        Each range with the claim of its new owner.
    """
    moves: list[tuple[Range, Claim]] = []
    sizes = table.size_by_owner()
    largest = sorted(sizes, key=lambda owner: (-sizes[owner], owner))
    if len(largest) <= MAX_PARTIES:
        for owner in sorted(sizes):
            for claim in new_targets:
                share = sizes[owner] // target_count
                moves += _cut_share(table, owner, share, claim, moves)
        return moves
    for index, claim in enumerate(new_targets):
        start = MAX_PARTIES * index % len(largest)
        donors = largest[start : start + MAX_PARTIES]
        share = KEY_COUNT // target_count // len(donors)
        for owner in donors:
            limit = sizes[owner] // 2
            moves += _cut_share(table, owner, min(share, limit), claim, moves)
    return moves


def _cut_share(
    table: KeyTable,
    owner: Address,
    share: int,
    claim: Claim,
    moves: list[tuple[Range, Claim]],
) -> list[tuple[Range, Claim]]:
    """Return ranges of an owner, from its last keys downwards, that make up a share.

    Ranges that are already assigned to other targets are skipped.
    """
    first_by_last = {last: first for (first, last), _ in moves}
    share_moves: list[tuple[Range, Claim]] = []
    for span in reversed(table.owned_by(owner)):
        last = span.last
        while last in first_by_last:
            last = first_by_last[last] - 1
        size = min(share, last - span.first + 1)
        if size <= 0 or not span.is_free:
            continue
        share_moves.append(((last - size + 1, last), claim))
        share -= size
        if share <= 0:
            break
    return share_moves
