"""Policies that register themselves when this package is imported."""

from __future__ import annotations

from rhubarbhall.plugins import balancing, queueing

__all__ = ["balancing", "queueing"]
