"""Traces one request through the logs of several routers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from rhubarbhall.core.errors import ANSWER_BY_KIND, ErrorKind
from rhubarbhall.core.log_events import SPEC_BY_CODE

#: Fields that every line has; a trace shows them in its own columns or leaves them out.
_LINE_FIELDS = ("code", "vm", "timestamp", "task_uuid", "task_level", "message_type")


@dataclass(frozen=True, slots=True)
class TraceLine:
    """A log line about a request.

    Parameters
    ----------
    timestamp : float
        Unix time on the clock of the VM that wrote it, in seconds.
    vm : str
        Name of that VM.
    code : int
        Number of the event.
    fields : dict of str to object
        All other fields of the line.
    """

    timestamp: float
    vm: str
    code: int
    fields: dict[str, Any]


def parse_line(line: str) -> dict[str, Any] | None:
    """Return the JSON message of a line; none if there is none.

    Log collectors may put text in front of it.
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        message = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return None
    return message if isinstance(message, dict) else None


def find_lines(lines: Iterable[str], request_id: str) -> Iterator[TraceLine]:
    """Yield the lines about a request and about calls made while serving it.

    The id of such a call is the id of the request, a dot and a suffix.
    """
    for line in lines:
        if request_id not in line:
            continue
        message = parse_line(line)
        if message is None or not isinstance(message.get("request"), str):
            continue
        logged_id = message["request"]
        if logged_id != request_id and not logged_id.startswith(f"{request_id}."):
            continue
        fields = {
            name: value for name, value in message.items() if name not in _LINE_FIELDS
        }
        yield TraceLine(
            float(message.get("timestamp", 0.0)),
            str(message.get("vm", "?")),
            int(message.get("code", 0)),
            fields,
        )


def format_trace(found: Iterable[TraceLine]) -> Iterator[str]:
    """Yield the text lines of a request's trace in the order of their timestamps.

    The clocks of VMs differ slightly, so lines from two VMs that are only milliseconds
    apart may come in the wrong order. A line with an error kind is followed by an
    explanation of that kind.
    """
    ordered = sorted(found, key=lambda line: line.timestamp)
    for line in ordered:
        after_s = line.timestamp - ordered[0].timestamp
        spec = SPEC_BY_CODE.get(line.code)
        name = spec.name if spec else f"event {line.code}"
        details = " ".join(f"{key}={value}" for key, value in line.fields.items())
        yield f"+{after_s:7.3f} s  {line.vm}  {name}  {details}"
        kind = line.fields.get("kind")
        if kind:
            yield f"            {explain(str(kind))}"


def explain(word: str) -> str:
    """Return a one-line explanation of an error kind or of an event number.

    Raises
    ------
    ValueError
        If `word` is neither.
    """
    if word.isdigit() and int(word) in SPEC_BY_CODE:
        spec = SPEC_BY_CODE[int(word)]
        return f"{spec.name}: {spec.meaning} (docs/events.md)"
    if word in set(ErrorKind):
        spec = ANSWER_BY_KIND[ErrorKind(word)]
        return f"{word}: {spec.title} (docs/errors.md)"
    kinds = ", ".join(sorted(ErrorKind))
    raise ValueError(
        f"{word!r} is not an error kind or event number; allowed: {kinds}, or one of "
        f"{min(SPEC_BY_CODE)} to {max(SPEC_BY_CODE)} in docs/events.md"
    )
