"""Requests under which targets have ended, so that one that crashes them is rejected.

A request may crash each target that begins to run it, and come again with another id
at any daemon. All requests that run when a target ends are suspects, the harmless ones
too. A suspect therefore runs as the only suspect on its target, and after the second
end alone. One under which a target ends then is rejected by all daemons. One that is
answered is cleared.

Every daemon holds the same suspects: what changes is passed on from peer to peer, and
merging is commutative and idempotent, so neither order nor repeats matter.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rhubarbhall.core.digest import digest
from rhubarbhall.core.traffic.routes import bare_host

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.requests import RoutedRequest
    from rhubarbhall.types import Fingerprint, Seconds

__all__ = [
    "CrashSuspects",
    "Standing",
    "SuspectRecord",
    "fingerprint_of",
]

#: Bytes of the digest that identifies equal requests.
FINGERPRINT_BYTES = 16
#: Bytes of the digest of a target run's identity.
RUN_DIGEST_BYTES = 4
#: Ends of targets after which a suspect runs alone.
ISOLATED_AFTER = 2
#: Time for which a request is rejected, in seconds. Then one trial alone is allowed, as
#: the targets may have been repaired.
REJECTED_S = 900.0
#: Time after which a suspect that has not changed is forgotten, in seconds.
KEPT_S = 1800.0
#: Maximum number of suspects. Of more, the earliest with the lowest standing is
#: dropped.
MAX_SUSPECTS = 1000
#: Maximum number of records that are passed on at a time.
MAX_UPDATES = 64


class Standing(enum.IntEnum):
    """How a request is treated.

    CLEAR : no target has ended under it since it was answered last.
    SUSPECT : a target has ended under it; it runs as the only suspect on its target.
    ISOLATED : several targets have; it runs with no other request on its target.
    REJECTED : a target has ended under it as it ran alone; it is not sent to targets.
    """

    CLEAR = 0
    SUSPECT = 1
    ISOLATED = 2
    REJECTED = 3


@dataclass(frozen=True, slots=True)
class SuspectRecord:
    """State of one suspect, as daemons pass it on.

    Parameters
    ----------
    fingerprint : bytes
        Identifies equal requests.
    version : int
        Grows when the request is cleared, and when it is confirmed again.
    ended_runs : tuple of int
        Runs of targets that have ended under it, at most `ISOLATED_AFTER` of them.
    is_confirmed : bool
        Whether a target has ended under it as it ran alone.
    age_s : float
        Time since the state has changed, in seconds.
    """

    fingerprint: Fingerprint
    version: int
    ended_runs: tuple[int, ...]
    is_confirmed: bool
    age_s: Seconds


@dataclass(slots=True)
class _Suspect:
    version: int
    changed_at: Seconds
    ended_runs: set[int] = field(default_factory=set)
    is_confirmed: bool = False

    def standing(self, now: Seconds) -> Standing:
        if self.is_confirmed:
            is_due = now - self.changed_at > REJECTED_S
            return Standing.ISOLATED if is_due else Standing.REJECTED
        if not self.ended_runs:
            return Standing.CLEAR
        if len(self.ended_runs) < ISOLATED_AFTER:
            return Standing.SUSPECT
        return Standing.ISOLATED


def fingerprint_of(request: RoutedRequest) -> Fingerprint:
    """Return the digest of what makes two requests equal, computed once for each.

    These are the calling service, host, method, path and body, and not the id.
    """
    if not request.fingerprint:
        host = bare_host(request.host)
        texts = (request.caller, host, request.method, request.path)
        parts = (*(text.encode() for text in texts), request.body)
        request.fingerprint = digest(parts, FINGERPRINT_BYTES)
    return request.fingerprint


def _run_number(run: str) -> int:
    return int.from_bytes(digest([run.encode()], RUN_DIGEST_BYTES), "big")


class CrashSuspects:
    """The suspects that a daemon knows."""

    def __init__(self) -> None:
        self._suspect_by_fingerprint: dict[Fingerprint, _Suspect] = {}
        #: Those that are not clear.
        self._active: set[Fingerprint] = set()
        #: Suspects to pass on, in the order of their changes.
        self._updates: dict[Fingerprint, None] = {}

    def __len__(self) -> int:
        return len(self._active)

    def standing(self, now: Seconds, request: RoutedRequest) -> Standing:
        """Return how a request is treated."""
        if not self._active:
            # No digest is computed while nothing is suspected.
            return Standing.CLEAR
        return self.standing_of(now, fingerprint_of(request))

    # Observations beside the local target

    def record_end(
        self, now: Seconds, fingerprint: Fingerprint, run: str, was_alone: bool
    ) -> None:
        """Record that a run of a target has ended under a request.

        Parameters
        ----------
        run : str
            Identity of the run of the target.
        was_alone : bool
            Whether the request was `Standing.ISOLATED` and ran with no other.
        """
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            suspect = _Suspect(0, now)
        # If another daemon has cleared the request while it ran, as it was answered
        # there, this end counts as the first.
        is_confirmed = was_alone and suspect.standing(now) >= Standing.ISOLATED
        if is_confirmed and suspect.is_confirmed:
            suspect.version += 1
        suspect.is_confirmed |= is_confirmed
        if len(suspect.ended_runs) < ISOLATED_AFTER:
            suspect.ended_runs.add(_run_number(run))
        suspect.changed_at = now
        self._store(now, fingerprint, suspect)

    def record_answered(self, now: Seconds, request: RoutedRequest) -> None:
        """Clear a request that a target has run to its end."""
        if self.standing(now, request) is not Standing.CLEAR:
            self.clear(now, fingerprint_of(request))

    def clear(self, now: Seconds, fingerprint: Fingerprint) -> bool:
        """Clear a suspect here and on all daemons; return whether it was known."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return False
        self._store(now, fingerprint, _Suspect(suspect.version + 1, now))
        return True

    # Exchange with peers

    def merge(self, now: Seconds, records: Iterable[SuspectRecord]) -> bool:
        """Take over what peers know; return whether any of it is new here."""
        is_new = [self._merge_one(now, record) for record in records]
        return any(is_new)

    def _merge_one(self, now: Seconds, record: SuspectRecord) -> bool:
        if record.age_s > KEPT_S:
            return False
        known = self._suspect_by_fingerprint.get(record.fingerprint)
        changed_at = now - record.age_s
        runs = set(record.ended_runs[:ISOLATED_AFTER])
        if known is None or record.version > known.version:
            suspect = _Suspect(record.version, changed_at, runs, record.is_confirmed)
            self._store(now, record.fingerprint, suspect)
            return True
        if record.version < known.version:
            return False
        merged_runs = set(sorted(known.ended_runs | runs)[:ISOLATED_AFTER])
        is_confirmed = known.is_confirmed or record.is_confirmed
        if (merged_runs, is_confirmed) == (known.ended_runs, known.is_confirmed):
            return False
        known.ended_runs, known.is_confirmed = merged_runs, is_confirmed
        known.changed_at = max(known.changed_at, changed_at)
        self._store(now, record.fingerprint, known)
        return True

    def take_updates(self, now: Seconds) -> list[SuspectRecord]:
        """Return changes not passed on yet, at most `MAX_UPDATES` records."""
        fingerprints = list(self._updates)[:MAX_UPDATES]
        for fingerprint in fingerprints:
            del self._updates[fingerprint]
        return [
            self._record(now, fingerprint)
            for fingerprint in fingerprints
            if fingerprint in self._suspect_by_fingerprint
        ]

    def records(self, now: Seconds) -> Iterator[SuspectRecord]:
        """Yield all suspects, those that are treated most severely first."""
        self.forget_old(now)
        for fingerprint in sorted(
            self._suspect_by_fingerprint,
            key=lambda each: -self._suspect_by_fingerprint[each].standing(now),
        ):
            yield self._record(now, fingerprint)

    def standing_of(self, now: Seconds, fingerprint: Fingerprint) -> Standing:
        """Return the standing of a request by its fingerprint."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        return Standing.CLEAR if suspect is None else suspect.standing(now)

    def rejected(self, now: Seconds) -> int:
        """Return the number of requests that are rejected."""
        return sum(
            self.standing_of(now, each) is Standing.REJECTED for each in self._active
        )

    def _record(self, now: Seconds, fingerprint: Fingerprint) -> SuspectRecord:
        suspect = self._suspect_by_fingerprint[fingerprint]
        return SuspectRecord(
            fingerprint,
            suspect.version,
            tuple(sorted(suspect.ended_runs)),
            suspect.is_confirmed,
            now - suspect.changed_at,
        )

    # Bounds

    def _store(self, now: Seconds, fingerprint: Fingerprint, suspect: _Suspect) -> None:
        self._suspect_by_fingerprint[fingerprint] = suspect
        self._updates[fingerprint] = None
        if suspect.standing(now) is Standing.CLEAR:
            self._active.discard(fingerprint)
        else:
            self._active.add(fingerprint)
        if len(self._suspect_by_fingerprint) > MAX_SUSPECTS:
            self.forget_old(now)
        if len(self._suspect_by_fingerprint) > MAX_SUSPECTS:
            self._drop_least(now)

    def forget_old(self, now: Seconds) -> None:
        """Forget suspects that have not changed for `KEPT_S`.

        To be called regularly: while there are suspects, each request is digested.
        """
        for fingerprint, suspect in list(self._suspect_by_fingerprint.items()):
            if now - suspect.changed_at > KEPT_S:
                self._drop(fingerprint)

    def _drop_least(self, now: Seconds) -> None:
        least = min(
            self._suspect_by_fingerprint.items(),
            key=lambda each: (each[1].standing(now), each[1].changed_at),
        )
        self._drop(least[0])

    def _drop(self, fingerprint: Fingerprint) -> None:
        del self._suspect_by_fingerprint[fingerprint]
        self._updates.pop(fingerprint, None)
        self._active.discard(fingerprint)
