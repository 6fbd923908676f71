"""Routers over real sockets, with seeds and clocks that turn with the loop."""

from __future__ import annotations

import itertools
import time
from unittest import mock

from rhubarbhall.adapters.clock import boot_time
from tests.platform.test_path import RouterTestCase

#: Virtual time that one turn of the loop takes, in seconds.
TURN_S = 0.005


class VirtualTimeTestCase(RouterTestCase):
    """Routers whose clocks advance with the turns of the loop.

    Bounds on time hold however fast the machine is. The routers draw random numbers
    from `SEED`.
    """

    SEED = 1

    def setUp(self):
        self.elapsed_s = 0.0
        for name, read in (
            ("time.monotonic", time.monotonic),
            ("rhubarbhall.programs.routing_daemon.boot_time", boot_time),
        ):
            clock = mock.patch(name, self.clock_from(read()))
            clock.start()
            self.addCleanup(clock.stop)
        # Routers seed their generators with the time, each run with another.
        seeds = mock.patch("time.time_ns", itertools.count(self.SEED).__next__)
        seeds.start()
        self.addCleanup(seeds.stop)
        super().setUp()

    def clock_from(self, start: float):
        return lambda: start + self.elapsed_s

    def tick_until(self, condition, limit_s: float) -> None:
        end = self.elapsed_s + limit_s
        while not condition():
            self.assertLess(self.elapsed_s, end, "condition not met in time")
            self.elapsed_s += TURN_S
            self.loop.manager.tick(0.0005)

    def pass_time(self, seconds: float) -> None:
        end = self.elapsed_s + seconds
        self.tick_until(lambda: self.elapsed_s >= end, seconds + 1.0)
