"""Writes numbered log events to the structured log with ``eliot``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eliot import log_message

from rhubarbhall.core.log_events import SPEC_BY_CODE

if TYPE_CHECKING:
    from rhubarbhall.core.commands import LogEvent


def write_log_event(vm: str, event: LogEvent) -> None:
    """Write one log event.

    Parameters
    ----------
    vm : str
        Address of the daemon that the event concerns.
    event : LogEvent
        The event; its number must be in `SPEC_BY_CODE`.
    """
    name = SPEC_BY_CODE[event.code].name
    log_message(f"rhubarbhall:{name}", code=event.code, vm=vm, **event.fields)
