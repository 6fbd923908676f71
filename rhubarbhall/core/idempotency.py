"""Outcomes of requests by idempotency key, so that each runs at most once.

Idempotency keys are version 7 UUIDs. The timestamp in a key shows whether an owner
knows every request that may have run with it.
"""

from __future__ import annotations

import enum
import uuid
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

from rhubarbhall.core.events import RememberedOutcome

if TYPE_CHECKING:
    import random

    from rhubarbhall.core.requests import Request, Response
    from rhubarbhall.types import Seconds

#: Largest difference between the wall clocks of two daemons, in milliseconds.
CLOCK_SKEW_MS = 100
#: Most that the wall clock of a caller may be ahead of a daemon's, in milliseconds. A
#: request waits until the time in its idempotency key, so this also bounds the wait.
MAX_CALLER_LEAD_MS = 2_000
#: Time for which an outcome is remembered, in seconds.
RETENTION_S = 600.0
#: Most memory for the outcomes of one slice, in bytes.
MAX_BYTES_PER_SLICE = 256 * 1024
#: Memory that an entry takes besides the body of its answer, in bytes.
ENTRY_OVERHEAD_BYTES = 300
_MS_PER_S = 1_000.0


class KeyStatus(enum.Enum):
    """What is known of an idempotency key when a request with it arrives."""

    #: No request has used the key yet; the request may run.
    FIRST = enum.auto()
    #: The same request has been answered; its answer is remembered.
    ANSWERED = enum.auto()
    #: A request with the key is waiting or running.
    RUNNING = enum.auto()
    #: Another request has used the key.
    KEY_REUSED = enum.auto()
    #: It is not known whether a request with the key has run.
    NOT_VOUCHED = enum.auto()


@dataclass(slots=True)
class _Entry:
    """What is remembered of one idempotency key.

    Parameters
    ----------
    digest : str
        Digest of the request.
    created_at : float
        Time at which the request first arrived, on the local monotonic clock, in
        seconds.
    minted_ms : int
        Time in the idempotency key, in milliseconds since 1970.
    response : Response, optional
        Answer of the target; none while the request runs or if its outcome is unknown.
    running : bool
        Whether the request is waiting or running.
    """

    digest: str
    created_at: Seconds
    minted_ms: int
    response: Response | None
    running: bool

    @property
    def size(self) -> int:
        """Memory that the entry is taken to need, in bytes."""
        return ENTRY_OVERHEAD_BYTES + (len(self.response.body) if self.response else 0)


