"""Fakes of the platform's log and of a target, for `tests.fakes.Mesh`."""

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

#: Step of the virtual clock, in seconds.
TICK_S = 0.01


class FakeLog:
    """An in-memory log with injectable faults.

    Attributes
    ----------
    up : bool
        Whether the log is reachable.
    loses_answers : bool
        Whether appends take effect without an answer.
    delay_s : float
        Time that each call takes in each direction, in seconds.
    """

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
        """Delete the records before `first_offset`."""
        del self.stored[: first_offset - self.first_offset]
        self.first_offset = first_offset


@dataclass
class Execution:
    """An order that took effect at a target; times are on the virtual clock."""

    member: str
    slice: SliceRef | None
    key: str
    idempotency_key: str | None
    epoch: int
    started_at: float
    ended_at: float


#: Answer to an order that the target has not executed.
NOT_RUN = Response(499, (("Target-Not-Run", "1"),))


class FakeTarget:
    """A target that executes each order after a working time.

    An order takes effect only if, at that moment, it has not been cancelled, the fence
    is unchanged, the deadline has not passed, and, with `checks_grants`, the grant has
    not expired.

    Parameters
    ----------
    mesh : Mesh
        The simulated mesh, whose clock the target uses.
    host : Host
        The VM of the target.
    checks_grants : bool
        Whether the target checks that its grant has not expired.

    Attributes
    ----------
    work_s : float
        Time from the arrival of an order to its effect, in seconds.
    answer_delay_s : float
        Time from the effect to the arrival of the answer at the daemon, in seconds.
    sheds : bool
        Whether the target refuses every order.
    frozen : bool
        Whether the target is suspended; see `thaw`.
    grant_until : float
        Time on the clock of the VM at which the grant expires.
    fence : int
        Raised by one to invalidate the orders that are being worked on.
    """

    def __init__(self, mesh: Mesh, host: Host, checks_grants: bool = True) -> None:
        self.mesh = mesh
        self.host = host
        self.checks_grants = checks_grants
        self.work_s = 0.005
        self.answer_delay_s = TICK_S
        self.sheds = False
        self.frozen = False
        self._deferred: list[Callable[[], None]] = []
        self.grant_until = float("-inf")
        self.fence = 0
        self._running: dict[int, commands.SendOrder] = {}

    def begin(self, order: commands.SendOrder) -> None:
        """Start to work on an order."""
        if self.frozen:
            self._deferred.append(lambda: self.begin(order))
            return
        if self.sheds:
            self._answer(order, NOT_RUN)
            return
        self._running[order.request.id] = order
        fence = self.fence
        self.grant_until = max(self.grant_until, order.grant_until)
        started_at = self.mesh.now
        self.mesh.schedule(self.work_s, lambda: self._end(order, fence, started_at))

    def thaw(self) -> None:
        """Unfreeze the target and take the actions that were due meanwhile."""
        self.frozen = False
        deferred, self._deferred = self._deferred, []
        for action in deferred:
            action()

    def _end(self, order: commands.SendOrder, fence: int, started_at: float) -> None:
        if self.frozen:
            self._deferred.append(lambda: self._end(order, fence, started_at))
            return
        if self._running.pop(order.request.id, None) is None:
            return
        now = self.host.local(self.mesh.now)
        has_expired = self.checks_grants and now >= self.grant_until
        is_late = now >= order.deadline
        if fence != self.fence or has_expired or is_late:
            self._answer(order, NOT_RUN)
            return
        request = order.request
        self.mesh.executions.append(
            Execution(
                self.host.node.context.member_id,
                request.slice,
                request.key,
                request.idempotency_key,
                order.epoch,
                started_at,
                self.mesh.now,
            )
        )
        self._answer(order, Response(200, (), f"{request.key} done".encode()))

    def _answer(self, order: commands.SendOrder, response: Response) -> None:
        answered = events.OrderAnswered(order.request.id, response)
        self.mesh.deliver(self.host, answered, self.answer_delay_s)

    def cancel(self, request_id: int) -> None:
        """Cancel an order that has not taken effect.

        The answer is that it was not run; a frozen target does not answer.
        """
        order = self._running.pop(request_id, None)
        if order is not None and not self.frozen:
            self._answer(order, NOT_RUN)
