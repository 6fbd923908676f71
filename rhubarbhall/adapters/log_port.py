"""The platform's log service, met over HTTP with JSON."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import msgspec

from rhubarbhall.core import events
from rhubarbhall.core.records import Envelope, StoredRecord
from rhubarbhall.core.requests import Response

if TYPE_CHECKING:
    from rhubarbhall.adapters.client import Failed, HttpClient
    from rhubarbhall.core.events import Event
    from rhubarbhall.types import Address, Offset, Seconds

#: Records asked for in one read.
READ_LIMIT = 500
READ_TIMEOUT_S = 1.0
APPEND_TIMEOUT_S = 2.0
APPEND_PATH = "/append"
RECORDS_PATH = "/records"
_JSON_HEADERS = (("Content-Type", "application/json"),)


class RecordsPage(msgspec.Struct, frozen=True):
    """Answer to a read.

    Parameters
    ----------
    first : int
        Oldest record kept.
    end : int
        Offset that the next append will get.
    records : tuple of StoredRecord
        Records from the offset asked for.
    contact_age_s : float
        Age of the answering peer's last contact with the log; 0 for the log.
    """

    first: int
    end: int
    records: tuple[StoredRecord, ...]
    contact_age_s: float = 0.0


class AppendReply(msgspec.Struct, frozen=True):
    """Answer to an append."""

    offset: int


class LogPort(Protocol):
    """Reads and appends; every call answers by one event."""

    def read(self, offset: Offset, on_event: Callable[[Event], None]) -> None:
        """Read records from `offset` on."""

    def append(self, envelope: Envelope, on_event: Callable[[Event], None]) -> None:
        """Append one envelope."""


def page_to_event(
    outcome: Response | Failed, offset: Offset, sent_at: Seconds, from_log: bool
) -> Event:
    """Return the event that the answer to a read stands for."""
    if not isinstance(outcome, Response) or outcome.status != 200:
        return events.ReadFailed(from_log)
    try:
        page = msgspec.json.decode(outcome.body, type=RecordsPage)
    except msgspec.MsgspecError:
        return events.ReadFailed(from_log)
    after = max(offset, page.first) + len(page.records)
    if page.records:
        after = page.records[-1].offset + 1
    return events.RecordsRead(
        sent_at=sent_at,
        first_offset=page.first,
        records=page.records,
        reached_end=after >= page.end,
        contact_age_s=page.contact_age_s,
        from_log=from_log,
    )


class HttpLog:
    """The log service behind an HTTP address.

    Parameters
    ----------
    client : HttpClient
        Sends the calls.
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
            reply = msgspec.json.decode(outcome.body, type=AppendReply)
            return events.AppendAnswered(envelope.id, sent_at, reply.offset)
        except msgspec.MsgspecError:
            pass
    return events.AppendFailed(envelope.id)
