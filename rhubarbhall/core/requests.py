"""Requests of callers and the answers to them."""

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

#: What the names of this system's own headers begin with, in lower case.
OWN_PREFIX = "rhubarb-"
#: Refusals kept ready; the same ones come in crowds.
REFUSALS_KEPT = 512
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
        Request line; the path with its query.
    headers : tuple of (str, str)
        All headers.
    body : bytes
        The whole body.
    peer : str
        Address of the other end.
    from_daemon : bool
        Whether a daemon of the mesh vouched for the request.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    peer: str
    from_daemon: bool = False
    _value_by_name: dict[str, str] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        # Names are looked up several times for each request; the first one counts.
        self._value_by_name = {
            name.lower(): value for name, value in reversed(self.headers)
        }

    def header(self, name: str) -> str | None:
        """Return the first header of that name, or none."""
        return self._value_by_name.get(name.lower())


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers without those of the connection.
    body : bytes
        The whole body.
    kind : ErrorKind, optional
        Set when the answer is a refusal by this system.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    kind: ErrorKind | None = None

    @property
    def surely_not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self.kind is not None and ANSWER_BY_KIND[self.kind].ran is Ran.NO


@dataclass(slots=True)
class Request:
    """A whole request on its way through a daemon.

    Parameters
    ----------
    id : int
        Number within this daemon.
    service : Service
        Rules that apply.
    route : Route
        Rules of its route.
    key : str
        Key of a keyed service; empty otherwise.
    slice : SliceRef, optional
        Slice of `owner_key`.
    method, path : str
        As the target will see them.
    headers : tuple of (str, str)
        Headers that go on to the target.
    body : bytes
        The whole body.
    caller : str
        Who asked; shares of the queue are kept by it.
    arrived_at, deadline : float
        Own monotonic clock, in seconds.
    idempotency_key : str, optional
        Key against repeats.
    hops : int
        Daemons that passed it on already.
    not_before : float
        When the time in its idempotency key has come, own monotonic clock.
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
        """What decides who owns the request; none when any target may run it."""
        return self.key if self.service.keyed else self.idempotency_key


@lru_cache(maxsize=REFUSALS_KEPT)
def refusal(kind: ErrorKind, detail: str = "", owner: str | None = None) -> Response:
    """Return the answer for an error kind as ``application/problem+json``.

    Parameters
    ----------
    kind : ErrorKind
        Why the request is refused.
    detail : str
        What is particular to this request.
    owner : str, optional
        Address of the daemon that the caller may turn to.
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
