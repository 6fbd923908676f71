"""A stand-in for a target on the platform, for tests.

It sends heartbeats, obeys the grants in their answers, executes requests, and can
inject the faults that `TargetBehaviour` lists.
"""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from rhubarbhall.adapters.callers import CallerServer
from rhubarbhall.adapters.client import HttpClient
from rhubarbhall.caller_limits import CallerLimits
from rhubarbhall.core.requests import Response
from rhubarbhall.core.timers import TimerCallback
from rhubarbhall.settings import split_address

if TYPE_CHECKING:
    from rhubarbhall.core.requests import RawRequest
    from rhubarbhall.core.timers import TimerService
    from rhubarbhall.types import Address, RequestId, Seconds

_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class ExecutedRequest:
    """A request that a target has executed.

    Parameters
    ----------
    request : str
        Id of the request, from its ``Request-Id`` header.
    instance : str
        Id of the run of the target that executed it.
    caller : str
        Calling service, from its ``Caller-Service`` header.
    timeout_ms : int
        Time left for the answer in milliseconds, from its ``Timeout-Ms`` header.
    """

    request: str
    instance: str
    caller: str
    timeout_ms: int


@dataclass(slots=True)
class TargetBehaviour:
    """How a target works, and the faults that it injects.

    Parameters
    ----------
    work_s : float
        Time from the arrival of a request to its answer, in seconds.
    slots : int
        Requests that it can work on at a time, as its heartbeats state; not enforced.
    heartbeat_interval_s : float
        Time between two heartbeats, in seconds.
    sheds : bool
        Whether it refuses every request and states that it did not execute it.
    garbled_answer : str
        ``extra`` sends the answer to another request before the right one; ``cut``
        closes the connection within the body of the answer; the empty string injects
        nothing.
    unresponsive : bool
        Whether it neither executes nor answers requests.
    grants_by_request : bool
        Whether it takes keys by requests to its own port, and not from the answers to
        its heartbeats.
    stated_rate : str
        Requests per second that its answers state as its limit; it does not enforce
        them. Empty without a limit.
    announces_leaving : bool
        Whether its answers say that it leaves.
    warmup_left : str
        Remaining time of its warm-up, as its heartbeats state it; not counted down.
    stated_load : str
        Load that its answers state; empty for none.
    crash_path : str
        Start of the paths of requests under which it crashes; empty for none.
    padding_by_path : mapping of str to int
        Number of bytes that are added to the answers, by the start of the path.
    """

    work_s: Seconds = 0.01
    slots: int = 4
    heartbeat_interval_s: Seconds = 0.2
    sheds: bool = False
    garbled_answer: str = ""
    unresponsive: bool = False
    grants_by_request: bool = False
    stated_rate: str = ""
    announces_leaving: bool = False
    warmup_left: str = "0ms"
    stated_load: str = ""
    crash_path: str = ""
    padding_by_path: Mapping[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _GrantedRange:
    """A range of keys, ends included, that the target holds until its grant expires.

    Parameters
    ----------
    first, last : int
        The first and last key of the range.
    fence : int
        Fence of the grant.
    until : float
        Monotonic time at which the grant expires, in seconds.
    """

    first: int
    last: int
    fence: int
    until: Seconds


class PlatformTarget:
    """One run of a target, with an instance id of its own.

    Parameters
    ----------
    address : str
        Address to listen on for requests.
    service : str
        The service it belongs to.
    heartbeat_address : str
        Address of the router that its heartbeats go to.
    by_key : bool
        Whether it executes requests only for keys that it holds.
    timers : TimerService
        Timers for work and heartbeats, on the monotonic clock.
    client : HttpClient
        Client that sends the heartbeats.
    behaviour : TargetBehaviour
        How it works, and its faults; may be changed at any time.
    on_crash : callable
        Called when a request has crashed it.

    Attributes
    ----------
    instance : str
        Id of this run.
    state : str
        State that the heartbeats report.
    executed_requests : list of ExecutedRequest
        The requests executed so far.
    is_up : bool
        Whether it has not crashed.
    held : list of _GrantedRange
        The granted ranges of keys; expired ones stay until the next use of the list.
    acknowledged_heartbeats : int
        Number of heartbeats that were answered with status 200.
    port : CallerServer
        The server for requests; the owner of the target adds it to an event loop.
    """

    _instance_numbers = itertools.count(1)

    def __init__(
        self,
        address: Address,
        service: str,
        heartbeat_address: Address,
        by_key: bool,
        timers: TimerService,
        client: HttpClient,
        behaviour: TargetBehaviour,
        on_crash: Callable[[PlatformTarget], None] = lambda target: None,
    ) -> None:
        self.address = address
        self.service = service
        self.behaviour = behaviour
        self._on_crash = on_crash
        self.instance = f"i-{next(self._instance_numbers)}"
        self.state = "ready"
        self.executed_requests: list[ExecutedRequest] = []
        self.held: list[_GrantedRange] = []
        self.acknowledged_heartbeats = 0
        self._heartbeat_address = heartbeat_address
        self._by_key = by_key
        self._timers = timers
        self._client = client
        self._born = int(time.time() * _MS_PER_S)
        self._sequence = 0
        #: Tokens of withdrawn ranges whose release no router has acknowledged yet.
        self._released: dict[tuple[int, int], str] = {}
        self.is_up = True
        bind = split_address(address)
        name = f"platform-target-{address}-{self.instance}"
        self.port = CallerServer(bind, name, self, CallerLimits())

    def begin(self) -> None:
        """Send the first heartbeat and schedule the next ones."""
        self._send_heartbeat(time.monotonic())

    def crash(self) -> None:
        """Close the port and stop the heartbeats without reporting the end."""
        self.is_up = False
        self.port.close()

    def _unexpired_ranges(self) -> list[_GrantedRange]:
        """Drop the ranges whose grant has expired; return the rest."""
        now = time.monotonic()
        self.held = [row for row in self.held if row.until > now]
        return self.held

    def _send_heartbeat(self, now: Seconds, schedules_next: bool = True) -> None:
        if not self.is_up:
            return
        if schedules_next:
            self._timers.at(
                now + self.behaviour.heartbeat_interval_s,
                TimerCallback(self._send_heartbeat),
            )
        self._sequence += 1
        released = dict(self._released)
        heartbeat = {
            "address": self.address,
            "born": self._born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "z",
                "slots": self.behaviour.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "warmup_left": self.behaviour.warmup_left,
            },
            "holds": [
                [row.first, row.last, row.fence] for row in self._unexpired_ranges()
            ],
            "freed": [[*row, token] for row, token in released.items()],
        }
        self._client.fetch(
            self._heartbeat_address,
            "PUT",
            f"/instances/{self.instance}",
            (("Content-Type", "application/json"),),
            msgspec.json.encode(heartbeat),
            1.0,
            lambda result: self._on_answer(result, now, released),
        )

    def _on_answer(self, result, sent_at: Seconds, released: dict) -> None:
        if not isinstance(result, Response) or result.status != HTTPStatus.OK:
            return
        self.acknowledged_heartbeats += 1
        for row in released:
            self._released.pop(row, None)
        answer = msgspec.json.decode(result.body)
        if "holds" not in answer or self.behaviour.grants_by_request:
            return
        hold_s = int(answer["hold_time"].removesuffix("ms")) / _MS_PER_S
        rows = [
            _GrantedRange(first, last, fence, sent_at + hold_s)
            for first, last, fence, _ in answer["holds"]
        ]
        granted = {(row.first, row.last) for row in rows}
        withdrawn = [
            row
            for row in self._unexpired_ranges()
            if (row.first, row.last) not in granted
        ]
        for row in withdrawn:
            self._released[row.first, row.last] = f"{row.first:x}.{row.fence:x}"
        self.held = rows
        if withdrawn:
            # Report the release before the next regular heartbeat is due, so that the
            # next owner of the ranges waits less.
            extra_heartbeat = TimerCallback(
                lambda now: self._send_heartbeat(now, schedules_next=False)
            )
            self._timers.at(time.monotonic() + 0.05, extra_heartbeat)

    # Requests of routers

    def take(self, request_id: RequestId, raw: RawRequest) -> None:
        """Refuse a request, or execute it and answer after `work_s`."""
        if self.behaviour.grants_by_request and raw.path in ("/grant", "/release"):
            self.port.answer(request_id, self._on_key_request(raw))
            return
        headers = {name.lower(): value for name, value in raw.headers}
        refusal = self._refusal(headers)
        if self.behaviour.unresponsive:
            return
        if refusal is not None:
            self.port.answer(request_id, refusal)
            return
        crash_path = self.behaviour.crash_path
        crashes = bool(crash_path) and raw.path.startswith(crash_path)
        platform_request_id = headers["request-id"]
        caller, timeout = headers["caller-service"], int(headers["timeout-ms"])
        self.executed_requests.append(
            ExecutedRequest(platform_request_id, self.instance, caller, timeout)
        )

        def end_run(now: Seconds) -> None:
            if not self.is_up:
                return
            if crashes:
                self.crash()
                self._on_crash(self)
            else:
                body = raw.body + self._padding(raw.path)
                self._answer(request_id, platform_request_id, body)

        end_timer = TimerCallback(end_run)
        self._timers.at(time.monotonic() + self.behaviour.work_s, end_timer)

    def _on_key_request(self, raw: RawRequest) -> Response:
        """Carry out a grant or a release of a range of keys."""
        body = msgspec.json.decode(raw.body)
        first, last, fence = body["from"], body["target_version"], body["fence"]
        overlapping = [
            row
            for row in self._unexpired_ranges()
            if row.first <= last and first <= row.last
        ]
        is_grant = raw.path == "/grant"
        if is_grant and any(row.fence > fence for row in overlapping):
            return Response(HTTPStatus.CONFLICT)
        self._withdraw(first, last, overlapping)
        if not is_grant:
            return Response(HTTPStatus.OK, (("Handover", f"{first:x}.{fence:x}"),))
        hold_s = int(body["hold_time"].removesuffix("ms")) / _MS_PER_S
        until = time.monotonic() + hold_s
        self.held.append(_GrantedRange(first, last, fence, until))
        return Response(HTTPStatus.OK)

    def _withdraw(
        self, first: int, last: int, overlapping: list[_GrantedRange]
    ) -> None:
        for row in overlapping:
            self.held.remove(row)
            if row.first < first:
                self.held.append(replace(row, last=first - 1))
            if last < row.last:
                self.held.append(replace(row, first=last + 1))

    def caller_disconnected(self, request_id: RequestId) -> None:
        """Do nothing: the request took effect when it was received."""

    def _refusal(self, headers: dict[str, str]) -> Response | None:
        """Return the answer to a request that the target must not execute."""
        not_run = (
            ("Not-Executed", "1"),
            ("Request-Id", headers["request-id"]),
            *self._notice_headers(),
        )
        if headers.get("expected-instance") not in (None, self.instance):
            misdirected = (*not_run, ("Instance-Id", self.instance))
            return Response(HTTPStatus.MISDIRECTED_REQUEST, misdirected)
        if self._by_key:
            key = int(headers["shard-key"])
            if not any(
                row.first <= key <= row.last for row in self._unexpired_ranges()
            ):
                return Response(HTTPStatus.MISDIRECTED_REQUEST, not_run)
        if self.behaviour.sheds:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, not_run)
        return None

    def _padding(self, path: str) -> bytes:
        sizes = self.behaviour.padding_by_path.items()
        return bytes(sum(size for start, size in sizes if path.startswith(start)))

    def _notice_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers in which the target says what state it is in."""
        headers = []
        if self.behaviour.stated_rate:
            headers.append(("Server-Limit", self.behaviour.stated_rate))
        if self.behaviour.announces_leaving:
            headers.append(("Server-Leaving", "1"))
        if self.behaviour.stated_load:
            headers.append(("Server-Load", self.behaviour.stated_load))
        return tuple(headers)

    def _answer(
        self, request_id: RequestId, platform_request_id: str, body: bytes
    ) -> None:
        headers = (
            ("Request-Id", platform_request_id),
            ("Server-Signature", self.instance),
            *self._notice_headers(),
        )
        answer = Response(
            HTTPStatus.OK, headers, b"done " + platform_request_id.encode() + body
        )
        garbles = self.behaviour.garbled_answer
        sock = self.port.sock_of(request_id)
        if garbles == "extra" and sock is not None:
            self.port.send(sock, _FOREIGN_RESPONSE)
        if garbles == "cut" and sock is not None:
            self.port.send(sock, _TRUNCATED_RESPONSE % platform_request_id.encode())
            self.port.finish(sock)
            return
        self.port.answer(request_id, answer)


_FOREIGN_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Signature: x\r\n"
    b"Content-Length: 7\r\n\r\nforeign"
)
_TRUNCATED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: x\r\n"
    b"Content-Length: 500\r\n\r\npart"
)
