"""Counts the messages and bytes that are sent to peers, by frame and scope.

Bytes are those of the compressed stream, without the headers of TCP and IP.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.adapters.peer_frames import Frame
    from rhubarbhall.types import Address

#: Scopes: the receiver is in the local region, in another one, or not known yet, as
#: before the directory is read.
SAME_REGION = "same_region"
OTHER_REGION = "other_region"
UNKNOWN_REGION = "unknown"


class PeerTraffic:
    """Messages and bytes sent to peers.

    The connections that this daemon opens and those that peers open to it share one.
    """

    def __init__(self) -> None:
        self._region = ""
        self._region_by_address: Mapping[Address, str] = {}
        #: Messages and bytes, by type of frame and scope.
        self._sent: dict[tuple[type[Frame], str], list[int]] = {}

    def set_members(
        self, region: str, region_by_address: Mapping[Address, str]
    ) -> None:
        """Set the local region, and the region of each other daemon."""
        self._region = region
        self._region_by_address = region_by_address

    def scope(self, address: Address) -> str:
        """Return the scope of what is sent to a peer."""
        region = self._region_by_address.get(address)
        if region is None:
            return UNKNOWN_REGION
        return SAME_REGION if region == self._region else OTHER_REGION

    def record(self, frame: Frame, scope: str, size: int) -> None:
        """Count one frame of `size` bytes on the wire."""
        sent = self._sent.get((type(frame), scope))
        if sent is None:
            sent = self._sent[type(frame), scope] = [0, 0]
        sent[0] += 1
        sent[1] += size

    def rows(self) -> Iterator[tuple[str, str, int, int]]:
        """Yield frame, scope, number of messages and of bytes."""
        for (frame_type, scope), (messages, size) in self._sent.items():
            yield frame_type.__name__, scope, messages, size
