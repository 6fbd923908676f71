"""The return of keys after the loss of all processes, in the simulated mesh."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from rhubarbhall.core.ownership.key_table import KEY_COUNT
from tests.core.ownership import mesh as meshes
from tests.core.ownership.mesh import FakeDaemon, OwnershipMesh

#: Time until a daemon that has started is connected with the others, in seconds; what
#: is pushed before is lost.
CONNECT_S = 0.6
LOST_AT_S = 15.0


class StartingDaemon(FakeDaemon):
    """A daemon without connections at first, which reads only what it needs."""

    def start(self) -> None:
        self.started_at = self.mesh.simulation.now
        super().start()
        rng = random.Random(f"reads {self.local_address} {self.started_at}")
        self.follower._needs_read = lambda now: (
            self.lease.age_s(now) > rng.uniform(2.0, 3.5)
        )
        self._renew_if_lapsed(self.life)

    def _renew_if_lapsed(self, life: int) -> None:
        if self.life != life:
            return
        simulation = self.mesh.simulation
        if self.witnessed_lease.remaining_s(simulation.now) <= 0:
            self._request_renewals(simulation.now)
        simulation.after(0.1, lambda: self._renew_if_lapsed(life))

    def _on_written(self, now, entry, reason) -> None:
        simulation = self.mesh.simulation
        for peer in self.mesh.reachable_peers(self):
            if now - max(self.started_at, peer.started_at) >= CONNECT_S:
                delay_s = simulation.rng.uniform(0.001, 0.05)
                simulation.after(delay_s, lambda p=peer: p.on_push(entry))


def return_time_s(
    seed: int, by_request: bool, loses_targets: bool, spread_s: float, count: int = 8
) -> tuple[float, int]:
    """Return the time from the last start until all keys have a holder for good.

    Also the number of times that a key had two holders.
    """
    with mock.patch.object(meshes, "FakeDaemon", StartingDaemon):
        mesh = OwnershipMesh(seed, count, by_request)
    simulation, rng = mesh.simulation, random.Random(f"k{seed}")
    simulation.run_until(LOST_AT_S)
    last_start = LOST_AT_S
    for daemon in mesh.daemons:
        daemon.kill()
        delay_s = 0.3 + rng.uniform(0, spread_s)
        last_start = max(last_start, LOST_AT_S + delay_s)
        simulation.after(delay_s, daemon.start)
        if loses_targets:
            daemon.target.is_up = False
            delay_s += rng.uniform(0, 0.2)
            simulation.after(delay_s, lambda d=daemon: mesh.new_target(d))
    lacking_at = LOST_AT_S
    for tick in range(1, 201):
        now = LOST_AT_S + 0.1 * tick
        simulation.run_until(now)
        if sum(mesh.owners().values()) < KEY_COUNT:
            lacking_at = now
    return lacking_at - last_start, len(mesh.overlaps)


class ReturnTests(unittest.TestCase):
    # Full service was back after 10 s and more. Records that were pushed before the
    # connections were open were read 2 to 3.5 s later, and daemons that started last
    # lost their keys.
    def test_all_keys_have_holders_soon_after_the_last_start(self):
        for by_request in (False, True):
            for loses_targets in (False, True):
                with self.subTest(by_request=by_request, loses_targets=loses_targets):
                    took_s, overlaps = return_time_s(5, by_request, loses_targets, 2.5)
                    self.assertLess(took_s, 2.5)
                    self.assertEqual(overlaps, 0)


if __name__ == "__main__":
    unittest.main()
