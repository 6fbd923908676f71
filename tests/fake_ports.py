"""Fakes of the platform's log and of a target."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core import commands, events
from rhubarbhall.core.records import Envelope, StoredRecord
from rhubarbhall.core.requests import Response
from rhubarbhall.core.slices import SliceRef

if TYPE_CHECKING:
    from tests.fakes import Host, Mesh

#: Step of the virtual clock.
TICK_S = 0.01


class FakeLog:
    """The platform's log, with the faults that it may have."""

    def __init__(self) -> None:
        self.first_offset = 0
        self.stored: list[StoredRecord] = []
        self.up = True
        self.loses_answers = False
        self.delay_s = 0.005

    @property
    def end(self) -> int:
        return self.first_offset + len(self.stored)

    def append(self, envelope: Envelope) -> int:
        offset = self.end
        self.stored.append(StoredRecord(offset, envelope))
        return offset

    def read(self, offset: int, limit: int = 50) -> tuple[StoredRecord, ...]:
        start = max(0, offset - self.first_offset)
        return tuple(self.stored[start : start + limit])

    def trim(self, first_offset: int) -> None:
        del self.stored[: first_offset - self.first_offset]
        self.first_offset = first_offset


@dataclass
class Execution:
    """One order that had its effect at a target."""

    member: str
    slice: SliceRef | None
    key: str
    idempotency_key: str | None
    epoch: int
    started_at: float
    ended_at: float


NOT_RUN = Response(499, (("Target-Not-Run", "1"),))


class FakeTarget:
    """A target that works on orders for a while and then has its effect."""

    def __init__(self, mesh: Mesh, host: Host, checks_grants: bool = True) -> None:
        self.mesh = mesh
        self.host = host
        self.checks_grants = checks_grants
        self.work_s = 0.005
        self.answer_delay_s = TICK_S
        self.sheds = False
        self.frozen = False
        self._stuck: list[Callable[[], None]] = []
        self.grant_until = float("-inf")
        self.fence = 0
        self._running: dict[int, commands.SendOrder] = {}

    def begin(self, order: commands.SendOrder) -> None:
        if self.frozen:
            self._stuck.append(lambda: self.begin(order))
            return
        if self.sheds:
            self._answer(order, NOT_RUN)
            return
        self._running[order.request.id] = order
        fence = self.fence
        self.grant_until = max(self.grant_until, order.grant_until)
        started = self.mesh.now
        self.mesh.later(self.work_s, lambda: self._end(order, fence, started))

    def thaw(self) -> None:
        """Go on where the target stood when it froze."""
        self.frozen = False
        stuck, self._stuck = self._stuck, []
        for action in stuck:
            action()

    def _end(self, order: commands.SendOrder, fence: int, started: float) -> None:
        if self.frozen:
            self._stuck.append(lambda: self._end(order, fence, started))
            return
        if self._running.pop(order.request.id, None) is None:
            return
        now = self.host.local(self.mesh.now)
        lapsed = self.checks_grants and now >= self.grant_until
        late = now >= order.deadline
        if fence != self.fence or lapsed or late:
            self._answer(order, NOT_RUN)
            return
        request = order.request
        self.mesh.executions.append(
            Execution(
                self.host.node.context.me,
                request.slice,
                request.key,
                request.idempotency_key,
                order.epoch,
                started,
                self.mesh.now,
            )
        )
        self._answer(order, Response(200, (), f"{request.key} done".encode()))

    def _answer(self, order: commands.SendOrder, response: Response) -> None:
        answered = events.OrderAnswered(order.request.id, response)
        self.mesh.deliver(self.host, answered, self.answer_delay_s)

    def cancel(self, request_id: int) -> None:
        order = self._running.pop(request_id, None)
        if order is not None and not self.frozen:
            self._answer(order, NOT_RUN)
