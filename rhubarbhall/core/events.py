"""Events: what happens to the core, and what its parts tell each other."""

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
    """Something that happened."""

    __slots__ = ()


# Life of the process


@dataclass(frozen=True, slots=True)
class Started(Event):
    """The process is up and its ports are bound."""


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """The process shall drain and end."""


@dataclass(frozen=True, slots=True)
class Joined(Event):
    """The member has read its own join back."""


@dataclass(frozen=True, slots=True)
class Fenced(Event):
    """The log says that this run has ended; it may not serve any more."""

    reason: str


# Timers


@dataclass(frozen=True, slots=True)
class ReadDue(Event):
    """The log shall be read."""


@dataclass(frozen=True, slots=True)
class HeartbeatDue(Event):
    """Witnesses shall be asked for renewal."""


@dataclass(frozen=True, slots=True)
class WitnessCheckDue(Event):
    """Watched members shall be looked over for silence."""


@dataclass(frozen=True, slots=True)
class WitnessSetDue(Event):
    """The member's own set of witnesses shall be looked over."""


@dataclass(frozen=True, slots=True)
class CollectDue(Event):
    """Promises collected so far shall be appended."""


@dataclass(frozen=True, slots=True)
class AppendDue(Event):
    """Appends without an answer shall be repeated."""


@dataclass(frozen=True, slots=True)
class HandoverDue(Event):
    """Former owners shall be asked for their release."""


@dataclass(frozen=True, slots=True)
class PlacementDue(Event):
    """Slices that belong elsewhere shall be moved."""


@dataclass(frozen=True, slots=True)
class HotKeysDue(Event):
    """The sketch of hot keys shall be looked at."""


@dataclass(frozen=True, slots=True)
class SnapshotDue(Event):
    """The need of a snapshot shall be looked at."""


@dataclass(frozen=True, slots=True)
class GateDue(Event):
    """Deadlines of waiting and running orders shall be looked over."""


@dataclass(frozen=True, slots=True)
class RouteDue(Event):
    """Held requests shall be looked over."""


@dataclass(frozen=True, slots=True)
class JoinDue(Event):
    """The way into the mesh shall be looked at."""


@dataclass(frozen=True, slots=True)
class DrainDue(Event):
    """The progress of the drain shall be looked at."""


# The log


@dataclass(frozen=True, slots=True)
class ReadWanted(Event):
    """A part waits for news; the log shall be read soon."""


@dataclass(frozen=True, slots=True)
class RecordsRead(Event):
    """Answer to `ReadLog`.

    Parameters
    ----------
    sent_at : float
        When the read was sent, on the own monotonic clock.
    first_offset : int
        Oldest record that the source still keeps.
    reached_end : bool
        Whether no record follows the last one given.
    contact_age_s : float
        How long before `sent_at` the source was in contact with the log; 0
        for the log itself.
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
    """A read brought no answer."""

    from_log: bool


@dataclass(frozen=True, slots=True)
class SnapshotRead(Event):
    """A peer's snapshot of the directory."""

    data: bytes


@dataclass(frozen=True, slots=True)
class RecordApplied(Event):
    """The fold has taken a record."""

    applied: Applied


@dataclass(frozen=True, slots=True)
class DirectoryLoaded(Event):
    """The fold was replaced by a snapshot that is further on."""


@dataclass(frozen=True, slots=True)
class Submit(Event):
    """A part wants a record appended."""

    record_id: RecordId
    record: Record


@dataclass(frozen=True, slots=True)
class AppendAnswered(Event):
    """The log took an append; the verdict comes with reading it back."""

    record_id: RecordId
    sent_at: Seconds
    offset: Offset


@dataclass(frozen=True, slots=True)
class AppendFailed(Event):
    """An append brought no answer; it may have taken effect."""

    record_id: RecordId


