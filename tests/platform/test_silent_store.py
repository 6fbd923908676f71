"""Routers over real sockets whose connections to the store go silent."""

from __future__ import annotations

import time
from unittest import mock

from rhubarbhall.adapters.clock import boot_time
from tests.platform.test_path import VMS, RouterTestCase, configuration

OPERATOR_TOPIC = "keyed.op"
#: Time in which an acknowledged configuration takes force, in seconds.
IN_FORCE_S = 2.5
#: Virtual time that one turn of the loop takes, in seconds.
TURN_S = 0.005


class VirtualTimeTestCase(RouterTestCase):
    """Routers whose clocks advance with the turns of the loop.

    Bounds on time hold however fast the machine is.
    """

    def setUp(self):
        self.elapsed_s = 0.0
        for name, read in (
            ("time.monotonic", time.monotonic),
            ("rhubarbhall.programs.routing_daemon.boot_time", boot_time),
        ):
            clock = mock.patch(name, self.clock_from(read()))
            clock.start()
            self.addCleanup(clock.stop)
        super().setUp()

    def clock_from(self, start: float):
        return lambda: start + self.elapsed_s

    def tick_until(self, condition, limit_s: float) -> None:
        end = self.elapsed_s + limit_s
        while not condition():
            self.assertLess(self.elapsed_s, end, "condition not met in time")
            self.elapsed_s += TURN_S
            self.loop.manager.tick(0.0005)


class SilentStoreTests(VirtualTimeTestCase):
    def put(self, version: int) -> None:
        self.store.put(OPERATOR_TOPIC, "config", configuration(version))

    def versions(self) -> list[int]:
        return [router.request_router.routing.version for router in self.routers]

    def wait_for(self, version: int) -> None:
        in_force = [version] * len(VMS)
        self.tick_until(lambda: self.versions() == in_force, IN_FORCE_S)

    # Guards against: a configuration in force only after 10 s, as all readers wait on
    # connections to the store that went silent without a reset.
    def test_a_version_takes_force_in_time_after_all_connections_went_silent(self):
        self.put(3)
        self.wait_for(3)
        self.store.silence_connections()
        self.put(4)
        self.wait_for(4)

    # Guards against: a reader that notices the silence, and then reads on another
    # connection that is silent too.
    def test_later_versions_take_force_in_time_as_well(self):
        for version in (3, 4, 5):
            self.store.silence_connections()
            self.put(version)
            self.wait_for(version)
