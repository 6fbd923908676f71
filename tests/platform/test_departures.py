"""Targets that leave, over sockets, while their routers are started again."""

from __future__ import annotations

from http import HTTPStatus
from unittest import mock

import msgspec

from rhubarbhall.core.ownership.publisher import TOPIC
from rhubarbhall.core.ownership.records import (
    MemberVersion,
    TargetState,
    encode_member,
    member_key,
)
from rhubarbhall.programs import router_store
from rhubarbhall.programs.router_peers import PeerHandlers
from rhubarbhall.programs.routing_daemon import RoutingDaemon
from rhubarbhall.standins.platform_target import PlatformTarget
from tests.platform.test_path import address
from tests.platform.virtual_time import VirtualTimeTestCase

#: VM whose target leaves; another one serves the same service.
LEAVING, CALLER = 2, 0
#: Time after an acknowledgement in which no request may be on its way to the target, in
#: seconds.
DRAIN_S = 2.5


class DepartureTests(VirtualTimeTestCase):
    """A target that had left got requests after a restart of its router (DRAIN)."""

    def setUp(self):
        super().setUp()
        self.route_by_address()

    @property
    def router(self) -> RoutingDaemon:
        return self.routers[LEAVING]

    @property
    def target(self) -> PlatformTarget:
        return self.targets[LEAVING]

    def recorded_states(self) -> set[TargetState]:
        """Return the state of the leaving target in the directories of all routers."""
        return {
            router.directory.member_by_address[address(LEAVING, 1)].state
            for router in self.routers
            if router.directory.is_loaded
        }

    def call(self, method: str, body: bytes = b"") -> int:
        """Call the router of the leaving target for it; return the status."""
        results: list = []
        path = f"/instances/{self.target.instance}"
        control = address(LEAVING, 4)
        self.client.fetch(control, method, path, (), body, 1.0, results.append)
        self.tick_until(lambda: results, 2.0)
        return results[0].status

    def heartbeat(self, sequence: int, born: int, state: str = "ready") -> bytes:
        info = {"service": "pay", "version": "v1", "zone": "z", "slots": 4}
        status = {"state": state, "sequence": sequence, "warmup_left": "0ms"}
        body = {"address": self.target.address, "born": born}
        return msgspec.json.encode(body | {"info": info, "status": status})

    def fall_silent(self) -> None:
        """Let the target send no more heartbeats by itself."""
        self.target._send_heartbeat = lambda now, schedules_next=True: None
        self.target.behaviour.heartbeat_interval_s = 1e9

    def restart_router(self) -> None:
        self.close_router(self.router)
        self.router.unregister()
        self.pass_time(0.3)
        self.routers[LEAVING] = self.new_router(LEAVING)
        self.tick_until(self.router.is_ready, 8.0)

    def count_runs(self, requests: int = 8) -> int:
        """Send requests for the service; return how many the leaving target ran."""
        before = len(self.target.executed_requests)
        for number in range(requests):
            path = f"/look/{self.elapsed_s:.3f}-{number}"
            self.assertEqual(self.send_request(CALLER, path).status, HTTPStatus.OK)
        return len(self.target.executed_requests) - before

    def test_a_late_heartbeat_after_a_restart_does_not_bring_it_back(self):
        self.fall_silent()
        late = self.heartbeat(self.target._sequence, self.target._born)
        self.assertEqual(self.call("DELETE"), HTTPStatus.OK)
        self.restart_router()
        for _ in range(3):
            # Also once every grant of the process before has ended.
            self.call("PUT", late)
            self.pass_time(2.5)
            self.assertNotIn(TargetState.READY, self.recorded_states())
            self.assertEqual(self.count_runs(), 0)

    # Guards against: a departure that the next process does not know, as the member
    # record from before it was written late and is the newest one.
    def test_a_late_record_does_not_bring_it_back(self):
        self.fall_silent()
        late = self.heartbeat(self.target._sequence, self.target._born)
        member = self.router.local_member(self.router.now())
        record = encode_member(member, MemberVersion(0, 1))
        self.assertEqual(self.call("DELETE"), HTTPStatus.OK)
        self.close_router(self.router)
        self.router.unregister()
        self.store.put(TOPIC, member_key(address(LEAVING, 1)), record)
        self.pass_time(0.3)
        self.routers[LEAVING] = self.new_router(LEAVING)
        self.tick_until(self.router.is_ready, 8.0)
        self.call("PUT", late)
        self.pass_time(2.0)
        self.assertNotIn(TargetState.READY, self.recorded_states())
        self.assertEqual(self.count_runs(), 0)

    def test_its_own_heartbeats_after_a_restart_do_not_bring_it_back(self):
        self.assertEqual(self.call("DELETE"), HTTPStatus.OK)
        self.restart_router()
        self.pass_time(4.5)
        self.assertNotIn(TargetState.READY, self.recorded_states())
        self.assertEqual(self.count_runs(), 0)

    def test_a_late_heartbeat_that_comes_before_the_records_were_read(self):
        self.fall_silent()
        late = self.heartbeat(self.target._sequence, self.target._born)
        self.assertEqual(self.call("DELETE"), HTTPStatus.OK)
        self.store.faults.refuses = True
        self.close_router(self.router)
        self.router.unregister()
        self.pass_time(0.3)
        self.routers[LEAVING] = self.new_router(LEAVING)
        self.pass_time(0.5)
        self.call("PUT", late)
        self.store.faults.refuses = False
        self.tick_until(self.router.is_ready, 8.0)
        self.pass_time(1.0)
        self.assertNotIn(TargetState.READY, self.recorded_states())
        self.assertIsNotNone(self.router.admission_queue.closed_reason)

    def test_an_announced_leaving_outlives_the_process(self):
        self.fall_silent()
        born, sequence = self.target._born, self.target._sequence
        draining = self.heartbeat(sequence + 2, born, "draining")
        self.assertEqual(self.call("PUT", draining), HTTPStatus.OK)
        self.restart_router()
        self.call("PUT", self.heartbeat(sequence + 1, born))
        self.tick_until(
            lambda: TargetState.READY not in self.recorded_states(), DRAIN_S
        )
        self.pass_time(2.0)
        self.assertNotIn(TargetState.READY, self.recorded_states())
        self.assertEqual(self.count_runs(), 0)

    def test_a_departure_is_acknowledged_only_once_it_is_in_the_store(self):
        self.store.faults.refuses = True
        self.assertEqual(self.call("DELETE"), HTTPStatus.SERVICE_UNAVAILABLE)
        self.store.faults.refuses = False
        self.pass_time(3.0)
        self.assertEqual(self.call("DELETE"), HTTPStatus.OK)
        self.assertNotIn(TargetState.READY, self.recorded_states())

    def test_an_announcement_is_acknowledged_only_once_it_is_in_the_store(self):
        self.fall_silent()
        born, sequence = self.target._born, self.target._sequence
        self.store.faults.refuses = True
        draining = self.heartbeat(sequence + 1, born, "draining")
        self.assertEqual(self.call("PUT", draining), HTTPStatus.SERVICE_UNAVAILABLE)
        self.store.faults.refuses = False
        self.pass_time(3.0)
        draining = self.heartbeat(sequence + 2, born, "draining")
        self.assertEqual(self.call("PUT", draining), HTTPStatus.OK)

    # Guards against: a target that is never used again, as the record that it leaves
    # outlives what it has said since.
    def test_a_target_that_takes_its_leaving_back_is_used_after_a_restart(self):
        self.fall_silent()
        born, sequence = self.target._born, self.target._sequence
        draining = self.heartbeat(sequence + 1, born, "draining")
        self.assertEqual(self.call("PUT", draining), HTTPStatus.OK)
        again = self.heartbeat(sequence + 2, born)
        self.assertEqual(self.call("PUT", again), HTTPStatus.OK)
        self.pass_time(1.0)
        self.restart_router()
        again = self.heartbeat(sequence + 3, born)
        self.assertEqual(self.call("PUT", again), HTTPStatus.OK)
        self.tick_until(lambda: self.recorded_states() == {TargetState.READY}, DRAIN_S)
        self.assertIsNone(self.router.admission_queue.closed_reason)

    def test_a_departure_that_reaches_the_next_process_first_is_kept(self):
        self.fall_silent()
        late = self.heartbeat(self.target._sequence, self.target._born)
        self.restart_router()
        self.assertEqual(self.call("DELETE"), HTTPStatus.OK)
        self.call("PUT", late)
        self.tick_until(
            lambda: TargetState.READY not in self.recorded_states(), DRAIN_S
        )
        self.call("PUT", late)
        self.pass_time(2.0)
        self.assertNotIn(TargetState.READY, self.recorded_states())

    # Guards against: a target that others use only once they read the store, as its
    # record was written before the connections of its router were open.
    def test_a_record_of_a_router_that_starts_reaches_all_without_a_read(self):
        for owner, name, value in (
            (router_store, "READER_MAX_AGE_RANGE_S", (60.0, 60.0)),
            (PeerHandlers, "_lacks_records", lambda *args: False),
        ):
            patch = mock.patch.object(owner, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.fall_silent()
        self.pass_time(1.0)
        self.assertEqual(self.call("DELETE"), HTTPStatus.OK)
        left = {TargetState.LEAVING}
        self.tick_until(lambda: self.recorded_states() == left, DRAIN_S)
        self.restart_router()
        born = self.target._born + 5000
        self.assertEqual(self.call("PUT", self.heartbeat(1, born)), HTTPStatus.OK)
        self.tick_until(lambda: self.recorded_states() == {TargetState.READY}, DRAIN_S)

    def test_a_target_that_starts_again_under_its_id_is_served_at_once(self):
        # Its clock may have gone back since the run that left.
        for difference_ms in (5000, -5000):
            with self.subTest(difference_ms=difference_ms):
                born = self.target._born + difference_ms
                self.target._born = born
                self.fall_silent()
                self.call("DELETE")
                self.restart_router()
                self.assertEqual(
                    self.call("PUT", self.heartbeat(1, born)), HTTPStatus.OK
                )
                self.assertIsNone(self.router.admission_queue.closed_reason)
                self.tick_until(
                    lambda: self.recorded_states() == {TargetState.READY}, DRAIN_S
                )
