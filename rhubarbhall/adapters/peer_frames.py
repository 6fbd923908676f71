"""What daemons say to each other, as messages.

How they become bytes of a connection is in `rhubarbhall.adapters.peer_stream`.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Says who has opened the connection.

    Parameters
    ----------
    address : str
        Address that the daemon listens on.
    service : str
        Service of its VM, told to targets as the caller's.
    session : int
        Chosen anew by each process; connections of one session follow each other.
    """

    address: str
    service: str
    session: int


class Resume(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Asks, on a new connection, for the outcomes of requests on the one before.

    Parameters
    ----------
    numbers : list of int
        Requests without an outcome. All others are of no more use.
    """

    numbers: list[int]


class Forward(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A request for the receiver's target.

    Parameters
    ----------
    number : int
        The sender's number for it; numbers to one receiver only grow.
    left_ms : int
        Time until its answer is of no more use.
    worth_most_ms : int
        Time until its answer is worth less; below zero if that has passed.
    came_back : bool
        Whether the caller seems to have been refused before.
    key : int
        Key of a service that is divided by key, else -1.
    headers : list of str
        Names and values in turn.
    """

    number: int
    service: str
    route: str
    key: int
    left_ms: int
    worth_most_ms: int
    came_back: bool
    idempotent: bool
    priority: int
    method: str
    path: str
    host: str
    id: str
    headers: list[str]
    body: bytes


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The target's whole answer, and how busy it is."""

    number: int
    status: int
    headers: list[str]
    body: bytes
    running: int
    waiting: int
    slots: int


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """There is no answer.

    Parameters
    ----------
    kind : str
        Error kind.
    not_run : bool
        Whether the request has not run and never will.
    """

    number: int
    kind: str
    not_run: bool
    retry_after_ms: int
    running: int
    waiting: int
    slots: int


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Nobody waits for a request any more."""

    number: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Asks for a sign of life."""

    number: int


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Answers a ping, and says what the sender knows of the store.

    Parameters
    ----------
    end : int
        Offset before which the sender knows every record of the directory.
    age_ms : int
        Time since the read that confirmed this was sent.
    configuration : int
        Offset of the operators' configuration that the sender follows; -1 without.
    utilization : int
        Slots that the requests by key of its target need, in thousandths of its slots.
    cost : int
        What one such request a second adds to it, in millionths.
    """

    number: int
    end: int
    age_ms: int
    configuration: int
    utilization: int
    cost: int


class SyncAsk(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks for records that the sender lacks.

    Parameters
    ----------
    offset : int
        First offset of the directory that is wanted.
    configuration : int
        Offset of the configuration that the sender follows; -1 without.
    """

    offset: int
    configuration: int


class SyncEntry(msgspec.Struct, frozen=True, array_like=True):
    """One record."""

    offset: int
    key: str
    value: bytes


class SyncTell(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Passes records on.

    Parameters
    ----------
    entries : list of SyncEntry
        Records of the directory.
    end, age_ms : int
        As in `Pong`.
    configuration : SyncEntry, optional
        The operators' configuration, if the sender follows a newer one.
    """

    entries: list[SyncEntry]
    end: int
    age_ms: int
    configuration: SyncEntry | None = None


class Push(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Passes a record on that has just been written.

    Parameters
    ----------
    relay : bool
        Whether the receiver passes it on within its region.
    """

    entry: SyncEntry
    relay: bool


class Renew(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Asks the guardian to renew the lease."""

    number: int


class Renewed(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Renews the lease."""

    number: int


class LapseAsk(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Asks a guardian whether an owner may be replaced.

    Parameters
    ----------
    owner : str
        The owner.
    at : int
        Offset at which the record that replaces it would stand.
    """

    owner: str
    at: int


class LapseVote(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Lets an owner be replaced by a record at an offset, as `LapseAsk` asked."""

    owner: str
    at: int


class Bye(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Says that the sender ends soon and takes no more requests."""


Frame: TypeAlias = (
    Hello
    | Resume
    | Forward
    | Reply
    | Refused
    | Cancel
    | Ping
    | Pong
    | SyncAsk
    | SyncTell
    | Push
    | Bye
    | Renew
    | Renewed
    | LapseAsk
    | LapseVote
)
