"""Client of other daemons over HTTP.

It reads records and snapshots that they relay, requests the release of slices and
forwards requests of callers to the owners of their keys. All calls are signed.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from rhubarbhall.adapters.log_port import READ_LIMIT, READ_TIMEOUT_S, page_to_event
from rhubarbhall.adapters.signing import SIGNATURE_HEADER, sign
from rhubarbhall.core import commands, events
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.events import ReleasedSlice, RememberedOutcome
from rhubarbhall.core.requests import (
    CALLER_HEADER,
    DEADLINE_HEADER,
    HOP_HEADER,
    KEY_HEADER,
    KIND_HEADER,
    SERVICE_HEADER,
    Response,
)
from rhubarbhall.core.slices import SliceRef
from rhubarbhall.decoding import decode

if TYPE_CHECKING:
    from rhubarbhall.adapters.client import Call, Failed, HttpClient
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.requests import Request
    from rhubarbhall.types import Address, MemberId, Offset, RequestId

RECORDS_PATH = "/peer/records"
SNAPSHOT_PATH = "/peer/snapshot"
RELEASE_PATH = "/peer/release"
STOP_PATH = "/peer/stop"
#: Time within which a former owner has to answer a release call.
RELEASE_TIMEOUT_S = 1.0
#: Time within which a whole snapshot has to arrive.
SNAPSHOT_TIMEOUT_S = 10.0
#: Time after the deadline that a forwarded request carries at which its call fails.
FORWARD_CALL_MARGIN_S = 0.1
_MS_PER_S = 1000


class WireSlice(msgspec.Struct, frozen=True):
    """A slice and the epoch under which its new owner owns it, as JSON."""

    service: str
    index: int
    epoch: int


class ReleaseCall(msgspec.Struct, frozen=True):
    """Body of a release call, by which a new owner requests slices.

    Parameters
    ----------
    former : str
        Run that owned the slices.
    slices : tuple of WireSlice
        Slices with the epochs under which the new owner owns them.
    offset : int
        Offset up to which the new owner has read the log.
    """

    former: str
    slices: tuple[WireSlice, ...]
    offset: int


class WireOutcome(msgspec.Struct, frozen=True):
    """The outcome of a request with an idempotency key, as JSON.

    Parameters
    ----------
    key : str
        Idempotency key and key of the request, joined by ``|``.
    digest : str
        Digest of the request that used the idempotency key.
    age_s : float
        Age of the entry, in seconds.
    status : int
        HTTP status of the answer; 0 if the outcome is unknown.
    headers : tuple of (str, str)
        Headers of the answer.
    body : bytes
        Body of the answer.
    """

    key: str
    digest: str
    age_s: float
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class WireRelease(msgspec.Struct, frozen=True):
    """A slice that its former owner has stopped serving, as JSON.

    Parameters
    ----------
    slice : WireSlice
        The slice, with the epoch of the new owner.
    held_epoch : int
        Epoch under which the former owner served it; 0 if it never did.
    vouched_since_ms : int
        Time, in milliseconds since 1970, from which on `outcomes` is complete.
    outcomes : tuple of WireOutcome
        Outcomes of requests by their idempotency keys.
    """

    slice: WireSlice
    held_epoch: int
    vouched_since_ms: int
    outcomes: tuple[WireOutcome, ...]


class ReleaseReply(msgspec.Struct, frozen=True):
    """Answer to a release call: those of its slices that are released."""

    released: tuple[WireRelease, ...]


_RELEASE_DECODER = msgspec.json.Decoder(ReleaseReply)


def release_call_to_event(call: ReleaseCall) -> events.ReleaseRequested:
    """Return the event for the core that a release call stands for."""
    slices = tuple(
        (SliceRef(each.service, each.index), each.epoch) for each in call.slices
    )
    return events.ReleaseRequested(call.former, slices, call.offset)


def release_to_wire(reply: commands.ReplyRelease) -> ReleaseReply:
    """Return the core's answer to a release call in its JSON form."""
    return ReleaseReply(tuple(_release_to_wire(each) for each in reply.released))


def _release_to_wire(released: ReleasedSlice) -> WireRelease:
    ref = released.slice
    return WireRelease(
        WireSlice(ref.service, ref.index, released.epoch),
        released.held_epoch,
        released.vouched_since_ms,
        tuple(_outcome_to_wire(each) for each in released.outcomes),
    )


def _outcome_to_wire(outcome: RememberedOutcome) -> WireOutcome:
    response = outcome.response or Response(0)
    return WireOutcome(
        outcome.key,
        outcome.digest,
        outcome.age_s,
        response.status,
        response.headers,
        response.body,
    )


def _release_from_wire(wire: WireRelease) -> ReleasedSlice:
    return ReleasedSlice(
        SliceRef(wire.slice.service, wire.slice.index),
        wire.slice.epoch,
        wire.held_epoch,
        wire.vouched_since_ms,
        tuple(_outcome_from_wire(each) for each in wire.outcomes),
    )


def _outcome_from_wire(wire: WireOutcome) -> RememberedOutcome:
    response = None
    if wire.status:
        response = Response(wire.status, wire.headers, wire.body)
    return RememberedOutcome(wire.key, wire.digest, wire.age_s, response)


