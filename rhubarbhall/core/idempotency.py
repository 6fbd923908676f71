"""At most once: outcomes remembered by idempotency key."""

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
#: How far the clock of a caller may be ahead, in milliseconds.
MAX_AHEAD_MS = 2_000
#: How long an outcome is remembered.
WINDOW_S = 600.0
#: Memory for the outcomes of one slice, in bytes.
MAX_BYTES_PER_SLICE = 256 * 1024
#: Memory that an entry takes besides the body of its answer, in bytes.
ENTRY_BYTES = 300
_MS_PER_S = 1_000.0


class Repeat(enum.Enum):
    """What the table says of a request."""

    FIRST = enum.auto()
    SAME = enum.auto()
    RUNNING = enum.auto()
    OTHER_REQUEST = enum.auto()
    NOT_VOUCHED = enum.auto()


@dataclass(slots=True)
class _Entry:
    digest: str
    created_at: Seconds
    minted_ms: int
    response: Response | None
    running: bool

    @property
    def size(self) -> int:
        return ENTRY_BYTES + (len(self.response.body) if self.response else 0)


def minted_ms_of(key: str) -> int | None:
    """Return the time in a UUID of version 7, in milliseconds since 1970.

    Returns none when the text is no such UUID.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return parsed.int >> 80


def mint_key(wall_ms: int, rng: random.Random) -> str:
    """Return a new idempotency key: a UUID of version 7.

    Parameters
    ----------
    wall_ms : int
        Milliseconds since 1970.
    rng : random.Random
        Source of the random part.
    """
    value = (wall_ms & ((1 << 48) - 1)) << 80
    value |= 0x7 << 76 | rng.getrandbits(12) << 64
    value |= 0b10 << 62 | rng.getrandbits(62)
    return str(uuid.UUID(int=value))


def digest_of(request: Request) -> str:
    """Return a digest that tells two requests with the same key apart."""
    text = f"{request.method} {request.path}\n".encode()
    return blake2b(text + request.body, digest_size=12).hexdigest()


class OutcomeTable:
    """Outcomes of the requests of one slice.

    The table vouches for keys minted after `vouched_since_ms`: for these it
    knows every request that may have run. Whatever lets an outcome be
    forgotten moves that time forward.

    Parameters
    ----------
    vouched_since_ms : int
        Milliseconds since 1970.
    """

    def __init__(self, vouched_since_ms: int) -> None:
        self.vouched_since_ms = vouched_since_ms
        self._entry_by_key: OrderedDict[str, _Entry] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._entry_by_key)

    @staticmethod
    def _key(request: Request) -> str:
        return f"{request.idempotency_key}|{request.key}"

    def begin(self, now: Seconds, request: Request) -> tuple[Repeat, Response | None]:
        """Look a request up and, when it is the first of its key, note it.

        Returns
        -------
        Repeat
            Whether it may run.
        Response or None
            The remembered answer for `Repeat.SAME`.
        """
        self._expire(now)
        entry = self._entry_by_key.get(self._key(request))
        if entry is not None:
            return self._repeat_of(entry, request)
        minted = minted_ms_of(request.idempotency_key or "") or 0
        if minted < self.vouched_since_ms:
            return Repeat.NOT_VOUCHED, None
        entry = _Entry(digest_of(request), now, minted, None, running=True)
        self._put(self._key(request), entry)
        return Repeat.FIRST, None

    def _repeat_of(
        self, entry: _Entry, request: Request
    ) -> tuple[Repeat, Response | None]:
        if entry.digest != digest_of(request):
            return Repeat.OTHER_REQUEST, None
        if entry.running:
            return Repeat.RUNNING, None
        if entry.response is None:
            return Repeat.NOT_VOUCHED, None
        return Repeat.SAME, entry.response

    def finish(self, request: Request, response: Response) -> None:
        """Note the outcome; a request that surely did not run is forgotten."""
        key = self._key(request)
        entry = self._entry_by_key.get(key)
        if entry is None:
            return
        self._bytes -= entry.size
        if response.surely_not_run:
            del self._entry_by_key[key]
            return
        entry.running = False
        entry.response = response if response.kind is None else None
        self._bytes += entry.size
        self._shrink()

    def _expire(self, now: Seconds) -> None:
        while self._entry_by_key:
            key, entry = next(iter(self._entry_by_key.items()))
            if entry.running or now - entry.created_at <= WINDOW_S:
                return
            self._forget(key, entry)

    def _shrink(self) -> None:
        for key, entry in list(self._entry_by_key.items()):
            if self._bytes <= MAX_BYTES_PER_SLICE:
                return
            if not entry.running:
                self._forget(key, entry)

    def _forget(self, key: str, entry: _Entry) -> None:
        self._drop(key)
        self.vouched_since_ms = max(self.vouched_since_ms, entry.minted_ms + 1)

    # Hot keys

    def split_out(self, key: str) -> OutcomeTable:
        """Move the entries of one key into a table of its own."""
        child = OutcomeTable(self.vouched_since_ms)
        for name in [each for each in self._entry_by_key if _key_in(each) == key]:
            child._put(name, self._drop(name))
        return child

    def absorb(self, other: OutcomeTable) -> None:
        """Take all entries of another table in."""
        self.vouched_since_ms = max(self.vouched_since_ms, other.vouched_since_ms)
        for name in list(other._entry_by_key):
            self._put(name, other._drop(name))
        self._shrink()

    def _put(self, name: str, entry: _Entry) -> None:
        self._entry_by_key[name] = entry
        self._bytes += entry.size

    def _drop(self, name: str) -> _Entry:
        entry = self._entry_by_key.pop(name)
        self._bytes -= entry.size
        return entry

    # Handing over

    def outcomes(self, now: Seconds) -> Iterator[RememberedOutcome]:
        """Yield all entries, oldest first; a running one counts as unknown."""
        for key, entry in self._entry_by_key.items():
            age = now - entry.created_at
            yield RememberedOutcome(key, entry.digest, age, entry.response)

    def take_over(
        self,
        now: Seconds,
        vouched_since_ms: int,
        outcomes: tuple[RememberedOutcome, ...],
    ) -> None:
        """Continue the table of the former owner."""
        self.vouched_since_ms = vouched_since_ms
        for outcome in outcomes:
            minted = minted_ms_of(outcome.key.partition("|")[0]) or 0
            created_at = now - outcome.age_s
            entry = _Entry(
                outcome.digest, created_at, minted, outcome.response, running=False
            )
            self._put(outcome.key, entry)
        self._shrink()


def _key_in(name: str) -> str:
    """Return the caller's slice key in the name of an entry."""
    return name.partition("|")[2]


def vouched_from(wall_ms: int) -> int:
    """Return since when a table that begins empty now can vouch.

    The entrance holds a request until its own clock shows the time in the key,
    so keys used before now bear a time before this one.
    """
    return wall_ms + CLOCK_SKEW_MS


def is_from_the_future(minted_ms: int, wall_ms: int) -> bool:
    """Tell whether a key bears a time that is too far ahead to wait for."""
    return minted_ms > wall_ms + MAX_AHEAD_MS


def time_to_come_s(key: str | None, wall_ms: int) -> Seconds:
    """Return how long it takes until the time in a key has come, in seconds."""
    minted_ms = minted_ms_of(key) if key else None
    return 0.0 if minted_ms is None else max(0, minted_ms - wall_ms) / _MS_PER_S
