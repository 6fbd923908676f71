"""Limits on what callers may send and how long they may take."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the connections and requests of callers.

    Parameters
    ----------
    connections : int
        Maximum number of open connections.
    max_head, max_body : int
        Maximum size of the headers and of the body of a request, in bytes.
    idle_s : float
        Maximum time without data within a request, in seconds.
    keep_s : float
        Time after which an unused connection is closed, and one that accepts nothing of
        its answers, in seconds.
    head_s : float
        Maximum time from the first byte of a head to its end, in seconds.
    """

    connections: int = 2_000
    max_head: int = 16 * 1024
    max_body: int = 1 << 20
    idle_s: float = 10.0
    keep_s: float = 60.0
    head_s: float = 30.0
