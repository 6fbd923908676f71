"""Keyed digests that authenticate HTTP calls between daemons.

All daemons of a mesh share the key.
"""

from __future__ import annotations

import hmac
from hashlib import blake2b

SIGNATURE_HEADER = "Rhubarb-Signature"
_DIGEST_BYTES = 16


def sign(mesh_key: bytes, *parts: str | bytes) -> str:
    """Return the digest of `parts`, in hexadecimal, under the key of the mesh.

    Each part is preceded by its length, so that the same bytes divided into other parts
    have another digest.
    """
    digest = blake2b(key=mesh_key, digest_size=_DIGEST_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "little"))
        digest.update(data)
    return digest.hexdigest()


def is_signed(mesh_key: bytes, signature: str | None, *parts: str | bytes) -> bool:
    """Return whether `signature` is the digest of `parts` under the key of the mesh."""
    expected = sign(mesh_key, *parts)
    return signature is not None and hmac.compare_digest(signature, expected)
