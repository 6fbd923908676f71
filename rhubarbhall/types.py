"""Aliases shared by the whole package."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeAlias

#: One run of a daemon; a restarted daemon has another.
MemberId: TypeAlias = str
#: Position of a record in the platform's log.
Offset: TypeAlias = int
#: Counts the owners that a slice has had.
Epoch: TypeAlias = int
#: Number of a slice within its service.
SliceIndex: TypeAlias = int
ServiceName: TypeAlias = str
RecordId: TypeAlias = str
RequestId: TypeAlias = int
#: ``"IP:port"``.
Address: TypeAlias = str
Labels: TypeAlias = Mapping[str, str]
#: A point on a monotonic clock, or a span, in seconds.
Seconds: TypeAlias = float
