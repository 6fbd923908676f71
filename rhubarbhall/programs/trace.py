"""The story of one request, read from the logs of several routers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from rhubarbhall.core.errors import ANSWER_BY_KIND, ErrorKind
from rhubarbhall.core.notes import SPEC_BY_CODE

#: Fields of a line that its own text already tells.
_TOLD = ("code", "vm", "timestamp", "task_uuid", "task_level", "message_type")


@dataclass(frozen=True, slots=True)
class TraceLine:
    """One line of a log that concerns a request.

    Parameters
    ----------
    timestamp : float
        Unix time on the clock of the VM that wrote it, in seconds.
    vm : str
        Name of that VM.
    code : int
        Number of the event.
    fields : dict of str to object
        What came with it.
    """

    timestamp: float
    vm: str
    code: int
    fields: dict[str, Any]


def _parsed(line: str) -> dict[str, Any] | None:
    """Return the message in a line, which other writers may have put text before."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        message = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return None
    return message if isinstance(message, dict) else None


def find_lines(lines: Iterable[str], request_id: str) -> Iterator[TraceLine]:
    """Yield the lines about a request, and about calls that its run made.

    Such calls carry the request's id before a dot.
    """
    for line in lines:
        if request_id not in line:
            continue
        message = _parsed(line)
        if message is None or not isinstance(message.get("request"), str):
            continue
        named = message["request"]
        if named != request_id and not named.startswith(f"{request_id}."):
            continue
        fields = {name: value for name, value in message.items() if name not in _TOLD}
        yield TraceLine(
            float(message.get("timestamp", 0.0)),
            str(message.get("vm", "?")),
            int(message.get("code", 0)),
            fields,
        )


def tell_story(found: Iterable[TraceLine]) -> Iterator[str]:
    """Yield the lines of a request's story in the order of time.

    Clocks of VMs differ a little, so lines of two VMs within some milliseconds of each
    other may stand in the wrong order.
    """
    ordered = sorted(found, key=lambda line: line.timestamp)
    for line in ordered:
        after_s = line.timestamp - ordered[0].timestamp
        spec = SPEC_BY_CODE.get(line.code)
        name = spec.name if spec else f"event {line.code}"
        told = " ".join(f"{key}={value}" for key, value in line.fields.items())
        yield f"+{after_s:7.3f} s  {line.vm}  {name}  {told}"
        kind = line.fields.get("kind")
        if kind:
            yield f"            {explain(str(kind))}"


def explain(word: str) -> str:
    """Return a sentence on an error kind or the number of an event.

    Raises
    ------
    ValueError
        If it is neither.
    """
    if word.isdigit() and int(word) in SPEC_BY_CODE:
        spec = SPEC_BY_CODE[int(word)]
        return f"{spec.name}: {spec.meaning} (docs/events.md)"
    if word in set(ErrorKind):
        spec = ANSWER_BY_KIND[ErrorKind(word)]
        return f"{word}: {spec.title} (docs/errors.md)"
    kinds = ", ".join(sorted(ErrorKind))
    raise ValueError(
        f"{word!r} is no error kind or event number; allowed: {kinds}, or one of "
        f"{min(SPEC_BY_CODE)} to {max(SPEC_BY_CODE)} in docs/events.md"
    )
