"""Handlers for records from the platform's store.

Members and key tables go to the directory; the operators' configuration goes to the
request router and sets the limits for callers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhall.adapters.peer_frames import ConfigurationPush, Evacuated, SyncEntry
from rhubarbhall.adapters.peer_sessions import MAX_CONNECTIONS
from rhubarbhall.adapters.peer_stream import deflate_value
from rhubarbhall.caller_limits import CallerLimits
from rhubarbhall.core.commands import LogEvent
from rhubarbhall.core.ownership.evacuations import EvacuationState
from rhubarbhall.core.ownership.peer_selection import readers_before
from rhubarbhall.core.ownership.publisher import directory_topic
from rhubarbhall.core.ownership.store_port import (
    ANSWER_TIMEOUT_S,
    LongPoll,
    offset_of,
)
from rhubarbhall.platform.names import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_TOPIC,
)
from rhubarbhall.platform.operator import parse_configuration, read_version

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.entries import Entry, Rejected
    from rhubarbhall.core.traffic.routes import RoutingTable
    from rhubarbhall.types import Address, Offset, Seconds, StoreEpoch

#: Stands for no configuration, below all versions.
NO_VERSION = -1
#: Time after the start for which a daemon waits for a peer to compare configurations
#: with, in seconds: connections, and a ping to another region.
COMPARISON_TIMEOUT_S = 4.5
#: Range of the directory age, in seconds, above which a reader reads; each check
#: draws its limit from it at random.
READER_MAX_AGE_RANGE_S = (2.0, 3.5)
#: The same range for the other daemons. They learn from peers how old directories are,
#: and read only if that does not reach them.
DIRECTORY_MAX_AGE_RANGE_S = (4.5, 6.0)
#: Number of live daemons of each region that read the operators' configuration with
#: short polls, so that they notice in time that a connection has gone silent.
SHORT_POLL_READERS = 2
#: Shares of the time in which a configuration has to be in force: how long the store
#: holds such a poll while there is nothing new, and how long the answer may take then.
#: The rest is for another read and for passing the configuration on.
SHORT_POLL_HOLD_SHARE = 0.45
SHORT_POLL_ANSWER_SHARE = 0.25
#: Poll of the other readers.
CONFIGURATION_POLL = LongPoll(8.0, ANSWER_TIMEOUT_S)
#: Maximum number of inbound connections from callers.
MAX_CALLER_CONNECTIONS = 2000
#: Descriptors for everything else: peers, target, store, control and files.
RESERVED_DESCRIPTORS = 200
#: Connections of callers that are allowed with however few descriptors.
MIN_CALLER_CONNECTIONS = 16
#: Connections of peers that are allowed with however few descriptors.
MIN_PEER_CONNECTIONS = 64
#: Limits while no configuration is known. Callers never repeat a request that was
#: refused as too large, so these are above what operators set; the body budget applies.
UNKNOWN_LIMITS = CallerLimits(MAX_CALLER_CONNECTIONS, 256 << 10, 1 << 40)


def max_caller_connections(max_descriptors: int | None) -> int:
    """Return how many connections callers may have; None stands for no limit."""
    if max_descriptors is None:
        return MAX_CALLER_CONNECTIONS
    left = max(MIN_CALLER_CONNECTIONS, max_descriptors - RESERVED_DESCRIPTORS)
    return min(MAX_CALLER_CONNECTIONS, left)


def max_peer_connections(max_descriptors: int | None) -> int:
    """Return how many connections peers may open; None stands for no limit.

    As many are left for the connections that this daemon opens.
    """
    if max_descriptors is None:
        return MAX_CONNECTIONS
    left = max_descriptors - max_caller_connections(max_descriptors)
    return min(MAX_CONNECTIONS, max(MIN_PEER_CONNECTIONS, left // 2))


class StoreHandlers:
    """Handles store records; a mix-in of `RoutingDaemon` that uses its fields.

    Attributes
    ----------
    max_caller_connections : int
        Maximum number of connections from callers.
    """

    max_caller_connections = MAX_CALLER_CONNECTIONS

    def _count_store_call(
        self, call: str, result: str, sent: int, received: int
    ) -> None:
        metrics = self.request_log.metrics
        metrics.store_calls[call, result] += 1
        metrics.store_bytes[call, "sent"] += sent
        metrics.store_bytes[call, "received"] += received

    def _needs_directory_read(self, now: Seconds) -> bool:
        age_range_s = (
            READER_MAX_AGE_RANGE_S if self._reads_store else DIRECTORY_MAX_AGE_RANGE_S
        )
        return self.read_lease.age_s(now) > self._rng.uniform(*age_range_s)

    def _needs_configuration_read(self, now: Seconds) -> bool:
        """Return whether no peer would pass on a new configuration."""
        return self._reads_store or self._needs_directory_read(now)

    def _configuration_poll(self, now: Seconds) -> LongPoll:
        """Return how long a read of the operators' configuration may take."""
        known = (self.local_address, self.settings.region, self._region_by_address)
        before = readers_before(*known, lambda address: self._is_live(now, address))
        if before >= SHORT_POLL_READERS:
            return CONFIGURATION_POLL
        bound_s = self.settings.configuration_s
        return LongPoll(
            SHORT_POLL_HOLD_SHARE * bound_s, SHORT_POLL_ANSWER_SHARE * bound_s
        )

    def _is_live(self, now: Seconds, address: Address) -> bool:
        """Return whether a daemon of the local region runs, as far as is known."""
        return not (
            self.directory.is_lost(address)
            or self.liveness.is_unresponsive(now, address, same_region=True)
        )

    def _begin_epoch(self, epoch: StoreEpoch) -> None:
        """Read both topics again, as the store was restored from an older copy.

        Requests go on being served by what is known. An epoch that is known is ignored.
        """
        if epoch <= self.directory.epoch:
            return
        now = self._advance_timers()
        self.log_event(LogEvent(115, {"epoch": epoch, "end": self.directory.end}))
        self.directory.begin_epoch(epoch)
        self.reconciler.begin_epoch(now)
        self.range_witness.begin_epoch()
        self._store.begin_epoch(epoch)
        self._follower.restart(now, directory_topic(epoch))
        # The other daemons get a new configuration from those that read.
        self._configuration_follower.restart(now, OPERATOR_TOPIC, self._reads_store)

    def _on_entries(self, now: Seconds, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            self._log_rejected(self.directory.apply(entry))
        if entries:
            self._on_directory_changed(now)

    def _log_rejected(self, rejected: Rejected | None) -> None:
        """Log a record that could not be read; do nothing for none."""
        if rejected is not None:
            fields = {"key": rejected.entry.key, "reason": rejected.reason}
            self.log_event(LogEvent(112, fields))

    def _on_directory_changed(self, now: Seconds) -> None:
        self._update_members()
        self._request_keys(now)
        self._answer_heartbeat_if_free(now)
        self._answer_departures_if_recorded()
        self.admission_queue.on_keys_changed(now)
        self.publisher.write_due(now, self.local_member(now))

    def _on_complete(self, now: Seconds, sent_at: Seconds, end: Offset) -> None:
        is_first = not self.directory.is_loaded
        self.directory.advance_end(end)
        if is_first:
            self.restore_target()
            # All members are known at once; the connections carry their records.
            self._update_watched_peers(now)
        self.read_lease.confirm(sent_at)

    def _on_store_contact(self, reachable: bool, reason: str) -> None:
        if reachable:
            self.log_event(LogEvent(114, {}))
        else:
            self.log_event(LogEvent(113, {"reason": reason}))

    def _log_moves(self, now: Seconds) -> None:
        """Log the loads that the last decision to move keys elsewhere was based on."""
        decision = self.balancer.last_decision
        if decision is not None and decision is not self._logged_decision:
            self._logged_decision = decision
            self.log_event(LogEvent(215, decision))

    def _on_written(self, now: Seconds, entry: Entry, reason: str) -> None:
        self._log_moves(now)
        self.log_event(LogEvent(211, {"key": entry.key, "reason": str(reason)}))
        self._on_directory_changed(now)
        pushed = SyncEntry(entry.offset, entry.key, entry.value)
        self.links.push(pushed)

    def _configuration_version(self) -> int:
        """Return the version of the configuration in force; -1 without one."""
        routing = self.request_router.routing
        return NO_VERSION if routing is None else routing.version

    def _is_newer_configuration(self, version: int) -> bool:
        """Return whether a version is newer than the one in force; log an older one.

        Versions only grow. The offsets of their records do not: a store that is
        restored from an older copy gives them out again.
        """
        known = self._configuration_version()
        if version < known:
            fields = {"version": version, "configuration": known}
            self.log_event(LogEvent(413, fields))
        return version > known

    def _may_be_outdated(self) -> bool:
        """Return whether a peer may know a newer configuration than this daemon.

        A restored store holds an older one until operators write theirs again, so a
        daemon that has just started compares its own with that of a peer first.
        """
        if self.directory.epoch == 0 or self._is_configuration_compared:
            return False
        return self._advance_timers() - self._started_at < COMPARISON_TIMEOUT_S

    def _on_operator_entries(self, now: Seconds, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if entry.key == CONFIGURATION_KEY and entry.value:
                self._on_stored_configuration(entry)
            elif entry.key.startswith(EVACUATION_PREFIX):
                domain = entry.key.removeprefix(EVACUATION_PREFIX)
                self.evacuations.record(entry.offset, domain, bool(entry.value))

    def _on_operator_topic_read(
        self, now: Seconds, sent_at: Seconds, end: Offset
    ) -> None:
        """Put the evacuations that were read in force, and pass on a change of them.

        The first state is not passed on, as all daemons read it when they start.
        """
        is_first = not self.evacuations.is_known
        before = self.evacuations.state.domains
        has_changed = self.evacuations.complete(end)
        self._on_evacuations_known(now, before)
        if has_changed and not is_first:
            self._push_evacuations()

    def _encoded_evacuations(self) -> Evacuated:
        state = self.evacuations.state
        return Evacuated(state.position, sorted(state.domains))

    def _push_evacuations(self) -> None:
        """Pass the known evacuations on to the region."""
        evacuated, limit = self._encoded_evacuations(), self.local_address
        push = ConfigurationPush(NO_VERSION, EVACUATION_PREFIX, b"", limit, evacuated)
        if self.relayed.extend(push.key, evacuated.position, limit):
            self.links.relay_configuration(push)

    def _take_evacuations(self, evacuated: Evacuated) -> bool:
        """Put the evacuations that a peer has sent in force, if they are newer.

        Returns
        -------
        bool
            Whether other domains are evacuated now.
        """
        before = self.evacuations.state.domains
        domains = frozenset(evacuated.domains)
        state = EvacuationState(evacuated.position, domains)
        has_changed = self.evacuations.take(state)
        self._on_evacuations_known(self._advance_timers(), before)
        return has_changed

    def _on_evacuations_known(self, now: Seconds, before: frozenset[str]) -> None:
        """Put the known evacuations in force; `before` are those known until now."""
        state = self.evacuations.state
        if not self.evacuations.is_known:
            return
        self.placement_rules.evacuated_domains = state.domains
        if state.domains == before:
            return
        for domain in sorted(state.domains - before):
            fields = {"domain": domain, "position": state.position}
            self.log_event(LogEvent(421, fields))
        for domain in sorted(before - state.domains):
            fields = {"domain": domain, "position": state.position}
            self.log_event(LogEvent(422, fields))
        self.admission_queue.on_placement_changed(now)
        self.reconciler.evacuated_domains = state.domains
        # Keys have to leave the domain within the users' bound.
        self.publisher.write_due(now, self.local_member(now))

    def _on_stored_configuration(self, entry: Entry) -> None:
        """Apply a configuration from the store and pass it on if it is newer.

        The first one is not passed on, as all daemons read it when they start.
        """
        is_first = self.request_router.routing is None
        is_applied = self._apply_configuration(entry.value, offset_of(entry.offset))
        if is_applied and not is_first:
            self._push_configuration(entry)

    def _push_configuration(self, entry: Entry) -> None:
        """Pass the configuration in force, read from the store, on to the region."""
        version = self._configuration_version()
        deflated = deflate_value(entry.value)
        push = ConfigurationPush(version, entry.key, deflated, limit=self.local_address)
        if self.relayed.extend(entry.key, version, self.local_address):
            self.links.relay_configuration(push)

    def _apply_configuration(self, value: bytes, offset: Offset | None = None) -> bool:
        """Put a configuration in force if it is valid and newer; return whether it is.

        Parameters
        ----------
        value : bytes
            The configuration as the operators wrote it.
        offset : int, optional
            Offset of its record; none if a peer sent it.
        """
        version = None
        try:
            version = read_version(value)
            if not self._is_newer_configuration(version):
                return False
            routing = parse_configuration(value)
        except ValueError as error:
            fields = {"offset": offset, "version": version, "reason": str(error)}
            self.log_event(LogEvent(412, fields))
            return False
        self._configuration_value = value
        self._put_in_force(routing)
        return True

    def _put_in_force(self, routing: RoutingTable) -> None:
        self.request_router.routing = routing
        rules = routing.services_by_name.get(self.settings.service)
        self.publisher.by_key = rules is not None and rules.by_key
        warmup_rate = rules.warmup_per_s if rules is not None else None
        self.admission_queue.warmup.configure(self._advance_timers(), warmup_rate)
        self.reconciler.warmup_s = rules.warmup_s if warmup_rate is not None else 0.0
        self.chooser.warmup_by_service = routing.warmup_by_service()
        callers = routing.callers
        self.callers.limit(
            CallerLimits(
                connections=self.max_caller_connections,
                max_head=callers.max_head,
                max_body=callers.max_body,
                idle_s=callers.head_timeout_s,
                keep_s=callers.idle_timeout_s,
                head_s=callers.head_timeout_s,
            )
        )
        fields = {"version": routing.version, "routes": len(routing.routes)}
        self.log_event(LogEvent(411, fields))
        self.admission_queue.on_placement_changed(self._advance_timers())
