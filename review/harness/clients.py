"""Clients that send requests to the router of their VM and record the answers."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

from harness.http import BrokenOffError, Connection, Message
from harness.record import Record


@dataclass
class Sent:
    """One client attempt.

    Parameters
    ----------
    request : str
        Its id.
    path : str
        Its path.
    sent_at : float
        When it was sent, in seconds of the record.
    answered_at : float
        When its answer came or its connection ended.
    status : int
        Status of the answer; 0 if the connection closed without one, -1 if the client
        gave up.
    is_signed : bool
        Whether the answer bears the signature of a worker.
    """

    request: str
    path: str
    sent_at: float
    answered_at: float = 0.0
    status: int = -1
    is_signed: bool = False


class Clients:
    """The clients of one VM.

    Parameters
    ----------
    record : Record
        Record of the run.
    outbound : (str, int)
        Address of the router of their VM.
    """

    _numbers = itertools.count(1)

    def __init__(self, record: Record, outbound: tuple[str, int]) -> None:
        self.record = record
        self.outbound = outbound
        self.sent: list[Sent] = []
        self._tasks: set[asyncio.Task] = set()

    async def request(
        self,
        method: str,
        path: str,
        timeout_ms: int = 2500,
        body: bytes = b"",
        connection: Connection | None = None,
        **headers: object,
    ) -> Sent:
        """Send a request, on a new connection unless one is given."""
        request = f"q{next(self._numbers):06d}"
        sent = Sent(request, path, self.record.now())
        self.sent.append(sent)
        self.record.add("sent", request=request, path=path, bytes=len(body))
        all_headers: dict[str, object] = {
            "Host": "h.example",
            "Request-Id": request,
            "Timeout-Ms": timeout_ms,
        }
        all_headers |= {name.replace("_", "-"): text for name, text in headers.items()}
        own = None
        try:
            if connection is None:
                connection = own = await Connection.open(*self.outbound)
            answer = await connection.request(
                method, path, all_headers, body, timeout_ms / 1000
            )
            self._take(sent, answer)
        except (OSError, BrokenOffError) as error:
            sent.status = 0
            self.record.add("closed", request=request, error=repr(error))
        except TimeoutError:
            self.record.add("gave-up", request=request)
        finally:
            sent.answered_at = self.record.now()
            if own is not None:
                own.close()
        return sent

    def _take(self, sent: Sent, answer: Message | None) -> None:
        if answer is None:
            sent.status = 0
            self.record.add("closed", request=sent.request)
            return
        sent.status = answer.status
        sent.is_signed = "server-signature" in answer.headers
        self.record.add(
            "answer",
            request=sent.request,
            status=answer.status,
            signed=int(sent.is_signed),
            body=answer.body[:120],
        )

    def send_later(self, method: str, path: str, **options: object) -> None:
        """Send a request without waiting for its answer."""
        task = asyncio.create_task(self.request(method, path, **options))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def send_steadily(
        self, per_s: float, for_s: float, method: str, path: str, **options: object
    ) -> None:
        """Send requests at a rate, each on a connection of its own."""
        end = self.record.now() + for_s
        while self.record.now() < end:
            self.send_later(method, path, **options)
            await asyncio.sleep(1 / per_s)

    async def finish(self) -> None:
        """Wait for all answers."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def keep_sending(
        self, for_s: float, method: str, path: str, **options: object
    ) -> None:
        """Send requests one after the other on a kept connection.

        A connection that has ended is opened again after a pause.
        """
        end = self.record.now() + for_s
        connection = None
        while self.record.now() < end:
            try:
                if connection is None:
                    connection = await Connection.open(*self.outbound)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
            sent = await self.request(method, path, connection=connection, **options)
            if sent.status <= 0:
                connection.close()
                connection = None
                await asyncio.sleep(0.1)
        if connection is not None:
            connection.close()