class HttpPeers:
    """Sends calls and forwarded requests to other daemons.

    Parameters
    ----------
    control : HttpClient
        Sends the calls for records, snapshots and releases.
    requests : HttpClient
        Sends forwarded requests.
    mesh_key : bytes
        Key that all daemons of the mesh share.
    """

    def __init__(
        self, control: HttpClient, requests: HttpClient, mesh_key: bytes
    ) -> None:
        self._control = control
        self._requests = requests
        self._mesh_key = mesh_key
        self._forwards: dict[RequestId, Call | None] = {}

    def read(
        self, peer: Address, offset: Offset, on_event: Callable[[Event], None]
    ) -> None:
        """Read records that a peer keeps, from `offset` on."""
        sent_at = time.monotonic()
        path = f"{RECORDS_PATH}?from={offset}&limit={READ_LIMIT}"
        self._control.fetch(
            peer,
            "GET",
            path,
            ((SIGNATURE_HEADER, sign(self._mesh_key, path)),),
            b"",
            READ_TIMEOUT_S,
            lambda outcome: on_event(page_to_event(outcome, offset, sent_at, False)),
        )

    def read_snapshot(self, peer: Address, on_event: Callable[[Event], None]) -> None:
        """Fetch a peer's snapshot of the directory."""

        def on_done(outcome: Response | Failed) -> None:
            if isinstance(outcome, Response) and outcome.status == 200:
                on_event(events.SnapshotRead(outcome.body))
            else:
                on_event(events.ReadFailed(from_log=False))

        self._control.fetch(
            peer,
            "GET",
            SNAPSHOT_PATH,
            ((SIGNATURE_HEADER, sign(self._mesh_key, SNAPSHOT_PATH)),),
            b"",
            SNAPSHOT_TIMEOUT_S,
            on_done,
        )

    def request_release(
        self, command: commands.RequestRelease, on_event: Callable[[Event], None]
    ) -> None:
        """Request slices from their former owner.

        Without a valid answer there is no event.
        """
        slices = tuple(
            WireSlice(ref.service, ref.index, epoch) for ref, epoch in command.slices
        )
        call = ReleaseCall(command.former, slices, command.offset)
        body = msgspec.json.encode(call)

        def on_done(outcome: Response | Failed) -> None:
            if not isinstance(outcome, Response) or outcome.status != 200:
                return
            try:
                reply = decode(_RELEASE_DECODER, outcome.body)
            except msgspec.MsgspecError:
                return
            released = tuple(_release_from_wire(each) for each in reply.released)
            on_event(events.ReleaseAnswered(command.former, released))

        self._control.fetch(
            command.peer,
            "POST",
            RELEASE_PATH,
            (
                ("Content-Type", "application/json"),
                (SIGNATURE_HEADER, sign(self._mesh_key, RELEASE_PATH, body)),
            ),
            body,
            RELEASE_TIMEOUT_S,
            on_done,
        )

    def forward(
        self,
        member_id: MemberId,
        command: commands.Forward,
        on_event: Callable[[Event], None],
    ) -> None:
        """Forward a request to the daemon that owns its key."""
        request = command.request

        def on_done(outcome: Response | Failed) -> None:
            self._forwards.pop(request.id, None)
            if isinstance(outcome, Response):
                answer = _with_kind(outcome)
                on_event(events.ForwardAnswered(request.id, answer))
            else:
                on_event(events.ForwardFailed(request.id, outcome.written))

        self._forwards[request.id] = None
        call = self._requests.fetch(
            command.address,
            request.method,
            request.path,
            (
                *request.headers,
                *self._hop_headers(member_id, request, command.budget_s),
            ),
            request.body,
            command.budget_s + FORWARD_CALL_MARGIN_S,
            on_done,
            request.service.max_answer,
        )
        if request.id in self._forwards:
            self._forwards[request.id] = call

    def _hop_headers(
        self, member_id: MemberId, request: Request, budget_s: float
    ) -> tuple[tuple[str, str], ...]:
        budget_ms = str(max(1, int(budget_s * _MS_PER_S)))
        signed = sign(
            self._mesh_key, member_id, request.method, request.path, budget_ms
        )
        headers = [
            (SERVICE_HEADER, request.service.name),
            (DEADLINE_HEADER, budget_ms),
            (CALLER_HEADER, request.caller),
            (HOP_HEADER, member_id),
            (SIGNATURE_HEADER, signed),
        ]
        if request.service.keyed:
            headers.append((KEY_HEADER, quote(request.key, safe="")))
        return tuple(headers)

    def cancel_forward(self, request_id: RequestId) -> None:
        """Abandon a forwarded request and close its connection."""
        call = self._forwards.pop(request_id, None)
        if call is not None:
            self._requests.cancel(call)


def _with_kind(response: Response) -> Response:
    """Return the response with the error kind that its header names."""
    for name, value in response.headers:
        if name.lower() == KIND_HEADER.lower():
            try:
                kind = ErrorKind(value)
            except ValueError:
                return response
            return Response(response.status, response.headers, response.body, kind)
    return response
