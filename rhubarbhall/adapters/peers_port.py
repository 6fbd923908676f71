"""Other daemons over HTTP with JSON: records, snapshots, releases, requests."""

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

if TYPE_CHECKING:
    from rhubarbhall.adapters.client import Call, Failed, HttpClient
    from rhubarbhall.core.events import Event
    from rhubarbhall.core.requests import Request
    from rhubarbhall.types import Address, MemberId, Offset, RequestId

RECORDS_PATH = "/peer/records"
SNAPSHOT_PATH = "/peer/snapshot"
RELEASE_PATH = "/peer/release"
STOP_PATH = "/peer/stop"
RELEASE_TIMEOUT_S = 1.0
SNAPSHOT_TIMEOUT_S = 10.0
#: Time by which a forwarded call outlasts the deadline that it carries.
FORWARD_MARGIN_S = 0.1
_MS_PER_S = 1000


class WireSlice(msgspec.Struct, frozen=True):
    """A slice with the epoch of its new owner."""

    service: str
    index: int
    epoch: int


class ReleaseCall(msgspec.Struct, frozen=True):
    """Asks a former owner to release slices."""

    former: str
    slices: tuple[WireSlice, ...]
    offset: int


class WireOutcome(msgspec.Struct, frozen=True):
    """One remembered outcome; `status` 0 stands for an unknown one."""

    key: str
    digest: str
    age_s: float
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class WireRelease(msgspec.Struct, frozen=True):
    """One released slice with its outcomes."""

    slice: WireSlice
    held_epoch: int
    vouched_since_ms: int
    outcomes: tuple[WireOutcome, ...]


class ReleaseReply(msgspec.Struct, frozen=True):
    """The slices among those asked for that are released."""

    released: tuple[WireRelease, ...]


def release_call_to_event(call: ReleaseCall) -> events.ReleaseAsked:
    """Return the event that a call stands for."""
    slices = tuple(
        (SliceRef(each.service, each.index), each.epoch) for each in call.slices
    )
    return events.ReleaseAsked(call.former, slices, call.offset)


def release_to_wire(reply: commands.ReplyRelease) -> ReleaseReply:
    """Return the answer to a release call."""
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
    """Calls to other daemons.

    Parameters
    ----------
    control : HttpClient
        Sends the calls of the protocol.
    requests : HttpClient
        Sends forwarded requests.
    mesh_key : bytes
        Key of the mesh.
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
        """Pull records from a peer."""
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
        """Fetch a peer's snapshot."""

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

    def ask_release(
        self, command: commands.AskRelease, on_event: Callable[[Event], None]
    ) -> None:
        """Ask a former owner to release slices."""
        slices = tuple(
            WireSlice(ref.service, ref.index, epoch) for ref, epoch in command.slices
        )
        call = ReleaseCall(command.former, slices, command.offset)
        body = msgspec.json.encode(call)

        def on_done(outcome: Response | Failed) -> None:
            if not isinstance(outcome, Response) or outcome.status != 200:
                return
            try:
                reply = msgspec.json.decode(outcome.body, type=ReleaseReply)
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
        self, me: MemberId, command: commands.Forward, on_event: Callable[[Event], None]
    ) -> None:
        """Pass a request on to the daemon that owns its key."""
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
            (*request.headers, *self._hop_headers(me, request, command.budget_s)),
            request.body,
            command.budget_s + FORWARD_MARGIN_S,
            on_done,
            request.service.max_answer,
        )
        if request.id in self._forwards:
            self._forwards[request.id] = call

    def _hop_headers(
        self, me: MemberId, request: Request, budget_s: float
    ) -> tuple[tuple[str, str], ...]:
        budget_ms = str(max(1, int(budget_s * _MS_PER_S)))
        signed = sign(self._mesh_key, me, request.method, request.path, budget_ms)
        headers = [
            (SERVICE_HEADER, request.service.name),
            (DEADLINE_HEADER, budget_ms),
            (CALLER_HEADER, request.caller),
            (HOP_HEADER, me),
            (SIGNATURE_HEADER, signed),
        ]
        if request.service.keyed:
            headers.append((KEY_HEADER, quote(request.key, safe="")))
        return tuple(headers)

    def cancel_forward(self, request_id: RequestId) -> None:
        """Give a forwarded request up and close its connection."""
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
