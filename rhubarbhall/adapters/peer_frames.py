"""The messages that daemons exchange, as frames.

Frames are encoded as arrays: the tag and the order of the fields are the format.
`rhubarbhall.adapters.peer_stream` turns them into the bytes of a connection.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Introduces the daemon that opened the connection.

    Parameters
    ----------
    address : str
        Address that the daemon listens on.
    service : str
        Service of its VM, which targets receive as the caller's service.
    session : int
        Number that each process draws anew. Connections with the same number follow
        each other.
    connection : int
        Number of the connection among all that the process has opened; 0 from daemons
        of earlier builds, which do not number them.
    first_number : int
        Lowest number of a request that can be sent over this connection or a later one:
        those with lower numbers were sent before, perhaps to another process. Daemons
        without this field do not say it.
    """

    address: str
    service: str
    session: int
    connection: int = 0
    first_number: int = 0


class Resume(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Requests, on a new connection, outcomes of requests sent on earlier ones.

    Parameters
    ----------
    numbers : list of int
        Requests whose outcome the sender still awaits. It has no use for the outcomes
        of all others.
    """

    numbers: list[int]


class Forward(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A request for the receiver's target.

    Parameters
    ----------
    number : int
        The sender's number for the request; numbers to one receiver only grow.
    service, route : str
        Service and route that the request is for.
    key : int
        Key of a service that is divided by key, else -1.
    remaining_ms : int
        Time until the request's deadline, after which the answer is of no use.
    target_latency_remaining_ms : int
        Time until which the answer meets the route's latency target; negative once
        that has passed.
    is_retry : bool
        Whether the caller seems to try again after a refusal.
    idempotent : bool
        Whether the request may run more than once.
    priority : int
        Rank of its route; 0 is the highest.
    method, path, host : str
        As the caller sent them.
    id : str
        The caller's identifier of this attempt.
    headers : list of str
        Names and values in turn.
    body : bytes
        The whole body.
    is_suspected : bool
        Whether its answer was lost at another target, which may have ended under it.
    """

    number: int
    service: str
    route: str
    key: int
    remaining_ms: int
    target_latency_remaining_ms: int
    is_retry: bool
    idempotent: bool
    priority: int
    method: str
    path: str
    host: str
    id: str
    headers: list[str]
    body: bytes
    is_suspected: bool = False


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The target's whole answer to a request, and the target's load.

    Parameters
    ----------
    number : int
        The request's number in its `Forward`.
    status : int
        HTTP status.
    headers : list of str
        Names and values in turn.
    body : bytes
        The whole body.
    running, waiting, slots : int
        Requests that the target works on, requests that wait for it, and requests
        that it can work on at a time.
    rate : float, optional
        Requests per second that the target takes; None if it states no limit.
    slowdown : int
        How long work takes on its machine, in percent of the usual time; 0 if it
        reports none.
    """

    number: int
    status: int
    headers: list[str]
    body: bytes
    running: int
    waiting: int
    slots: int
    rate: float | None = None
    slowdown: int = 0


class RequestFailed(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Reports that a request has no answer, and the target's load.

    Parameters
    ----------
    number : int
        The request's number in its `Forward`.
    kind : str
        Error kind.
    not_run : bool
        Whether the request has not run and never will; if false, it may have run.
    retry_after_ms : int
        Time after which the caller may try again.
    running, waiting, slots, rate
        As in `Reply`.
    needed_ms : int
        Time that the request would have needed until its answer; 0 if not known.
    is_cold : bool
        Whether the reason is that the target is cold; `kind` then is one that daemons
        of earlier builds know.
    is_ineligible : bool
        Whether the reason is that the request may not run there, by its region or
        failure domain; `kind` then is one that daemons of earlier builds know.
    slowdown
        As in `Reply`.
    never_received : bool
        Whether the sender knows that the request never arrived, as it was sent in the
        session that continues. Daemons of earlier builds, without this field, report
        requests as not run also if they were sent before the session.
    """

    number: int
    kind: str
    not_run: bool
    retry_after_ms: int
    running: int
    waiting: int
    slots: int
    rate: float | None = None
    needed_ms: int = 0
    is_cold: bool = False
    slowdown: int = 0
    is_ineligible: bool = False
    never_received: bool = False


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Cancels a request.

    Parameters
    ----------
    number : int
        The request's number in its `Forward`.
    withdraws : bool
        Whether the request is only withdrawn: if no target has received it, it is
        removed and reported as not run; otherwise nothing changes. If false, the sender
        no longer awaits the outcome. Daemons without this field cancel the request.
    """

    number: int
    withdraws: bool = False


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Checks that the receiver responds; it answers with a `Pong`."""

    number: int


class Evacuated(msgspec.Struct, frozen=True, array_like=True):
    """The failure domains that operators have evacuated.

    Parameters
    ----------
    position : int
        Position in the operators' topic before which every change is included.
    domains : list of str
        Names of the domains.
    """

    position: int
    domains: list[str]


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Answers a ping and reports the sender's state of the store and its target's load.

    Parameters
    ----------
    number : int
        Number of the ping.
    end : int
        Offset before which the sender has every record of the directory.
    age_ms : int
        Time since the sender sent the read that confirmed `end`.
    configuration : int
        Version of the operators' configuration in force at the sender; -1 without one.
    utilization : int
        Slots that the requests by key of its target need, in thousandths of its slots.
    cost : int
        Utilization that one more such request per second adds, in millionths.
    evacuations : int
        Position of the state of evacuations that the sender knows; -1 without one.
    """

    number: int
    end: int
    age_ms: int
    configuration: int
    utilization: int
    cost: int
    evacuations: int = -1


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Requests records of the store that the sender lacks.

    Parameters
    ----------
    offset : int
        First offset of the directory that the sender lacks.
    configuration : int
        Version of the operators' configuration in force at the sender; -1 without one.
    evacuations : int
        Position up to which the sender knows evacuations; -1 without any.
    """

    offset: int
    configuration: int
    evacuations: int = -1


class SyncEntry(msgspec.Struct, frozen=True, array_like=True):
    """One record of the store."""

    offset: int
    key: str
    value: bytes


class SyncConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """One operators' configuration.

    Parameters
    ----------
    version : int
        Its version.
    key : str
        Key of its record.
    value : bytes
        Its value.
    """

    version: int
    key: str
    value: bytes


class SyncResponse(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Returns the records that a `SyncRequest` requested.

    Parameters
    ----------
    entries : list of SyncEntry
        Records of the directory.
    end, age_ms : int
        As in `Pong`.
    configuration : SyncConfiguration, optional
        The operators' configuration, if a newer one is in force at the sender than at
        the receiver.
    evacuated : Evacuated, optional
        Evacuations, if the sender knows of later ones than the receiver.
    """

    entries: list[SyncEntry]
    end: int
    age_ms: int
    configuration: SyncConfiguration | None = None
    evacuated: Evacuated | None = None


class Push(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Passes on a record that has just been written.

    Parameters
    ----------
    entry : SyncEntry
        The record.
    relay : bool
        Whether the receiver passes the record on within its whole region.
    limit : str
        If not empty, the address in the ring of the region before which the receiver
        passes the record on.
    """

    entry: SyncEntry
    relay: bool
    limit: str = ""


class ConfigurationPush(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Passes on an operators' configuration that has just been read.

    Parameters
    ----------
    version : int
        Its version.
    key : str
        Key of its record.
    deflated : bytes
        Its value, compressed by zlib.
    limit : str
        As in `Push`.
    evacuated : Evacuated, optional
        If given, these evacuations are passed on and no configuration; the version is
        then -1. Daemons of earlier builds, which close a connection that brings a frame
        of an unknown type, ignore such a push.
    """

    version: int
    key: str
    deflated: bytes
    limit: str
    evacuated: Evacuated | None = None


class SuspectEntry(msgspec.Struct, frozen=True, array_like=True):
    """One request under which targets have ended, as `SuspectRecord` has it."""

    fingerprint: bytes
    version: int
    ended_runs: tuple[int, ...]
    is_confirmed: bool
    age_ms: int


class SuspectsPush(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Passes on requests under which targets have ended."""

    suspects: list[SuspectEntry]


class RenewLease(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Requests that the receiver, as a witness, renews the sender's lease."""

    number: int


class LeaseRenewed(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Confirms a renewal of the lease; `number` is that of its `RenewLease`."""

    number: int


class ReplacementRequest(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Requests the vote of a witness that an owner may be replaced.

    Parameters
    ----------
    owner : str
        Address of the owner.
    at : int
        Offset that the record replacing the owner would have.
    """

    owner: str
    at: int


class ReplacementVote(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Answers `ReplacementRequest`: a vote for a record that replaces an owner."""

    owner: str
    at: int


class ShutdownNotice(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Announces that the sender shuts down soon and accepts no more requests."""


Frame: TypeAlias = (
    Hello
    | Resume
    | Forward
    | Reply
    | RequestFailed
    | Cancel
    | Ping
    | Pong
    | SyncRequest
    | SyncResponse
    | Push
    | ConfigurationPush
    | SuspectsPush
    | ShutdownNotice
    | RenewLease
    | LeaseRenewed
    | ReplacementRequest
    | ReplacementVote
)
