"""Client of the local target: fences, grants, orders and cancellations over HTTP.

An order is a caller's request with headers that name the run of the daemon (the fence),
the end of the grant and, for a service with keys, the slice and its epoch.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol
from urllib.parse import quote

import msgspec

from rhubarbhall.core import commands, events
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.requests import KEY_HEADER, SERVICE_HEADER, Response

if TYPE_CHECKING:
    from rhubarbhall.adapters.client import Call, Failed, HttpClient
    from rhubarbhall.core.events import Event
    from rhubarbhall.types import Address, MemberId, RequestId, Seconds

FENCE_HEADER = "Rhubarb-Fence"
GRANT_HEADER = "Rhubarb-Grant-Until"
EPOCH_HEADER = "Rhubarb-Epoch"
SLICE_HEADER = "Rhubarb-Slice"
ORDER_HEADER = "Rhubarb-Order"
ORDER_DEADLINE_HEADER = "Rhubarb-Order-Deadline"
FENCE_PATH = "/-/fence"
GRANT_PATH = "/-/grant"
CANCEL_PATH = "/-/cancel"
#: Time within which the target has to answer a fence, grant or cancel call.
CONTROL_TIMEOUT_S = 1.0
#: Time after an order's deadline at which its connection is closed.
ORDER_MARGIN_S = 1.0


class FenceCall(msgspec.Struct, frozen=True):
    """Body of a fence call: the target refuses orders under any other fence."""

    fence: str


class GrantCall(msgspec.Struct, frozen=True):
    """Body of a grant call, which extends the grant.

    Parameters
    ----------
    fence : str
        Run of the daemon that gives the grant.
    until : float
        When the grant ends, on the VM's monotonic clock, in seconds.
    """

    fence: str
    until: float


class CancelCall(msgspec.Struct, frozen=True):
    """Body of a cancel call; `order` is the value of the order's `ORDER_HEADER`."""

    order: str


class TargetPort(Protocol):
    """Sends orders and grants to one target.

    `fence` is the id of the daemon's run in all calls. A call to `fence` and each order
    end with one event to `on_event`.
    """

    def fence(self, fence: MemberId, on_event: Callable[[Event], None]) -> None:
        """Cancel running orders and refuse orders of other runs from now on."""

    def renew(self, fence: MemberId, until: Seconds) -> None:
        """Extend the grant to `until`, on the VM's monotonic clock, in seconds."""

    def send(
        self,
        fence: MemberId,
        order: commands.SendOrder,
        now: Seconds,
        on_event: Callable[[Event], None],
    ) -> None:
        """Send one order; `now` is on the monotonic clock, in seconds."""

    def cancel(
        self,
        fence: MemberId,
        request_id: RequestId,
        on_event: Callable[[Event], None],
    ) -> None:
        """Cancel an order; it still ends with its one event."""


class HttpTarget:
    """A target behind an HTTP address.

    Parameters
    ----------
    client : HttpClient
        Sends orders; its connections are limited to what the target accepts.
    control : HttpClient
        Sends fences, grants and cancellations, which must not wait behind orders.
    address : str
        Address of the target.
    """

    def __init__(
        self, client: HttpClient, control: HttpClient, address: Address
    ) -> None:
        self._client = client
        self._control = control
        self._address = address
        self._calls: dict[RequestId, Call] = {}

    def _post(
        self,
        path: str,
        message: msgspec.Struct,
        on_done: Callable[[Response | Failed], None],
    ) -> None:
        self._control.fetch(
            self._address,
            "POST",
            path,
            (("Content-Type", "application/json"),),
            msgspec.json.encode(message),
            CONTROL_TIMEOUT_S,
            on_done,
        )

    def fence(self, fence: MemberId, on_event: Callable[[Event], None]) -> None:
        """Cancel running orders and refuse orders of other runs from now on."""

        def on_done(outcome: Response | Failed) -> None:
            fenced = isinstance(outcome, Response) and outcome.status == 200
            on_event(events.TargetFenced() if fenced else events.FenceFailed())

        self._post(FENCE_PATH, FenceCall(fence), on_done)

    def renew(self, fence: MemberId, until: Seconds) -> None:
        """Extend the grant to `until`, on the VM's monotonic clock, in seconds."""
        self._post(GRANT_PATH, GrantCall(fence, until), lambda outcome: None)

    def send(
        self,
        fence: MemberId,
        order: commands.SendOrder,
        now: Seconds,
        on_event: Callable[[Event], None],
    ) -> None:
        """Send one order; `now` is on the monotonic clock, in seconds."""
        request = order.request

        def on_done(outcome: Response | Failed) -> None:
            self._calls.pop(request.id, None)
            if isinstance(outcome, Response):
                on_event(events.OrderAnswered(request.id, outcome))
            else:
                failed = events.OrderFailed(request.id, outcome.written, outcome.kind)
                on_event(failed)

        # Added before the call, which may fail and run on_done before fetch returns.
        self._calls[request.id] = None
        call = self._client.fetch(
            self._address,
            request.method,
            request.path,
            (*request.headers, *_order_headers(fence, order)),
            request.body,
            order.deadline - now + ORDER_MARGIN_S,
            on_done,
            order.max_answer,
        )
        if request.id in self._calls:
            self._calls[request.id] = call

    def cancel(
        self,
        fence: MemberId,
        request_id: RequestId,
        on_event: Callable[[Event], None],
    ) -> None:
        """Cancel an order; it still ends with its one event.

        An order that was not sent yet fails at once. The target answers any other on
        the connection of the order, not on that of the cancel call.
        """
        call = self._calls.get(request_id)
        if call is None:
            return
        if not call.written:
            # The order still waits for a connection, so the target never receives it.
            self._client.cancel(call)
            del self._calls[request_id]
            kind = ErrorKind.TARGET_UNREACHABLE
            on_event(events.OrderFailed(request_id, False, kind))
        else:
            message = CancelCall(f"{fence}/{request_id}")
            self._post(CANCEL_PATH, message, lambda outcome: None)


def _order_headers(
    fence: MemberId, order: commands.SendOrder
) -> tuple[tuple[str, str], ...]:
    request = order.request
    headers = [
        (FENCE_HEADER, fence),
        (GRANT_HEADER, f"{order.grant_until:.6f}"),
        (ORDER_HEADER, f"{fence}/{request.id}"),
        (ORDER_DEADLINE_HEADER, f"{order.deadline:.6f}"),
        (SERVICE_HEADER, request.service.name),
    ]
    if request.service.keyed:
        headers.append((KEY_HEADER, quote(request.key, safe="")))
    if request.slice is not None:
        headers += [
            (SLICE_HEADER, str(request.slice)),
            (EPOCH_HEADER, str(order.epoch)),
        ]
    return tuple(headers)
