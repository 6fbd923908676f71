"""Hash by which keys and members are placed; the same in every process."""

from __future__ import annotations

import xxhash


def hash64(text: str, seed: int = 0) -> int:
    """Return the 64-bit XXH3 hash of `text`, at least 0 and less than 2**64."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed=seed)
