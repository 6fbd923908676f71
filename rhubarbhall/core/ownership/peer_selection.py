"""Which peers a daemon watches and keeps connections with, whatever the fleet's size.

The daemons of a region form a ring in the order of their addresses. Each one keeps
connections with the peers at the distances 1, 2, 4 and so on in its ring, the fingers
of Chord (Stoica and others, 2001), and with a few daemons of each other region. These
connections carry pings, and records pass along them through the whole region in a
number of hops that grows with the logarithm of its size (El-Ansary and others, 2003).
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Address, Offset

#: Number of daemons up to which a region is watched as a whole.
WHOLE_REGION_SIZE = 8
#: Number of daemons of each larger region, other than the local one, that are watched.
REMOTE_CONTACTS = 1


def ring_distances(size: int) -> Iterator[int]:
    """Yield the distances of a daemon's watched peers in a ring of a size."""
    if size <= WHOLE_REGION_SIZE:
        yield from range(1, size)
        return
    distance = 1
    while distance < size:
        yield distance
        distance *= 2


def _ring_by_region(
    region_by_address: Mapping[Address, str],
) -> dict[str, list[Address]]:
    ring_by_region: dict[str, list[Address]] = {}
    for address in sorted(region_by_address):
        ring_by_region.setdefault(region_by_address[address], []).append(address)
    return ring_by_region


def _spread(ring: list[Address], start: int) -> Iterable[Address]:
    if len(ring) <= WHOLE_REGION_SIZE:
        return ring
    return [ring[(start + step) % len(ring)] for step in range(REMOTE_CONTACTS)]


def watched_peers(
    local: Address, local_region: str, region_by_address: Mapping[Address, str]
) -> set[Address]:
    """Return the peers that a daemon watches.

    Parameters
    ----------
    local, local_region : str
        Address and region of the daemon.
    region_by_address : mapping of str to str
        Region of each daemon by its address, with or without the daemon itself.
    """
    ring_by_region = _ring_by_region({**region_by_address, local: local_region})
    ring = ring_by_region.pop(local_region)
    position = bisect_left(ring, local)
    watched = {
        ring[(position + distance) % len(ring)]
        for distance in ring_distances(len(ring))
    }
    for other in ring_by_region.values():
        watched.update(_spread(other, position))
    return watched


def is_reader(
    local: Address,
    local_region: str,
    region_by_address: Mapping[Address, str],
    count: int,
) -> bool:
    """Return whether a daemon reads the store on behalf of its region.

    All daemons of a small region do, and the first ones of a larger one.

    Parameters
    ----------
    count : int
        Number of daemons of a larger region that read.
    """
    others = [
        address
        for address, region in region_by_address.items()
        if region == local_region and address != local
    ]
    before = sum(address < local for address in others)
    return before < count or len(others) < WHOLE_REGION_SIZE


def readers_before(
    local: Address,
    local_region: str,
    region_by_address: Mapping[Address, str],
    is_live: Callable[[Address], bool],
) -> int:
    """Return how many live daemons of the region come before the local one as readers.

    Parameters
    ----------
    is_live : callable
        Returns whether a daemon runs, as far as is known.
    """
    return sum(
        address < local and region == local_region and is_live(address)
        for address, region in region_by_address.items()
    )


def ring_order(local: Address, addresses: Iterable[Address]) -> list[Address]:
    """Return addresses in the order of the ring, beginning after the local one."""
    return sorted(addresses, key=lambda each: (each < local, each))


def relay_plan(
    local: Address, linked: Iterable[Address], limit: Address
) -> Iterator[tuple[Address, Address]]:
    """Yield the peers that a record is passed on to, each with its own limit.

    A receiver passes the record on to the daemons between itself and its limit, so that
    each daemon of the region gets it once.

    Parameters
    ----------
    linked : iterable of str
        Peers of the region that the daemon has connections with.
    limit : str
        Address in the ring before which the local daemon passes the record on. Its own
        address stands for the whole ring.
    """
    in_reach = ring_order(local, (each for each in linked if each != local))
    if limit != local:
        reach = ring_order(local, [*in_reach, limit])
        in_reach = reach[: reach.index(limit)]
    # The last one, without a successor here, gets the limit of the local daemon.
    yield from zip(in_reach, [*in_reach, limit][1:], strict=True)


class RelayedLimits:
    """How far this daemon has passed on the newest record of each key.

    A record may arrive over several ways, each with its own limit. It is passed on
    again if a later way asks for more, so that no daemon between the limits is left
    out.

    Parameters
    ----------
    local : str
        Address of the local daemon.
    """

    def __init__(self, local: Address) -> None:
        self._local = local
        self._limit_by_key: dict[str, tuple[Offset, Address]] = {}

    def extend(self, key: str, offset: Offset, limit: Address) -> bool:
        """Return whether a record has to be passed on up to a limit, and record it.

        Parameters
        ----------
        key : str
            Key of the record.
        offset : int
            Offset of the record, or version of a configuration: higher if newer.
        limit : str
            Address in the ring of the region before which it is to be passed on.
        """
        known = self._limit_by_key.get(key)
        if known is not None:
            known_offset, known_limit = known
            is_covered = offset == known_offset and not self._is_beyond(
                limit, known_limit
            )
            if offset < known_offset or is_covered:
                return False
        self._limit_by_key[key] = (offset, limit)
        return True

    def _is_beyond(self, limit: Address, known: Address) -> bool:
        """Return whether a limit lies beyond another one in the ring."""
        if known == self._local:
            return False
        if limit == self._local:
            return True
        return (limit < self._local, limit) > (known < self._local, known)
