"""The router's side towards other routers: requests, leases, records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhall.adapters.peer_frames import Pong, Push, SyncAsk, SyncEntry, SyncTell
from rhubarbhall.core.commands import Note
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.ownership.directory import Entry
from rhubarbhall.core.ownership.key_heat import TargetLoad
from rhubarbhall.core.traffic.requests import NotRun

if TYPE_CHECKING:
    from rhubarbhall.adapters.peer_events import Origin
    from rhubarbhall.core.traffic.requests import Load, Outcome, Request
    from rhubarbhall.types import Address, Offset, Seconds


class PeerSide:
    """Takes what other routers say; a part of `RoutingDaemon`, whose fields it uses."""

    def on_outcome(
        self, address: Address, ticket: int, outcome: Outcome, load: Load | None
    ) -> None:
        """Take the outcome of a request that was sent to another daemon."""
        self.entrance.on_outcome(self._told_now(), ticket, address, outcome, load)

    def on_forward(self, origin: Origin, request: Request) -> int:
        """Take a request for the own target."""
        now = self._told_now()

        def on_outcome(outcome: Outcome) -> None:
            self.journal.gate_ended(request, outcome)
            self.sessions.answer(origin, outcome, self.gate.load)

        if request.service != self.settings.service:
            on_outcome(NotRun(ErrorKind.NO_TARGET))
            return 0
        if self._said_goodbye:
            on_outcome(NotRun(ErrorKind.SHUTTING_DOWN))
            return 0
        return self.gate.submit(now, request, on_outcome)

    def on_cancel(self, ticket: int) -> None:
        """Give up a request for the own target."""
        self.gate.cancel(self._told_now(), ticket)

    def on_heard(self, address: Address) -> None:
        """Learn that a daemon is alive."""
        self.liveness.note_heard(self._told_now(), address)

    def on_refused(self, address: Address) -> None:
        """Learn that no process listens at an address."""
        self.liveness.note_refused(self._told_now(), address)

    def on_link(self, address: Address, is_up: bool) -> None:
        """Learn that a connection stands, or no longer does."""
        self.note(Note(311 if is_up else 312, {"peer": address}))

    def on_pong(self, address: Address, asked_at: Seconds, pong: Pong) -> None:
        """Learn what a daemon knows of the store, and how busy its target is."""
        now = self._told_now()
        load = TargetLoad(pong.utilization / 1000, pong.cost / 1_000_000)
        self.balancer.note_load(now, address, load)
        if not self.directory.is_loaded:
            return
        own = self._configuration.offset if self._configuration else -1
        if pong.end > self.directory.end or pong.configuration > own:
            self.links.ask_sync(address, self.directory.end, own)
        else:
            self.lease.confirm(asked_at - pong.age_ms / 1000)

    def on_push(self, push: Push) -> None:
        """Take a record that was just written."""
        now = self._told_now()
        entry = Entry(push.entry.offset, push.entry.key, push.entry.value)
        rejected = self.directory.apply_next(entry)
        self._note_rejected(rejected)
        if push.relay:
            self.links.push(push.entry, everywhere=False)
        self._on_directory_changed(now)

    def on_sync_ask(self, ask: SyncAsk) -> SyncTell:
        """Return records for a daemon that lacks them."""
        now = self._told_now()
        entries = [
            SyncEntry(entry.offset, entry.key, entry.value)
            for entry in self.directory.entries_from(ask.offset)
        ]
        age_ms = int(min(self.lease.age_s(now), 3600.0) * 1000)
        known = self._configuration
        newer = None
        if known is not None and known.offset > ask.configuration:
            newer = SyncEntry(known.offset, known.key, known.value)
        return SyncTell(entries, self.directory.end, age_ms, newer)

    def on_sync_tell(self, address: Address, asked_at: Seconds, tell: SyncTell) -> None:
        """Take records that a daemon passes on."""
        now = self._told_now()
        if tell.configuration is not None:
            told = tell.configuration
            self._take_configuration(Entry(told.offset, told.key, told.value))
        entries = tuple(
            Entry(each.offset, each.key, each.value) for each in tell.entries
        )
        if not self.directory.is_loaded:
            return
        self._on_entries(now, entries)
        self.directory.note_end(tell.end)
        if tell.end >= self.directory.end:
            self.lease.confirm(asked_at - tell.age_ms / 1000)

    def pong(self, number: int) -> Pong:
        """Return the answer to a ping."""
        age_s = min(self.lease.age_s(self._told_now()), 3600.0)
        offset = self._configuration.offset if self._configuration else -1
        load = self.balancer.own_load(self.timers.now())
        return Pong(
            number,
            self.directory.end,
            int(age_s * 1000),
            offset,
            int(load.utilization * 1000),
            int(load.cost * 1_000_000),
        )

    def on_renew(self, owner: Address) -> bool:
        """Tell whether this daemon, as a guardian, renews an owner's lease."""
        now = self._told_now()
        table = self.own_table()
        if table is None:
            return False
        self.guard.note_table(now, table)
        return self.guard.renews(now, owner, self.directory.end)

    def on_renewed(self, guardian: Address, asked_at: Seconds) -> None:
        """Take a renewal by a guardian of the own target."""
        now = self._told_now()
        self._note_guardians(now)
        self.guarded_lease.confirm(now, guardian, asked_at, self.directory.end)

    def on_lapse_ask(self, owner: Address, at: Offset) -> bool:
        """Tell whether this daemon, as a guardian, lets an owner be replaced."""
        lets = self.guard.lets_replace(self._told_now(), owner, at)
        if lets:
            self.note(Note(216, {"owner": owner, "at": at}))
        return lets

    def on_lapse_vote(self, guardian: Address, owner: Address, at: Offset) -> None:
        """Take a guardian's word that an owner may be replaced."""
        now = self._told_now()
        self.votes.note(guardian, owner, at)
        self.publisher.look(now, self._member(now))

    def _note_guardians(self, now: Seconds) -> tuple[Address, ...]:
        """Return the guardians of the own target that the table names."""
        table = self.own_table()
        guardians = table.guardians_of(self.me) if table else ()
        self.guarded_lease.note_guardians(now, guardians)
        return guardians

    def _ask_renewal(self, now: Seconds) -> None:
        """Ask the guardians of the own target to renew its lease."""
        for guardian in self._note_guardians(now):
            if guardian == self.me:
                self.guarded_lease.confirm(now, guardian, now, self.directory.end)
            else:
                self.links.ask_renewal(guardian)

    def _ask_about_lapsed(self, now: Seconds) -> None:
        """Ask the other guardians of silent owners whether they may be replaced."""
        table = self.own_table()
        if table is None or not self.guard.lapsed(now):
            return
        end = self.directory.end
        for guardian, owner in self.votes.questions(now, table, end):
            self.links.ask_lapse(guardian, owner, end)
