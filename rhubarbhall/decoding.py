"""Decoding of bytes that come from outside of the process, as JSON or MessagePack."""

from __future__ import annotations

from typing import Protocol, TypeVar

import msgspec

_T_co = TypeVar("_T_co", covariant=True)


class Decoder(Protocol[_T_co]):
    """A decoder of ``msgspec`` for one type of message."""

    def decode(self, data: bytes, /) -> _T_co:
        """Return the message that the bytes hold."""


def decode(decoder: Decoder[_T_co], data: bytes) -> _T_co:
    """Return the message that the bytes hold.

    Parameters
    ----------
    decoder : Decoder
        Decoder for the type of the message.
    data : bytes
        The whole message.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are malformed, hold another type or are nested too deeply. It is a
        `ValueError`.
    """
    try:
        return decoder.decode(data)
    except RecursionError:
        raise msgspec.DecodeError("nested too deeply to be decoded") from None
