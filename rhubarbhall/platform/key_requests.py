"""Grants and releases of keys that are requested from the local target.

Encodes the requests of the core as calls of the platform, and their answers as results.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from rhubarbhall.adapters.client import Failed, HttpClient
from rhubarbhall.core.ownership.requested_holdings import (
    GrantRequest,
    KeyRequest,
    RequestResult,
)
from rhubarbhall.platform import names

if TYPE_CHECKING:
    import socket

    from rhubarbhall.core.requests import Response
    from rhubarbhall.types import Address, Seconds

#: Maximum number of connections to the target for grants and releases.
MAX_CONNECTIONS = 4
#: Timeout of a grant, in seconds; it is sent again afterwards.
GRANT_TIMEOUT_S = 0.4
#: Timeout of a release, in seconds. The target answers when its work on the keys has
#: ended, at the latest when the grant of the keys has.
RELEASE_TIMEOUT_S = 4.0
#: Limit on the body of an answer, in bytes; nothing in it is used.
MAX_ANSWER_BYTES = 4096
_JSON = ("Content-Type", "application/json")

OnResult = Callable[[KeyRequest, RequestResult, str], None]


def encode_grant_request(request: GrantRequest) -> bytes:
    """Return the body of a call that grants a range."""
    span = request.span
    body = {
        "from": span.first,
        "target_version": span.last,
        "fence": span.fence,
        "hold_time": names.format_time(request.hold_s),
    }
    if span.token:
        body["handover"] = span.token
    return msgspec.json.encode(body)


def encode_release_request(request: KeyRequest) -> bytes:
    """Return the body of a call that releases a range."""
    first, last = request.range
    body = {"from": first, "target_version": last, "fence": request.fence}
    return msgspec.json.encode(body)


def _result_of(outcome: Response | Failed) -> RequestResult:
    if isinstance(outcome, Failed):
        return RequestResult.UNKNOWN if outcome.written else RequestResult.NOT_SENT
    if outcome.status == HTTPStatus.OK:
        return RequestResult.DONE
    if outcome.status == HTTPStatus.CONFLICT:
        return RequestResult.FENCED
    return RequestResult.REFUSED


def _token_of(outcome: Response | Failed) -> str:
    """Return the handover token in an answer; empty if there is none."""
    if isinstance(outcome, Failed):
        return ""
    for name, value in outcome.headers:
        if name.lower() == names.HANDOVER.lower():
            return value
    return ""


class KeyRequestClient(HttpClient):
    """Requests grants and releases of keys from the local target.

    Parameters
    ----------
    channel : str
        Channel of the component.
    address : str
        Address of the target.
    on_result : callable
        Called with a request, its result and the handover token of a release.
    on_connection_lost : callable
        Called when a connection has ended, for whatever reason. The next one may lead
        to another run of the target.
    """

    def __init__(
        self,
        channel: str,
        address: Address,
        on_result: OnResult,
        on_connection_lost: Callable[[], None],
    ) -> None:
        super().__init__(channel, MAX_CONNECTIONS)
        self.address = address
        #: Name of the target instance that requests are meant for.
        self.instance = ""
        self._on_result = on_result
        self._on_connection_lost = on_connection_lost

    def request(self, request: KeyRequest) -> None:
        """Send a request; `on_result` is called later, or at once if that fails."""
        if isinstance(request, GrantRequest):
            path, body = names.GRANT_PATH, encode_grant_request(request)
            timeout_s: Seconds = GRANT_TIMEOUT_S
        else:
            path, body = names.RELEASE_PATH, encode_release_request(request)
            timeout_s = RELEASE_TIMEOUT_S

        def on_done(outcome: Response | Failed) -> None:
            self._on_result(request, _result_of(outcome), _token_of(outcome))

        headers = (_JSON, (names.EXPECTED_INSTANCE, self.instance))
        address, limit = self.address, MAX_ANSWER_BYTES
        self.fetch(address, "POST", path, headers, body, timeout_s, on_done, limit)

    def on_closed(self, sock: socket.socket) -> None:
        """Report the end of a connection."""
        super().on_closed(sock)
        self._on_connection_lost()
