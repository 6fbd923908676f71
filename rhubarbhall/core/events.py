"""Events: the inputs of the core, and the notifications between its parts.

Adapters and timers turn what happens outside into events. Parts also yield events to
each other; the kernel hands each event to the parts that handle its type.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.core.directory import Applied
    from rhubarbhall.core.errors import ErrorKind
    from rhubarbhall.core.peer_messages import PeerMessage
    from rhubarbhall.core.records import Record, StoredRecord
    from rhubarbhall.core.requests import Request, Response
    from rhubarbhall.core.slices import SliceRef
    from rhubarbhall.types import (
        Epoch,
        MemberId,
        Offset,
        RecordId,
        RequestId,
        Seconds,
    )


class Event:
    """Base class of all events."""

    __slots__ = ()


# Life of the process


@dataclass(frozen=True, slots=True)
class Started(Event):
    """The process is up and its ports are bound."""


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """The process has to drain and exit."""


@dataclass(frozen=True, slots=True)
class Joined(Event):
    """The record by which this member joins has taken effect and was read back."""


@dataclass(frozen=True, slots=True)
class Fenced(Event):
    """A record of the log has ended this run; it must not serve requests any more.

    Parameters
    ----------
    reason : str
        Why the run was ended.
    """

    reason: str


# Timers


@dataclass(frozen=True, slots=True)
class ReadDue(Event):
    """The next periodic read of the log is due."""


@dataclass(frozen=True, slots=True)
class HeartbeatDue(Event):
    """The next heartbeats to the witnesses, which request renewals, are due."""


@dataclass(frozen=True, slots=True)
class WitnessCheckDue(Event):
    """A check of the watched members for missing heartbeats is due."""


@dataclass(frozen=True, slots=True)
class WitnessSetCheckDue(Event):
    """A check of the witnesses of the local member is due."""


@dataclass(frozen=True, slots=True)
class PromiseAppendDue(Event):
    """The promises collected so far are due to be appended to the log."""


@dataclass(frozen=True, slots=True)
class AppendRetryDue(Event):
    """A check for appends that were not read back and must be retried is due."""


@dataclass(frozen=True, slots=True)
class ReleaseRequestDue(Event):
    """Former owners that have not released slices yet are due for a request."""


@dataclass(frozen=True, slots=True)
class PlacementCheckDue(Event):
    """A check for slices that another member should own is due."""


@dataclass(frozen=True, slots=True)
class HotKeyCheckDue(Event):
    """A check of the hot-key sketch is due."""


@dataclass(frozen=True, slots=True)
class SnapshotCheckDue(Event):
    """A check whether a snapshot must be written is due."""


@dataclass(frozen=True, slots=True)
class OrderCheckDue(Event):
    """A check of the deadlines of waiting and running orders is due."""


@dataclass(frozen=True, slots=True)
class HeldRequestCheckDue(Event):
    """A check of the requests that are held for an owner is due."""


@dataclass(frozen=True, slots=True)
class JoinCheckDue(Event):
    """A check whether this member can join the mesh, and housekeeping, are due."""


@dataclass(frozen=True, slots=True)
class DrainCheckDue(Event):
    """A check of the progress of the drain is due."""


# The log


@dataclass(frozen=True, slots=True)
class ReadRequested(Event):
    """A part needs newer records; the log should be read soon."""


@dataclass(frozen=True, slots=True)
class RecordsRead(Event):
    """Answer to `ReadLog`.

    Parameters
    ----------
    sent_at : float
        Time at which the read was sent, on the local monotonic clock, in seconds.
    first_offset : int
        Offset of the oldest record that the source still keeps.
    records : tuple of StoredRecord
        Records in the order of their offsets.
    reached_end : bool
        Whether the source has no record after the last one of `records`.
    contact_age_s : float
        Time between the source's last contact with the log and `sent_at`, in
        seconds; 0 for the log itself.
    from_log : bool
        Whether the log itself answered.
    """

    sent_at: Seconds
    first_offset: Offset
    records: tuple[StoredRecord, ...]
    reached_end: bool
    contact_age_s: Seconds
    from_log: bool


@dataclass(frozen=True, slots=True)
class ReadFailed(Event):
    """A read was not answered.

    Parameters
    ----------
    from_log : bool
        Whether the read was sent to the log itself.
    """

    from_log: bool


@dataclass(frozen=True, slots=True)
class SnapshotRead(Event):
    """A peer has sent its snapshot of the directory.

    Parameters
    ----------
    data : bytes
        Encoded snapshot.
    """

    data: bytes


@dataclass(frozen=True, slots=True)
class RecordApplied(Event):
    """A record was applied to the directory (the fold of the log)."""

    applied: Applied


@dataclass(frozen=True, slots=True)
class DirectoryLoaded(Event):
    """The directory was replaced by a snapshot that covers more records."""


@dataclass(frozen=True, slots=True)
class AppendRequested(Event):
    """A part requests that a record be appended to the log."""

    record_id: RecordId
    record: Record


@dataclass(frozen=True, slots=True)
class AppendAnswered(Event):
    """The log accepted an append; its verdict is known once it is read back.

    Parameters
    ----------
    sent_at : float
        Time at which the append was sent, on the local monotonic clock, in seconds.
    offset : int
        Offset of the record.
    """

    record_id: RecordId
    sent_at: Seconds
    offset: Offset


@dataclass(frozen=True, slots=True)
class AppendFailed(Event):
    """An append was not answered; it may have taken effect."""

    record_id: RecordId


@dataclass(frozen=True, slots=True)
class AppendDecided(Event):
    """The verdict on a record that this daemon appended is known.

    Parameters
    ----------
    void : str, optional
        Reason why the record had no effect; none if it took effect.
    first_sent_at : float
        Time at which the append was first sent, on the local monotonic clock, in
        seconds.
    """

    record_id: RecordId
    record: Record
    void: str | None
    first_sent_at: Seconds


# Peers


@dataclass(frozen=True, slots=True)
class PeerMessageReceived(Event):
    """A datagram with a valid digest was received from another member."""

    sender: MemberId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class LeaseChanged(Event):
    """The local member has gained or lost its lease."""

    held: bool


# Handover


@dataclass(frozen=True, slots=True)
class RememberedOutcome:
    """The outcome of a request, as kept under its idempotency key.

    Parameters
    ----------
    key : str
        Idempotency key and key of the request, joined by ``|``.
    digest : str
        Digest of the request that used the idempotency key.
    age_s : float
        Age of the entry, in seconds.
    response : Response, optional
        Answer to the request; none when the outcome is unknown.
    """

    key: str
    digest: str
    age_s: Seconds
    response: Response | None


@dataclass(frozen=True, slots=True)
class ReleaseRequested(Event):
    """A later owner requests the release of slices.

    It is answered at once by `ReplyRelease`.

    Parameters
    ----------
    former : str
        Run that owned the slices.
    slices : tuple of (SliceRef, int)
        Slices with the epochs under which the later owner owns them.
    offset : int
        Offset up to which the later owner has read the log.
    """

    former: MemberId
    slices: tuple[tuple[SliceRef, Epoch], ...]
    offset: Offset


@dataclass(frozen=True, slots=True)
class ReleasedSlice:
    """A slice whose former owner has stopped, with the outcomes that it kept.

    Parameters
    ----------
    slice : SliceRef
        The slice.
    epoch : int
        Epoch under which the later owner, which requested the release, owns it.
    held_epoch : int
        Epoch under which the former owner served it; 0 if it never did.
    vouched_since_ms : int
        Time, in milliseconds since 1970, from which on `outcomes` is complete: it has
        every request that may have run with an idempotency key minted since then.
    outcomes : tuple of RememberedOutcome
        Outcomes of requests by their idempotency keys.
    """

    slice: SliceRef
    epoch: Epoch
    held_epoch: Epoch
    vouched_since_ms: int
    outcomes: tuple[RememberedOutcome, ...]


@dataclass(frozen=True, slots=True)
class ReleaseAnswered(Event):
    """Answer to `RequestRelease`.

    Parameters
    ----------
    former : str
        Run that owned the slices.
    released : tuple of ReleasedSlice
        Slices among those requested that the former owner has stopped serving.
    """

    former: MemberId
    released: tuple[ReleasedSlice, ...]


@dataclass(frozen=True, slots=True)
class SliceDrainTimedOut(Event):
    """Orders of a slice that was moved away exceed the drain time; cancel them."""

    slice: SliceRef


@dataclass(frozen=True, slots=True)
class SliceAcquired(Event):
    """The local member may serve a slice from now on."""

    slice: SliceRef


# Requests


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A complete request arrived from a caller or from a daemon that forwards it."""

    request: Request


