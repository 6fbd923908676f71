"""Callers for the demo: a steady stream of requests and a ledger of answers."""

from __future__ import annotations

import itertools
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from rhubarbhall.adapters.client import Failed
from rhubarbhall.audit import Outcome
from rhubarbhall.core.errors import Ran
from rhubarbhall.core.idempotency import mint_key
from rhubarbhall.core.requests import IDEMPOTENCY_HEADER, OWNER_HEADER, Response

if TYPE_CHECKING:
    from rhubarbhall.adapters.client import HttpClient
    from rhubarbhall.types import Address, Seconds

CALL_TIMEOUT_S = 8.0
#: Share of the credits that are sent a second time under the same key.
REPEAT_SHARE = 0.3
_MS_PER_S = 1000


class _Problem(msgspec.Struct, frozen=True):
    kind: str = ""
    ran: str = Ran.UNKNOWN


class _Echo(msgspec.Struct, frozen=True):
    key: str = ""


@dataclass(frozen=True, slots=True)
class Sent:
    """A request on its way.

    Parameters
    ----------
    method, service, key : str
        What was asked.
    mark : str
        Path that only this request has.
    idempotency_key : str, optional
        Key against repeats.
    sent_at : float
        Monotonic clock, in seconds.
    """

    method: str
    service: str
    key: str
    mark: str
    idempotency_key: str | None
    sent_at: Seconds

    @property
    def path(self) -> str:
        """Path as a daemon takes it."""
        return f"/{self.service}/{self.key}{self.mark}".replace("//", "/")


class Callers:
    """Sends requests to all daemons and notes what came back.

    Parameters
    ----------
    client : HttpClient
        Connections of the callers.
    entrances : list of str
        Addresses of daemons; one that ended is taken off by the caller.
    keyed, unkeyed : str
        Names of the services to ask.
    keys : int
        Number of different keys.
    seed : int
        Seed of the choices.
    """

    def __init__(
        self,
        client: HttpClient,
        entrances: list[Address],
        keyed: str,
        unkeyed: str,
        keys: int,
        seed: int,
    ) -> None:
        self._client = client
        self.entrances = entrances
        self._keyed = keyed
        self._unkeyed = unkeyed
        self._rng = random.Random(seed)
        self._keys = [f"batch-{number}" for number in range(keys)]
        self._numbers = itertools.count()
        self._owner_by_key: dict[str, Address] = {}
        self.outcomes: list[Outcome] = []
        self.in_flight = 0

    def send_some(self) -> None:
        """Send a lookup, and now and then a credit or an unkeyed request."""
        self._send("GET", self._keyed, self._rng.choice(self._keys))
        draw = self._rng.random()
        if draw < 0.3:
            key = mint_key(int(time.time() * _MS_PER_S), self._rng)
            self._send("POST", self._keyed, self._rng.choice(self._keys), key)
        elif draw < 0.6:
            self._send("GET", self._unkeyed, "")

    def _send(
        self, method: str, service: str, key: str, idempotency_key: str | None = None
    ) -> None:
        number = next(self._numbers)
        kind = "credit" if idempotency_key else "look"
        mark = f"/{kind}/{number}"
        sent = Sent(method, service, key, mark, idempotency_key, time.monotonic())
        self._fetch(sent)

    def _entrance_for(self, key: str) -> Address:
        owner = self._owner_by_key.get(key)
        if owner in self.entrances and self._rng.random() < 0.8:
            return owner
        return self._rng.choice(self.entrances)

    def _fetch(self, sent: Sent) -> None:
        headers = ()
        if sent.idempotency_key:
            headers = ((IDEMPOTENCY_HEADER, sent.idempotency_key),)
        self.in_flight += 1
        entrance = self._entrance_for(sent.key)
        self._client.fetch(
            entrance,
            sent.method,
            sent.path,
            headers,
            b"",
            CALL_TIMEOUT_S,
            lambda outcome: self._note(sent, outcome),
        )

    def _note(self, sent: Sent, outcome: Response | Failed) -> None:
        self.in_flight -= 1
        self.outcomes.append(outcome_of(sent, outcome))
        if isinstance(outcome, Response):
            for name, value in outcome.headers:
                if name.lower() == OWNER_HEADER.lower():
                    self._owner_by_key[sent.key] = value
        if sent.idempotency_key and self._rng.random() < REPEAT_SHARE:
            self._fetch(sent)


def outcome_of(sent: Sent, outcome: Response | Failed) -> Outcome:
    """Return what a caller was told, for the ledger."""
    status, kind, ran, echoed = 0, "", "unknown", ""
    if isinstance(outcome, Failed):
        kind = f"connection_{outcome.kind}"
        ran = "unknown" if outcome.written else "no"
    elif outcome.status < 400:
        status, ran = outcome.status, "yes"
        echoed = msgspec.json.decode(outcome.body, type=_Echo).key
    else:
        problem = msgspec.json.decode(outcome.body, type=_Problem)
        status, kind, ran = outcome.status, problem.kind, problem.ran
    now = time.monotonic()
    return Outcome(sent.mark, sent.key, sent.sent_at, now, status, kind, ran, echoed)
