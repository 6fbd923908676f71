"""The router's side towards its own target: heartbeats, grants, the gate."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhall.core.commands import Note
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.ownership.records import TargetState
from rhubarbhall.core.timers import Alarm

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.target_holds import Grant
    from rhubarbhall.core.traffic.requests import Outcome
    from rhubarbhall.platform.heartbeats import Announcement
    from rhubarbhall.programs.routing_daemon import RoutingDaemon
    from rhubarbhall.types import Seconds

#: Time before the end of a leaving target's work at which it gets no more.
LEAVING_MARGIN_S = 1.0


class KeyView:
    """What the gate asks and tells about keys."""

    def __init__(self, daemon: RoutingDaemon) -> None:
        self._daemon = daemon

    def note_request(self, now: Seconds, key: int) -> None:
        """Count a request for a key."""
        self._daemon.balancer.heat.note_request(now, key)

    def note_duration(self, took_s: Seconds) -> None:
        """Learn how long a request for a key took."""
        self._daemon.balancer.heat.note_duration(took_s)

    def note_refused(self) -> None:
        """Learn that the target did not take a request for a key."""
        self._daemon.balancer.heat.note_refused()

    def may_work_on(self, now: Seconds, key: int) -> bool:
        """Tell whether the target holds a key."""
        return self._daemon.holds.may_work_on(now, key)

    def awaits(self, key: int) -> bool:
        """Tell whether the table says that the target is to hold a key."""
        table = self._daemon.own_table()
        if table is None:
            return False
        span = table.find(key)
        return span.owner == self._daemon.me and not span.previous_lost


class TargetSide:
    """Takes what the target says; a part of `RoutingDaemon`, whose fields it uses."""

    def on_heartbeat(self, announcement: Announcement) -> Grant | None:
        """Take a heartbeat and return the grant to answer with."""
        now = self._told_now()
        settings = self.settings
        known = (settings.target, settings.service)
        if (announcement.address, announcement.service) != known:
            fields = {"reason": f"{announcement.service} at {announcement.address}"}
            self.note(Note(213, fields))
            return None
        heartbeat = announcement.heartbeat
        if not self.holds.accepts(heartbeat):
            return None
        before = self.holds.heartbeat
        self.holds.note(now, heartbeat)
        self.target.instance = heartbeat.instance
        if before is None or (before.run, before.state) != (
            heartbeat.run,
            heartbeat.state,
        ):
            fields = {"run": heartbeat.run, "state": str(heartbeat.state)}
            self.note(Note(212, fields))
        self._follow_state(now, before is not None and before.state)
        return self._grant(now)

    def _follow_state(self, now: Seconds, before: TargetState | bool) -> None:
        state = self.holds.state(now)
        if state is TargetState.READY:
            self.gate.open(self.holds.heartbeat.slots)
            self.balancer.slots = self.holds.heartbeat.slots
        elif before is not TargetState.LEAVING:
            self._close_gate_soon(now)
        self.publisher.look(now, self._member(now))

    def _grant(self, now: Seconds) -> Grant | None:
        if not self.publisher.by_key:
            return None
        left_s = self.lease_left_s(now)
        grant = self.holds.grant(now, self.own_table(), left_s, self.directory.end)
        self.gate.keys_changed(now)
        return grant

    def _close_gate_soon(self, now: Seconds) -> None:
        """Give a leaving target no more work well before it may no longer get any."""
        run = self.holds.run
        due = now + max(0.0, self.settings.drain_s - LEAVING_MARGIN_S)

        def close(later: Seconds) -> None:
            if self.holds.run == run and not self._takes_work(later):
                self.gate.close(ErrorKind.SHUTTING_DOWN)

        self.timers.at(due, Alarm(close))

    def _takes_work(self, now: Seconds) -> bool:
        return self.holds.state(now) is TargetState.READY

    def on_target_left(self, instance: str) -> None:
        """Learn that a target says it is gone."""
        now = self._told_now()
        if instance != self.holds.instance:
            return
        self.holds.note_left()
        self.note(Note(212, {"run": self.holds.run, "state": "left"}))
        self._close_gate_soon(now)
        self.publisher.look(now, self._member(now))

    def on_bad_heartbeat(self, reason: str) -> None:
        """Learn of a heartbeat that cannot be read."""
        self.note(Note(213, {"reason": reason}))

    def _on_target_outcome(self, ticket: int, outcome: Outcome) -> None:
        self.gate.finish(self._told_now(), ticket, outcome)

    def _on_target_unreachable(self, refused: bool) -> None:
        self.gate.note_unreachable(self._told_now())
