"""Reads raw HTTP requests: checks them against the intent and finds their slice.

The result is either a request that can be routed or the refusal to send back.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import unquote

from returns.result import Failure, Result, Success

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.idempotency import (
    is_too_far_ahead,
    minted_ms_of,
    wait_for_timestamp_s,
)
from rhubarbhall.core.requests import (
    CALLER_HEADER,
    DEADLINE_HEADER,
    HEADER_PREFIX,
    IDEMPOTENCY_HEADER,
    KEY_HEADER,
    SERVICE_HEADER,
    RawRequest,
    Request,
    Response,
    refusal,
)

if TYPE_CHECKING:
    from rhubarbhall.core.directory import Directory
    from rhubarbhall.core.intent import Route, Service
    from rhubarbhall.core.slices import SliceRef
    from rhubarbhall.types import RequestId, Seconds

#: Longest key of a request, in characters after percent-decoding.
MAX_KEY_LENGTH = 256
_MS_PER_S = 1000.0
# Headers, in lower case, that concern a single connection and are not forwarded.
_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    }
)


@dataclass(frozen=True, slots=True)
class _Destination:
    """Service and key that a request names, and the path that its target gets."""

    service: str
    key: str
    path: str


def read_request(
    now: Seconds,
    wall_ms: int,
    directory: Directory,
    request_id: RequestId,
    raw: RawRequest,
) -> Result[Request, Response]:
    """Check a raw request against the intent in force.

    Parameters
    ----------
    now : float
        Present time on the local monotonic clock, in seconds.
    wall_ms : int
        Present wall-clock time, in milliseconds since 1970.
    directory : Directory
        Intent in force and division of the keys into slices.
    request_id : int
        Number of the request, unique within this daemon.
    raw : RawRequest
        Request as it was parsed from the wire.

    Returns
    -------
    Result
        The request, or the refusal to send back.
    """
    if not raw.path.startswith("/"):
        return _refuse(ErrorKind.MALFORMED_REQUEST, "the path must start with '/'")
    name = raw.header(SERVICE_HEADER) or raw.path.partition("?")[0].split("/")[1]
    service = directory.intent.services.get(unquote(name))
    if service is None:
        return _refuse(ErrorKind.UNKNOWN_SERVICE, f"service {name!r}")
    destination = _read_destination(raw, service)
    if service.keyed and not 0 < len(destination.key) <= MAX_KEY_LENGTH:
        detail = f"name a key of 1 to {MAX_KEY_LENGTH} characters in path or header"
        return _refuse(ErrorKind.KEY_MISSING, detail)
    if len(raw.body) > service.max_body:
        return _refuse(ErrorKind.BODY_TOO_LARGE, f"limit {service.max_body} bytes")
    route = service.route_for(raw.method, destination.path)
    return _read_deadline(raw, service).bind(
        lambda deadline_s: _read_idempotency_key(raw, route, wall_ms).map(
            lambda idempotency_key: Request(
                id=request_id,
                service=service,
                route=route,
                key=destination.key,
                slice=_slice_of(directory, service, destination.key, idempotency_key),
                method=raw.method,
                path=destination.path,
                headers=_forwarded_headers(raw),
                body=raw.body,
                caller=raw.header(CALLER_HEADER) or raw.peer,
                arrived_at=now,
                deadline=now + deadline_s,
                idempotency_key=idempotency_key,
                hops=1 if raw.from_daemon else 0,
                not_before=now + _wait_for_timestamp_s(raw, idempotency_key, wall_ms),
            )
        )
    )


def _refuse(kind: ErrorKind, detail: str) -> Result[Request, Response]:
    return Failure(refusal(kind, detail))


def _read_destination(raw: RawRequest, service: Service) -> _Destination:
    path, question, query = raw.path.partition("?")
    parts = path.split("/")[1:]
    if raw.header(SERVICE_HEADER) is None:
        parts = parts[1:]
    key = ""
    if service.keyed:
        encoded_key = raw.header(KEY_HEADER)
        if encoded_key is not None:
            key = unquote(encoded_key)
        elif parts:
            key = unquote(parts.pop(0))
    return _Destination(service.name, key, "/" + "/".join(parts) + question + query)


def _slice_of(
    directory: Directory, service: Service, key: str, idempotency_key: str | None
) -> SliceRef | None:
    owner_key = key if service.keyed else idempotency_key
    if owner_key is None:
        return None
    return directory.slice_of(service.name, owner_key)


def _wait_for_timestamp_s(
    raw: RawRequest, idempotency_key: str | None, wall_ms: int
) -> Seconds:
    # The daemon that forwarded the request has waited already.
    return 0.0 if raw.from_daemon else wait_for_timestamp_s(idempotency_key, wall_ms)


def _read_deadline(raw: RawRequest, service: Service) -> Result[Seconds, Response]:
    text = raw.header(DEADLINE_HEADER)
    if text is None:
        return Success(service.deadline_ms / _MS_PER_S)
    limit = service.max_deadline_ms
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= limit:
        detail = f"{DEADLINE_HEADER} is {text!r}; allowed: 1 to {limit}"
        return Failure(refusal(ErrorKind.BAD_DEADLINE, detail))
    return Success(int(text) / _MS_PER_S)


def _read_idempotency_key(
    raw: RawRequest, route: Route, wall_ms: int
) -> Result[str | None, Response]:
    text = raw.header(IDEMPOTENCY_HEADER)
    if route.idempotency_key == "none" or (
        text is None and route.idempotency_key == "optional"
    ):
        return Success(None)
    if text is None:
        return Failure(refusal(ErrorKind.IDEMPOTENCY_KEY_REQUIRED))
    minted = minted_ms_of(text)
    if minted is None:
        detail = f"{text[:64]!r} is not a UUID of version 7"
        return Failure(refusal(ErrorKind.BAD_IDEMPOTENCY_KEY, detail))
    if not raw.from_daemon and is_too_far_ahead(minted, wall_ms):
        detail = f"{text!r} bears a time too far ahead"
        return Failure(refusal(ErrorKind.BAD_IDEMPOTENCY_KEY, detail))
    return Success(text)


def _forwarded_headers(raw: RawRequest) -> tuple[tuple[str, str], ...]:
    # Headers that only daemons may set are dropped, so that a caller cannot forge them.
    return tuple(
        (name, value)
        for name, value in raw.headers
        if name.lower() not in _DROPPED_HEADERS
        and not name.lower().startswith(HEADER_PREFIX)
    )
