"""The end of a router's process within the grace period of a planned stop."""

from __future__ import annotations

import subprocess
import sys
import unittest
from types import SimpleNamespace

from rhubarbhall.core.timers import TimerService
from rhubarbhall.programs.router_shutdown import ShutdownHandlers

#: A router whose daemon has drained as soon as the stop signal arrives.
PROGRAM = """
import os, signal
from types import SimpleNamespace
from circuits import BaseComponent
from rhubarbhall.programs import router


class Daemon(BaseComponent):
    def __init__(self, path, settings, on_exit, log):
        super().__init__()
        self.on_exit = on_exit

    def begin(self):
        os.kill(os.getpid(), signal.SIGTERM)

    def request_stop(self, signalled_before_s):
        self.on_exit()


router.RoutingDaemon = Daemon
log = SimpleNamespace(flush=lambda: print("flushed", flush=True))
router._serve(None, SimpleNamespace(grace_s=1.0), log)
"""


class ProcessTests(unittest.TestCase):
    # 4 to 10 processes a day were killed at the end of the grace period, some of them
    # while the interpreter freed their memory.
    def test_a_process_that_has_drained_ends_without_freeing_its_memory(self):
        command = [sys.executable, "-c", PROGRAM]
        result = subprocess.run(command, capture_output=True, text=True, timeout=40)
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertEqual(result.stdout.split(), ["flushed"])


class FakeDaemon(ShutdownHandlers):
    def __init__(self):
        self.time = 0.0
        self.timers = TimerService()
        self.calls: list[str] = []
        self.settings = SimpleNamespace(grace_s=6.0)
        self.shutdown, self._ended, self._shutdown_announced = None, False, False
        self.request_router = SimpleNamespace(
            in_flight=1,
            drain=lambda end: None,
            end_pending=lambda now: self.calls.append("end pending"),
        )
        load = SimpleNamespace(running=0, waiting=0)
        self.admission_queue = SimpleNamespace(drain=lambda end: None, load=load)
        self._on_exit = lambda: self.calls.append("exit")

    def log_event(self, event):
        pass

    def _advance_timers(self):
        self.timers.advance_to(self.time)
        return self.time


class ExitTests(unittest.TestCase):
    # The loop was busy when the last outcomes were due: the exit took another check.
    def test_a_late_check_gives_the_last_outcomes_and_ends_the_process(self):
        daemon = FakeDaemon()
        daemon.request_stop()
        daemon._check_stop(daemon.shutdown.exit_at)
        self.assertEqual(daemon.calls, ["end pending", "exit"])

    def test_the_grace_period_counts_from_the_signal(self):
        daemon = FakeDaemon()
        daemon.time = 10.0
        daemon.request_stop(1.5)
        self.assertEqual(daemon.shutdown.requested_at, 8.5)


if __name__ == "__main__":
    unittest.main()
