"""A stand-in of one run of a target."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable

from review.standins2.http import Message, Server, call, encode_answer

#: Time to the next heartbeat after a release or a failed one, in seconds.
SOON_S = 0.05
#: Called with a kind of event and its fields.
Record = Callable[..., None]


class Target:
    """One run of a target, with a name of its own.

    Parameters
    ----------
    name, service, zone : str
        Its id, service and zone.
    address, control : str
        Where it listens, and where its heartbeats go.
    record : callable
        Records what it runs, and which keys it holds.
    by_key : bool
        Whether it runs requests only for keys that it holds.
    heartbeat_s, work_s : float
        Time between heartbeats, and for which it works on a request, in seconds.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: str,
        control: str,
        record: Record,
        by_key: bool = False,
        heartbeat_s: float = 0.87,
        work_s: float = 0.02,
    ) -> None:
        self.name, self.service, self._zone = name, service, zone
        self.address, self._control = address, control
        self._record, self._by_key = record, by_key
        self._heartbeat_s, self.work_s = heartbeat_s, work_s
        self.state = "ready"
        self._born = int(time.time() * 1000)
        self._sequence = 0
        #: Held rows: first key, last key, fence, and the end of the hold.
        self.held: list[tuple[int, int, int, float]] = []
        self._freed: list[list] = []
        self._seen_fence: dict[int, int] = {}
        self.server = Server(self._handle)
        self._task: asyncio.Task | None = None
        #: When the last heartbeat was acknowledged, by the monotonic clock.
        self.acknowledged_at = 0.0

    async def start(self) -> None:
        """Listen, and send heartbeats from now on."""
        host, port = self.address.split(":")
        await self.server.start(host, int(port))
        self._task = asyncio.create_task(self._send_heartbeats())

    def crash(self) -> None:
        """End at once, without a word."""
        self.server.stop()
        if self._task is not None:
            self._task.cancel()
        self._set_held([])

    # Requests

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> bytes:
        headers = request.headers
        echo = {"Request-Id": headers.get("request-id", "")}
        refused = {**echo, "Not-Executed": "1"}
        if headers.get("expected-instance", self.name) != self.name:
            return encode_answer(421, {**refused, "Instance-Id": self.name}, b"")
        if self._by_key:
            key = int(headers.get("shard-key", "-1"))
            if not any(row[0] <= key <= row[1] for row in self._unexpired()):
                return encode_answer(421, refused, b"")
        self._record(
            "runs",
            id=headers.get("request-id"),
            path=request.first[1],
            method=request.first[0],
            target=self.name,
            service=self.service,
            key=headers.get("shard-key"),
        )
        await asyncio.sleep(self.work_s)
        body = f"{self.name} {request.first[1]}".encode()
        return encode_answer(200, {**echo, "Server-Signature": self.name}, body)

    # Heartbeats

    def _unexpired(self) -> list[tuple[int, int, int, float]]:
        now = time.monotonic()
        self.held = [row for row in self.held if row[3] > now]
        return self.held

    def _set_held(self, rows: list[tuple[int, int, int, float]]) -> None:
        """Hold these keys from now on; a row that has expired counts for nothing."""
        if rows or self.held:
            now = time.monotonic()
            held = [(*row[:3], round(row[3] - now, 3)) for row in sorted(rows)]
            self._record("holds", target=self.name, rows=held)
        self.held = rows

    async def _send_heartbeats(self) -> None:
        while True:
            sent_at = time.monotonic()
            is_next_soon = await self._send_heartbeat(sent_at)
            pause_s = SOON_S if is_next_soon else self._heartbeat_s
            await asyncio.sleep(max(0.0, sent_at + pause_s - time.monotonic()))

    async def _send_heartbeat(self, sent_at: float) -> bool:
        """Send one; return whether the next one is due soon.

        It is after a release of keys, and while no heartbeat is acknowledged.
        """
        self._sequence += 1
        freed = list(self._freed)
        beat = {
            "address": self.address,
            "born": self._born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self._zone,
                "slots": 9,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "warmup_left": "0ms",
            },
            "holds": [list(row[:3]) for row in self._unexpired()],
            "freed": freed,
        }
        answer = await call(
            self._control,
            "PUT",
            f"/instances/{self.name}",
            {"Content-Type": "application/json", "Host": self._control},
            json.dumps(beat).encode(),
        )
        if answer is None or answer.status != 200:
            return True
        self.acknowledged_at = time.monotonic()
        self._freed = self._freed[len(freed) :]
        grant = json.loads(answer.body or b"{}")
        return self._take(sent_at, grant) if "holds" in grant else False

    def _take(self, sent_at: float, grant: dict) -> bool:
        until = sent_at + int(grant["hold_time"].removesuffix("ms")) / 1000
        before = self._unexpired()
        rows = [(low, high, fence, until) for low, high, fence, _ in grant["holds"]]
        kept = {row[:2] for row in rows}
        gone = [row for row in before if row[:2] not in kept]
        for low, high, fence, _ in gone:
            self._freed.append([low, high, f"{low:x}.{fence:x}"])
        self._set_held(rows)
        return bool(gone)
