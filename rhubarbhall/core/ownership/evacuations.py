"""The failure domains that operators have evacuated, as far as this daemon knows.

The state is the set of records in the operators' topic. Some daemons read it and
pass the state on as a whole. It has a position, so that an older one never replaces a
newer one, whichever way it arrives.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.types import Offset

#: Position of the state of a daemon that knows none.
UNKNOWN_POSITION = -1


@dataclass(frozen=True, slots=True)
class EvacuationState:
    """Evacuated domains at a position of the operators' topic.

    Parameters
    ----------
    position : int
        Position before which every record of an evacuation or its end is included.
    domains : frozenset of str
        Names of the evacuated domains.
    """

    position: Offset = UNKNOWN_POSITION
    domains: frozenset[str] = frozenset()


class Evacuations:
    """Combines the records that this daemon reads with the states that peers send.

    Attributes
    ----------
    state : EvacuationState
        The newest known state.
    """

    def __init__(self) -> None:
        self.state = EvacuationState()
        #: Position up to which the topic is known, by reading or from peers. It grows
        #: with records of other kinds too, which do not change the state.
        self._known_end: Offset = UNKNOWN_POSITION
        #: Domains whose records were read since the last snapshot has begun.
        self._read: set[str] = set()
        #: Position after the last record of an evacuation or its end that was read.
        self._read_end: Offset = UNKNOWN_POSITION
        self._reads_snapshot = True

    @property
    def is_known(self) -> bool:
        """Whether the state was read or received at least once."""
        return self.state.position > UNKNOWN_POSITION

    @property
    def known_end(self) -> Offset:
        """Position up to which changes of the state are known; -1 if none is."""
        return self._known_end

    def begin_snapshot(self) -> None:
        """Record that the newest records of the topic are about to be read.

        Domains without a record in them are not evacuated any more. The state stays in
        force until the topic has been read up to its end.
        """
        self._read.clear()
        self._reads_snapshot = True

    def record(self, position: Offset, domain: str, is_evacuated: bool) -> None:
        """Take a record of the topic; `complete` follows once its end is reached."""
        self._read_end = max(self._read_end, position + 1)
        if is_evacuated:
            self._read.add(domain)
        else:
            self._read.discard(domain)

    def complete(self, end: Offset) -> bool:
        """Take the end that the reader has reached; return whether domains changed.

        A reader may lag behind a state that a peer has sent, which then stays.
        """
        if end <= self._known_end:
            return False
        # The end of an evacuation leaves no record in a snapshot, so the state is known
        # to hold at its end only.
        position = end if self._reads_snapshot else self._read_end
        self._reads_snapshot = False
        self._known_end = end
        return self._replace(max(position, self.state.position), frozenset(self._read))

    def take(self, state: EvacuationState) -> bool:
        """Take the state that a peer has sent; return whether domains changed."""
        if state.position <= self._known_end:
            return False
        self._known_end = state.position
        return self._replace(state.position, state.domains)

    def _replace(self, position: Offset, domains: frozenset[str]) -> bool:
        has_changed = domains != self.state.domains
        self.state = EvacuationState(position, domains)
        return has_changed
