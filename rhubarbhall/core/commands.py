"""Commands: the effects that the core requests from the adapters.

The core does no input or output. Its parts yield commands, and an adapter carries out
each one by its type.
"""

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
    """Base class of all commands."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Exit(Command):
    """End the process; no request is in flight any more."""


@dataclass(frozen=True, slots=True)
class LogEvent(Command):
    """Write one numbered event to the structured log.

    Parameters
    ----------
    code : int
        Number of the event in `SPEC_BY_CODE`.
    fields : dict
        Values by the names that `SPEC_BY_CODE` lists for the event.
    """

    code: int
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReadLog(Command):
    """Read records from the log itself or from a peer.

    Parameters
    ----------
    offset : int
        Offset of the first record to read.
    peer : str, optional
        Address of the peer that relays records; none reads the log itself.
    """

    offset: Offset
    peer: Address | None = None


@dataclass(frozen=True, slots=True)
class ReadSnapshot(Command):
    """Fetch a complete snapshot of the directory from a peer."""

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
class RequestRelease(Command):
    """Request that a former owner release slices.

    Parameters
    ----------
    peer : str
        Address of the former owner.
    former : str
        Run that owned the slices.
    slices : tuple of (SliceRef, int)
        Slices with the epochs under which the local member owns them.
    offset : int
        Offset up to which the local member has read the log.
    """

    peer: Address
    former: MemberId
    slices: tuple[tuple[SliceRef, Epoch], ...]
    offset: Offset


@dataclass(frozen=True, slots=True)
class ReplyRelease(Command):
    """Answer a release request with the slices among it that are released."""

    released: tuple[ReleasedSlice, ...]


@dataclass(frozen=True, slots=True)
class Answer(Command):
    """Send a caller the answer to its request."""

    request_id: RequestId
    response: Response


@dataclass(frozen=True, slots=True)
class Forward(Command):
    """Send a request to the daemon that owns its key.

    Parameters
    ----------
    member : str
        Run of the owner.
    address : str
        Address at which the owner takes requests.
    budget_s : float
        Time that is left until the request's deadline, in seconds.
    """

    request: Request
    member: MemberId
    address: Address
    budget_s: Seconds


@dataclass(frozen=True, slots=True)
class CancelForward(Command):
    """Abandon a forwarded request and close its connection."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SendOrder(Command):
    """Send a request to the local target.

    Parameters
    ----------
    epoch : int
        Epoch of the request's slice; 0 for services without keys.
    grant_until : float
        Time at which the target's grant ends, on the machine's monotonic clock, in
        seconds.
    deadline : float
        Time by which the order has to end, on the same clock: the request's deadline,
        or earlier for a target that does not check grants.
    max_answer : int
        Most bytes that the answer may have.
    """

    request: Request
    epoch: Epoch
    grant_until: Seconds
    deadline: Seconds
    max_answer: int


@dataclass(frozen=True, slots=True)
class LimitConnections(Command):
    """Limit the number of connections to the local target to `count`."""

    count: int


@dataclass(frozen=True, slots=True)
class CancelOrder(Command):
    """Cancel an order at the target."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class RenewGrant(Command):
    """Extend the target's grant while orders are running.

    Parameters
    ----------
    grant_until : float
        Time at which the grant ends, on the machine's monotonic clock, in seconds.
    """

    grant_until: Seconds


@dataclass(frozen=True, slots=True)
class FenceTarget(Command):
    """Fence the local target for this run and cancel the orders that run there."""
