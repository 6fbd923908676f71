"""Datagrams between daemons; small, frequent and safe to lose."""

from __future__ import annotations

from typing import Union

import msgspec


class Heartbeat(msgspec.Struct, frozen=True, tag=1, array_like=True):
    """A member asks a witness to renew its lease.

    Parameters
    ----------
    sent_at : float
        Time on the sender's monotonic clock, in seconds; echoed by the answer.
    witness : str
        Run that the heartbeat is meant for.
    load_percent : int
        Load of the sender's target, as its gate sees it.
    """

    sent_at: float
    witness: str
    load_percent: int = 0


class HeartbeatAnswer(msgspec.Struct, frozen=True, tag=2, array_like=True):
    """A witness renews, or says that it does not.

    Parameters
    ----------
    sent_at : float
        Copied from the heartbeat.
    member : str
        Run that is answered.
    renewed : bool
        Whether the lease was renewed.
    next_offset : int
        How far the witness has read the log.
    load_percent : int
        Load of the witness's target, as its gate sees it.
    """

    sent_at: float
    member: str
    renewed: bool
    next_offset: int
    load_percent: int = 0


class Suspicion(msgspec.Struct, frozen=True, tag=3, array_like=True):
    """A witness tells a collector that a member has been silent too long."""

    member: str
    witness_version: int


class PromiseRequest(msgspec.Struct, frozen=True, tag=4, array_like=True):
    """A collector asks a witness never to renew a member under this set."""

    member: str
    witness_version: int


class Promise(msgspec.Struct, frozen=True, tag=5, array_like=True):
    """A witness binds itself never to renew a member under this witness set."""

    member: str
    witness_version: int


class LogHint(msgspec.Struct, frozen=True, tag=6, array_like=True):
    """Tells that the log holds a record which concerns the receiver."""

    offset: int


PeerMessage = Union[  # noqa: UP007  # msgspec reads a union of tagged types at run time
    Heartbeat, HeartbeatAnswer, Suspicion, PromiseRequest, Promise, LogHint
]
