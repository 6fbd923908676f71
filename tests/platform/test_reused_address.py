"""An address that is used again by a target of another service, over sockets."""

from __future__ import annotations

from http import HTTPStatus

from tests.platform.virtual_time import VirtualTimeTestCase

#: VM whose address is used again, and a VM that goes on serving the former service.
REUSED, OTHER = 2, 3
#: Service that uses the address again; no route leads to it.
NEXT_SERVICE = "stock"


class ReusedAddressTests(VirtualTimeTestCase):
    """A target got requests of the service that its address had before (ROUTE)."""

    def setUp(self):
        super().setUp()
        self.route_by_address()

    def end_target(self, vm: int) -> None:
        target = self.targets[vm]
        target.behaviour.heartbeat_interval_s = 1e9
        target._send_heartbeat = lambda now, schedules_next=True: None
        target.port.close()
        self.pass_time(0.1)

    def begin_next_target(self) -> None:
        self.targets[REUSED] = self.new_target(REUSED, NEXT_SERVICE)
        for _ in range(20):
            self.loop.manager.tick(0.0)
        self.targets[REUSED].begin()

    def reuse_address(self) -> None:
        """Use the address again; the new router cannot write its member record."""
        self.end_target(REUSED)
        self.close_router(self.routers[REUSED])
        self.routers[REUSED].unregister()
        self.pass_time(0.3)
        router = self.routers[REUSED] = self.new_router(REUSED, NEXT_SERVICE)
        self.tick_until(router.is_ready, 8.0)
        self.store.faults.refuses = True
        self.begin_next_target()
        self.tick_until(lambda: router.target.instance, 3.0)

    def send_all(self, prefix: str, method: str) -> list[int]:
        """Send requests from the reused address; return their statuses."""
        paths = [f"{prefix}{number}" for number in range(6)]
        return [self.send_request(REUSED, path, method).status for path in paths]

    # Guards against: requests of callers on the VM that its target runs, although they
    # are for the service that the address had before.
    def test_requests_for_the_former_service_go_to_another_target_of_it(self):
        self.reuse_address()
        for prefix, method in (("/look/r", "GET"), ("/credit/r", "POST")):
            with self.subTest(prefix=prefix):
                statuses = self.send_all(prefix, method)
                self.assertEqual(self.targets[REUSED].executed_requests, [])
                self.assertEqual(set(statuses), {HTTPStatus.OK})
                self.assertEqual(self.run_count(f"{prefix}0"), 1)

    def test_they_are_refused_if_no_target_of_the_service_is_left(self):
        self.end_target(OTHER)
        self.reuse_address()
        statuses = self.send_all("/credit/s", "POST")
        self.assertEqual(self.targets[REUSED].executed_requests, [])
        self.assertEqual(set(statuses), {HTTPStatus.SERVICE_UNAVAILABLE})

    # Guards against: the name of the next target in the requests of a router that still
    # has the settings of the former service, as while it stops.
    def test_a_target_beside_a_router_of_the_former_service_runs_nothing(self):
        instance = self.routers[REUSED].target.instance
        self.end_target(REUSED)
        self.begin_next_target()
        self.pass_time(1.0)
        self.assertEqual(self.routers[REUSED].target.instance, instance)
        statuses = self.send_all("/credit/t", "POST")
        self.assertEqual(self.targets[REUSED].executed_requests, [])
        self.assertEqual(set(statuses), {HTTPStatus.OK})
