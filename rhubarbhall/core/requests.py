"""Requests of callers, the answers to them, and the names of their headers."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

import msgspec

from rhubarbhall.core.errors import ANSWER_BY_KIND, ErrorKind, Ran

if TYPE_CHECKING:
    from rhubarbhall.core.intent import Route, Service
    from rhubarbhall.core.slices import SliceRef
    from rhubarbhall.types import RequestId, Seconds

#: Prefix, in lower case, of the names of the headers that rhubarbhall defines.
HEADER_PREFIX = "rhubarb-"
#: Most refusals that are cached. Under overload the same refusal is sent very often.
REFUSAL_CACHE_SIZE = 512
PROBLEM_TYPE = "application/problem+json"
OWNER_HEADER = "Rhubarb-Owner"
DEADLINE_HEADER = "Rhubarb-Deadline-Ms"
IDEMPOTENCY_HEADER = "Idempotency-Key"
CALLER_HEADER = "Rhubarb-Caller"
HOP_HEADER = "Rhubarb-Hop"
RETRY_HEADER = "Retry-After"
KIND_HEADER = "Rhubarb-Kind"
SERVICE_HEADER = "Rhubarb-Service"
KEY_HEADER = "Rhubarb-Key"


@dataclass(slots=True)
class RawRequest:
    """A request as it was parsed from the wire.

    Parameters
    ----------
    method, path : str
        Method and path of the request line; the path includes the query.
    headers : tuple of (str, str)
        Names and values of all headers, in the order received.
    body : bytes
        Complete body.
    peer : str
        Address of the other end of the connection.
    from_daemon : bool
        Whether the request carries the valid signature of a daemon of the mesh.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    peer: str
    from_daemon: bool = False
    _value_by_name: dict[str, str] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        # Headers are looked up several times for each request. Of several headers
        # with the same name the first one counts.
        self._value_by_name = {
            name.lower(): value for name, value in reversed(self.headers)
        }

    def header(self, name: str) -> str | None:
        """Return the value of the first header of that name, or none."""
        return self._value_by_name.get(name.lower())


@dataclass(frozen=True, slots=True)
class Response:
    """A complete answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Names and values of the headers, without those that concern the connection.
    body : bytes
        Complete body.
    kind : ErrorKind, optional
        Error kind if a daemon refused the request; none for an answer of a target.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    kind: ErrorKind | None = None

    @property
    def known_not_run(self) -> bool:
        """Whether the request is known not to have run."""
        return self.kind is not None and ANSWER_BY_KIND[self.kind].ran is Ran.NO


@dataclass(slots=True)
class Request:
    """A complete request that a daemon handles.

    Parameters
    ----------
    id : int
        Number that is unique within this daemon.
    service : Service
        Service that the request is for, with its limits.
    route : Route
        Rules of the route that the request matches.
    key : str
        Key of the request if the service is keyed; empty otherwise.
    slice : SliceRef, optional
        Slice that `owner_key` belongs to; none if any target may run the request.
    method, path : str
        Method and path that the target receives.
    headers : tuple of (str, str)
        Names and values of the headers that the target receives.
    body : bytes
        Complete body.
    caller : str
        Name or address of the caller, by which the queue is shared fairly.
    arrived_at, deadline : float
        Times on the local monotonic clock, in seconds.
    idempotency_key : str, optional
        Key by which a repeat of the request is recognized.
    hops : int
        Number of daemons that have already passed the request on.
    not_before : float
        Earliest time at which the request may be sent to its owner: when the wall
        clock has reached the timestamp in the idempotency key. Local monotonic clock,
        in seconds.
    """

    id: RequestId
    service: Service
    route: Route
    key: str
    slice: SliceRef | None
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    caller: str
    arrived_at: Seconds
    deadline: Seconds
    idempotency_key: str | None = None
    hops: int = 0
    not_before: Seconds = 0.0

    @property
    def owner_key(self) -> str | None:
        """Key that determines the owner; none when any target may run the request."""
        return self.key if self.service.keyed else self.idempotency_key


@lru_cache(maxsize=REFUSAL_CACHE_SIZE)
def refusal(kind: ErrorKind, detail: str = "", owner: str | None = None) -> Response:
    """Return the answer for an error kind as ``application/problem+json``.

    Parameters
    ----------
    kind : ErrorKind
        Reason for the refusal.
    detail : str
        Explanation for this request in particular; left out if empty.
    owner : str, optional
        Address of the daemon to which the caller can send the request instead.

    Returns
    -------
    Response
        Refusal with status, title and ``Retry-After`` of the error kind.
    """
    spec = ANSWER_BY_KIND[kind]
    body = {
        "type": f"urn:rhubarbhall:{kind.value}",
        "title": spec.title,
        "status": spec.status,
        "kind": kind.value,
        "ran": spec.ran.value,
    }
    if detail:
        body["detail"] = detail
    headers = [("Content-Type", PROBLEM_TYPE), (KIND_HEADER, kind.value)]
    if spec.retry_after_s is not None:
        headers.append((RETRY_HEADER, str(spec.retry_after_s)))
    if owner is not None:
        headers.append((OWNER_HEADER, owner))
    return Response(spec.status, tuple(headers), msgspec.json.encode(body), kind)
