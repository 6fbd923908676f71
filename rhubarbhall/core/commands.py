"""Commands: what the core wants adapters to do."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from rhubarbhall.core.events import ReleasedSlice
    from rhubarbhall.core.peer_messages import PeerMessage
    from rhubarbhall.core.records import Envelope
    from rhubarbhall.core.requests import Request, Response
    from rhubarbhall.core.slices import SliceRef
    from rhubarbhall.types import (
        Address,
        Epoch,
        MemberId,
        Offset,
        RequestId,
        Seconds,
    )


class Command:
    """Something that an adapter shall do."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Exit(Command):
    """End the process; nothing is in flight."""


@dataclass(frozen=True, slots=True)
class Note(Command):
    """Write one numbered event to the structured log.

    Parameters
    ----------
    code : int
        Number in the catalogue.
    fields : dict
        Values named by the catalogue.
    """

    code: int
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReadLog(Command):
    """Read records from the log itself or from a peer.

    Parameters
    ----------
    offset : int
        First record wanted.
    peer : str, optional
        Address of the peer that relays; none reads the log.
    """

    offset: Offset
    peer: Address | None = None


@dataclass(frozen=True, slots=True)
class ReadSnapshot(Command):
    """Fetch a whole snapshot from a peer."""

    peer: Address


@dataclass(frozen=True, slots=True)
class Append(Command):
    """Append an envelope to the log."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class SendPeer(Command):
    """Send a datagram to a live member."""

    address: Address
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class AskRelease(Command):
    """Ask a former owner to release slices.

    Parameters
    ----------
    peer : str
        Address of the former owner.
    former : str
        Run that owned them.
    slices : tuple of (SliceRef, int)
        Slices with the epochs under which the asker owns them.
    offset : int
        How far the asker has read the log.
    """

    peer: Address
    former: MemberId
    slices: tuple[tuple[SliceRef, Epoch], ...]
    offset: Offset


@dataclass(frozen=True, slots=True)
class ReplyRelease(Command):
    """The slices among those asked for that are released."""

    released: tuple[ReleasedSlice, ...]


@dataclass(frozen=True, slots=True)
class Answer(Command):
    """Give a caller the answer to its request."""

    request_id: RequestId
    response: Response


@dataclass(frozen=True, slots=True)
class Forward(Command):
    """Send a request to the daemon that owns its key."""

    request: Request
    member: MemberId
    address: Address
    budget_s: Seconds


@dataclass(frozen=True, slots=True)
class CancelForward(Command):
    """Give up a forwarded request and close its connection."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SendOrder(Command):
    """Send a request to the own target.

    Parameters
    ----------
    epoch : int
        Epoch of the slice; 0 for services without keys.
    grant_until : float
        When the grant ends, on the machine's monotonic clock.
    deadline : float
        When the caller gives up, on the same clock.
    """

    request: Request
    epoch: Epoch
    grant_until: Seconds
    deadline: Seconds
    max_answer: int


@dataclass(frozen=True, slots=True)
class LimitConnections(Command):
    """Open no more connections to the own target than `count`."""

    count: int


@dataclass(frozen=True, slots=True)
class CancelOrder(Command):
    """Cancel an order at the target."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class RenewGrant(Command):
    """Prolong the target's grant while orders run."""

    grant_until: Seconds


@dataclass(frozen=True, slots=True)
class FenceTarget(Command):
    """Open a new epoch at the own target and cancel what still runs there."""
