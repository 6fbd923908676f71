"""Simulates one daemon's core with a target that can be overloaded, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.slopes import single_node
from rhubarbhall.core import commands, events
from rhubarbhall.core.intent import Route
from rhubarbhall.core.node import Node
from rhubarbhall.core.requests import Request, Response
from rhubarbhall.core.slices import SliceRef, slice_of_key

SLICES = 64


@dataclass
class Outcome:
    """A request and how it ended.

    Parameters
    ----------
    name : str
        First part of the path, which tells the kind of work.
    sent_at, ended_at : float
        Virtual times of arrival and of the answer or refusal, in seconds.
    answered : bool
        Whether the target answered; false for a refusal.
    kind : str
        Kind of error of a refusal; empty for an answer.
    """

    name: str
    sent_at: float
    ended_at: float
    answered: bool
    kind: str

    @property
    def took_s(self) -> float:
        """Time from arrival to answer or refusal, in seconds."""
        return self.ended_at - self.sent_at


@dataclass
class ProcessorSharingTarget:
    """A target that shares its processor among all running orders.

    Parameters
    ----------
    slots : int
        Most orders that run at full speed at the same time; with more of them, all
        slow down alike.
    running : dict of int to (SendOrder, float)
        Running orders by id of the request, each with its remaining work in seconds
        at full speed.
    changed_at : float
        Virtual time up to which the remaining work is computed, in seconds.
    """

    slots: int
    running: dict[int, tuple[commands.SendOrder, float]] = field(default_factory=dict)
    changed_at: float = 0.0

    def speed(self) -> float:
        """Return the speed of each running order as a share of full speed."""
        return min(1.0, self.slots / max(1, len(self.running)))

    def advance(self, now: float) -> None:
        """Subtract the work done until `now` from all running orders."""
        work_done_s = (now - self.changed_at) * self.speed()
        self.changed_at = now
        for number, (order, remaining_s) in self.running.items():
            self.running[number] = (order, remaining_s - work_done_s)

    def next_end(self) -> tuple[float, int] | None:
        """Return the time of the next end, and the order's id, if no order is added."""
        if not self.running:
            return None
        number = min(self.running, key=lambda each: self.running[each][1])
        remaining_s = max(0.0, self.running[number][1])
        return self.changed_at + remaining_s / self.speed(), number


class NodeSimulation:
    """Drives the core of one daemon with arriving requests and a simulated target.

    The outcome of each request is collected in `outcomes`.

    Parameters
    ----------
    service : dict
        Table of the service in the intent.
    slots : int
        Slots of the simulated target, which may differ from those in the intent.
    """

    def __init__(self, service: dict, slots: int) -> None:
        document = {"targets": "vm=vm0", "slices": SLICES, **service}
        self.node: Node = single_node(document)
        self.service = self.node.context.directory.intent.services["s"]
        self.target = ProcessorSharingTarget(slots)
        self.now = 0.0
        self.outcomes: list[Outcome] = []
        self._requests: dict[int, tuple[str, float]] = {}
        self._work_by_id: dict[int, float] = {}
        self._ids = itertools.count()
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []

    def call_at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule a call of `action` at the virtual time `at_s`, in seconds."""
        heapq.heappush(self._scheduled, (at_s, next(self._ids), action))

    def send(
        self,
        name: str,
        work_s: float,
        deadline_s: float,
        caller: str,
        route: Route | None = None,
    ) -> None:
        """Send a request at the present virtual time.

        Parameters
        ----------
        name : str
            First part of the path.
        work_s : float
            Work of the request, in seconds at full speed of the target.
        deadline_s : float
            Time from now to the deadline, in seconds.
        caller : str
            Name of the calling service.
        route : Route, optional
            Route of the request; by default the one that the intent gives the path.
        """
        number = next(self._ids)
        key = f"key-{number % 997}"
        path = f"/{name}/x"
        request = Request(
            number, self.service, route or self.service.route_for("GET", path), key,
            SliceRef("s", slice_of_key(key, SLICES)), "GET", path, (), b"", caller,
            self.now, self.now + deadline_s,
        )  # fmt: skip
        self._requests[number] = (name, self.now)
        self._work_by_id[number] = work_s
        self._step(events.RequestArrived(request))

    def _step(self, event: events.Event) -> None:
        for command in list(self.node.step(self.now, event)):
            self._execute(command)

    def _execute(self, command: commands.Command) -> None:
        if isinstance(command, commands.SendOrder):
            self.target.advance(self.now)
            number = command.request.id
            self.target.running[number] = (command, self._work_by_id[number])
        elif isinstance(command, commands.CancelOrder):
            self.target.advance(self.now)
            if self.target.running.pop(command.request_id, None) is not None:
                cancellation = Response(499, (("Target-Not-Run", "cancelled"),))
                self._step(events.OrderAnswered(command.request_id, cancellation))
        elif isinstance(command, commands.Answer):
            name, sent_at = self._requests.pop(command.request_id)
            kind = command.response.kind
            answered = kind is None
            self.outcomes.append(
                Outcome(name, sent_at, self.now, answered, kind.value if kind else "")
            )

    def run(self, until: float) -> None:
        """Run all events that are due until the virtual time `until`, in seconds."""
        while True:
            due = self._next_due()
            if due is None or due > until:
                self.now = until
                return
            self.now = max(self.now, due)
            self._run_due()

    def _next_due(self) -> float | None:
        times = []
        if self._scheduled:
            times.append(self._scheduled[0][0])
        end = self.target.next_end()
        if end is not None:
            times.append(end[0])
        timer = self.node.context.timers.next_due()
        if timer is not None:
            times.append(timer)
        return min(times, default=None)

    def _run_due(self) -> None:
        # The only member of a mesh renews its lease by reading the log. Here every read
        # succeeds.
        read = events.RecordsRead(self.now, 0, (), True, 0.0, True)
        while self._scheduled and self._scheduled[0][0] <= self.now:
            heapq.heappop(self._scheduled)[2]()
        end = self.target.next_end()
        if end is not None and end[0] <= self.now + 1e-12:
            self.target.advance(self.now)
            del self.target.running[end[1]]
            self._step(events.OrderAnswered(end[1], Response(200)))
        timer = self.node.context.timers.next_due()
        if timer is not None and timer <= self.now:
            for command in list(self.node.step_timers(self.now)):
                if isinstance(command, commands.ReadLog):
                    self._step(read)
                else:
                    self._execute(command)


def poisson(rng: random.Random, rate: float, start: float, end: float):
    """Yield the times of Poisson arrivals, which do not depend on earlier answers.

    Parameters
    ----------
    rate : float
        Mean number of arrivals per second.
    start, end : float
        Period in which requests arrive, in seconds.
    """
    now = start
    while True:
        now += rng.expovariate(rate)
        if now >= end:
            return
        yield now
