"""Compares two servers for callers: ``circuits.web``, ``circuits.net`` + ``httptools``.

Run as a script, this module is the server under load.
"""

from __future__ import annotations

import sys

from benchmarks.load import request_bytes, run_load
from benchmarks.processes import HOST, Process
from benchmarks.report import Table, quantile

#: Duration of each measurement, in seconds.
SECONDS = 2.5
#: Port of the first server; the second uses the next port.
PORT = 21_500


def serve_web(port: int) -> None:
    """Answer requests by ``circuits.web`` until the process ends."""
    from rhubarbhall.adapters.loop import Loop
    from rhubarbhall.adapters.web import WebReply, WebService

    loop = Loop()
    reply = WebReply(b'{"done":true}')
    loop.add(WebService((HOST, port), "web", lambda exchange: exchange.reply(reply)))
    loop.run()


def serve_net(port: int) -> None:
    """Answer requests by the project's own server until the process ends."""
    from rhubarbhall.adapters.callers import CallerServer
    from rhubarbhall.adapters.loop import Loop
    from rhubarbhall.caller_limits import CallerLimits
    from rhubarbhall.core.requests import Response

    class Sink:
        def take(self, request_id, raw):
            server.answer(request_id, Response(200, (), b'{"done":true}'))

        def caller_disconnected(self, request_id):
            pass

    server = CallerServer((HOST, port), "calls", Sink(), CallerLimits())
    loop = Loop()
    loop.add(server)
    loop.run()


def run() -> list[Table]:
    table = Table(
        "The port for callers, answering at once",
        ("port", "connections", "answers/s", "p99 ms", "MB"),
    )
    request = [request_bytes("/status/batch-1/look")]
    for number, name in enumerate(("circuits.web", "circuits.net + httptools")):
        port = PORT + number
        process = Process("benchmarks.caller_port", ("web", "net")[number], str(port))
        try:
            _wait_for_listener(port)
            for connections in (1, 16, 64):
                result = run_load((HOST, port), request, connections, SECONDS)
                table.add(
                    name,
                    connections,
                    round(result.answers_per_s),
                    1000 * quantile(result.latencies_s, 0.99),
                    process.resident_mb(),
                )
        finally:
            process.end()
    return [table]


def _wait_for_listener(port: int) -> None:
    import socket
    import time

    for _ in range(100):
        try:
            socket.create_connection((HOST, port)).close()
            return
        except OSError:
            time.sleep(0.1)
    raise TimeoutError(f"nothing listens on port {port}")


if __name__ == "__main__":
    {"web": serve_web, "net": serve_net}[sys.argv[1]](int(sys.argv[2]))
