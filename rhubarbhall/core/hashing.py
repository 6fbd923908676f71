"""The hash that places keys and members; equal in every process."""

from __future__ import annotations

import xxhash


def hash64(text: str, seed: int = 0) -> int:
    """Return a hash of `text` from 0 up to 2**64."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed=seed)
