"""What operators' commands need of the log and of the daemons."""

from __future__ import annotations

import http.client
import secrets
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from rhubarbhall.adapters.log_port import (
    APPEND_PATH,
    READ_LIMIT,
    RECORDS_PATH,
    RecordsPage,
)
from rhubarbhall.adapters.operations import VERSION_PATH, VersionReply
from rhubarbhall.core.directory import Applied, Directory
from rhubarbhall.core.dump import NodeDump
from rhubarbhall.core.errors import RhubarbhallError
from rhubarbhall.core.records import IntentRecord, Record, seal
from rhubarbhall.core.snapshots import SnapshotScan, restore_directory
from rhubarbhall.settings import split_address

if TYPE_CHECKING:
    from rhubarbhall.types import Address, RecordId, Seconds

CALL_TIMEOUT_S = 3.0
#: Time between two tries of one call.
RETRY_PAUSE_S = 0.3
#: Time between looks at the daemons while an intent spreads.
POLL_S = 0.1
#: Daemons asked at a time.
ASKERS = 32


class MeshError(RhubarbhallError):
    """The log or a daemon gave no usable answer."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """What became of an own record.

    Parameters
    ----------
    applied : Applied
        The fold's word on it.
    winner : str, optional
        Record that took the version first, when the own one is void.
    """

    applied: Applied
    winner: RecordId | None = None


def fetch(
    address: Address, method: str, path: str, body: bytes = b"", **headers: str
) -> bytes:
    """Call an HTTP address and return the body of a successful answer.

    Raises
    ------
    MeshError
        If there is no answer or it is an error.
    """
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    try:
        connection.request(method, path, body or None, named)
        response = connection.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise MeshError(f"{address}{path}: no answer ({error})") from error
    finally:
        connection.close()
    if response.status >= http.HTTPStatus.BAD_REQUEST:
        text = data.decode(errors="replace")[:200]
        raise MeshError(f"{address}{path}: status {response.status}: {text}")
    return data


class LogReader:
    """Folds the log from outside the mesh.

    Parameters
    ----------
    address : str
        Address of the log service.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self.directory = Directory()
        self.applied_by_id: dict[RecordId, Applied] = {}
        self._intent_ids: dict[int, RecordId] = {}

    def _page(self, offset: int) -> RecordsPage:
        path = f"{RECORDS_PATH}?from={offset}&limit={READ_LIMIT}"
        try:
            data = fetch(self._address, "GET", path)
            return msgspec.json.decode(data, type=RecordsPage)
        except msgspec.MsgspecError as error:
            raise MeshError(f"{self._address}: not a log: {error}") from error

    def read_to_end(self) -> Directory:
        """Apply all records up to the present end and return the directory."""
        while True:
            page = self._page(self.directory.next_offset)
            if page.first > self.directory.next_offset:
                self._load_snapshot(page.first)
                continue
            for stored in page.records:
                applied = self.directory.apply(stored)
                self.applied_by_id.setdefault(applied.record_id, applied)
                if isinstance(applied.record, IntentRecord) and applied.void is None:
                    self._intent_ids[applied.record.replaces] = applied.record_id
            if self.directory.next_offset >= page.end:
                return self.directory

    def _load_snapshot(self, first_offset: int) -> None:
        scan = SnapshotScan(first_offset)
        while True:
            page = self._page(scan.cursor)
            snapshot = scan.take(page.records)
            if snapshot is not None and restore_directory(self.directory, snapshot):
                return
            if scan.cursor >= page.end or not page.records:
                raise MeshError(
                    f"{self._address}: the log starts at {first_offset} and holds no "
                    "whole snapshot"
                )

    def winner_of(self, version: int) -> RecordId | None:
        """Return the record that replaced the intent `version`, if it was read."""
        return self._intent_ids.get(version)


def publish(address: Address, record: Record, limit_s: Seconds) -> Verdict:
    """Append a record and read its verdict back.

    An append without an answer is repeated under the same id, so that it
    takes effect once at the most.

    Raises
    ------
    MeshError
        If the record was not read back in time; it may still take effect.
    """
    record_id = f"ctl/{secrets.token_hex(8)}"
    body = msgspec.json.encode(seal(record_id, record))
    reader = LogReader(address)
    until = time.monotonic() + limit_s
    while True:
        try:
            fetch(address, "POST", APPEND_PATH, body, Content_Type="application/json")
        except MeshError as error:
            problem = error
        try:
            reader.read_to_end()
        except MeshError as error:
            problem = error
        applied = reader.applied_by_id.get(record_id)
        if applied is not None:
            return Verdict(applied, _winner(reader, applied))
        if time.monotonic() >= until:
            raise MeshError(
                f"the record {record_id} was not read back within {limit_s:g} s and "
                f"may still take effect: {problem}"
            )
        time.sleep(RETRY_PAUSE_S)


def _winner(reader: LogReader, applied: Applied) -> RecordId | None:
    if applied.void is None or not isinstance(applied.record, IntentRecord):
        return None
    return reader.winner_of(applied.record.replaces)


def dump_of(peers: Address) -> NodeDump:
    """Return the state of the daemon at `peers`."""
    try:
        return msgspec.json.decode(fetch(peers, "GET", "/dump"), type=NodeDump)
    except msgspec.MsgspecError as error:
        raise MeshError(f"{peers}: not a daemon: {error}") from error


def lagging(directory: Directory, version: int) -> dict[Address, str]:
    """Return the daemons in which an intent is not in force, with what they say."""
    addresses = [each.join.peers for each in directory.member_by_id.values()]
    with ThreadPoolExecutor(ASKERS) as pool:
        lags = pool.map(lambda peers: _lag_of(peers, version), addresses)
        return {
            peers: lag
            for peers, lag in zip(addresses, lags, strict=True)
            if lag is not None
        }


def _lag_of(peers: Address, version: int) -> str | None:
    """Return what a daemon lacks, or none when it has the intent in force."""
    try:
        data = fetch(peers, "GET", VERSION_PATH)
        known = msgspec.json.decode(data, type=VersionReply).intent_version
    except (MeshError, msgspec.MsgspecError) as error:
        return str(error)
    return f"has version {known}" if known < version else None


def wait_in_force(
    address: Address, version: int, limit_s: Seconds
) -> dict[Address, str]:
    """Wait until an intent is in force everywhere; return those that lag."""
    reader = LogReader(address)
    until = time.monotonic() + limit_s
    while True:
        behind = lagging(reader.read_to_end(), version)
        if not behind or time.monotonic() >= until:
            return behind
        time.sleep(POLL_S)
