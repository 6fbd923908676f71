"""Calls of the operators' commands to the platform's log and to the daemons of a mesh.

It reads the log from outside the mesh, appends records to it, and requests the state of
daemons over HTTP.
"""

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
from rhubarbhall.core.records import IntentRecord, Record, make_envelope
from rhubarbhall.core.snapshots import SnapshotScan, restore_directory
from rhubarbhall.settings import split_address

if TYPE_CHECKING:
    from rhubarbhall.types import Address, RecordId, Seconds

#: Limit on the time that each socket operation of a call may wait, in seconds.
CALL_TIMEOUT_S = 3.0
#: Time between two attempts to append a record and read it back, in seconds.
RETRY_INTERVAL_S = 0.3
#: Time between two checks whether an intent has reached all daemons, in seconds.
POLL_INTERVAL_S = 0.1
#: Limit of the daemons that are called at the same time.
MAX_CONCURRENT_CALLS = 32


class MeshError(RhubarbhallError):
    """The log, the store or a daemon gave no usable answer."""


@dataclass(frozen=True, slots=True)
class PublishResult:
    """The effect of a record that this program has published.

    Parameters
    ----------
    applied : Applied
        Outcome of the record when the log is folded up to it.
    winner : str, optional
        Id of the record that replaced the same version of the intent first; set only if
        the published record is a void intent and that record was read.
    """

    applied: Applied
    winner: RecordId | None = None


def fetch(
    address: Address, method: str, path: str, body: bytes = b"", **headers: str
) -> bytes:
    """Make an HTTP call and return the body of a successful answer.

    Parameters
    ----------
    address : str
        Address to call.
    method, path : str
        Method and path of the call.
    body : bytes
        Body of the call; none is sent if it is empty.
    **headers : str
        Headers of the call, with ``_`` in place of ``-`` in their names.

    Returns
    -------
    bytes
        The body of the answer.

    Raises
    ------
    MeshError
        If there is no answer, or its status is 400 or higher.
    """
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    header_by_name = {name.replace("_", "-"): value for name, value in headers.items()}
    try:
        connection.request(method, path, body or None, header_by_name)
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
    """Reads the log service and folds its records into a directory.

    Parameters
    ----------
    address : str
        Address of the log service.

    Attributes
    ----------
    directory : Directory
        The directory at the last record read.
    applied_by_id : dict of str to Applied
        Outcome of each record read, by its id.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self.directory = Directory()
        self.applied_by_id: dict[RecordId, Applied] = {}
        self._intent_ids: dict[int, RecordId] = {}

    def _fetch_page(self, offset: int) -> RecordsPage:
        path = f"{RECORDS_PATH}?from={offset}&limit={READ_LIMIT}"
        try:
            data = fetch(self._address, "GET", path)
            return msgspec.json.decode(data, type=RecordsPage)
        except msgspec.MsgspecError as error:
            raise MeshError(
                f"{self._address}: the answer is not a page of records: {error}"
            ) from error

    def read_to_end(self) -> Directory:
        """Apply all records up to the present end and return the directory.

        If the log no longer has the next record, the directory is restored from a
        snapshot in the log.

        Raises
        ------
        MeshError
            If the log gives no usable answer, or it has been trimmed and holds no
            complete snapshot.
        """
        while True:
            page = self._fetch_page(self.directory.next_offset)
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
            page = self._fetch_page(scan.cursor)
            snapshot = scan.take(page.records)
            if snapshot is not None and restore_directory(self.directory, snapshot):
                return
            if scan.cursor >= page.end or not page.records:
                raise MeshError(
                    f"{self._address}: the log starts at offset {first_offset} and "
                    "holds no complete snapshot"
                )

    def winner_of(self, version: int) -> RecordId | None:
        """Return the id of the record that replaced a version, if it was read."""
        return self._intent_ids.get(version)


def publish(address: Address, record: Record, limit_s: Seconds) -> PublishResult:
    """Append a record to the log and read back its effect.

    The append is repeated under the same id until the record is read back, as an answer
    may be lost after the append has been carried out. Readers ignore repeated ids, so
    the record takes effect at most once.

    Parameters
    ----------
    address : str
        Address of the log service.
    record : Record
        The record to append.
    limit_s : float
        Time after which no further attempt is made, in seconds.

    Returns
    -------
    PublishResult
        Whether the record took effect.

    Raises
    ------
    MeshError
        If the record was not read back in time; it may still take effect.
    """
    record_id = f"ctl/{secrets.token_hex(8)}"
    body = msgspec.json.encode(make_envelope(record_id, record))
    reader = LogReader(address)
    deadline = time.monotonic() + limit_s
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
            return PublishResult(applied, _winner(reader, applied))
        if time.monotonic() >= deadline:
            raise MeshError(
                f"the record {record_id} was not read back within {limit_s:g} s and "
                f"may still take effect: {problem}"
            )
        time.sleep(RETRY_INTERVAL_S)


def _winner(reader: LogReader, applied: Applied) -> RecordId | None:
    if applied.void is None or not isinstance(applied.record, IntentRecord):
        return None
    return reader.winner_of(applied.record.replaces)


def fetch_dump(peers: Address) -> NodeDump:
    """Return the state of the daemon whose port for peers is at `peers`.

    Raises
    ------
    MeshError
        If the daemon gives no usable answer.
    """
    try:
        return msgspec.json.decode(fetch(peers, "GET", "/dump"), type=NodeDump)
    except msgspec.MsgspecError as error:
        raise MeshError(
            f"{peers}: the answer is not a daemon's dump: {error}"
        ) from error


def lagging_daemons(directory: Directory, version: int) -> dict[Address, str]:
    """Return the daemons in which an intent is not in force, with their reasons."""
    addresses = [each.join.peers for each in directory.member_by_id.values()]
    with ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
        reasons = pool.map(lambda peers: _reason_of_lag(peers, version), addresses)
        return {
            peers: reason
            for peers, reason in zip(addresses, reasons, strict=True)
            if reason is not None
        }


def _reason_of_lag(peers: Address, version: int) -> str | None:
    """Return why the intent is not in force in a daemon; none if it is."""
    try:
        data = fetch(peers, "GET", VERSION_PATH)
        version_in_force = msgspec.json.decode(data, type=VersionReply).intent_version
    except (MeshError, msgspec.MsgspecError) as error:
        return str(error)
    return f"has version {version_in_force}" if version_in_force < version else None


def wait_in_force(
    address: Address, version: int, limit_s: Seconds
) -> dict[Address, str]:
    """Wait until an intent is in force in all daemons, or until `limit_s` has passed.

    Returns
    -------
    dict of str to str
        The daemons in which it is not in force, with the reason of each.

    Raises
    ------
    MeshError
        If the log gives no usable answer.
    """
    reader = LogReader(address)
    deadline = time.monotonic() + limit_s
    while True:
        lag_by_address = lagging_daemons(reader.read_to_end(), version)
        if not lag_by_address or time.monotonic() >= deadline:
            return lag_by_address
        time.sleep(POLL_INTERVAL_S)
