"""Catalogue of the numbered events that daemons log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NoteSpec:
    """One entry of the catalogue.

    Parameters
    ----------
    name : str
        Short name that goes with the number.
    meaning : str
        One sentence for operators.
    fields : tuple of str
        Values that come with the event.
    """

    name: str
    meaning: str
    fields: tuple[str, ...] = ()


SPEC_BY_CODE: dict[int, NoteSpec] = {
    101: NoteSpec("started", "The process is up.", ("member", "calls", "peers")),
    102: NoteSpec("log_unreachable", "No read of the log succeeds.", ("since_s",)),
    103: NoteSpec("log_reachable", "The log is read again.", ()),
    104: NoteSpec("snapshot_rejected", "A snapshot could not be read.", ("reason",)),
    105: NoteSpec(
        "newer_schema",
        "A record of a newer schema was read; no new ownership is taken.",
        ("schema",),
    ),
    106: NoteSpec(
        "snapshot_loaded", "The directory was loaded from a snapshot.", ("offset",)
    ),
    201: NoteSpec("joined", "The member has read its own join back.", ("member",)),
    202: NoteSpec("target_unreachable", "The target could not be fenced yet.", ()),
    203: NoteSpec(
        "join_void", "The join had no effect; a new one follows.", ("reason",)
    ),
    204: NoteSpec(
        "fenced",
        "The log says that this run has ended; a new run begins.",
        ("member", "reason"),
    ),
    205: NoteSpec("lease_held", "The member holds its lease.", ("member",)),
    206: NoteSpec("lease_lapsed", "The member may not serve.", ("member",)),
    207: NoteSpec(
        "members_closed", "Members have ended.", ("members", "offset", "slices_moved")
    ),
    208: NoteSpec("slice_acquired", "A slice is served from now on.", ("slice",)),
    209: NoteSpec(
        "release_overdue", "A moved slice still has orders running.", ("slice",)
    ),
    301: NoteSpec("drain_begun", "The member has begun to leave.", ("member",)),
    302: NoteSpec("drain_ended", "The member has left; nothing was cut.", ("member",)),
    401: NoteSpec("intent_in_force", "A new intent is in force.", ("version",)),
    402: NoteSpec("record_void", "An own record had no effect.", ("kind", "reason")),
}
