"""Sends a mix at its own pace and notes what comes back."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import accumulate
from typing import TYPE_CHECKING

from circuits import BaseComponent

from rhubarbhall.adapters.client import SWEEP_S, HttpClient
from rhubarbhall.adapters.clock import Clock
from rhubarbhall.core.events import Event
from rhubarbhall.core.idempotency import mint_key
from rhubarbhall.core.requests import (
    CALLER_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    OWNER_HEADER,
    Response,
)
from rhubarbhall.core.timers import TimerService
from rhubarbhall.loadtool.results import KindResult
from rhubarbhall.standins.callers import Sent, outcome_of
from rhubarbhall.standins.target import WORK_HEADER

if TYPE_CHECKING:
    from rhubarbhall.adapters.client import Failed
    from rhubarbhall.audit import Outcome
    from rhubarbhall.loadtool.mix import Kind, Mix
    from rhubarbhall.types import Address, Seconds

#: Time that answers may take beyond the deadline of a request.
GRACE_S = 1.0
_MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class _Tick(Event):
    """Arrivals that are due shall be sent."""


@dataclass(frozen=True, slots=True)
class _SweepDue(Event):
    """Calls whose time is over shall be failed."""


def arrivals(mix: Mix, rng: random.Random) -> Iterator[Seconds]:
    """Yield the times of arrivals, in seconds from the start.

    They follow a Poisson process with the rate of each phase.
    """
    begin = 0.0
    for phase in mix.phases:
        now = begin
        end = begin + phase.seconds
        while phase.rate > 0:
            now += rng.expovariate(phase.rate)
            if now >= end:
                break
            yield now
        begin = end


class KeyChooser:
    """Draws keys, some more often than others.

    Parameters
    ----------
    kind : Kind
        Number of keys and their skew.
    """

    def __init__(self, kind: Kind) -> None:
        self._names = [f"{kind.name}-{number}" for number in range(kind.keys)]
        weights = [1 / (number + 1) ** kind.skew for number in range(kind.keys)]
        self._cumulative = list(accumulate(weights))

    def draw(self, rng: random.Random) -> str:
        """Return a key; empty when the kind has none."""
        if not self._names:
            return ""
        return rng.choices(self._names, cum_weights=self._cumulative)[0]


class LoadRun(BaseComponent):
    """One run of a mix against some daemons.

    Parameters
    ----------
    mix : Mix
        What to send.
    entrances : list of str
        Addresses for callers.
    seed : int
        Seed of all choices.
    on_end : callable
        Called once the last answer is in.
    connections : int
        Connections to each daemon.
    """

    def __init__(
        self,
        mix: Mix,
        entrances: list[Address],
        seed: int,
        on_end: Callable[[], None],
        connections: int = 256,
    ) -> None:
        super().__init__()
        self._mix = mix
        self._entrances = entrances
        self._rng = random.Random(seed)
        self._on_end = on_end
        self._arrivals = arrivals(mix, random.Random(seed + 1))
        self._next: Seconds | None = next(self._arrivals, None)
        self._chooser_by_kind = {kind.name: KeyChooser(kind) for kind in mix.kinds}
        self._owner_by_key: dict[tuple[str, str], Address] = {}
        self._count = 0
        self._in_flight = 0
        self.result_by_kind = {kind.name: KindResult() for kind in mix.kinds}
        self.outcomes: list[Outcome] = []
        self._timers = TimerService()
        self._client = HttpClient("load", connections).register(self)
        Clock(self._timers, self._run_due).register(self)
        self._began = time.monotonic()
        self._timers.every(SWEEP_S, _SweepDue(), first=self._began)
        self._schedule()

    def _schedule(self) -> None:
        if self._next is not None:
            self._timers.at(self._began + self._next, _Tick())

    def _run_due(self) -> None:
        for event in list(self._timers.due(time.monotonic())):
            if isinstance(event, _SweepDue):
                self._client.sweep()
            else:
                self._send_due()
        if self._next is None and not self._in_flight:
            self._on_end()

    def _send_due(self) -> None:
        now = time.monotonic()
        while self._next is not None and self._began + self._next <= now:
            due_at = self._began + self._next
            self._next = next(self._arrivals, None)
            shares = [kind.share for kind in self._mix.kinds]
            kind = self._rng.choices(self._mix.kinds, weights=shares)[0]
            self._send_new(kind, due_at)
        self._schedule()

    def _send_new(self, kind: Kind, due_at: Seconds) -> None:
        self._count += 1
        key = self._chooser_by_kind[kind.name].draw(self._rng)
        minted = None
        if kind.once:
            minted = mint_key(int(time.time() * _MS_PER_S), self._rng)
        mark = f"{kind.path}/{self._count}"
        sent = Sent(kind.method, kind.service, key, mark, minted, due_at)
        self._send(kind, sent)
        if minted is not None and self._rng.random() < kind.repeat:
            self._send(kind, sent)

    def _send(self, kind: Kind, sent: Sent) -> None:
        headers = [
            (DEADLINE_HEADER, str(kind.deadline_ms)),
            (CALLER_HEADER, f"{kind.name}-{self._rng.randrange(max(1, kind.callers))}"),
        ]
        if sent.idempotency_key is not None:
            headers.append((IDEMPOTENCY_HEADER, sent.idempotency_key))
        if kind.work_ms is not None:
            headers.append((WORK_HEADER, f"{kind.work_ms:g}"))
        self._in_flight += 1
        self._client.fetch(
            self._entrance_for(sent),
            sent.method,
            sent.path,
            tuple(headers),
            b"",
            kind.deadline_ms / _MS_PER_S + GRACE_S,
            lambda outcome: self._note(kind, sent, outcome),
        )

    def _entrance_for(self, sent: Sent) -> Address:
        owner = self._owner_by_key.get((sent.service, sent.key))
        return owner or self._rng.choice(self._entrances)

    def _note(self, kind: Kind, sent: Sent, outcome: Response | Failed) -> None:
        self._in_flight -= 1
        noted = outcome_of(sent, outcome)
        self.outcomes.append(noted)
        name = "answered" if noted.ran == "yes" else noted.kind
        self.result_by_kind[kind.name].note(name, noted.ended_at - sent.sent_at)
        self._learn_owner(sent, outcome)

    def _learn_owner(self, sent: Sent, outcome: Response | Failed) -> None:
        name = (sent.service, sent.key)
        if not isinstance(outcome, Response):
            self._owner_by_key.pop(name, None)
            return
        for header, value in outcome.headers:
            if header.lower() == OWNER_HEADER.lower() and sent.key:
                self._owner_by_key[name] = value
