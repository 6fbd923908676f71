"""Heartbeats of the own target, and the grants in the answers to them."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol
from urllib.parse import unquote

import msgspec

from rhubarbhall.core.ownership.key_table import KEY_COUNT
from rhubarbhall.core.ownership.records import TargetState
from rhubarbhall.core.ownership.target_holds import Heartbeat
from rhubarbhall.core.requests import Response
from rhubarbhall.platform.names import INSTANCES_PATH, format_time, parse_time

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.target_holds import Grant
    from rhubarbhall.core.requests import RawRequest
    from rhubarbhall.types import Address, RequestId

_STATE_BY_WORD = {"ready": TargetState.READY, "draining": TargetState.LEAVING}
#: Largest answer that a target reads.
MAX_ANSWER_BYTES = 4096
_JSON = (("Content-Type", "application/json"),)


class _Info(msgspec.Struct, frozen=True):
    service: str
    slots: int
    zone: str = ""
    version: str = ""


class _Status(msgspec.Struct, frozen=True):
    state: str
    sequence: int
    warmup_left: str = "0ms"


class _Beat(msgspec.Struct, frozen=True):
    address: str
    info: _Info
    status: _Status
    #: Unix millisecond of the target's start; a whole number, however written.
    born: int = 0
    #: First key, last key, fence.
    holds: list[tuple[int, int, int]] = []
    #: First key, last key, handover token.
    freed: list[tuple[int, int, str]] = []


_BEAT = msgspec.json.Decoder(_Beat)


@dataclass(frozen=True, slots=True)
class Announcement:
    """A heartbeat with what tells whose it is.

    Parameters
    ----------
    address, service : str
        Address and service that the target names.
    heartbeat : Heartbeat
        What it says of itself.
    """

    address: Address
    service: str
    heartbeat: Heartbeat


class TargetEvents(Protocol):
    """Takes what the own target says."""

    def on_heartbeat(self, announcement: Announcement) -> Grant | None:
        """Take a heartbeat and return the grant to answer with.

        None answers without a word on keys.
        """

    def on_target_left(self, instance: str) -> None:
        """Learn that a target says it is gone."""

    def on_bad_heartbeat(self, reason: str) -> None:
        """Learn of a heartbeat that cannot be read."""


class HeartbeatAnswers(Protocol):
    """Where answers to heartbeats are written."""

    def answer(self, request_id: RequestId, response: Response) -> None:
        """Write an answer."""


def _checked(first: int, last: int) -> tuple[int, int]:
    if not 0 <= first <= last < KEY_COUNT:
        raise ValueError(f"keys {first}-{last}; allowed: 0-{KEY_COUNT - 1} in order")
    return first, last


def parse_heartbeat(instance: str, body: bytes) -> Announcement:
    """Return what a heartbeat says.

    Raises
    ------
    ValueError
        If it cannot be read; it then names no target to use.
    """
    beat = _BEAT.decode(body)
    if beat.status.state not in _STATE_BY_WORD:
        allowed = ", ".join(_STATE_BY_WORD)
        raise ValueError(f"state {beat.status.state!r}; allowed: {allowed}")
    holds = tuple((*_checked(first, last), fence) for first, last, fence in beat.holds)
    heartbeat = Heartbeat(
        instance=instance,
        born=beat.born,
        sequence=beat.status.sequence,
        state=_STATE_BY_WORD[beat.status.state],
        slots=max(1, beat.info.slots),
        warmup_left_s=parse_time(beat.status.warmup_left),
        holds=holds,
        handed_over={_checked(first, last): token for first, last, token in beat.freed},
    )
    return Announcement(beat.address, beat.info.service, heartbeat)


def encode_grant(grant: Grant | None) -> bytes:
    """Return the answer to a heartbeat.

    Ranges beyond what a target reads are left out; it lets them go.
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
    """Takes the calls that the own target makes.

    Parameters
    ----------
    events : TargetEvents
        Takes what it says.
    """

    def __init__(self, events: TargetEvents) -> None:
        self._events = events
        self.answers: HeartbeatAnswers | None = None

    def take(self, request_id: RequestId, raw: RawRequest) -> None:
        """Answer one call."""
        response = self._response(raw)
        self.answers.answer(request_id, response)

    def gone(self, request_id: RequestId) -> None:
        """Do nothing; every call is answered at once."""

    def _response(self, raw: RawRequest) -> Response:
        path = raw.path.partition("?")[0]
        if not path.startswith(INSTANCES_PATH):
            return Response(HTTPStatus.NOT_FOUND)
        instance = unquote(path.removeprefix(INSTANCES_PATH))
        if raw.method == "DELETE":
            self._events.on_target_left(instance)
            return Response(HTTPStatus.OK)
        if raw.method != "PUT":
            return Response(HTTPStatus.METHOD_NOT_ALLOWED)
        try:
            announcement = parse_heartbeat(instance, raw.body)
        except ValueError as error:
            self._events.on_bad_heartbeat(str(error))
            return Response(HTTPStatus.BAD_REQUEST)
        grant = self._events.on_heartbeat(announcement)
        return Response(HTTPStatus.OK, _JSON, encode_grant(grant))
