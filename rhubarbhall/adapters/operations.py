"""The HTTP port for operators and for other daemons, on ``circuits.web``.

Operators read metrics, the dump, the version of the intent and health. Calls of other
daemons and calls to stop need a signature under the key of the mesh.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

import msgspec

from rhubarbhall.adapters.log_port import READ_LIMIT, RecordsPage
from rhubarbhall.adapters.peers_port import (
    RECORDS_PATH,
    RELEASE_PATH,
    SNAPSHOT_PATH,
    STOP_PATH,
    ReleaseCall,
    release_call_to_event,
    release_to_wire,
)
from rhubarbhall.adapters.signing import SIGNATURE_HEADER, is_signed
from rhubarbhall.adapters.web import Exchange, WebReply, WebService
from rhubarbhall.core.dump import dump_node
from rhubarbhall.core.snapshots import encode_directory
from rhubarbhall.decoding import decode

if TYPE_CHECKING:
    from rhubarbhall.adapters.metrics import DaemonMetrics
    from rhubarbhall.adapters.tail import RecordTail
    from rhubarbhall.core.commands import ReplyRelease
    from rhubarbhall.core.events import ReleaseRequested
    from rhubarbhall.core.node import Node
    from rhubarbhall.settings import DaemonSettings
    from rhubarbhall.types import Seconds


VERSION_PATH = "/version"
_RELEASE_DECODER = msgspec.json.Decoder(ReleaseCall)


class OperatedDaemon(Protocol):
    """What operators and other daemons read from a daemon and request from it."""

    settings: DaemonSettings
    node: Node
    tail: RecordTail
    metrics: DaemonMetrics
    is_stopping: bool

    def now(self) -> Seconds:
        """Return the time on the daemon's monotonic clock, in seconds."""

    def answer_release_request(self, event: ReleaseRequested) -> ReplyRelease:
        """Return the daemon's answer to a release request of another daemon."""

    def request_stop(self) -> None:
        """Start to drain and then end."""


class ReadyReply(msgspec.Struct, frozen=True):
    """Answer to ``/readyz``: whether the daemon is ready, and if not, why."""

    ready: bool
    reason: str = ""


class VersionReply(msgspec.Struct, frozen=True):
    """Answer to ``/version``: the daemon's member id and its version of the intent."""

    member: str
    intent_version: int


class ErrorReply(msgspec.Struct, frozen=True):
    """Answer to a refused call: why it was refused."""

    error: str


def _json_reply(message: msgspec.Struct, status: int = HTTPStatus.OK) -> WebReply:
    return WebReply(msgspec.json.encode(message), int(status))


class Operations:
    """Answers the calls of operators and of other daemons.

    Parameters
    ----------
    daemon : OperatedDaemon
        The daemon that the calls are about.
    """

    def __init__(self, daemon: OperatedDaemon) -> None:
        self._daemon = daemon
        self._open_by_path: dict[str, Callable[[Exchange], WebReply]] = {
            "/metrics": self._metrics,
            "/dump": self._dump,
            VERSION_PATH: self._version,
            "/healthz": self._healthz,
            "/readyz": self._readyz,
        }
        self._signed_by_path: dict[str, Callable[[Exchange], WebReply]] = {
            RECORDS_PATH: self._records,
            SNAPSHOT_PATH: self._snapshot,
            RELEASE_PATH: self._release,
            STOP_PATH: self._stop,
        }

    def service(self, bind: tuple[str, int], channel: str) -> WebService:
        """Return the component that serves this port."""
        return WebService(bind, channel, self._handle)

    def _handle(self, exchange: Exchange) -> None:
        if exchange.path in self._open_by_path:
            exchange.reply(self._open_by_path[exchange.path](exchange))
        elif exchange.path not in self._signed_by_path:
            paths = ", ".join(sorted(self._open_by_path))
            unknown = ErrorReply(f"no {exchange.path!r} here; allowed: {paths}")
            exchange.reply(_json_reply(unknown, HTTPStatus.NOT_FOUND))
        elif self._has_valid_signature(exchange):
            exchange.reply(self._signed_by_path[exchange.path](exchange))
        else:
            wrong = ErrorReply("the signature is missing or wrong")
            exchange.reply(_json_reply(wrong, HTTPStatus.FORBIDDEN))

    def _has_valid_signature(self, exchange: Exchange) -> bool:
        signature = exchange.header(SIGNATURE_HEADER)
        target = exchange.path
        if exchange.query:
            target += f"?{exchange.query}"
        parts = (target, exchange.body) if exchange.body else (target,)
        return is_signed(self._daemon.settings.mesh_key, signature, *parts)

    def _metrics(self, exchange: Exchange) -> WebReply:
        body, content_type = self._daemon.metrics.render(self._daemon.now())
        return WebReply(body, content_type=content_type)

    def _dump(self, exchange: Exchange) -> WebReply:
        return _json_reply(dump_node(self._daemon.node, self._daemon.now()))

    def _version(self, exchange: Exchange) -> WebReply:
        context = self._daemon.node.context
        return _json_reply(
            VersionReply(context.member_id, context.directory.intent_version)
        )

    def _healthz(self, exchange: Exchange) -> WebReply:
        return WebReply(b'{"alive":true}')

    def _readyz(self, exchange: Exchange) -> WebReply:
        node = self._daemon.node
        if node.context.directory.next_offset == 0:
            reason = "the log has not been read yet"
        elif self._daemon.is_stopping:
            reason = "the daemon is leaving"
        else:
            return _json_reply(ReadyReply(True))
        return _json_reply(ReadyReply(False, reason), HTTPStatus.SERVICE_UNAVAILABLE)

    def _records(self, exchange: Exchange) -> WebReply:
        try:
            offset = int(exchange.parameters.get("from", "0"))
        except ValueError:
            return _json_reply(
                ErrorReply("'from' is no number"),
                HTTPStatus.BAD_REQUEST,
            )
        tail = self._daemon.tail
        context = self._daemon.node.context
        page = RecordsPage(
            first=tail.first_offset,
            end=tail.end,
            records=tail.read(offset, READ_LIMIT),
            contact_age_s=self._daemon.now() - context.log_contact_at,
        )
        return _json_reply(page)

    def _snapshot(self, exchange: Exchange) -> WebReply:
        data = encode_directory(self._daemon.node.context.directory)
        return WebReply(data, content_type="application/octet-stream")

    def _release(self, exchange: Exchange) -> WebReply:
        try:
            call = decode(_RELEASE_DECODER, exchange.body)
        except msgspec.MsgspecError as error:
            return _json_reply(ErrorReply(str(error)), HTTPStatus.BAD_REQUEST)
        reply = self._daemon.answer_release_request(release_call_to_event(call))
        return _json_reply(release_to_wire(reply))

    def _stop(self, exchange: Exchange) -> WebReply:
        self._daemon.request_stop()
        return WebReply(b'{"stopping":true}', int(HTTPStatus.ACCEPTED))
