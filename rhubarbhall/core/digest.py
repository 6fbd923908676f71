"""Digests that are the same in every process, for equality and for choices by hash."""

from __future__ import annotations

from collections.abc import Iterable

try:
    # `hashlib` loads the libraries for encryption: 4 MB in each daemon.
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

__all__ = ["digest"]

#: Bytes of a part's length in the digested text.
_LENGTH_BYTES = 8


def digest(parts: Iterable[bytes], size: int) -> bytes:
    """Return a BLAKE2b digest of several parts, each with its length before it.

    Parameters
    ----------
    size : int
        Bytes of the digest, 1 to 64.
    """
    state = blake2b(digest_size=size)
    for part in parts:
        state.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        state.update(part)
    return state.digest()
