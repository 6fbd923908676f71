"""Conversion of outcomes, headers and keys to and from their form in frames."""

from __future__ import annotations

from http import HTTPStatus
from math import ceil

from rhubarbhall.adapters.http_wire import MAX_STATUS
from rhubarbhall.adapters.peer_frames import Reply, RequestFailed
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import (
    Answered,
    Headers,
    Load,
    NotRun,
    Outcome,
    Unknown,
)
from rhubarbhall.core.traffic.slowdown import bounded

_MS_PER_S = 1000
#: Error kinds that earlier builds do not know, each with the one that is sent instead:
#: those builds close a connection that brings an unknown kind.
_SENT_KINDS = {
    ErrorKind.REGION_NOT_ALLOWED: ErrorKind.NO_TARGET,
    ErrorKind.DOMAIN_EVACUATED: ErrorKind.SHUTTING_DOWN,
    ErrorKind.TARGET_COLD: ErrorKind.OVERLOADED,
}
#: Kinds of requests that may not run where they were sent.
_INELIGIBLE_KINDS = (ErrorKind.REGION_NOT_ALLOWED, ErrorKind.DOMAIN_EVACUATED)
_KIND_BY_SENT_KIND = {_SENT_KINDS[kind]: kind for kind in _INELIGIBLE_KINDS}
_NO_KEY = -1
_PERCENT = 100


def encode_key(key: int | None) -> int:
    """Return a key, or -1 for a request without one."""
    return _NO_KEY if key is None else key


def decode_key(number: int) -> int | None:
    """Return the key that `encode_key` encoded; None for a request without one."""
    return None if number == _NO_KEY else number


def flatten_headers(headers: Headers) -> list[str]:
    """Return the names and values of headers in turn."""
    return [text for pair in headers for text in pair]


def pair_headers(names_and_values: list[str]) -> Headers:
    """Return the headers that `flatten_headers` flattened.

    Raises
    ------
    ValueError
        If the last name has no value.
    """
    texts = names_and_values
    return tuple(zip(texts[::2], texts[1::2], strict=True))


def encode_outcome(number: int, outcome: Outcome, load: Load) -> Reply | RequestFailed:
    """Return the frame that carries an outcome and the target's load.

    Parameters
    ----------
    number : int
        Number that the receiver of the frame gave the request.
    outcome : Outcome
        Outcome of the request.
    load : Load
        Load of the target.
    """
    if isinstance(outcome, Answered):
        return Reply(
            number,
            outcome.status,
            flatten_headers(outcome.headers),
            outcome.body,
            load.running,
            load.waiting,
            load.slots,
            load.rate,
            _encode_slowdown(load),
        )
    is_not_run = isinstance(outcome, NotRun)
    retry_after_s = outcome.retry_after_s if is_not_run else 0.0
    needed_s = outcome.needed_s if is_not_run else 0.0
    is_cold = outcome.kind is ErrorKind.TARGET_COLD
    return RequestFailed(
        number,
        _SENT_KINDS.get(outcome.kind, outcome.kind),
        is_not_run,
        int(retry_after_s * _MS_PER_S),
        load.running,
        load.waiting,
        load.slots,
        load.rate,
        ceil(needed_s * _MS_PER_S),
        is_cold,
        _encode_slowdown(load),
        outcome.kind in _INELIGIBLE_KINDS,
    )


def _encode_slowdown(load: Load) -> int:
    return 0 if load.slowdown is None else round(load.slowdown * _PERCENT)


def decode_load(frame: Reply | RequestFailed) -> Load:
    """Return the target's load that a frame carries."""
    slowdown = bounded(frame.slowdown / _PERCENT) if frame.slowdown else None
    return Load(frame.running, frame.waiting, frame.slots, frame.rate, slowdown)


def decode_outcome(frame: Reply | RequestFailed) -> Outcome:
    """Return the outcome that a frame carries.

    A reply whose status is not that of a final answer is none: a daemon of an earlier
    version passes on whatever its target has sent.

    Raises
    ------
    ValueError
        If the frame names an unknown error kind or a header lacks its value.
    """
    if isinstance(frame, Reply):
        if not HTTPStatus.OK <= frame.status <= MAX_STATUS:
            return Unknown(ErrorKind.ANSWER_LOST)
        return Answered(frame.status, pair_headers(frame.headers), frame.body)
    kind = ErrorKind(frame.kind)
    if frame.is_cold:
        kind = ErrorKind.TARGET_COLD
    elif frame.is_ineligible:
        kind = _KIND_BY_SENT_KIND.get(kind, kind)
    if frame.not_run:
        retry_after_s = frame.retry_after_ms / _MS_PER_S
        return NotRun(kind, retry_after_s, frame.needed_ms / _MS_PER_S)
    return Unknown(kind)
