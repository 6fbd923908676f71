"""Signals that arrive while a process starts, in processes of their own."""

from __future__ import annotations

import subprocess
import sys
import textwrap
import unittest

#: The start of a program: a loop and its first component. `moment` sends the signals.
PROGRAM = """
import os
import signal

from circuits import BaseComponent, handler

from rhubarbhall.adapters.loop import Loop


def send(*numbers):
    for number in numbers:
        os.kill(os.getpid(), number)


class Starting(BaseComponent):
    @handler("started", channel="*", priority=100)
    def _on_started(self, *args):
        {at_start}


def stop():
    print("planned stop", flush=True)
    loop.stop()


loop = Loop(on_stop=stop, on_reload=lambda: print("reload", flush=True))
loop.catch_signals()
loop.add(Starting())
{before_start}
loop.run()
print("end", flush=True)
"""


class EarlySignalTests(unittest.TestCase):
    """A router that was told to stop while it started closed all connections (LOST)."""

    def run_program(self, before_start: str = "", at_start: str = "pass") -> list[str]:
        program = textwrap.dedent(PROGRAM)
        program = program.format(before_start=before_start, at_start=at_start)
        result = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, timeout=60
        )
        self.assertEqual(result.returncode, 0, result.stderr)
        return result.stdout.split("\n")[:-1]

    def test_a_signal_before_the_loop_runs_is_a_planned_stop(self):
        for name in ("SIGTERM", "SIGINT"):
            with self.subTest(name):
                output = self.run_program(before_start=f"send(signal.{name})")
                self.assertEqual(output, ["planned stop", "end"])

    def test_a_signal_while_components_start_is_a_planned_stop(self):
        for name in ("SIGTERM", "SIGINT"):
            with self.subTest(name):
                output = self.run_program(at_start=f"send(signal.{name})")
                self.assertEqual(output, ["planned stop", "end"])

    def test_a_reload_before_the_loop_runs_does_not_end_the_process(self):
        output = self.run_program(before_start="send(signal.SIGHUP, signal.SIGTERM)")
        self.assertEqual(sorted(output), ["end", "planned stop", "reload"])

    # The grace period was counted from when a busy loop carried out the action.
    def test_the_delay_of_an_action_is_known(self):
        output = self.run_program(
            before_start="send(signal.SIGTERM); import time; time.sleep(0.3); "
            "loop._signals._action_by_signal[signal.SIGTERM] = "
            "lambda: (print(loop.signal_delay_s >= 0.3), loop.stop())"
        )
        self.assertEqual(output, ["True", "end"])


if __name__ == "__main__":
    unittest.main()
