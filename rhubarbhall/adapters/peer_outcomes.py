"""Outcomes, headers and keys of requests in the form that frames carry them."""

from __future__ import annotations

from rhubarbhall.adapters.peer_frames import Refused, Reply
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import (
    Answered,
    Headers,
    Load,
    NotRun,
    Outcome,
    Unknown,
)

_MS_PER_S = 1000
_NO_KEY = -1


def key_number(key: int | None) -> int:
    """Return a key, or the number that stands for none."""
    return _NO_KEY if key is None else key


def key_of(number: int) -> int | None:
    """Return the key that `key_number` was given."""
    return None if number == _NO_KEY else number


def flat(headers: Headers) -> list[str]:
    """Return names and values in turn."""
    return [text for pair in headers for text in pair]


def paired(names_and_values: list[str]) -> Headers:
    """Return the headers that `flat` was given.

    Raises
    ------
    ValueError
        If a value is missing.
    """
    texts = names_and_values
    return tuple(zip(texts[::2], texts[1::2], strict=True))


def outcome_frame(number: int, outcome: Outcome, load: Load) -> Reply | Refused:
    """Return the frame that tells an outcome, and how busy the target is."""
    if isinstance(outcome, Answered):
        return Reply(
            number,
            outcome.status,
            flat(outcome.headers),
            outcome.body,
            load.running,
            load.waiting,
            load.slots,
        )
    retry_after_s = outcome.retry_after_s if isinstance(outcome, NotRun) else 0.0
    return Refused(
        number,
        outcome.kind,
        isinstance(outcome, NotRun),
        int(retry_after_s * _MS_PER_S),
        load.running,
        load.waiting,
        load.slots,
    )


def outcome_of(frame: Reply | Refused) -> Outcome:
    """Return the outcome that a frame tells.

    Raises
    ------
    ValueError
        If it names an error kind that is not known.
    """
    if isinstance(frame, Reply):
        return Answered(frame.status, paired(frame.headers), frame.body)
    kind = ErrorKind(frame.kind)
    if frame.not_run:
        return NotRun(kind, frame.retry_after_ms / _MS_PER_S)
    return Unknown(kind)
