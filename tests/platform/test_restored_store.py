"""Routers over real sockets while the store is restored from an older copy."""

from __future__ import annotations

import time

from rhubarbhall.programs.router_store import COMPARISON_TIMEOUT_S
from tests.platform.test_path import VMS, RouterTestCase, configuration

OPERATOR_TOPIC = "keyed.op"
#: Time in which a configuration takes force on every router, in seconds.
IN_FORCE_S = 3.0
#: Records of other keys, so that versions stand at lower offsets after the restore.
OTHER_RECORDS = 4


class RestoredStoreTests(RouterTestCase):
    def setUp(self):
        super().setUp()
        self.seen_version = [0] * len(VMS)
        self.older = self.store.copy()
        for number in range(OTHER_RECORDS):
            self.store.put(OPERATOR_TOPIC, f"note-{number}", b"{}")
        self.last_offset = self.put(3)
        self.tick_until(lambda: self.is_everywhere(3), IN_FORCE_S)

    def put(self, version: int) -> int:
        """Write a configuration and return its offset."""
        return self.store.put(OPERATOR_TOPIC, "config", configuration(version))

    def is_everywhere(self, version: int) -> bool:
        """Return whether all routers follow a version; fail if one has gone back."""
        for vm, router in enumerate(self.routers):
            known = router.request_router.routing.version
            self.assertGreaterEqual(known, self.seen_version[vm], f"router {vm}")
            self.seen_version[vm] = known
        return self.seen_version == [version] * len(VMS)

    def tick_for(self, seconds: float, version: int) -> None:
        """Run for some time, in which all routers follow a version."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.loop.manager.tick(0.01)
            self.assertTrue(self.is_everywhere(version))

    def ignore_stored_configurations(self, vm: int) -> None:
        follower = self.routers[vm]._configuration_follower
        follower._on_entries = lambda now, entries: None

    # Guards against: a configuration written after a restore ignored for good, since
    # its offset is not above that of the version in force.
    def test_a_version_written_after_a_restore_takes_force_everywhere(self):
        self.store.restore(self.older)
        self.assertLess(self.put(3), self.last_offset)
        self.assertLess(self.put(4), self.last_offset)
        self.tick_until(lambda: self.is_everywhere(4), IN_FORCE_S)
        self.tick_for(1.0, 4)

    # Guards against: the version in the copy taking force again.
    def test_the_older_copy_is_read_without_effect_and_the_next_version_counts(self):
        self.store.restore(self.older)
        self.tick_for(2.0, 3)
        self.assertLess(self.put(3), self.last_offset)
        self.tick_for(1.0, 3)
        self.assertLess(self.put(4), self.last_offset)
        self.tick_until(lambda: self.is_everywhere(4), IN_FORCE_S)

    # Guards against: a daemon that cannot read the store left behind by its peers.
    def test_routers_without_the_store_follow_the_versions_of_their_peers(self):
        for vm in (1, 2):
            self.ignore_stored_configurations(vm)
        self.store.restore(self.older)
        for version in (4, 9, 10):
            self.assertLess(self.put(version), self.last_offset)
            self.tick_until(
                lambda version=version: self.is_everywhere(version), IN_FORCE_S
            )

    # Guards against: a daemon that starts just after the restore ready with the older
    # version of the copy, although its peers follow a newer one.
    def test_a_router_started_after_the_restore_is_ready_with_the_newest_version(self):
        self.end_router(2)
        self.store.restore(self.older)
        started = self.routers[2] = self.new_router(2)
        self.seen_version[2] = 0
        self.tick_until(started.is_ready, COMPARISON_TIMEOUT_S - 1.0)
        self.assertEqual(started.request_router.routing.version, 3)

    def end_router(self, vm: int) -> None:
        """End a router as a process that is killed does, and let its peers notice."""
        router = self.routers[vm]
        self.close_router(router)
        router.unregister()
        end = time.monotonic() + 0.3
        while time.monotonic() < end:
            self.loop.manager.tick(0.01)
