"""Routers over real sockets whose connections to the store go silent."""

from __future__ import annotations

from tests.platform.test_path import VMS, configuration
from tests.platform.virtual_time import VirtualTimeTestCase

OPERATOR_TOPIC = "keyed.op"
#: Time in which an acknowledged configuration takes force, in seconds.
IN_FORCE_S = 2.5


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
