"""Handlers for requests under which targets have ended.

The daemon beside a target observes the end and what ran then. What it concludes is
passed on from peer to peer, without the store; a connection that is opened begins with
all that is known, which reaches daemons that start anew or were cut off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhall.adapters.peer_frames import SuspectEntry, SuspectsPush
from rhubarbhall.core.commands import LogEvent
from rhubarbhall.core.ownership.records import TargetState
from rhubarbhall.core.traffic.crash_suspects import (
    MAX_UPDATES,
    Standing,
    SuspectRecord,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhall.core.traffic.lost_runs import LostRun
    from rhubarbhall.types import Address, Seconds

#: Characters of a path that the log shows.
MAX_LOGGED_PATH = 200
#: Minimum time between two messages with updates to all watched peers, in seconds.
UPDATE_INTERVAL_S = 0.1
#: Time between two looks for suspects that have not changed for long, in seconds.
FORGET_INTERVAL_S = 60.0
_MS_PER_S = 1000


def suspects_push(records: Iterable[SuspectRecord]) -> SuspectsPush:
    """Return the message to peers for records of suspects."""
    return SuspectsPush(
        [
            SuspectEntry(
                record.fingerprint,
                record.version,
                record.ended_runs,
                record.is_confirmed,
                int(record.age_s * _MS_PER_S),
            )
            for record in records
        ]
    )


def _records(push: SuspectsPush) -> list[SuspectRecord]:
    return [
        SuspectRecord(
            entry.fingerprint,
            entry.version,
            entry.ended_runs,
            entry.is_confirmed,
            max(0, entry.age_ms) / _MS_PER_S,
        )
        for entry in push.suspects
    ]


class SuspectHandlers:
    """Handles crash suspects; a mix-in of `RoutingDaemon` that uses its fields."""

    def _on_target_ended(self, now: Seconds) -> None:
        """Suspect the requests that ran when the local target ended.

        A target that leaves ends as planned, whatever it runs.
        """
        lost = self.admission_queue.lost_runs.take(now)
        is_planned = self.target_keys.state(now) is TargetState.LEAVING
        if not lost or is_planned:
            return
        run = self.target_keys.run
        self.log_event(LogEvent(219, {"run": run, "suspects": len(lost)}))
        for each in lost:
            self.suspects.record_end(now, each.fingerprint, run, each.was_alone)
            self._log_if_rejected(now, each)
        self._on_suspects_changed(now)

    def _log_if_rejected(self, now: Seconds, lost: LostRun) -> None:
        if self.suspects.standing_of(now, lost.fingerprint) is Standing.REJECTED:
            fields = {
                "fingerprint": lost.fingerprint.hex(),
                "route": lost.route,
                "path": lost.path[:MAX_LOGGED_PATH],
            }
            self.log_event(LogEvent(220, fields))

    def _on_suspects_changed(self, now: Seconds) -> None:
        self._push_suspect_updates(now)
        self.admission_queue.on_suspects_changed(now)

    def _push_suspect_updates(self, now: Seconds) -> None:
        """Pass on what has changed, unless that was done just now."""
        if now - self._suspects_pushed_at < UPDATE_INTERVAL_S:
            return
        updates = self.suspects.take_updates(now)
        if updates:
            self._suspects_pushed_at = now
            self.links.push_suspects(suspects_push(updates))

    def _send_all_suspects(self, address: Address) -> None:
        """Send all suspects to a peer whose connection was opened."""
        records = list(self.suspects.records(self._advance_timers()))
        for first in range(0, len(records), MAX_UPDATES):
            push = suspects_push(records[first : first + MAX_UPDATES])
            self.links.send_suspects(address, push)

    def clear_suspect(self, fingerprint: str) -> bool:
        """Clear a suspect on all daemons, on behalf of operators.

        Parameters
        ----------
        fingerprint : str
            Hexadecimal digits, as the log and the dump show them.

        Returns
        -------
        bool
            Whether it was known.
        """
        now = self._advance_timers()
        try:
            is_known = self.suspects.clear(now, bytes.fromhex(fingerprint))
        except ValueError:
            return False
        self.log_event(LogEvent(221, {"fingerprint": fingerprint, "known": is_known}))
        self._on_suspects_changed(now)
        return is_known

    def on_suspects(self, push: SuspectsPush) -> None:
        """Take over what a peer knows, and pass on what is new."""
        now = self._advance_timers()
        if self.suspects.merge(now, _records(push)):
            self._on_suspects_changed(now)