def minted_ms_of(key: str) -> int | None:
    """Return the time in a version 7 UUID, in milliseconds since 1970.

    Returns
    -------
    int or None
        None if the text is not a version 7 UUID.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return parsed.int >> 80


def mint_key(wall_ms: int, rng: random.Random) -> str:
    """Return a new idempotency key: a version 7 UUID.

    Parameters
    ----------
    wall_ms : int
        Present wall-clock time, in milliseconds since 1970.
    rng : random.Random
        Source of the random part.
    """
    value = (wall_ms & ((1 << 48) - 1)) << 80
    value |= 0x7 << 76 | rng.getrandbits(12) << 64
    value |= 0b10 << 62 | rng.getrandbits(62)
    return str(uuid.UUID(int=value))


def digest_of(request: Request) -> str:
    """Return a digest by which two requests with the same key are distinguished."""
    text = f"{request.method} {request.path}\n".encode()
    return blake2b(text + request.body, digest_size=12).hexdigest()


class OutcomeTable:
    """Outcomes of the requests of one slice.

    The table vouches for keys minted at `vouched_since_ms` or later: it has every
    request with such a key that may have run. When an outcome is evicted, because of
    its age or to save memory, that time moves past the time in its key.

    Parameters
    ----------
    vouched_since_ms : int
        Earliest time, in milliseconds since 1970, in a key that the table vouches for.
    """

    def __init__(self, vouched_since_ms: int) -> None:
        self.vouched_since_ms = vouched_since_ms
        self._entry_by_name: OrderedDict[str, _Entry] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._entry_by_name)

    @staticmethod
    def _entry_name(request: Request) -> str:
        return f"{request.idempotency_key}|{request.key}"

    def begin(
        self, now: Seconds, request: Request
    ) -> tuple[KeyStatus, Response | None]:
        """Look a request up and, if it is the first with its key, record it as running.

        Returns
        -------
        KeyStatus
            What is known of its key; it may run only for `KeyStatus.FIRST`.
        Response or None
            The remembered answer for `KeyStatus.ANSWERED`.
        """
        self._expire(now)
        entry = self._entry_by_name.get(self._entry_name(request))
        if entry is not None:
            return self._classify(entry, request)
        minted = minted_ms_of(request.idempotency_key or "") or 0
        if minted < self.vouched_since_ms:
            return KeyStatus.NOT_VOUCHED, None
        entry = _Entry(digest_of(request), now, minted, None, running=True)
        self._put(self._entry_name(request), entry)
        return KeyStatus.FIRST, None

    def _classify(
        self, entry: _Entry, request: Request
    ) -> tuple[KeyStatus, Response | None]:
        if entry.digest != digest_of(request):
            return KeyStatus.KEY_REUSED, None
        if entry.running:
            return KeyStatus.RUNNING, None
        if entry.response is None:
            return KeyStatus.NOT_VOUCHED, None
        return KeyStatus.ANSWERED, entry.response

    def finish(self, request: Request, response: Response) -> None:
        """Record the outcome; a request that is known not to have run is dropped."""
        name = self._entry_name(request)
        entry = self._entry_by_name.get(name)
        if entry is None:
            return
        self._bytes -= entry.size
        if response.known_not_run:
            del self._entry_by_name[name]
            return
        entry.running = False
        entry.response = response if response.kind is None else None
        self._bytes += entry.size
        self._shrink()

    def _expire(self, now: Seconds) -> None:
        while self._entry_by_name:
            name, entry = next(iter(self._entry_by_name.items()))
            if entry.running or now - entry.created_at <= RETENTION_S:
                return
            self._evict(name, entry)

    def _shrink(self) -> None:
        for name, entry in list(self._entry_by_name.items()):
            if self._bytes <= MAX_BYTES_PER_SLICE:
                return
            if not entry.running:
                self._evict(name, entry)

    def _evict(self, name: str, entry: _Entry) -> None:
        self._remove(name)
        self.vouched_since_ms = max(self.vouched_since_ms, entry.minted_ms + 1)

    # Splitting and merging slices, for hot keys

    def split_out(self, key: str) -> OutcomeTable:
        """Move the entries of the caller's key `key` to a new table and return it."""
        child = OutcomeTable(self.vouched_since_ms)
        for name in [each for each in self._entry_by_name if _key_in_name(each) == key]:
            child._put(name, self._remove(name))
        return child

    def absorb(self, other: OutcomeTable) -> None:
        """Move all entries of another table into this one."""
        self.vouched_since_ms = max(self.vouched_since_ms, other.vouched_since_ms)
        for name in list(other._entry_by_name):
            self._put(name, other._remove(name))
        self._shrink()

    def _put(self, name: str, entry: _Entry) -> None:
        self._entry_by_name[name] = entry
        self._bytes += entry.size

    def _remove(self, name: str) -> _Entry:
        entry = self._entry_by_name.pop(name)
        self._bytes -= entry.size
        return entry

    # Handover to the next owner

    def outcomes(self, now: Seconds) -> Iterator[RememberedOutcome]:
        """Yield all entries, oldest first; the outcome of a running one is unknown."""
        for name, entry in self._entry_by_name.items():
            age = now - entry.created_at
            yield RememberedOutcome(name, entry.digest, age, entry.response)

    def take_over(
        self,
        now: Seconds,
        vouched_since_ms: int,
        outcomes: tuple[RememberedOutcome, ...],
    ) -> None:
        """Fill an empty table with the outcomes of the former owner.

        Parameters
        ----------
        now : float
            Present time on the local monotonic clock, in seconds.
        vouched_since_ms : int
            Time since which the former owner vouches, in milliseconds since 1970.
        outcomes : tuple of RememberedOutcome
            Outcomes, oldest first.
        """
        self.vouched_since_ms = vouched_since_ms
        for outcome in outcomes:
            minted = minted_ms_of(outcome.key.partition("|")[0]) or 0
            created_at = now - outcome.age_s
            entry = _Entry(
                outcome.digest, created_at, minted, outcome.response, running=False
            )
            self._put(outcome.key, entry)
        self._shrink()


def _key_in_name(name: str) -> str:
    """Return the request's key in the name of an entry, as made by `_entry_name`."""
    return name.partition("|")[2]


def empty_table_vouched_since_ms(wall_ms: int) -> int:
    """Return the time since which a table that is empty now can vouch for keys.

    The router holds each request until its own clock shows the time in the key. The
    clocks of two daemons differ by at most `CLOCK_SKEW_MS`, so every key that was used
    before now has a time before the one returned.

    Parameters
    ----------
    wall_ms : int
        Present wall-clock time, in milliseconds since 1970.

    Returns
    -------
    int
        Milliseconds since 1970.
    """
    return wall_ms + CLOCK_SKEW_MS


def is_too_far_ahead(minted_ms: int, wall_ms: int) -> bool:
    """Return whether the time in a key is too far ahead to be waited for."""
    return minted_ms > wall_ms + MAX_CALLER_LEAD_MS


def wait_for_timestamp_s(key: str | None, wall_ms: int) -> Seconds:
    """Return the time until the wall clock shows the time in a key, in seconds."""
    minted_ms = minted_ms_of(key) if key else None
    return 0.0 if minted_ms is None else max(0, minted_ms - wall_ms) / _MS_PER_S
