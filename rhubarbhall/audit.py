"""Checks of the promises against what targets ran and callers were told."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core.errors import ErrorKind

if TYPE_CHECKING:
    from rhubarbhall.standins.target import Execution
    from rhubarbhall.types import Seconds


_OWNER_IS_THERE = frozenset(
    {ErrorKind.OUTCOME_NOT_VOUCHED, ErrorKind.REQUEST_IN_PROGRESS}
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller was told of one request.

    Parameters
    ----------
    mark : str
        Path that only this request has.
    key : str
        Key that it named.
    sent_at, ended_at : float
        Monotonic clock, in seconds.
    status : int
        HTTP status; 0 when the connection ended without a whole answer.
    kind : str
        Error kind of a refusal, else empty.
    ran : str
        "yes", "no" or "unknown", as the answer says.
    echoed_key : str
        Key that the answer is for.
    """

    mark: str
    key: str
    sent_at: Seconds
    ended_at: Seconds
    status: int
    kind: str
    ran: str
    echoed_key: str


def find_double_owners(executions: Iterable[Execution]) -> list[str]:
    """Return slices that two runs worked on at the same time, or out of order."""
    problems = []
    by_slice: dict[str, list[Execution]] = defaultdict(list)
    for execution in executions:
        if execution.slice:
            by_slice[execution.slice].append(execution)
    for name, found in by_slice.items():
        found.sort(key=lambda each: each.started_at)
        latest = found[0]
        for execution in found[1:]:
            other_run = execution.fence != latest.fence
            if other_run and execution.started_at < latest.ended_at:
                problems.append(f"{name}: {latest.fence} and {execution.fence} overlap")
            if execution.epoch < latest.epoch:
                problems.append(f"{name}: epoch {execution.epoch} after {latest.epoch}")
            if execution.ended_at >= latest.ended_at or other_run:
                latest = execution
    return problems


def find_repeats(executions: Iterable[Execution]) -> list[str]:
    """Return idempotency keys under which more than one order had its effect."""
    counts = Counter(
        each.idempotency_key for each in executions if each.idempotency_key
    )
    return [f"{key}: ran {count} times" for key, count in counts.items() if count > 1]


def find_false_refusals(
    executions: Iterable[Execution], outcomes: Iterable[Outcome]
) -> list[str]:
    """Return requests that were refused as not run and ran."""
    ran = {each.path for each in executions}
    return [
        f"{each.mark}: told {each.kind}, but it ran"
        for each in outcomes
        if each.ran == "no" and each.mark in ran
    ]


def find_wrong_answers(outcomes: Iterable[Outcome]) -> list[str]:
    """Return requests that got the answer to another one."""
    return [
        f"{each.mark}: asked for {each.key!r}, got {each.echoed_key!r}"
        for each in outcomes
        if each.ran == "yes" and each.echoed_key != each.key
    ]


def find_late_work(
    executions: Iterable[Execution], fence_prefix: str, after: Seconds
) -> list[str]:
    """Return orders that a leaving target began after a point in time."""
    return [
        f"{each.path}: began {each.started_at - after:.2f} s late"
        for each in executions
        if each.fence.startswith(fence_prefix) and each.started_at > after
    ]


def longest_unavailable_s(outcomes: Iterable[Outcome]) -> tuple[Seconds, str]:
    """Return the longest time that somebody waited for one key, and the key.

    A wait begins when a request is sent and lasts until a request for the
    same key has been answered, through all refusals in between. Refusals by an
    owner that is there and cannot vouch for a repeat do not count.
    """
    by_key: dict[str, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.kind not in _OWNER_IS_THERE:
            by_key[outcome.key].append(outcome)
    worst = (0.0, "")
    for key, found in by_key.items():
        found.sort(key=lambda each: each.sent_at)
        since: Seconds | None = None
        for outcome in found:
            since = outcome.sent_at if since is None else since
            if outcome.ran == "yes":
                worst = max(worst, (outcome.ended_at - since, key))
                since = None
    return worst
