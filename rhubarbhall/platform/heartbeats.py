"""Heartbeats of the local target, and the grants of keys in the answers to them.

Decodes the platform's JSON into the heartbeat type of the core, and encodes grants.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Annotated, Any, Protocol
from urllib.parse import unquote

import msgspec
from msgspec import UNSET, UnsetType

from rhubarbhall.core.ownership.heartbeat import Heartbeat
from rhubarbhall.core.ownership.key_table import KEY_COUNT
from rhubarbhall.core.ownership.records import MAX_SLOTS, TargetState
from rhubarbhall.core.ownership.target_keys import Unacknowledged
from rhubarbhall.core.requests import Response
from rhubarbhall.decoding import decode
from rhubarbhall.platform.names import INSTANCES_PATH, format_time, parse_time
from rhubarbhall.settings import parse_address

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.target_keys import Grant, HeartbeatAnswer
    from rhubarbhall.core.requests import RawRequest
    from rhubarbhall.types import Address, RequestId

#: Numbers of a target. Records of the store hold 64 bits, and fences are counted on
#: from the highest one that is known.
_Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62) - 1)]
_Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
_STATE_BY_NAME = {"ready": TargetState.READY, "draining": TargetState.LEAVING}
#: Size of the largest answer that a target reads, in bytes.
MAX_ANSWER_BYTES = 4096
_JSON = (("Content-Type", "application/json"),)


# Targets send all of these fields; a heartbeat that lacks one is of another writer. An
# absent field must not count as a statement: a target that holds no keys, for example,
# says so in an empty list.


class _TargetInfo(msgspec.Struct, frozen=True):
    service: str
    slots: _Slots
    zone: str
    version: str


class _TargetStatus(msgspec.Struct, frozen=True):
    state: str
    sequence: _Number
    warmup_left: str


class _HeartbeatBody(msgspec.Struct, frozen=True):
    address: str
    info: _TargetInfo
    status: _TargetStatus
    #: Start of the target in Unix milliseconds; a whole number in any JSON notation.
    born: _Number
    #: First key, last key, fence. Only targets that take keys in the answers to their
    #: heartbeats send this and the next field.
    holds: list[tuple[int, int, _Number]] | UnsetType = UNSET
    #: First key, last key, handover token.
    freed: list[tuple[int, int, str]] | UnsetType = UNSET


_HEARTBEAT_DECODER = msgspec.json.Decoder(_HeartbeatBody)


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """A heartbeat and the target that it claims to be from.

    Parameters
    ----------
    address, service : str
        Address and service that the target reports as its own.
    heartbeat : Heartbeat
        State of the target.
    """

    address: Address
    service: str
    heartbeat: Heartbeat


class TargetEvents(Protocol):
    """Handler for messages from the local target."""

    def takes_keys_by_heartbeat(self) -> bool:
        """Return whether the target takes keys in the answers to its heartbeats."""

    def on_heartbeat(
        self, received: ReceivedHeartbeat, answer: Callable[[HeartbeatAnswer], None]
    ) -> None:
        """Process a heartbeat and call `answer` with the grant, now or soon.

        With no grant, the answer does not mention keys.
        """

    def on_target_left(self, instance: str, answer: Callable[[bool], None]) -> None:
        """Handle a target's report that it leaves.

        `answer` is called, now or soon, with whether the report is recorded.
        """

    def on_bad_heartbeat(self, reason: str) -> None:
        """Handle a heartbeat that could not be read."""


class HeartbeatAnswers(Protocol):
    """Server that writes the answers to heartbeats."""

    def answer(self, request_id: RequestId, response: Response) -> None:
        """Write the answer to a request."""


def _checked_range(first: int, last: int) -> tuple[int, int]:
    if not 0 <= first <= last < KEY_COUNT:
        raise ValueError(
            f"keys {first}-{last}; allowed: 0-{KEY_COUNT - 1} in ascending order"
        )
    return first, last


def parse_heartbeat(
    instance: str, body: bytes, lists_keys: bool = True
) -> ReceivedHeartbeat:
    """Decode the body of a heartbeat.

    Parameters
    ----------
    instance : str
        Name of the target, from the path of the request.
    body : bytes
        JSON of the platform.
    lists_keys : bool
        Whether heartbeats of the target list the keys that it holds and has released.

    Raises
    ------
    ValueError
        If the body is malformed or a value in it is not allowed; no part of it may
        then be used.
    """
    message = decode(_HEARTBEAT_DECODER, body)
    if message.status.state not in _STATE_BY_NAME:
        allowed = ", ".join(_STATE_BY_NAME)
        raise ValueError(f"state {message.status.state!r}; allowed: {allowed}")
    if lists_keys and UNSET in (message.holds, message.freed):
        raise ValueError("keys not listed; required: 'holds' and 'freed'")
    holds = [] if message.holds is UNSET else message.holds
    freed = [] if message.freed is UNSET else message.freed
    heartbeat = Heartbeat(
        instance=instance,
        born=message.born,
        sequence=message.status.sequence,
        state=_STATE_BY_NAME[message.status.state],
        slots=max(1, message.info.slots),
        warmup_left_s=parse_time(message.status.warmup_left),
        holds=tuple(
            (*_checked_range(first, last), fence) for first, last, fence in holds
        ),
        handed_over={
            _checked_range(first, last): token for first, last, token in freed
        },
    )
    address = parse_address(message.address)
    return ReceivedHeartbeat(address, message.info.service, heartbeat)


def encode_grant(grant: Grant | None) -> bytes:
    """Encode the answer to a heartbeat.

    Ranges that do not fit into `MAX_ANSWER_BYTES` are left out; the target releases
    them.
    """
    if grant is None or grant.hold_s <= 0:
        return b"{}"
    rows: list[Any] = [
        [span.first, span.last, span.fence, span.token] for span in grant.spans
    ]
    while True:
        answer = {"holds": rows, "hold_time": format_time(grant.hold_s)}
        body = msgspec.json.encode(answer)
        if len(body) <= MAX_ANSWER_BYTES:
            return body
        rows.pop()


class HeartbeatSink:
    """Serves the heartbeat port, which the local target calls.

    Parameters
    ----------
    events : TargetEvents
        Handler for the decoded messages.
    """

    def __init__(self, events: TargetEvents) -> None:
        self._events = events
        self.answers: HeartbeatAnswers | None = None

    def take(self, request_id: RequestId, raw: RawRequest) -> None:
        """Answer a call of the target."""

        def answer(response: Response) -> None:
            self.answers.answer(request_id, response)

        self._handle(raw, answer)

    def caller_disconnected(self, request_id: RequestId) -> None:
        """Do nothing: the answer to a call whose connection has ended is dropped."""

    def _handle(self, raw: RawRequest, answer: Callable[[Response], None]) -> None:
        path = raw.path.partition("?")[0]
        if not path.startswith(INSTANCES_PATH):
            answer(Response(HTTPStatus.NOT_FOUND))
            return
        instance = unquote(path.removeprefix(INSTANCES_PATH))
        if raw.method == "DELETE":
            self._on_delete(instance, answer)
        elif raw.method == "PUT":
            self._on_put(instance, raw.body, answer)
        else:
            answer(Response(HTTPStatus.METHOD_NOT_ALLOWED))

    def _on_delete(self, instance: str, answer: Callable[[Response], None]) -> None:
        def acknowledge(is_recorded: bool) -> None:
            status = HTTPStatus.OK if is_recorded else HTTPStatus.SERVICE_UNAVAILABLE
            answer(Response(status))

        self._events.on_target_left(instance, acknowledge)

    def _on_put(
        self, instance: str, body: bytes, answer: Callable[[Response], None]
    ) -> None:
        try:
            lists_keys = self._events.takes_keys_by_heartbeat()
            announcement = parse_heartbeat(instance, body, lists_keys)
        except ValueError as error:
            self._events.on_bad_heartbeat(str(error))
            answer(Response(HTTPStatus.BAD_REQUEST))
            return

        def answer_grant(grant: HeartbeatAnswer) -> None:
            if isinstance(grant, Unacknowledged):
                answer(Response(HTTPStatus.SERVICE_UNAVAILABLE))
            else:
                answer(Response(HTTPStatus.OK, _JSON, encode_grant(grant)))

        self._events.on_heartbeat(announcement, answer_grant)
