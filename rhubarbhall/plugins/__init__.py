"""Balancing and queueing policies; importing this package registers them."""

from __future__ import annotations

from rhubarbhall.plugins import balancing, queueing

__all__ = ["balancing", "queueing"]
