"""Ports of the admission queue: the local target and the ownership of its keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rhubarbhall.core.traffic.requests import RoutedRequest
    from rhubarbhall.types import Seconds


class TargetClient(Protocol):
    """Port for sending requests to the local target."""

    def send(self, ticket: int, request: RoutedRequest, now: Seconds) -> None:
        """Send a request; its outcome is reported to `AdmissionQueue.finish`."""

    def cancel(self, ticket: int) -> None:
        """Abort a request that was sent; no outcome is reported for it."""


class KeyOwnership(Protocol):
    """Port for the ownership of keys; also receives load samples by key."""

    def record_request(self, now: Seconds, key: int) -> None:
        """Record a request for a key, whatever its outcome."""

    def record_duration(self, took_s: Seconds) -> None:
        """Record how long the target worked on a request for a key."""

    def record_refusal(self) -> None:
        """Record that the target refused a request for a key."""

    def record_rejection(self, now: Seconds, key: int) -> None:
        """Record that the target has answered that it does not hold a key."""

    def may_work_on(self, now: Seconds, key: int) -> bool:
        """Return whether the target may work on requests for a key now."""

    def is_assigned(self, key: int) -> bool:
        """Return whether the key table assigns a key to the target.

        The target may still have to be granted the key.
        """
