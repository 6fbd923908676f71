"""Keyed digests of what daemons send each other over HTTP."""

from __future__ import annotations

import hmac
from hashlib import blake2b

SIGNATURE_HEADER = "Rhubarb-Signature"
_DIGEST_BYTES = 16


def sign(mesh_key: bytes, *parts: str | bytes) -> str:
    """Return the digest of `parts` under the key of the mesh."""
    digest = blake2b(key=mesh_key, digest_size=_DIGEST_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "little"))
        digest.update(data)
    return digest.hexdigest()


def is_signed(mesh_key: bytes, signature: str | None, *parts: str | bytes) -> bool:
    """Tell whether `signature` is the digest of `parts`."""
    expected = sign(mesh_key, *parts)
    return signature is not None and hmac.compare_digest(signature, expected)
