"""Type aliases that the whole package uses."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeAlias

#: Id of one run of a daemon; a daemon that is restarted gets another one.
MemberId: TypeAlias = str
#: Position of a record in the platform's log.
Offset: TypeAlias = int
#: Counts the owners of a slice: each new owner gets a higher epoch.
Epoch: TypeAlias = int
#: Number of times that the platform's store was restored from an older copy.
StoreEpoch: TypeAlias = int
#: Number of a slice within its service.
SliceIndex: TypeAlias = int
ServiceName: TypeAlias = str
RecordId: TypeAlias = str
RequestId: TypeAlias = int
#: Digest that equal requests of callers have in common.
Fingerprint: TypeAlias = bytes
#: Address as ``"IP:port"``.
Address: TypeAlias = str
Labels: TypeAlias = Mapping[str, str]
#: A point in time on a monotonic clock, or a duration, in seconds.
Seconds: TypeAlias = float
