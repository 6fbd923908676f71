"""The server for callers."""

from __future__ import annotations

import socket
import time
import unittest

from rhubarbhall.adapters.callers import MIN_IDLE_S, CallerServer
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.caller_limits import CallerLimits
from rhubarbhall.core.requests import Response

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class AnsweringSink:
    def take(self, request_id, raw):
        self.server.answer(request_id, Response(200, (), b"ok"))

    def caller_disconnected(self, request_id):
        pass


class DrainTests(unittest.TestCase):
    def setUp(self):
        sink = AnsweringSink()
        self.server = CallerServer(("127.0.0.1", 0), "callers", sink, CallerLimits())
        sink.server = self.server
        self.addCleanup(self.server.close)
        self.loop = Loop()
        self.loop.add(self.server)
        self.loop.manager._running = True
        self.caller = socket.create_connection((self.server.host, self.server.port))
        self.caller.settimeout(2.0)
        self.addCleanup(self.caller.close)
        self.tick()

    def tick(self):
        for _ in range(20):
            self.loop.manager.tick(0.0)

    # Connections that were accepted just before a stop were closed while their first
    # request was on its way.
    def test_a_request_over_a_connection_that_was_just_opened_is_answered(self):
        self.server.draining = True
        self.server.stop_listening()
        self.server.close_idle()
        self.caller.sendall(REQUEST)
        self.tick()
        self.assertTrue(self.caller.recv(4096).startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.server.connections, 0)

    def test_a_connection_without_a_request_is_closed(self):
        self.server.draining = True
        end = time.monotonic() + MIN_IDLE_S
        while time.monotonic() < end:
            self.tick()
        self.server.close_idle()
        self.assertEqual(self.caller.recv(4096), b"")
