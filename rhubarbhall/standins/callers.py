"""Callers for the demo.

They send a steady stream of requests and record the outcome of each, so that the
guarantees can be audited against what the targets ran.
"""

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

#: Timeout of one request, in seconds.
CALL_TIMEOUT_S = 8.0
#: Share of the outcomes of credits after which the same request is sent again under
#: the same idempotency key.
REPEAT_SHARE = 0.3
_MS_PER_S = 1000


class _Problem(msgspec.Struct, frozen=True):
    """Fields of a refusal's body that the audit needs."""

    kind: str = ""
    ran: str = Ran.UNKNOWN


class _Echo(msgspec.Struct, frozen=True):
    """Field of an answer's body that the audit needs: the key that was received."""

    key: str = ""


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that was sent to a daemon, once or more.

    Parameters
    ----------
    method : str
        HTTP method.
    service : str
        Name of the service.
    key : str
        Key of the request; empty for services without keys.
    mark : str
        Path below the key, which no other request has.
    idempotency_key : str, optional
        Idempotency key, for requests that must run at most once.
    sent_at : float
        Time from which the latency counts, on the monotonic clock, in seconds.
    """

    method: str
    service: str
    key: str
    mark: str
    idempotency_key: str | None
    sent_at: Seconds

    @property
    def path(self) -> str:
        """Path that a daemon expects: service, key and mark."""
        return f"/{self.service}/{self.key}{self.mark}".replace("//", "/")


class Callers:
    """Sends requests to all daemons and records the outcomes.

    Parameters
    ----------
    client : HttpClient
        HTTP client that all callers share.
    entrances : list of str
        Addresses of the daemons for callers. The list is not copied: whoever stops a
        daemon removes its address.
    keyed, unkeyed : str
        Names of a service with keys and of one without.
    keys : int
        Number of different keys.
    seed : int
        Seed of all random choices.

    Attributes
    ----------
    outcomes : list of Outcome
        Outcomes of all requests, in the order in which they became known.
    in_flight : int
        Requests without an outcome yet.
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
        self._request_numbers = itertools.count()
        self._owner_by_key: dict[str, Address] = {}
        self.outcomes: list[Outcome] = []
        self.in_flight = 0

    def send_requests(self) -> None:
        """Send a lookup, and in some calls also a credit or a request without a key."""
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
        number = next(self._request_numbers)
        kind = "credit" if idempotency_key else "look"
        mark = f"/{kind}/{number}"
        sent = SentRequest(
            method, service, key, mark, idempotency_key, time.monotonic()
        )
        self._fetch(sent)

    def _address_for(self, key: str) -> Address:
        # Most requests go straight to the owner; the rest exercise forwarding.
        owner = self._owner_by_key.get(key)
        if owner in self.entrances and self._rng.random() < 0.8:
            return owner
        return self._rng.choice(self.entrances)

    def _fetch(self, sent: SentRequest) -> None:
        headers = ()
        if sent.idempotency_key:
            headers = ((IDEMPOTENCY_HEADER, sent.idempotency_key),)
        self.in_flight += 1
        address = self._address_for(sent.key)
        self._client.fetch(
            address,
            sent.method,
            sent.path,
            headers,
            b"",
            CALL_TIMEOUT_S,
            lambda outcome: self._record_outcome(sent, outcome),
        )

    def _record_outcome(self, sent: SentRequest, outcome: Response | Failed) -> None:
        self.in_flight -= 1
        self.outcomes.append(outcome_of(sent, outcome))
        if isinstance(outcome, Response):
            for name, value in outcome.headers:
                if name.lower() == OWNER_HEADER.lower():
                    self._owner_by_key[sent.key] = value
        if sent.idempotency_key and self._rng.random() < REPEAT_SHARE:
            self._fetch(sent)


def outcome_of(sent: SentRequest, outcome: Response | Failed) -> Outcome:
    """Return what a caller learned of a request.

    Parameters
    ----------
    sent : SentRequest
        The request.
    outcome : Response or Failed
        Answer or refusal of a daemon, or failure of the connection.

    Returns
    -------
    Outcome
        Outcome for the audit, ended now. After a failed connection the request counts
        as not run only if none of it was written.
    """
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
