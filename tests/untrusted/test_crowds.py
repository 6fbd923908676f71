"""A router lives and stays within its memory beside larger crowds, at all its ports.

Clients that sent large bodies piece by piece, or in the smallest chunks, and came again
when they were refused ended routers: memory grew past what was counted. The crowds and
the bounds are fixed. Neither times nor how many of the crowd are served are checked.
"""

from __future__ import annotations

import http.client
import subprocess
import sys
import time
import unittest
from http import HTTPStatus

from tests.untrusted.crowds import CONNECTED
from tests.untrusted.deployment import (
    ANSWER_TIMEOUT_S,
    HOST,
    READY_TIMEOUT_S,
    ROOT,
    SERVICES,
    Deployment,
)

#: Limits in the settings of the routers: low memory, so that small crowds suffice, and
#: room for the connections of the crowds and more.
MEMORY_MB = 140
MAX_FDS = 1_700
#: Clients of a crowd, and of one that is larger than the descriptors of a router.
CLIENTS = 400
MANY_CLIENTS = 1_500
TOO_MANY_CLIENTS = 2_000
#: Clients of a crowd at a port that few are expected at.
CONTROL_CLIENTS = 100
PEERS = 10
#: Time for which a crowd acts, and for its process to end after it, in seconds.
CROWD_S = 8.0
END_TIMEOUT_S = 60.0


class CrowdCase(unittest.TestCase):
    #: Port that the crowd connects to, and what its users get there.
    PORT = "outbound"
    STATUS = HTTPStatus.OK

    def setUp(self):
        self.deployment = Deployment(MEMORY_MB, MAX_FDS)
        self.addCleanup(self.deployment.close)
        for service in SERVICES:
            is_ready = self.deployment.is_answered(service, READY_TIMEOUT_S)
            self.assertTrue(is_ready, f"{service} is not ready")

    def play(self, name: str, count: int) -> None:
        """Let a crowd act against the first router, then check all routers.

        The users of the port are answered beside the crowd, and callers after it.
        """
        crowd = self.start(name, count)
        self.assertEqual(crowd.stdout.readline().strip(), CONNECTED)
        began_at, most_descriptors, statuses = time.monotonic(), 0, set()
        while time.monotonic() < began_at + CROWD_S or (
            self.STATUS not in statuses
            and time.monotonic() < began_at + ANSWER_TIMEOUT_S
        ):
            self.check_lives()
            counts = [vm.open_descriptors() for vm in self.deployment.vms]
            most_descriptors = max(most_descriptors, *counts)
            statuses.add(self.ask())
        crowd.stdin.close()
        self.assertEqual(crowd.wait(END_TIMEOUT_S), 0, "the crowd has failed")
        self.check_lives()
        self.assertIn(self.STATUS, statuses)
        for service in SERVICES:
            is_answered = self.deployment.is_answered(service, ANSWER_TIMEOUT_S)
            self.assertTrue(is_answered, f"{service} answers no ordinary request")
        peaks = {vm.service: round(vm.peak_mb()) for vm in self.deployment.vms}
        print(f"{self.id()}: {peaks} MB, {most_descriptors} descriptors")
        self.assertLess(max(peaks.values()), MEMORY_MB, peaks)
        self.assertLess(most_descriptors, MAX_FDS)

    def start(self, name: str, count: int) -> subprocess.Popen:
        """Start the process of a crowd against a port of the first router."""
        number = self.deployment.vms[0].port[self.PORT]
        words = [name, str(count), str(number)]
        process = subprocess.Popen(
            [sys.executable, "-m", "tests.untrusted.crowds", *words],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait, END_TIMEOUT_S)
        self.addCleanup(process.kill)
        self.addCleanup(process.stdin.close)
        return process

    def check_lives(self) -> None:
        for vm in self.deployment.vms:
            self.assertTrue(vm.is_alive(), f"{vm.service} has ended")
            self.assertLess(vm.peak_mb(), MEMORY_MB, vm.service)

    def ask(self) -> int | None:
        """Return the status that a user of the port gets; None without an answer."""
        return self.deployment.ask(SERVICES[0])


class CallersPortTests(CrowdCase):
    def test_large_bodies(self):
        self.play("large_bodies", CLIENTS)

    def test_large_bodies_of_many_clients(self):
        self.play("large_bodies", MANY_CLIENTS)

    def test_the_largest_bodies(self):
        self.play("largest_bodies", CLIENTS)

    def test_bodies_in_large_chunks(self):
        self.play("large_chunks", CLIENTS)

    def test_bodies_in_large_chunks_of_many_clients(self):
        self.play("large_chunks", MANY_CLIENTS)

    def test_bodies_of_one_chunk(self):
        self.play("one_chunk", CLIENTS)

    def test_bodies_of_one_chunk_of_many_clients(self):
        self.play("one_chunk", MANY_CLIENTS)

    def test_the_largest_bodies_of_one_chunk(self):
        self.play("one_largest_chunk", CLIENTS)

    def test_bodies_in_the_smallest_chunks(self):
        self.play("smallest_chunks", CLIENTS)

    def test_bodies_above_the_limit(self):
        self.play("above_the_limit", CLIENTS)

    def test_small_bodies_in_a_pipeline(self):
        self.play("small_bodies", MANY_CLIENTS)

    def test_heads_of_many_headers(self):
        self.play("many_headers", MANY_CLIENTS)

    def test_heads_of_one_long_header(self):
        self.play("long_headers", MANY_CLIENTS)

    def test_more_silent_clients_than_connections(self):
        self.play("silent", TOO_MANY_CLIENTS)

    def test_more_clients_that_stay_after_a_request_than_connections(self):
        self.play("silent_after_a_request", TOO_MANY_CLIENTS)


class _ControlPortCase(CrowdCase):
    PATH: str

    def ask(self) -> int | None:
        port = self.deployment.vms[0].port[self.PORT]
        connection = http.client.HTTPConnection(HOST, port, timeout=5.0)
        try:
            connection.request("GET", self.PATH)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()


class HeartbeatPortTests(_ControlPortCase):
    PORT = "control"
    PATH = "/instances/none"
    STATUS = HTTPStatus.METHOD_NOT_ALLOWED

    def test_silent_clients(self):
        self.play("silent", CONTROL_CLIENTS)

    def test_large_bodies_in_a_pipeline(self):
        self.play("control_bodies", CONTROL_CLIENTS)


class ReadinessPortTests(_ControlPortCase):
    PORT = "ready"
    PATH = "/readiness"
    STATUS = HTTPStatus.OK

    def test_silent_clients(self):
        self.play("silent", CONTROL_CLIENTS)

    def test_pages_that_nobody_reads(self):
        self.play("unread_pages", CONTROL_CLIENTS)


class PeersPortTests(CrowdCase):
    PORT = "inbound"

    def test_silent_clients(self):
        self.play("silent", TOO_MANY_CLIENTS)

    def test_frames_in_part(self):
        self.play("frames_in_part", PEERS)

    def test_many_frames_in_few_bytes(self):
        self.play("many_frames", PEERS)


if __name__ == "__main__":
    unittest.main()
