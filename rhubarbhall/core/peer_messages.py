"""Datagrams between daemons.

They are small and frequent, and each may be lost without harm. On the wire a message is
an array that begins with the tag of its type, so the tags and the order of the fields
are fixed.
"""

from __future__ import annotations

from typing import Union

import msgspec


class Heartbeat(msgspec.Struct, frozen=True, tag=1, array_like=True):
    """Request of a member that a witness renews its lease.

    Parameters
    ----------
    sent_at : float
        Time on the sender's monotonic clock, in seconds; the answer repeats it.
    witness : str
        Member id of the run that the heartbeat is for.
    load_percent : int
        Load of the sender's target, in percent of its concurrency limit.
    """

    sent_at: float
    witness: str
    load_percent: int = 0


class HeartbeatAnswer(msgspec.Struct, frozen=True, tag=2, array_like=True):
    """Answer of a witness to a heartbeat.

    Parameters
    ----------
    sent_at : float
        Copied from the heartbeat.
    member : str
        Member id of the run that sent the heartbeat.
    renewed : bool
        Whether the witness has renewed the lease.
    next_offset : int
        Offset of the first record that the witness has not read yet.
    load_percent : int
        Load of the witness's target, in percent of its concurrency limit.
    """

    sent_at: float
    member: str
    renewed: bool
    next_offset: int
    load_percent: int = 0


class Suspicion(msgspec.Struct, frozen=True, tag=3, array_like=True):
    """Report of a witness to a collector that a member is unresponsive.

    Parameters
    ----------
    member : str
        Member id of the unresponsive run.
    witness_version : int
        Version of its witness set.
    """

    member: str
    witness_version: int


class PromiseRequest(msgspec.Struct, frozen=True, tag=4, array_like=True):
    """Request of a collector that a witness gives a `Promise`.

    Parameters
    ----------
    member : str
        Member id of the unresponsive run.
    witness_version : int
        Version of its witness set that the promise is for.
    """

    member: str
    witness_version: int


class Promise(msgspec.Struct, frozen=True, tag=5, array_like=True):
    """Promise of a witness never to renew a member's lease under a witness set.

    Parameters
    ----------
    member : str
        Member id of the unresponsive run.
    witness_version : int
        Version of its witness set that the promise is for.
    """

    member: str
    witness_version: int


class LogHint(msgspec.Struct, frozen=True, tag=6, array_like=True):
    """Hint that the log has a record that concerns the receiver.

    Parameters
    ----------
    offset : int
        Offset of the record.
    """

    offset: int


PeerMessage = Union[  # noqa: UP007  # msgspec reads a union of tagged types at run time
    Heartbeat, HeartbeatAnswer, Suspicion, PromiseRequest, Promise, LogHint
]
