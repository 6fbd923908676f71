"""A proxy that holds up the bytes of a connection for a time, as a slow path does."""

from __future__ import annotations

import asyncio
import contextlib


class DelayProxy:
    """Passes on what it receives after a delay, also once the sender has closed.

    Parameters
    ----------
    target : (str, int)
        Address that the bytes are for.
    delay_s : float
        Longest time for which the bytes are held up, in seconds.

    Attributes
    ----------
    released : asyncio.Event
        Ends the delay when it is set.
    """

    def __init__(self, target: tuple[str, int], delay_s: float) -> None:
        self._target = target
        self._delay_s = delay_s
        self.released = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str) -> tuple[str, int]:
        """Listen on a free port of a host and return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return self._server.sockets[0].getsockname()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        data = await reader.read(1 << 20)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.released.wait(), self._delay_s)
        with contextlib.suppress(OSError):
            onward_reader, onward = await asyncio.open_connection(*self._target)
            onward.write(data)
            await onward.drain()
            with contextlib.suppress(TimeoutError):
                answer = await asyncio.wait_for(onward_reader.read(1 << 20), 1.0)
                writer.write(answer)
            onward.close()
        writer.close()
