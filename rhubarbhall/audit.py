"""Checks of the guarantees, from what targets ran and what callers were answered.

Each check takes executions recorded by targets, outcomes recorded by callers, or both,
and returns a line of text for each violation.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rhubarbhall.core.errors import ErrorKind

if TYPE_CHECKING:
    from rhubarbhall.standins.target import Execution
    from rhubarbhall.types import Seconds


#: Refusals by an owner that is available but does not know the outcome of a repeat.
_AVAILABLE_OWNER_KINDS = frozenset(
    {ErrorKind.OUTCOME_NOT_VOUCHED, ErrorKind.REQUEST_IN_PROGRESS}
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller learned of one request.

    Parameters
    ----------
    mark : str
        Path of the request, which no other request has.
    key : str
        Key of the request.
    sent_at, ended_at : float
        Times at which the request was sent and its answer or refusal arrived, on a
        monotonic clock, in seconds.
    status : int
        HTTP status; 0 when the connection ended without a whole answer.
    kind : str
        Error kind of a refusal; empty otherwise.
    ran : str
        Whether the request ran according to the answer: "yes", "no" or "unknown".
    echoed_key : str
        Key that the answer names as that of its request.
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
    """Find slices that two runs worked on at the same time, or out of order.

    Returns
    -------
    list of str
        A line for each execution that overlaps with one of another run on the same
        slice, and for each that has a lower epoch than an earlier one.
    """
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
    """Return a line for each idempotency key that more than one order ran under."""
    counts = Counter(
        each.idempotency_key for each in executions if each.idempotency_key
    )
    return [f"{key}: ran {count} times" for key, count in counts.items() if count > 1]


def find_false_refusals(
    executions: Iterable[Execution], outcomes: Iterable[Outcome]
) -> list[str]:
    """Return a line for each request that was refused as not run although it ran."""
    ran = {each.path for each in executions}
    return [
        f"{each.mark}: refused as not run ({each.kind}), but it ran"
        for each in outcomes
        if each.ran == "no" and each.mark in ran
    ]


def find_wrong_answers(outcomes: Iterable[Outcome]) -> list[str]:
    """Return a line for each request that got the answer for another key."""
    return [
        f"{each.mark}: requested key {each.key!r}, got answer for {each.echoed_key!r}"
        for each in outcomes
        if each.ran == "yes" and each.echoed_key != each.key
    ]


def find_late_work(
    executions: Iterable[Execution], fence_prefix: str, after: Seconds
) -> list[str]:
    """Find orders that a leaving target began too late.

    Parameters
    ----------
    executions : iterable of Execution
        Orders that targets ran.
    fence_prefix : str
        Prefix of the fences of the leaving target's runs.
    after : float
        Time after which the target must begin no order, on a monotonic clock, in
        seconds.

    Returns
    -------
    list of str
        A line for each order that began later.
    """
    return [
        f"{each.path}: began {each.started_at - after:.2f} s late"
        for each in executions
        if each.fence.startswith(fence_prefix) and each.started_at > after
    ]


def longest_unavailable_s(outcomes: Iterable[Outcome]) -> tuple[Seconds, str]:
    """Return the longest time, in seconds, that a key was unavailable, and the key.

    A key is unavailable from when a request is sent until a request for the same key
    has been answered, through all refusals in between. Refusals by an owner that is
    available but does not know the outcome of a repeat do not count.
    """
    by_key: dict[str, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.kind not in _AVAILABLE_OWNER_KINDS:
            by_key[outcome.key].append(outcome)
    longest = (0.0, "")
    for key, found in by_key.items():
        found.sort(key=lambda each: each.sent_at)
        since: Seconds | None = None
        for outcome in found:
            since = outcome.sent_at if since is None else since
            if outcome.ran == "yes":
                longest = max(longest, (outcome.ended_at - since, key))
                since = None
    return longest
