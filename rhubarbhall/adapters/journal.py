"""Writes numbered events to the structured log, by ``eliot``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eliot import log_message

from rhubarbhall.core.notes import SPEC_BY_CODE

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Note


def write_note(vm: str, note: Note) -> None:
    """Write one event.

    Parameters
    ----------
    vm : str
        Address of the daemon that it concerns.
    note : Note
        The event; its number must be in the catalogue.
    """
    name = SPEC_BY_CODE[note.code].name
    log_message(f"rhubarbhall:{name}", code=note.code, vm=vm, **note.fields)