@dataclass(frozen=True, slots=True)
class CallerGone(Event):
    """The caller closed its connection before it got its answer."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class DispatchRequested(Event):
    """The router hands a request over to be dispatched to the local target."""

    request: Request


@dataclass(frozen=True, slots=True)
class RequestFinished(Event):
    """The outcome of a request for the local target is known."""

    request: Request
    response: Response


@dataclass(frozen=True, slots=True)
class ForwardAnswered(Event):
    """The owner's daemon sent a complete answer."""

    request_id: RequestId
    response: Response


@dataclass(frozen=True, slots=True)
class ForwardFailed(Event):
    """The owner's daemon sent no complete answer.

    Parameters
    ----------
    written : bool
        Whether any byte of the request may have been sent.
    """

    request_id: RequestId
    written: bool


@dataclass(frozen=True, slots=True)
class OrderAnswered(Event):
    """The target sent a complete answer."""

    request_id: RequestId
    response: Response


@dataclass(frozen=True, slots=True)
class OrderFailed(Event):
    """The target sent no complete answer.

    Parameters
    ----------
    written : bool
        Whether any byte of the order may have been sent.
    kind : ErrorKind
        Error kind of the refusal that the caller gets.
    """

    request_id: RequestId
    written: bool
    kind: ErrorKind


@dataclass(frozen=True, slots=True)
class TargetFenced(Event):
    """The target has accepted the fence: it takes orders of this run only."""


@dataclass(frozen=True, slots=True)
class FenceFailed(Event):
    """The target could not be fenced: it was unreachable or refused."""
