"""Assertions for tests of programs that are built on rhubarbhall.

They check the guarantees of the router on executions that targets recorded and on
outcomes that callers recorded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rhubarbhall import audit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rhubarbhall.audit import Outcome
    from rhubarbhall.standins.target import Execution

__all__ = [
    "assert_at_most_once",
    "assert_own_answers",
    "assert_sole_owners",
    "assert_truthful_refusals",
]


def _assert_none(description: str, problems: list[str]) -> None:
    if problems:
        lines = "\n".join(problems[:20])
        raise AssertionError(f"{len(problems)} {description}:\n{lines}")


def assert_sole_owners(executions: Iterable[Execution]) -> None:
    """Assert that no slice was worked on by two runs at the same time.

    Raises
    ------
    AssertionError
        If a slice was; the message lists slices and runs.
    """
    _assert_none("slices with two owners", audit.find_double_owners(executions))


def assert_at_most_once(executions: Iterable[Execution]) -> None:
    """Assert that at most one order ran under each idempotency key."""
    _assert_none("repeated orders", audit.find_repeats(executions))


def assert_truthful_refusals(
    executions: Iterable[Execution], outcomes: Iterable[Outcome]
) -> None:
    """Assert that no request ran that was refused as not run."""
    _assert_none("false refusals", audit.find_false_refusals(executions, outcomes))


def assert_own_answers(outcomes: Iterable[Outcome]) -> None:
    """Assert that every answer is for the key that its request named."""
    _assert_none("wrong answers", audit.find_wrong_answers(outcomes))
