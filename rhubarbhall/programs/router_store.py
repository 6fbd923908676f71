"""Handlers for records from the platform's store.

Members and key tables go to the directory; the operators' configuration goes to the
request router and sets the limits for callers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhall.adapters.peer_frames import ConfigurationPush, SyncEntry
from rhubarbhall.adapters.peer_stream import deflate_value
from rhubarbhall.caller_limits import CallerLimits
from rhubarbhall.core.commands import LogEvent
from rhubarbhall.core.ownership.publisher import directory_topic
from rhubarbhall.core.ownership.store_port import offset_of
from rhubarbhall.platform.names import CONFIGURATION_KEY, OPERATOR_TOPIC
from rhubarbhall.platform.operator import parse_configuration, read_version

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.directory import Entry, Rejected
    from rhubarbhall.core.traffic.routes import RoutingTable
    from rhubarbhall.types import Offset, Seconds, StoreEpoch

#: Stands for no configuration, below all versions.
NO_VERSION = -1
#: Time after the start for which a daemon waits for a peer to compare configurations
#: with, in seconds: connections, and a ping to another region.
COMPARISON_TIMEOUT_S = 4.5
#: Maximum number of inbound connections from callers.
MAX_CALLER_CONNECTIONS = 2000


class StoreHandlers:
    """Handles store records; a mix-in of `RoutingDaemon` that uses its fields."""

    def _count_store_call(self, call: str, result: str) -> None:
        self.request_log.metrics.store_calls[call, result] += 1

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
        self.admission_queue.on_keys_changed(now)
        self.publisher.write_due(now, self._local_member(now))

    def _on_complete(self, now: Seconds, sent_at: Seconds, end: Offset) -> None:
        self.directory.advance_end(end)
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
        callers = routing.callers
        self.callers.limit(
            CallerLimits(
                MAX_CALLER_CONNECTIONS,
                callers.max_head,
                callers.max_body,
                callers.head_timeout_s,
                callers.idle_timeout_s,
            )
        )
        fields = {"version": routing.version, "routes": len(routing.routes)}
        self.log_event(LogEvent(411, fields))
