"""Open-loop generator of load.

It sends the requests of a mix at random arrival times, whether or not earlier ones have
been answered, and records the outcome of each.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import accumulate
from typing import TYPE_CHECKING

from circuits import BaseComponent

from rhubarbhall.adapters.client import SWEEP_INTERVAL_S, HttpClient
from rhubarbhall.adapters.clock import TimerRunner
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
from rhubarbhall.standins.callers import SentRequest, outcome_of
from rhubarbhall.standins.target import WORK_HEADER

if TYPE_CHECKING:
    from rhubarbhall.adapters.client import Failed
    from rhubarbhall.audit import Outcome
    from rhubarbhall.loadtool.mix import Kind, Mix
    from rhubarbhall.types import Address, Seconds

#: Time that an answer may take beyond the deadline of its request, in seconds.
ANSWER_GRACE_S = 1.0
_MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class _ArrivalDue(Event):
    """The next arrival is due."""


@dataclass(frozen=True, slots=True)
class _SweepDue(Event):
    """It is time to fail the requests whose timeout is over."""


def arrivals(mix: Mix, rng: random.Random) -> Iterator[Seconds]:
    """Yield the times of arrivals, which follow a Poisson process.

    Parameters
    ----------
    mix : Mix
        Phases with their lengths and rates.
    rng : Random
        Source of randomness.

    Yields
    ------
    float
        Time of an arrival, in seconds from the start of the first phase.
    """
    phase_start = 0.0
    for phase in mix.phases:
        now = phase_start
        phase_end = phase_start + phase.seconds
        while phase.rate > 0:
            now += rng.expovariate(phase.rate)
            if now >= phase_end:
                break
            yield now
        phase_start = phase_end


class KeyChooser:
    """Draws the keys of one kind of request, with the skew of that kind.

    Parameters
    ----------
    kind : Kind
        Kind of request with the number of keys and their skew.
    """

    def __init__(self, kind: Kind) -> None:
        self._keys = [f"{kind.name}-{number}" for number in range(kind.keys)]
        weights = [1 / (number + 1) ** kind.skew for number in range(kind.keys)]
        self._cumulative_weights = list(accumulate(weights))

    def draw(self, rng: random.Random) -> str:
        """Return a random key, or the empty string if the kind has no keys."""
        if not self._keys:
            return ""
        return rng.choices(self._keys, cum_weights=self._cumulative_weights)[0]


class LoadRun(BaseComponent):
    """One run of a mix against some daemons; it starts when it is created.

    Parameters
    ----------
    mix : Mix
        Phases of load and kinds of requests.
    entrances : list of str
        Addresses of the daemons for callers.
    seed : int
        Seed of all random choices.
    on_end : callable
        Called without arguments once the last request has an outcome.
    connections : int
        Maximum number of connections to each daemon.

    Attributes
    ----------
    result_by_kind : dict of str to KindResult
        Latencies and outcomes, by the name of the kind.
    outcomes : list of Outcome
        Outcomes of all requests, for the audit.
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
        self._arrival_times = arrivals(mix, random.Random(seed + 1))
        self._next_arrival_s: Seconds | None = next(self._arrival_times, None)
        self._chooser_by_kind = {kind.name: KeyChooser(kind) for kind in mix.kinds}
        self._owner_by_key: dict[tuple[str, str], Address] = {}
        self._request_count = 0
        self._in_flight = 0
        self.result_by_kind = {kind.name: KindResult() for kind in mix.kinds}
        self.outcomes: list[Outcome] = []
        self._timers = TimerService()
        self._client = HttpClient("load", connections).register(self)
        TimerRunner(self._timers, self._run_due).register(self)
        self._started_at = time.monotonic()
        self._timers.every(SWEEP_INTERVAL_S, _SweepDue(), first=self._started_at)
        self._schedule()

    def _schedule(self) -> None:
        if self._next_arrival_s is not None:
            self._timers.at(self._started_at + self._next_arrival_s, _ArrivalDue())

    def _run_due(self) -> None:
        for event in list(self._timers.due(time.monotonic())):
            if isinstance(event, _SweepDue):
                self._client.sweep()
            else:
                self._send_due()
        if self._next_arrival_s is None and not self._in_flight:
            self._on_end()

    def _send_due(self) -> None:
        now = time.monotonic()
        while (
            self._next_arrival_s is not None
            and self._started_at + self._next_arrival_s <= now
        ):
            due_at = self._started_at + self._next_arrival_s
            self._next_arrival_s = next(self._arrival_times, None)
            shares = [kind.share for kind in self._mix.kinds]
            kind = self._rng.choices(self._mix.kinds, weights=shares)[0]
            self._send_arrival(kind, due_at)
        self._schedule()

    def _send_arrival(self, kind: Kind, due_at: Seconds) -> None:
        self._request_count += 1
        key = self._chooser_by_kind[kind.name].draw(self._rng)
        idempotency_key = None
        if kind.once:
            idempotency_key = mint_key(int(time.time() * _MS_PER_S), self._rng)
        mark = f"{kind.path}/{self._request_count}"
        sent = SentRequest(
            kind.method, kind.service, key, mark, idempotency_key, due_at
        )
        self._send(kind, sent)
        if idempotency_key is not None and self._rng.random() < kind.repeat:
            self._send(kind, sent)

    def _send(self, kind: Kind, sent: SentRequest) -> None:
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
            self._address_for(sent),
            sent.method,
            sent.path,
            tuple(headers),
            b"",
            kind.deadline_ms / _MS_PER_S + ANSWER_GRACE_S,
            lambda outcome: self._record_outcome(kind, sent, outcome),
        )

    def _address_for(self, sent: SentRequest) -> Address:
        owner = self._owner_by_key.get((sent.service, sent.key))
        return owner or self._rng.choice(self._entrances)

    def _record_outcome(
        self, kind: Kind, sent: SentRequest, outcome: Response | Failed
    ) -> None:
        self._in_flight -= 1
        observed = outcome_of(sent, outcome)
        self.outcomes.append(observed)
        label = "answered" if observed.ran == "yes" else observed.kind
        self.result_by_kind[kind.name].record(label, observed.ended_at - sent.sent_at)
        self._learn_owner(sent, outcome)

    def _learn_owner(self, sent: SentRequest, outcome: Response | Failed) -> None:
        service_and_key = (sent.service, sent.key)
        if not isinstance(outcome, Response):
            self._owner_by_key.pop(service_and_key, None)
            return
        for name, value in outcome.headers:
            if name.lower() == OWNER_HEADER.lower() and sent.key:
                self._owner_by_key[service_and_key] = value
