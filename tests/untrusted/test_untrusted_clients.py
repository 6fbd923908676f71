"""A router lives and stays within its memory and descriptors beside hostile clients.

Clients that read no answer, and bodies that stop short of their end, ended routers:
the bytes held for them were not bounded. The crowds and the bounds are fixed. Checked
are the bounds and that an ordinary request is answered afterwards; neither times nor
how many of the crowd are served.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterator

from tests.untrusted.crowd import Client, head, play
from tests.untrusted.deployment import (
    ANSWER_TIMEOUT_S,
    MAX_FDS,
    MEMORY_MB,
    READY_TIMEOUT_S,
    SERVICES,
    Deployment,
)

#: Time for which a crowd acts, in seconds.
CROWD_S = 5.0
#: Clients that ask for long answers, and clients that send large bodies.
LONG_ANSWER_CLIENTS = 150
LARGE_BODY_CLIENTS = 60
#: Connections that cost little memory; above the descriptors of a process.
SMALL_CLIENTS = 500
#: Clients that pipeline, their requests in one turn and all of their requests.
PIPELINING_CLIENTS = 24
PIPELINED_AT_A_TIME = 16
PIPELINED = 480
BODY = bytes(4 << 20)
#: Bytes that most bodies lack at their end.
MISSING_BYTES = 8
CHUNK_BYTES = 64 << 10


def _long_answers(
    receive_bytes: int, services: tuple[str, ...], count: int = LONG_ANSWER_CLIENTS
) -> Iterator[Client]:
    for number in range(count):
        service = services[number % len(services)]
        request = head("GET", f"/{service}/long", f"l{receive_bytes}-{number}")
        yield Client([request], receive_bytes=receive_bytes)


def _bodies(count: int = LARGE_BODY_CLIENTS) -> Iterator[Client]:
    """Yield bodies with a length and in chunks; one in six is whole."""
    body = memoryview(BODY)
    chunk = b"%x\r\n" % CHUNK_BYTES + BODY[:CHUNK_BYTES] + b"\r\n"
    chunks = [chunk] * (len(BODY) // CHUNK_BYTES)
    for number in range(count):
        path, name = f"/{SERVICES[number % 2]}/put", f"b-{number}"
        is_whole = number % 6 == 0
        if number % 4 < 2:
            line = f"Content-Length: {len(BODY)}"
            end = len(BODY) if is_whole else len(BODY) - MISSING_BYTES
            parts = [head("PUT", path, name, line), body[:end]]
        else:
            line = "Transfer-Encoding: chunked"
            last = [b"0\r\n\r\n"] if is_whole else [chunk[:-MISSING_BYTES]]
            parts = [head("PUT", path, name, line), *chunks[:-1], *last]
        yield Client(parts)


def _pipelined() -> Iterator[Client]:
    for number in range(PIPELINING_CLIENTS):
        requests = [
            head("GET", "/near/page", f"p-{number}-{each}") for each in range(PIPELINED)
        ]
        parts = [
            b"".join(requests[start : start + PIPELINED_AT_A_TIME])
            for start in range(0, PIPELINED, PIPELINED_AT_A_TIME)
        ]
        yield Client(parts, turns_between=6)


class UntrustedClientsTests(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment()
        self.addCleanup(self.deployment.close)
        self.most_descriptors = 0
        for service in SERVICES:
            is_ready = self.deployment.is_answered(service, READY_TIMEOUT_S)
            self.assertTrue(is_ready, f"{service} is not ready")

    def watch(self) -> None:
        for vm in self.deployment.vms:
            if vm.is_alive():
                count = vm.open_descriptors()
                self.most_descriptors = max(self.most_descriptors, count)

    def check(self, *crowds: Iterator[Client]) -> None:
        """Let clients act at the same time, then check the routers."""
        clients = [client for crowd in crowds for client in crowd]
        play(self.deployment.callers_port, clients, CROWD_S, self.watch)
        for vm in self.deployment.vms:
            self.assertTrue(vm.is_alive(), f"{vm.service} has ended")
        for service in SERVICES:
            is_answered = self.deployment.is_answered(service, ANSWER_TIMEOUT_S)
            self.assertTrue(is_answered, f"{service} answers no ordinary request")
        peaks = {vm.service: round(vm.peak_mb()) for vm in self.deployment.vms}
        print(f"{self.id()}: {peaks} MB, {self.most_descriptors} descriptors")
        self.assertLess(max(peaks.values()), MEMORY_MB, peaks)
        self.assertLess(self.most_descriptors, MAX_FDS)

    def test_long_answers_of_the_target_beside_that_nobody_reads(self):
        self.check(_long_answers(0, ("near",)))

    def test_long_answers_of_a_target_behind_a_peer_that_nobody_reads(self):
        self.check(_long_answers(0, ("far",)))

    def test_long_answers_that_are_read_a_few_bytes_at_a_time(self):
        self.check(_long_answers(16, SERVICES))

    def test_large_bodies_that_stop_just_short_of_their_end(self):
        self.check(_bodies())

    def test_unread_answers_and_large_bodies_together(self):
        self.check(_bodies(LARGE_BODY_CLIENTS // 2), _long_answers(0, SERVICES, 100))

    def test_connections_that_say_nothing(self):
        self.check(Client([]) for _ in range(SMALL_CLIENTS))

    def test_heads_that_come_a_byte_at_a_time(self):
        self.check(
            Client([head("GET", "/near/small", f"h-{number}")], send_bytes=1)
            for number in range(SMALL_CLIENTS)
        )

    def test_many_pipelined_answers_that_nobody_reads(self):
        self.check(_pipelined())


if __name__ == "__main__":
    unittest.main()
