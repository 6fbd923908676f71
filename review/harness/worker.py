"""A stand-in of an application worker: heartbeats, held keys and runs of requests."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from dataclasses import dataclass

from harness.http import Message, Server, call, response
from harness.record import Record

#: Time within which an answer acknowledges a heartbeat, in seconds.
ACKNOWLEDGEMENT_S = 1.0


@dataclass
class Hold:
    """A range of keys that the worker holds until a time of the monotonic clock."""

    first: int
    last: int
    fence: int
    until: float


class Worker:
    """One run of a worker.

    Parameters
    ----------
    record : Record
        Record of the run.
    service : str
        Its service.
    address : (str, int)
        Address that it listens on.
    control : (str, int)
        Address that its heartbeats go to.
    by_key : bool
        Whether it runs requests only for keys that it holds.
    heartbeat_s : float
        Time between two heartbeats, in seconds.
    work_s : float
        Time that it works on a request, in seconds.
    slots : int
        Requests that it works on at a time; further ones wait.
    """

    _numbers = itertools.count(1)

    def __init__(
        self,
        record: Record,
        service: str,
        address: tuple[str, int],
        control: tuple[str, int],
        by_key: bool = False,
        heartbeat_s: float = 1.5,
        work_s: float = 0.03,
        slots: int = 9,
        instance: str | None = None,
    ) -> None:
        self.record = record
        self.service = service
        self.address = address
        self.control = control
        self.by_key = by_key
        self.heartbeat_s = heartbeat_s
        self.work_s = work_s
        self.slots = slots
        self.instance = instance or f"i-{next(self._numbers):04d}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.acknowledged = 0
        self.holds: list[Hold] = []
        self.working_on: list[int] = []
        self.released: dict[tuple[int, int], str] = {}
        self.runs: list[tuple[float, str]] = []
        self.state = "ready"
        self.is_up = False
        self._room = asyncio.Semaphore(slots)
        self._server = Server(self._handle)
        self._beats: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen and begin to send heartbeats."""
        await self._server.listen(*self.address)
        self.is_up = True
        self.record.add("worker-up", id=self.instance, service=self.service)
        self._beats = asyncio.create_task(self._beat())

    def stop_beats(self) -> None:
        """Send no more heartbeats."""
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None

    def end(self) -> None:
        """End the worker, as the end of its process does."""
        if self.is_up:
            self.is_up = False
            self.stop_beats()
            self._server.close()
            self.holds = []
            self.record.add("worker-end", id=self.instance)

    # Heartbeats

    async def _beat(self) -> None:
        while True:
            asyncio.create_task(self.send_heartbeat())
            await asyncio.sleep(self.heartbeat_s)

    def heartbeat_body(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        host, port = self.address
        held = [[row.first, row.last, row.fence] for row in self.current_holds()]
        body = {
            "address": f"{host}:{port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "zone-1",
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "warmup_left": "0ms",
            },
        }
        if self.by_key:
            body["holds"] = held
            body["freed"] = [[*row, token] for row, token in self.released.items()]
        return json.dumps(body).encode()

    async def send_heartbeat(self, by: tuple[str, int] | None = None) -> None:
        """Send one heartbeat, by way of another address if one is given."""
        sent_at = time.monotonic()
        body = self.heartbeat_body()
        sequence = self.sequence
        released = list(self.released)
        self.record.add(
            "beat",
            id=self.instance,
            seq=sequence,
            state=self.state,
            holds=[[row.first, row.last, row.fence] for row in self.current_holds()],
        )
        headers = {"Host": "control", "Content-Type": "application/json"}
        answer = await call(
            by or self.control,
            "PUT",
            f"/instances/{self.instance}",
            headers,
            body,
            ACKNOWLEDGEMENT_S,
        )
        if answer is None or answer.status != 200 or not self.is_up:
            self.record.add("beat-failed", id=self.instance, seq=sequence)
            return
        self.acknowledged += 1
        for row in released:
            self.released.pop(row, None)
        self.record.add(
            "beat-ack", id=self.instance, seq=sequence, body=answer.body.decode()
        )
        self._take_grant(sent_at, json.loads(answer.body))

    async def drain(self) -> None:
        """Report at once that the worker leaves, and go on serving."""
        self.state = "draining"
        await self.send_heartbeat()

    async def leave(self) -> bool:
        """Report the end of the service; return whether that was acknowledged."""
        self.stop_beats()
        self.record.add("delete", id=self.instance)
        answer = await call(
            self.control, "DELETE", f"/instances/{self.instance}", {"Host": "control"}
        )
        status = answer.status if answer else None
        self.record.add("delete-answer", id=self.instance, status=status)
        return status == 200

    # Keys

    def current_holds(self) -> list[Hold]:
        """Return the ranges whose lease has not run out."""
        now = time.monotonic()
        self.holds = [row for row in self.holds if row.until > now]
        return self.holds

    def _take_grant(self, sent_at: float, answer: dict) -> None:
        if "holds" not in answer:
            return
        hold_s = int(answer["hold_time"].removesuffix("ms")) / 1000
        until = sent_at + hold_s
        rows = [Hold(row[0], row[1], row[2], until) for row in answer["holds"]]
        kept = {(row.first, row.last) for row in rows}
        for row in self.current_holds():
            if (row.first, row.last) not in kept:
                self.released[row.first, row.last] = f"{row.first:x}.{row.fence:x}"
        if self.released:
            asyncio.get_running_loop().call_later(0.1, self._beat_again)
        self.holds = rows

    def _beat_again(self) -> None:
        if self.is_up and self._beats is not None:
            asyncio.create_task(self.send_heartbeat())

    # Requests

    async def _handle(self, message: Message) -> bytes | None:
        request = message.headers.get("request-id", "")
        echo: dict[str, object] = {"Request-Id": request}
        not_run = echo | {"Not-Executed": "1"}
        expected = message.headers.get("expected-instance", self.instance)
        if expected != self.instance:
            return response(421, echo | {"Instance-Id": self.instance})
        key = int(message.headers.get("shard-key", "-1"))
        if self.by_key and not any(
            row.first <= key <= row.last for row in self.current_holds()
        ):
            self.record.add("rejected", id=self.instance, request=request, key=key)
            return response(421, not_run)
        began_at = self.record.add(
            "run",
            id=self.instance,
            request=request,
            caller=message.headers.get("caller-service"),
            bytes=len(message.body),
        )
        self.runs.append((began_at, request))
        async with self._room:
            await asyncio.sleep(self.work_s)
        if not self.is_up:
            return None
        signed = echo | {"Server-Signature": f"{self.instance}.{request}"}
        return response(200, signed, f"done {request}".encode())
