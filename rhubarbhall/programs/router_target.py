"""Handlers for messages from the local target.

Its heartbeats are answered with grants of keys, and its state decides whether the
admission queue sends it work.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from rhubarbhall.core.commands import LogEvent
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.ownership.records import TargetState, member_key
from rhubarbhall.core.ownership.requested_holdings import (
    KeyRequest,
    ReleaseRequest,
    RequestResult,
)
from rhubarbhall.core.ownership.target_keys import Unacknowledged
from rhubarbhall.core.timers import TimerCallback
from rhubarbhall.core.traffic.requests import Unknown

if TYPE_CHECKING:
    from rhubarbhall.core.ownership.heartbeat import Heartbeat
    from rhubarbhall.core.ownership.key_table import KeyTable
    from rhubarbhall.core.ownership.records import Member
    from rhubarbhall.core.ownership.target_keys import Grant, HeartbeatAnswer
    from rhubarbhall.core.traffic.requests import Outcome, TargetNotice
    from rhubarbhall.platform.heartbeats import ReceivedHeartbeat
    from rhubarbhall.programs.routing_daemon import RoutingDaemon
    from rhubarbhall.types import Seconds

#: Time before the end of a leaving target's drain period at which it gets no more
#: requests, in seconds.
LEAVING_MARGIN_S = 1.0
#: Time for which the answer to a heartbeat waits for keys that are about to be free, or
#: for the record of a departure, in seconds. Targets take an answer within a second as
#: an acknowledgement.
GRANT_WAIT_S = 0.5


@dataclass(frozen=True, slots=True)
class UnansweredHeartbeat:
    """A heartbeat whose answer waits for keys.

    Parameters
    ----------
    arrived_at : float
        Time of its arrival, local clock, in seconds.
    answer : callable
        Called with the grant to answer with.
    """

    arrived_at: Seconds
    answer: Callable[[HeartbeatAnswer], None]


#: Called with whether the departure of a target is recorded.
DepartureAnswer: TypeAlias = Callable[[bool], None]


class LocalKeyOwnership:
    """Keys of the local target, as the admission queue needs them.

    Reports which keys the target may work on, and counts the requests by key for load
    balancing.

    Parameters
    ----------
    daemon : RoutingDaemon
        Daemon whose directory, target and load counters are used.
    """

    def __init__(self, daemon: RoutingDaemon) -> None:
        self._daemon = daemon

    def record_request(self, now: Seconds, key: int) -> None:
        """Count a request for a key."""
        self._daemon.balancer.sampler.record_request(now, key)

    def record_duration(self, took_s: Seconds) -> None:
        """Record how long the target worked on a request for a key, in seconds."""
        self._daemon.balancer.sampler.record_duration(took_s)

    def record_refusal(self) -> None:
        """Record that the target refused a request for a key."""
        self._daemon.balancer.sampler.record_refusal()

    def record_rejection(self, now: Seconds, key: int) -> None:
        """Record that the target has answered that it does not hold a key."""
        self._daemon.target_keys.record_rejection(now, key)

    def may_work_on(self, now: Seconds, key: int) -> bool:
        """Return whether the local target holds a key at present."""
        return self._daemon.target_keys.may_work_on(now, key)

    def is_assigned(self, key: int) -> bool:
        """Return whether the table assigns a key to the local target.

        A key whose previous owner was lost does not count: it is granted only once
        that owner's lease has run out.
        """
        table = self._daemon.local_table()
        if table is None:
            return False
        span = table.find(key)
        return span.owner == self._daemon.local_address and not span.previous_lost


class LocalCandidate:
    """The local target as a candidate for requests, by what this process knows of it.

    Parameters
    ----------
    daemon : RoutingDaemon
        Daemon whose settings, directory and target are used.
    """

    def __init__(self, daemon: RoutingDaemon) -> None:
        self._daemon = daemon

    @property
    def service(self) -> str:
        """Service of the local target, by the settings of this process."""
        return self._daemon.settings.service

    def candidate(self, now: Seconds) -> Member | None:
        """Return the present record of the target; `None` if it does not accept work.

        Before the directory is loaded it is not known whether the target has left.
        """
        if not self._daemon.directory.is_loaded:
            return None
        member = self._daemon.local_member(now)
        is_ready = member is not None and member.state is TargetState.READY
        return member if is_ready else None


class TargetHandlers:
    """Handles the local target; a mix-in of `RoutingDaemon` that uses its fields."""

    #: Rate that the target states and whether it is cold, as logged last.
    _logged_rate: float | None = None
    _logged_cold: bool = False

    def takes_keys_by_heartbeat(self) -> bool:
        """Return whether the target takes keys in the answers to its heartbeats."""
        return self.publisher.by_key and not self.target_keys.by_request

    def on_heartbeat(
        self, received: ReceivedHeartbeat, answer: Callable[[HeartbeatAnswer], None]
    ) -> None:
        """Process a heartbeat and answer it with a grant.

        The answer waits for up to `GRANT_WAIT_S` while another target is about to
        release keys to this one, or while only the lease for its keys is missing, so
        that they are granted as soon as that is possible. It waits as long for the
        record that the target leaves; without that record there is no acknowledgement,
        as another process would know nothing of it.
        Heartbeats of other targets or services, and outdated ones, get no grant.
        """
        now = self._advance_timers()
        settings = self.settings
        heartbeat = received.heartbeat
        expected = (settings.target_address, settings.service)
        is_local = (received.address, received.service) == expected
        if not is_local:
            fields = {"reason": f"{received.service} at {received.address}"}
            self.log_event(LogEvent(213, fields))
        if not is_local or not self.target_keys.accepts(now, heartbeat):
            leaves = heartbeat.state is TargetState.LEAVING
            answer(Unacknowledged() if leaves else None)
            return
        self._record_warmup(now, heartbeat)
        self._answer_heartbeat(now)
        previous = self.target_keys.heartbeat
        previous_state = self.target_keys.state(now)
        if self.target_keys.is_new_run(heartbeat):
            self._on_target_ended(now)
        if self.target_keys.record_heartbeat(now, heartbeat):
            self.admission_queue.rate_limit.reset()
            self.admission_queue.slowdown.reset()
        self._update_rate_limit(now)
        self.target.instance = self.key_requests.instance = heartbeat.instance
        if previous is None or (previous.run, previous.state) != (
            heartbeat.run,
            heartbeat.state,
        ):
            fields = {"run": heartbeat.run, "state": str(heartbeat.state)}
            self.log_event(LogEvent(212, fields))
        self._update_admission(now, previous_state)
        self._unanswered_heartbeat = UnansweredHeartbeat(now, answer)
        if self._may_wait_for_keys() or not self._is_departure_recorded():
            due = TimerCallback(self._answer_heartbeat)
            self.timers.at(now + GRANT_WAIT_S, due)
        else:
            self._answer_heartbeat(now)

    def _record_warmup(self, now: Seconds, heartbeat: Heartbeat) -> None:
        """Record for how long the target is cold; has to precede any dispatch."""
        warmup = self.admission_queue.warmup
        if self.target_keys.is_new_run(heartbeat):
            warmup.record_unknown(now, self.target_keys.run)
        warmup.record_left(now, heartbeat.run, heartbeat.warmup_left_s)

    def _may_wait_for_keys(self) -> bool:
        if not self.takes_keys_by_heartbeat():
            return False
        table = self.local_table()
        return self.target_keys.awaits_release(table) or self._awaits_lease(table)

    def _awaits_lease(self, table: KeyTable | None) -> bool:
        """Return whether only the lease is missing to grant keys.

        It comes some tenths of a second after a start; the next heartbeat, later.
        """
        if table is None or self.lease_remaining_s(self.timers.now()) > 0:
            return False
        return bool(table.owned_by(self.local_address))

    def _answer_heartbeat(self, now: Seconds) -> None:
        """Answer the last heartbeat with a grant, unless it is answered already."""
        unanswered, self._unanswered_heartbeat = self._unanswered_heartbeat, None
        if unanswered is None:
            return
        if self._is_departure_recorded():
            unanswered.answer(self._grant(now, now - unanswered.arrived_at))
        else:
            unanswered.answer(Unacknowledged())
        # Only now, so that no request overtakes the answer that grants its key.
        self.admission_queue.on_keys_changed(now)

    def _answer_heartbeat_if_free(self, now: Seconds) -> None:
        """Answer the last heartbeat once it waits for neither keys nor a record."""
        if self._unanswered_heartbeat is None or not self._is_departure_recorded():
            return
        if not self._may_wait_for_keys():
            self._answer_heartbeat(now)

    def _update_admission(self, now: Seconds, previous_state: TargetState) -> None:
        state = self.target_keys.state(now)
        if state is TargetState.READY:
            self.admission_queue.open(self.target_keys.heartbeat.slots)
            self.balancer.slots = self.target_keys.heartbeat.slots
        elif previous_state is not TargetState.LEAVING:
            self._close_queue_later(now)
        self.publisher.write_due(now, self.local_member(now))

    def _grant(self, now: Seconds, heartbeat_age_s: Seconds) -> Grant | None:
        if not self.publisher.by_key:
            return None
        if self.target_keys.by_request:
            self._request_keys(now)
            return None
        remaining_s = self.lease_remaining_s(now)
        return self.target_keys.grant(
            now,
            self.local_table(),
            remaining_s,
            self.settled_end(),
            heartbeat_age_s,
        )

    def _request_keys(self, now: Seconds) -> None:
        """Request the grants and releases that are due from the target."""
        if not self.publisher.by_key or not self.target_keys.by_request:
            return
        requests = self.target_keys.due_requests(
            now,
            self.local_table(),
            self.lease_remaining_s(now),
            self.settled_end(),
        )
        for request in requests:
            self.key_requests.request(request)

    def _on_key_result(
        self, request: KeyRequest, result: RequestResult, token: str
    ) -> None:
        now = self._advance_timers()
        self.target_keys.record_result(now, request, result, token)
        if result is not RequestResult.DONE:
            first, last = request.range
            fields = {"first": first, "last": last, "result": result.name.lower()}
            self.log_event(LogEvent(217, fields))
        self.admission_queue.on_keys_changed(now)
        if isinstance(request, ReleaseRequest):
            self.publisher.write_due(now, self.local_member(now))

    def _close_queue_later(self, now: Seconds) -> None:
        """Close the admission queue shortly before a target's drain period ends."""
        run = self.target_keys.run
        due = now + max(0.0, self.settings.drain_s - LEAVING_MARGIN_S)

        def close(later: Seconds) -> None:
            if self.target_keys.run == run and not self._target_is_ready(later):
                self.admission_queue.close(ErrorKind.SHUTTING_DOWN)

        self.timers.at(due, TimerCallback(close))

    def _target_is_ready(self, now: Seconds) -> bool:
        return self.target_keys.state(now) is TargetState.READY

    def on_target_left(self, instance: str, answer: DepartureAnswer) -> None:
        """Handle a target's report that it leaves; other instances are ignored.

        `answer` is called once the departure is recorded in the store, or after
        `GRANT_WAIT_S` to say that it is not.
        """
        now = self._advance_timers()
        if not self.target_keys.is_known(instance):
            answer(False)
            return
        self.target_keys.record_departure()
        self._unanswered_departures.append(answer)
        self._on_target_leaving(now, "left")
        self._answer_departures_if_recorded()
        due = TimerCallback(lambda later: self._refuse_departure(answer))
        self.timers.at(now + GRANT_WAIT_S, due)

    def _is_departure_recorded(self) -> bool:
        """Return whether the store has what the target says of its departure."""
        member = self.directory.member_by_address.get(self.local_address)
        is_written = self.directory.is_written(member_key(self.local_address))
        keys = self.target_keys
        if not keys.leaves:
            return True
        address, run = self.local_address, keys.known_run
        has_record = self.directory.is_departure_written(address, run)
        return is_written and keys.is_departure_in(member) and has_record

    def _answer_departures_if_recorded(self) -> None:
        if not self._unanswered_departures or not self._is_departure_recorded():
            return
        answers, self._unanswered_departures = self._unanswered_departures, []
        for answer in answers:
            answer(True)

    def _refuse_departure(self, answer: DepartureAnswer) -> None:
        """Answer that a departure is not recorded, unless it is answered already."""
        if answer in self._unanswered_departures:
            self._unanswered_departures.remove(answer)
            answer(False)

    def restore_target(self) -> None:
        """Take over what an earlier process has recorded of the target."""
        member = self.directory.member_by_address.get(self.local_address)
        if member is not None and member.service == self.settings.service:
            self.target_keys.restore(member)
        departed_run = self.directory.departed_run(self.local_address)
        self.target_keys.restore_departure(departed_run)
        if self.target_keys.leaves:
            self.admission_queue.close(ErrorKind.SHUTTING_DOWN)

    def _on_target_leaving(self, now: Seconds, state: str) -> None:
        """Announce that the target leaves, and soon send it no more requests."""
        self.log_event(LogEvent(212, {"run": self.target_keys.run, "state": state}))
        self._close_queue_later(now)
        self.publisher.write_due(now, self.local_member(now))

    def on_bad_heartbeat(self, reason: str) -> None:
        """Log a heartbeat that could not be read."""
        self.log_event(LogEvent(213, {"reason": reason}))

    def _on_target_outcome(self, ticket: int, outcome: Outcome) -> None:
        self.admission_queue.finish(self._advance_timers(), ticket, outcome)
        if outcome == Unknown(ErrorKind.ANSWER_LOST):
            # Nothing else might show soon whether the target has ended.
            self.target.probe()

    def _on_target_disconnected(self) -> None:
        """Handle that the target has closed its last connection.

        Another run of it may already listen, which no heartbeat has announced yet.
        """
        now = self._advance_timers()
        self.admission_queue.warmup.record_unknown(now, self.target_keys.run)
        self._update_rate_limit(now)

    def _on_target_notice(self, ticket: int, notice: TargetNotice) -> None:
        """Handle what the target says of itself in an answer."""
        now = self._advance_timers()
        self.admission_queue.record_stated_rate(now, ticket, notice.rate)
        self.admission_queue.record_slowdown(now, ticket, notice.slowdown)
        self._update_rate_limit(now)
        if notice.leaves and self.target_keys.record_leaving():
            self._on_target_leaving(now, TargetState.LEAVING.value)

    def _update_rate_limit(self, now: Seconds) -> None:
        """Let the load of the target follow the rates that it takes now."""
        is_cold = self.admission_queue.warmup.is_cold(now)
        self.balancer.rate_limit = self.admission_queue.rate
        run, rate = self.target_keys.run, self.admission_queue.rate_limit.rate
        if rate != self._logged_rate:
            self._logged_rate = rate
            self.log_event(LogEvent(218, {"run": run, "rate": rate}))
        if is_cold != self._logged_cold and run:
            self._logged_cold = is_cold
            fields = {"run": run, "rate": self.admission_queue.warmup.rate}
            self.log_event(LogEvent(222 if is_cold else 223, fields))

    def _on_target_reachable(self) -> None:
        self.admission_queue.resume(self._advance_timers())

    def _on_target_unreachable(self, refused: bool) -> None:
        now = self._advance_timers()
        if refused:
            self._on_target_disconnected()
            # Next, so that no equal request is sent on to another target.
            self._on_target_ended(now)
        self.admission_queue.record_unreachable(now)
