"""Probes of many keys at a constant rate, which measure how long keys are unavailable.

The probes run in threads, so that a benchmark can cause faults meanwhile.
"""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from rhubarbhall.core.idempotency import mint_key

KEYS = [f"batch-{number}" for number in range(48)]
#: Time between the starts of two probes, in seconds.
PROBE_INTERVAL_S = 0.01
#: Most probes that wait for an answer at the same time.
MAX_CONCURRENT_PROBES = 48
#: Longest wait for a connection or for data, in seconds. It exceeds the deadline of
#: the probed service, so that the daemon answers or refuses first.
REQUEST_TIMEOUT_S = 8.0
#: Refusals by an owner that serves the key but cannot tell the outcome of an earlier
#: attempt under the same idempotency key. They show that the key is available.
_REFUSALS_BY_OWNER = frozenset({"outcome_not_vouched", "request_in_progress"})


@dataclass
class ProbeResult:
    """Results of a series of probes.

    Parameters
    ----------
    sent : int
        Requests sent, except those whose connection every daemon refused.
    answered : int
        Requests with status 200.
    lost : int
        Requests whose connection ended without an answer.
    longest_unavailable_s : float
        Longest time, in seconds, from the first request for a key that was sent since
        the last answer for the key to the next answer for it.
    refused : dict of str to int
        Number of refusals by kind of error.
    """

    sent: int = 0
    answered: int = 0
    lost: int = 0
    longest_unavailable_s: float = 0.0
    refused: dict[str, int] = field(default_factory=lambda: defaultdict(int))


class Prober:
    """Sends lookups and credits to daemons chosen at random, at a constant rate.

    A request whose connection is refused goes to the next daemon.

    Parameters
    ----------
    addresses : list of (str, int)
        Addresses at which the daemons accept callers.
    """

    def __init__(self, addresses: list[tuple[str, int]]) -> None:
        self._addresses = addresses
        self._rng = random.Random(3)
        self._lock = threading.Lock()
        self._running = False
        self._thread: threading.Thread | None = None
        self._result = ProbeResult()
        self._waiting_since: dict[str, float] = {}
        self._avoid: tuple[str, int] | None = None

    def begin(self, avoid: tuple[str, int] | None = None) -> None:
        """Start a series of probes.

        Parameters
        ----------
        avoid : (str, int), optional
            Address of a daemon that gets no probes, because callers know that it is
            lost.
        """
        self._avoid = avoid
        self._result = ProbeResult()
        self._waiting_since = {}
        self._running = True
        self._thread = threading.Thread(target=self._loop)
        self._thread.start()

    def end(self) -> ProbeResult:
        """Stop, wait for the probes under way and return the results."""
        self._running = False
        self._thread.join()
        return self._result

    def _loop(self) -> None:
        with ThreadPoolExecutor(MAX_CONCURRENT_PROBES) as pool:
            while self._running:
                key = self._rng.choice(KEYS)
                pool.submit(self._probe, key, self._rng.random() < 0.3)
                time.sleep(PROBE_INTERVAL_S)

    def _probe(self, key: str, is_credit: bool) -> None:
        candidates = [each for each in self._addresses if each != self._avoid]
        self._rng.shuffle(candidates)
        sent_at = time.monotonic()
        with self._lock:
            self._result.sent += 1
            self._waiting_since.setdefault(key, sent_at)
        for address in candidates:
            outcome = self._call(address, key, is_credit)
            if outcome != "refused connection":
                break
        with self._lock:
            self._record(key, outcome)

    def _call(self, address: tuple[str, int], key: str, is_credit: bool) -> str:
        headers = {}
        if is_credit:
            idempotency_key = mint_key(int(time.time() * 1000), self._rng)
            headers["Idempotency-Key"] = idempotency_key
        connection = http.client.HTTPConnection(*address, timeout=REQUEST_TIMEOUT_S)
        try:
            method = "POST" if is_credit else "GET"
            path = f"/status/{key}/{'credit' if is_credit else 'look'}"
            connection.request(method, path, headers=headers)
            response = connection.getresponse()
            body = response.read()
        except ConnectionRefusedError:
            return "refused connection"
        except (OSError, http.client.HTTPException):
            return "lost"
        finally:
            connection.close()
        return "answered" if response.status == 200 else json.loads(body)["kind"]

    def _record(self, key: str, outcome: str) -> None:
        result = self._result
        if outcome in _REFUSALS_BY_OWNER:
            result.refused[outcome] += 1
        if outcome == "answered" or outcome in _REFUSALS_BY_OWNER:
            result.answered += outcome == "answered"
            waited = time.monotonic() - self._waiting_since.pop(key, time.monotonic())
            result.longest_unavailable_s = max(result.longest_unavailable_s, waited)
        elif outcome == "lost":
            result.lost += 1
        elif outcome == "refused connection":
            result.sent -= 1
        else:
            result.refused[outcome] += 1