@dataclass(frozen=True, slots=True)
class Settled(Event):
    """An own record was read back.

    Parameters
    ----------
    void : str, optional
        Why it had no effect.
    first_sent_at : float
        When the append was first sent.
    """

    record_id: RecordId
    record: Record
    void: str | None
    first_sent_at: Seconds


# Peers


@dataclass(frozen=True, slots=True)
class PeerMessageReceived(Event):
    """A datagram whose digest was right."""

    sender: MemberId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class LeaseChanged(Event):
    """The member has gained or lost its lease."""

    held: bool


# Handover


@dataclass(frozen=True, slots=True)
class RememberedOutcome:
    """One entry of the table of idempotency keys.

    Parameters
    ----------
    key : str
        Idempotency key, with the caller's slice key before it.
    digest : str
        Digest of the request that used it.
    age_s : float
        Age of the entry.
    response : Response, optional
        Answer that was given; none when the outcome is unknown.
    """

    key: str
    digest: str
    age_s: Seconds
    response: Response | None


@dataclass(frozen=True, slots=True)
class ReleaseAsked(Event):
    """A later owner asks for release; answered at once by `ReplyRelease`."""

    former: MemberId
    slices: tuple[tuple[SliceRef, Epoch], ...]
    offset: Offset


@dataclass(frozen=True, slots=True)
class ReleasedSlice:
    """A slice whose former owner has stopped, with what it remembers.

    Parameters
    ----------
    slice : SliceRef
        The slice.
    epoch : int
        Epoch of the asker.
    held_epoch : int
        Epoch under which the former owner served it; 0 if it never did.
    vouched_since_ms : int
        Time, in milliseconds since 1970, from which on the table is complete.
    outcomes : tuple of RememberedOutcome
        The table.
    """

    slice: SliceRef
    epoch: Epoch
    held_epoch: Epoch
    vouched_since_ms: int
    outcomes: tuple[RememberedOutcome, ...]


@dataclass(frozen=True, slots=True)
class ReleaseAnswered(Event):
    """Answer to `AskRelease`."""

    former: MemberId
    released: tuple[ReleasedSlice, ...]


@dataclass(frozen=True, slots=True)
class AbortSlice(Event):
    """Orders of a slice that was moved away have run too long."""

    slice: SliceRef


@dataclass(frozen=True, slots=True)
class SliceAcquired(Event):
    """A slice may be served from now on."""

    slice: SliceRef


# Requests


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A caller or a daemon in front sent a whole request."""

    request: Request


@dataclass(frozen=True, slots=True)
class CallerGone(Event):
    """The connection of a request was closed before its answer."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class Admit(Event):
    """The entrance hands a request to the gate of the own target."""

    request: Request


@dataclass(frozen=True, slots=True)
class Finished(Event):
    """The gate has the outcome of a request."""

    request: Request
    response: Response


@dataclass(frozen=True, slots=True)
class ForwardAnswered(Event):
    """The owner's daemon gave a whole answer."""

    request_id: RequestId
    response: Response


@dataclass(frozen=True, slots=True)
class ForwardFailed(Event):
    """The owner's daemon gave no whole answer.

    Parameters
    ----------
    written : bool
        Whether any byte of the request may have been sent.
    """

    request_id: RequestId
    written: bool


@dataclass(frozen=True, slots=True)
class OrderAnswered(Event):
    """The target gave a whole answer."""

    request_id: RequestId
    response: Response


@dataclass(frozen=True, slots=True)
class OrderFailed(Event):
    """The target gave no whole answer.

    Parameters
    ----------
    written : bool
        Whether any byte of the order may have been sent.
    kind : ErrorKind
        What went wrong.
    """

    request_id: RequestId
    written: bool
    kind: ErrorKind


@dataclass(frozen=True, slots=True)
class TargetFenced(Event):
    """The target is up and works for this run alone."""


@dataclass(frozen=True, slots=True)
class FenceFailed(Event):
    """The target could not be reached."""
