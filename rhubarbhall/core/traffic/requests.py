"""Requests and their outcomes, as the rooms of traffic see them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from rhubarbhall.core.errors import ErrorKind

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

Headers: TypeAlias = "tuple[tuple[str, str], ...]"


@dataclass(slots=True)
class Request:
    """A whole request of a caller.

    Parameters
    ----------
    id : str
        The caller's name for this attempt.
    service, route : str
        Where it goes and by which route.
    key : int, optional
        Key of a service that is divided by key.
    method, path, host : str
        As the caller sent them.
    headers : tuple of (str, str)
        Further headers, which go on unchanged.
    body : bytes
        The whole body.
    caller : str
        Service of the VM where the request began.
    idempotent : bool
        Whether it may run more than once.
    priority : int
        Rank of its route; 0 is the highest.
    deadline : float
        When its answer is of no more use, own clock.
    worth_most_until : float
        Until when an answer is worth most to its caller, own clock.
    came_back : bool
        Whether the caller seems to have been refused before.
    max_attempts : int
        Targets that it may be sent to.
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
    worth_most_until: Seconds
    came_back: bool = False
    max_attempts: int = 1


@dataclass(frozen=True, slots=True)
class Load:
    """How busy a target is.

    Parameters
    ----------
    running, waiting : int
        Requests that it works on, and those that wait for it.
    slots : int
        Requests that it can work on at a time.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 1


@dataclass(frozen=True, slots=True)
class Answered:
    """The target's own whole answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers without those of the connection.
    body : bytes
        The whole body.
    """

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was never worked on and never will be.

    Parameters
    ----------
    kind : ErrorKind
        Why.
    retry_after_s : float
        When it is worth coming back.
    """

    kind: ErrorKind
    retry_after_s: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request was sent and may have run.

    Parameters
    ----------
    kind : ErrorKind
        What is known.
    """

    kind: ErrorKind


Outcome: TypeAlias = "Answered | NotRun | Unknown"
