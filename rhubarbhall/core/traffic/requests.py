"""Routed requests, the load of targets and the outcomes of requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from rhubarbhall.core.errors import ErrorKind

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.body_budget import BodyReservation
    from rhubarbhall.types import Fingerprint, Seconds

Headers: TypeAlias = "tuple[tuple[str, str], ...]"


@dataclass(slots=True)
class RoutedRequest:
    """A request of a caller together with its route, deadline and priority.

    Parameters
    ----------
    id : str
        Request id that the caller chose for this attempt.
    service, route : str
        Service that the request is for, and name of its route.
    key : int, optional
        Key of the request, for a service that is divided by key.
    method, path, host : str
        HTTP method, path with the query, and host, as the caller sent them.
    headers : tuple of (str, str)
        Further headers, which are passed on unchanged.
    body : bytes
        The whole body.
    caller : str
        Service of the VM whose caller sent the request.
    idempotent : bool
        Whether the request may run more than once.
    priority : int
        Priority of the route; 0 is the highest.
    deadline : float
        Time after which nobody waits for the answer, local clock, in seconds.
    target_latency_deadline : float
        Time until which the answer meets the target latency of the route, local clock,
        in seconds.
    is_retry : bool
        Whether the caller seems to retry after a refusal.
    max_attempts : int
        Maximum number of targets that may receive the request.
    is_suspected : bool
        Whether its answer was lost at another target, which may have ended under it.
    fingerprint : bytes
        Identifies equal requests, as `fingerprint_of` returns it; empty until needed.
    reservation : BodyReservation, optional
        Room that the body takes at this daemon, if another one has sent the request.
    permitted_regions : frozenset of str
        Regions that the route allowed when the request arrived; all if empty. They
        count if no route in force matches the request any more.
    """

    id: str
    service: str
    route: str
    key: int | None
    method: str
    path: str
    host: str
    headers: Headers
    body: bytes
    caller: str
    idempotent: bool
    priority: int
    deadline: Seconds
    target_latency_deadline: Seconds
    is_retry: bool = False
    max_attempts: int = 1
    is_suspected: bool = False
    fingerprint: Fingerprint = b""
    reservation: BodyReservation | None = field(default=None, compare=False, repr=False)
    permitted_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a target.

    Parameters
    ----------
    running, waiting : int
        Number of requests that the target works on, and that wait for it.
    slots : int
        Number of requests that the target can work on at a time.
    rate : float, optional
        Requests per second that the target takes; None if it states no limit.
    slowdown : float, optional
        How long work takes on its machine, 1 for the usual time; None if it reports
        none.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 1
    rate: float | None = None
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class TargetNotice:
    """What a target says of itself in an answer.

    Parameters
    ----------
    rate : float, optional
        Requests per second that it takes from all daemons together; None if it states
        no limit.
    leaves : bool
        Whether it leaves, so that it must soon get no more requests.
    slowdown : float, optional
        How long work takes on its machine at present, 1 for the usual time; None if it
        does not say.
    """

    rate: float | None = None
    leaves: bool = False
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer of the target.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers, without those that concern the connection.
    body : bytes
        The whole body.
    """

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request has not run and will not run.

    Parameters
    ----------
    kind : ErrorKind
        Reason for the refusal.
    retry_after_s : float
        Time after which a retry may succeed, in seconds.
    needed_s : float
        Time that the request would have needed until its answer, as estimated by the
        queue that refused it for lack of room, in seconds; 0 if not known.
    """

    kind: ErrorKind
    retry_after_s: Seconds = 0.0
    needed_s: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request was sent to a target and may have run.

    Parameters
    ----------
    kind : ErrorKind
        Reason why the outcome is unknown.
    """

    kind: ErrorKind


Outcome: TypeAlias = "Answered | NotRun | Unknown"
