"""Client of the platform's log service, over HTTP with JSON."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import msgspec

from rhubarbhall.core import events
from rhubarbhall.core.records import Envelope, StoredRecord
from rhubarbhall.core.requests import Response
from rhubarbhall.decoding import decode

if TYPE_CHECKING:
    from rhubarbhall.adapters.client import Failed, HttpClient
    from rhubarbhall.core.events import Event
    from rhubarbhall.types import Address, Offset, Seconds

#: Most records requested in one read.
READ_LIMIT = 500
#: Time within which the log or a peer has to answer a read.
READ_TIMEOUT_S = 1.0
#: Time within which the log has to answer an append.
APPEND_TIMEOUT_S = 2.0
APPEND_PATH = "/append"
RECORDS_PATH = "/records"
_JSON_HEADERS = (("Content-Type", "application/json"),)


class RecordsPage(msgspec.Struct, frozen=True):
    """Answer to a read, of the log itself or of a peer that relays its records.

    Parameters
    ----------
    first : int
        Offset of the oldest record that is kept.
    end : int
        Offset after the newest record; in the log, that of the next append.
    records : tuple of StoredRecord
        Records from the requested offset on.
    contact_age_s : float
        Time since the answering peer's last contact with the log, in seconds; 0 for
        the log itself.
    """

    first: int
    end: int
    records: tuple[StoredRecord, ...]
    contact_age_s: float = 0.0


class AppendReply(msgspec.Struct, frozen=True):
    """Answer to an append: the offset of the new record."""

    offset: int


_PAGE_DECODER = msgspec.json.Decoder(RecordsPage)
_APPEND_DECODER = msgspec.json.Decoder(AppendReply)


class LogPort(Protocol):
    """Reads the log and appends to it; every call ends with one event to `on_event`."""

    def read(self, offset: Offset, on_event: Callable[[Event], None]) -> None:
        """Read records from `offset` on."""

    def append(self, envelope: Envelope, on_event: Callable[[Event], None]) -> None:
        """Append one envelope."""


def page_to_event(
    outcome: Response | Failed, offset: Offset, sent_at: Seconds, from_log: bool
) -> Event:
    """Return the event for the core that the outcome of a read stands for.

    Parameters
    ----------
    outcome : Response or Failed
        How the call ended.
    offset : int
        Requested offset.
    sent_at : float
        When the read was sent, on the monotonic clock, in seconds.
    from_log : bool
        Whether the read was sent to the log itself, and not to a peer.
    """
    if not isinstance(outcome, Response) or outcome.status != 200:
        return events.ReadFailed(from_log)
    try:
        page = decode(_PAGE_DECODER, outcome.body)
    except msgspec.MsgspecError:
        return events.ReadFailed(from_log)
    next_offset = max(offset, page.first) + len(page.records)
    if page.records:
        next_offset = page.records[-1].offset + 1
    return events.RecordsRead(
        sent_at=sent_at,
        first_offset=page.first,
        records=page.records,
        reached_end=next_offset >= page.end,
        contact_age_s=page.contact_age_s,
        from_log=from_log,
    )


class HttpLog:
    """The log service behind an HTTP address.

    Parameters
    ----------
    client : HttpClient
        Connections to the service.
    address : str
        Address of the service.
    """

    def __init__(self, client: HttpClient, address: Address) -> None:
        self._client = client
        self._address = address

    def read(self, offset: Offset, on_event: Callable[[Event], None]) -> None:
        """Read records from `offset` on."""
        sent_at = time.monotonic()
        self._client.fetch(
            self._address,
            "GET",
            f"{RECORDS_PATH}?from={offset}&limit={READ_LIMIT}",
            (),
            b"",
            READ_TIMEOUT_S,
            lambda outcome: on_event(page_to_event(outcome, offset, sent_at, True)),
        )

    def append(self, envelope: Envelope, on_event: Callable[[Event], None]) -> None:
        """Append one envelope."""
        sent_at = time.monotonic()

        def on_done(outcome: Response | Failed) -> None:
            on_event(_append_event(outcome, envelope, sent_at))

        self._client.fetch(
            self._address,
            "POST",
            APPEND_PATH,
            _JSON_HEADERS,
            msgspec.json.encode(envelope),
            APPEND_TIMEOUT_S,
            on_done,
        )


def _append_event(
    outcome: Response | Failed, envelope: Envelope, sent_at: Seconds
) -> Event:
    if isinstance(outcome, Response) and outcome.status == 200:
        try:
            reply = decode(_APPEND_DECODER, outcome.body)
            return events.AppendAnswered(envelope.id, sent_at, reply.offset)
        except msgspec.MsgspecError:
            pass
    return events.AppendFailed(envelope.id)
