"""A target that answers at once, so that benchmarks measure the daemon alone."""

from __future__ import annotations

import sys

from rhubarbhall.adapters.http_encoding import encode_response
from rhubarbhall.adapters.http_wire import RequestReader
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.adapters.sockets import Listener
from rhubarbhall.core.requests import Response

ANSWER = encode_response(
    Response(200, (("Content-Type", "application/json"),), b'{"done":true}'), True
)


class FastTarget(Listener):
    """Answers every request with the same bytes, `ANSWER`."""

    def on_accepted(self, sock, peer):
        """Create the reader of a new connection."""
        self.readers[sock] = RequestReader(65536, 1 << 20)

    def on_data(self, sock, data):
        """Answer each request that is complete."""
        reader = self.readers[sock]
        reader.feed(data)
        for _ in reader.finished:
            self.send(sock, ANSWER)
        reader.finished.clear()

    def on_closed(self, sock):
        """Remove the reader of a closed connection."""
        self.readers.pop(sock, None)


def main() -> None:
    host, _, port = sys.argv[2].rpartition(":")
    target = FastTarget((host, int(port)), "fast")
    target.readers = {}
    loop = Loop()
    loop.add(target)
    loop.run()


if __name__ == "__main__":
    main()
