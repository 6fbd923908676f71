"""Handlers for messages from other routers.

They cover forwarded requests, renewals of leases, votes on replacing owners, and the
exchange of records that a peer has not read from the store yet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhall.adapters.peer_frames import (
    ConfigurationPush,
    Evacuated,
    Pong,
    Push,
    SyncConfiguration,
    SyncEntry,
    SyncRequest,
    SyncResponse,
)
from rhubarbhall.adapters.peer_stream import inflate_value
from rhubarbhall.core.commands import LogEvent
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.key_load import TargetLoad
from rhubarbhall.core.ownership.store_port import epoch_of
from rhubarbhall.core.traffic.body_budget import SMALL_BODY_BYTES, BodyReservation
from rhubarbhall.core.traffic.requests import Answered, NotRun, Unknown
from rhubarbhall.platform.names import CONFIGURATION_KEY
from rhubarbhall.platform.target import ANSWERS_SHARE
from rhubarbhall.programs.router_store import NO_VERSION

if TYPE_CHECKING:
    from rhubarbhall.adapters.peer_events import MissingRequests, Origin
    from rhubarbhall.core.traffic.requests import Load, Outcome, RoutedRequest
    from rhubarbhall.types import Address, Offset, Seconds


#: Time that a record takes at most from its writer to all daemons, in seconds.
PUSH_GRACE_S = 0.3
#: Time after which a request is sent again that found no room for its body, in seconds.
NO_ROOM_RETRY_AFTER_S = 1.0


class RecordGap:
    """Since when this daemon has lacked records that a peer has."""

    def __init__(self) -> None:
        self._known_end: Offset = -1
        self._since: Seconds = 0.0

    def lasts(self, now: Seconds, known_end: Offset, peer_end: Offset) -> bool:
        """Return whether the gap has lasted for longer than `PUSH_GRACE_S`.

        Parameters
        ----------
        known_end, peer_end : int
            Offsets up to which this daemon and the peer know the records, or their
            versions of the configuration.
        """
        if peer_end <= known_end:
            return False
        if known_end != self._known_end:
            self._known_end, self._since = known_end, now
        return now - self._since > PUSH_GRACE_S


class PeerHandlers:
    """Handles messages from peers; a mix-in of `RoutingDaemon` that uses its fields."""

    def on_outcome(
        self, address: Address, ticket: int, outcome: Outcome, load: Load | None
    ) -> None:
        """Handle the outcome of a request that was sent to another daemon."""
        self.request_router.on_outcome(
            self._advance_timers(), ticket, address, outcome, load
        )

    def on_forward(self, origin: Origin, request: RoutedRequest) -> int:
        """Queue a peer's request for the local target.

        Returns
        -------
        int
            Ticket for `on_cancel`; 0 if the request did not reach the admission queue.
        """
        now = self._advance_timers()

        def on_outcome(outcome: Outcome) -> None:
            self.request_log.record_local_outcome(request, outcome)
            if request.reservation is not None:
                # The answer takes the room of its request's body.
                request.reservation.release()
            outcome = self._without_large_body(outcome)
            self.sessions.answer(origin, outcome, self.admission_queue.load)

        if self._shutdown_announced:
            on_outcome(NotRun(ErrorKind.SHUTTING_DOWN))
            return 0
        if request.body and not self._reserve_room(request):
            on_outcome(NotRun(ErrorKind.OVERLOADED, NO_ROOM_RETRY_AFTER_S))
            return 0
        return self.admission_queue.submit(now, request, on_outcome)

    def _without_large_body(self, outcome: Outcome) -> Outcome:
        """Return an outcome without its answer if there is no room for sending that.

        The peer then takes too little of the answers that are sent to it. The request
        has run, so its outcome is unknown. Bodies of requests do not displace answers:
        these have the share `ANSWERS_SHARE` besides the room for bodies.
        """
        if isinstance(outcome, Answered) and len(outcome.body) > SMALL_BODY_BYTES:
            budget = self.body_budget
            room = (1 + ANSWERS_SHARE) * budget.limit
            if budget.used + len(outcome.body) > room:
                return Unknown(ErrorKind.ANSWER_TOO_LARGE)
        return outcome

    def _reserve_room(self, request: RoutedRequest) -> bool:
        """Return whether there is room for the body of a peer's request.

        It is taken until the request is dropped.
        """
        request.reservation = BodyReservation(self.body_budget)
        has_room = request.reservation.grow(len(request.body))
        if has_room:
            request.reservation.settle(request.body)
        return has_room

    def on_cancel(self, ticket: int) -> None:
        """Cancel a peer's request for the local target."""
        self.admission_queue.cancel(self._advance_timers(), ticket)

    def on_withdraw(self, ticket: int) -> None:
        """Refuse a peer's request as not run, if it still waits for the target."""
        self.admission_queue.withdraw(self._advance_timers(), ticket)

    def on_missing_requests(self, address: Address, missing: MissingRequests) -> None:
        """Log what a peer was told of requests that are not known here."""
        fields = {
            "peer": address,
            "not_run": list(missing.not_run),
            "unknown": list(missing.unknown),
        }
        self.log_event(LogEvent(315, fields))

    def on_contact(self, address: Address) -> None:
        """Record contact with a daemon."""
        self.liveness.record_contact(self._advance_timers(), address)

    def on_connection_refused(self, address: Address) -> None:
        """Record that an address refused a connection: no process listens there."""
        self.liveness.record_refused_connection(self._advance_timers(), address)

    def on_link_changed(self, address: Address, is_up: bool) -> None:
        """Log that the connection to a peer was opened or lost."""
        self.log_event(LogEvent(311 if is_up else 312, {"peer": address}))
        if is_up:
            self.request_router.on_peer_connected(self._advance_timers(), address)
            self._send_all_suspects(address)
            self._push_local_member(address)
            if self._may_be_outdated():
                self.links.ping(address)

    def _push_local_member(self, address: Address) -> None:
        """Send a peer the record of this daemon, which may be older than the link."""
        entry = self.directory.member_entry(self.local_address)
        if entry is not None and self.directory.is_written(entry.key):
            self.links.push_to(address, SyncEntry(entry.offset, entry.key, entry.value))

    def on_pong(self, address: Address, asked_at: Seconds, pong: Pong) -> None:
        """Record a peer's load, and compare its directory with the local one.

        If the peer has newer records, they are requested. Otherwise the local directory
        is at least as complete as the peer's, which extends the read lease.
        """
        now = self._advance_timers()
        load = TargetLoad(pong.utilization / 1000, pong.cost / 1_000_000)
        self.balancer.record_load(now, address, load)
        self._begin_epoch(epoch_of(pong.end))
        if not self.directory.is_loaded:
            return
        version = self._configuration_version()
        self._compare_configurations(pong.configuration)
        if self._may_be_outdated() or self._lacks_records(now, pong, version):
            known_end = self.evacuations.known_end
            self.links.request_sync(address, self.directory.end, version, known_end)
        elif pong.end <= self.directory.end:
            self.read_lease.confirm(asked_at - pong.age_ms / 1000)

    def _compare_configurations(self, peer_version: int) -> None:
        """Record whether the version in force is at least that of a peer."""
        version = self._configuration_version()
        if NO_VERSION < version and peer_version <= version:
            self._is_configuration_compared = True

    def _lacks_records(self, now: Seconds, pong: Pong, version: int) -> bool:
        """Return whether records of a peer are missing here and have to be requested.

        A record takes a moment from its writer to all daemons, so a peer that is ahead
        counts only once this daemon has learned nothing for `PUSH_GRACE_S`. The three
        kinds of records are looked at apart: one may be missing while others arrive.
        """
        return any(
            [
                self._directory_gap.lasts(now, self.directory.end, pong.end),
                self._configuration_gap.lasts(now, version, pong.configuration),
                self._evacuation_gap.lasts(
                    now, self.evacuations.known_end, pong.evacuations
                ),
            ]
        )

    def on_push(self, push: Push) -> None:
        """Pass on a record that a peer has just written, if requested, and apply it."""
        now = self._advance_timers()
        entry = Entry(push.entry.offset, push.entry.key, push.entry.value)
        self._begin_epoch(epoch_of(entry.offset))
        if self.directory.is_earlier(entry.offset):
            fields = {"key": entry.key, "offset": entry.offset}
            self.log_event(LogEvent(116, fields))
            return
        limit = self.local_address if push.relay else push.limit
        if limit and self.relayed.extend(entry.key, entry.offset, limit):
            self.links.relay(push.entry, limit)
        is_known = self.directory.knows(entry.key, entry.offset)
        # A record that arrives after a newer one of its key closes a gap all the same.
        self._log_rejected(self.directory.apply_next(entry))
        if not is_known:
            self._on_directory_changed(now)

    def on_configuration_push(self, push: ConfigurationPush) -> None:
        """Apply an operators' configuration and pass it on within the region.

        Only the version in force is passed on: an older one is of no use, and one that
        cannot be read must not stop a later one with a lower number.
        """
        self._advance_timers()
        if push.evacuated is not None:
            self._on_evacuations_push(push, push.evacuated)
            return
        if self._is_newer_configuration(push.version):
            self._apply_configuration(inflate_value(push.deflated))
        is_in_force = push.version == self._configuration_version()
        if is_in_force and self.relayed.extend(push.key, push.version, push.limit):
            self.links.relay_configuration(push)

    def _on_evacuations_push(
        self, push: ConfigurationPush, evacuated: Evacuated
    ) -> None:
        """Apply evacuations and pass them on, unless newer ones are known."""
        if evacuated.position < self.evacuations.state.position:
            return
        if self.relayed.extend(push.key, evacuated.position, push.limit):
            self.links.relay_configuration(push)
        self._take_evacuations(evacuated)

    def on_sync_request(self, ask: SyncRequest) -> SyncResponse:
        """Return the records that the requesting peer has not read yet."""
        now = self._advance_timers()
        entries = [
            SyncEntry(entry.offset, entry.key, entry.value)
            for entry in self.directory.entries_from(ask.offset)
        ]
        age_ms = int(min(self.read_lease.age_s(now), 3600.0) * 1000)
        version = self._configuration_version()
        newer_configuration = None
        if version > ask.configuration:
            newer_configuration = SyncConfiguration(
                version, CONFIGURATION_KEY, self._configuration_value
            )
        newer_evacuations = None
        if self.evacuations.state.position > ask.evacuations:
            newer_evacuations = self._encoded_evacuations()
        return SyncResponse(
            entries,
            self.directory.end,
            age_ms,
            newer_configuration,
            newer_evacuations,
        )

    def on_sync_response(
        self, address: Address, asked_at: Seconds, tell: SyncResponse
    ) -> None:
        """Apply the records that a peer has sent on request."""
        now = self._advance_timers()
        self._begin_epoch(epoch_of(tell.end))
        if tell.configuration is not None:
            self._apply_configuration(tell.configuration.value)
            self._compare_configurations(tell.configuration.version)
        if tell.evacuated is not None and self._take_evacuations(tell.evacuated):
            # The readers of this region may have lost the store, so this daemon may be
            # the first one that knows.
            self._push_evacuations()
        entries = tuple(
            Entry(each.offset, each.key, each.value) for each in tell.entries
        )
        if not self.directory.is_loaded:
            return
        self._on_entries(now, entries)
        self.directory.advance_end(tell.end)
        if tell.end >= self.directory.end:
            self.read_lease.confirm(asked_at - tell.age_ms / 1000)

    def local_load(self) -> Load:
        """Return the load of the local target."""
        return self.admission_queue.load

    def pong(self, number: int) -> Pong:
        """Return the answer to a ping: directory end and age, configuration, load."""
        age_s = min(self.read_lease.age_s(self._advance_timers()), 3600.0)
        load = self.balancer.local_load(self.timers.now())
        return Pong(
            number,
            self.directory.end,
            int(age_s * 1000),
            self._configuration_version(),
            int(load.utilization * 1000),
            int(load.cost * 1_000_000),
            self.evacuations.state.position,
        )

    def on_renewal_request(self, owner: Address) -> bool:
        """Return whether this daemon, as a witness, renews an owner's lease.

        After a restore of the store the owner has to act in the same epoch.
        """
        now = self._advance_timers()
        table = self.local_table()
        if table is None or not self.directory.has_booted(owner):
            return False
        self.range_witness.update_from_table(now, table)
        ends = (self.directory.end, self.settled_end())
        return self.range_witness.try_renew(now, owner, *ends)

    def on_lease_renewed(self, witness: Address, asked_at: Seconds) -> None:
        """Record that a witness of the local target has renewed its lease."""
        now = self._advance_timers()
        self._update_witnesses(now)
        self.witnessed_lease.confirm(now, witness, asked_at, self.settled_end())
        self._answer_heartbeat_if_free(now)

    def on_replacement_request(self, owner: Address, at: Offset) -> bool:
        """Return whether this daemon, as a witness, lets an owner be replaced.

        Parameters
        ----------
        at : int
            Offset at which the record that replaces the owner would be written.
        """
        may_replace = self.range_witness.vote_to_replace(
            self._advance_timers(), owner, at
        )
        if may_replace:
            self.log_event(LogEvent(216, {"owner": owner, "at": at}))
        return may_replace

    def on_replacement_vote(self, witness: Address, owner: Address, at: Offset) -> None:
        """Record a witness's vote that an owner may be replaced by a record at `at`."""
        now = self._advance_timers()
        self.replacement_votes.record_vote(witness, owner, at)
        self.publisher.write_due(now, self.local_member(now))

    def _update_witnesses(self, now: Seconds) -> tuple[Address, ...]:
        """Update and return the witnesses of the local target that the table names."""
        table = self.local_table()
        witnesses = table.witnesses_of(self.local_address) if table else ()
        self.witnessed_lease.set_witnesses(now, witnesses)
        return witnesses

    def _request_renewals(self, now: Seconds) -> None:
        """Ask the witnesses of the local target to renew its lease."""
        for witness in self._update_witnesses(now):
            if witness == self.local_address:
                self.witnessed_lease.confirm(now, witness, now, self.settled_end())
            else:
                self.links.request_renewal(witness)

    def _request_replacement_votes(self, now: Seconds) -> None:
        """Ask the other witnesses of unresponsive owners for votes to replace them."""
        table = self.local_table()
        if self.directory.is_restoring(self.settings.service):
            return
        if table is None or not self.range_witness.lapsed_owners(now):
            return
        end = self.directory.end
        for witness, owner in self.replacement_votes.vote_requests(now, table, end):
            self.links.request_replacement_vote(witness, owner, end)
