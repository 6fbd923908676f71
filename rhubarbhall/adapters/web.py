"""Small HTTP services on ``circuits.web`` whose answers may come later."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler
from circuits.net.events import disconnect, read
from circuits.web.events import response as response_event
from circuits.web.http import HTTP

from rhubarbhall.adapters.sockets import Listener

if TYPE_CHECKING:
    import socket

    from circuits.web.wrappers import Request as WebRequest, Response as WebResponse

JSON = "application/json"


@dataclass(frozen=True, slots=True)
class WebReply:
    """A finished answer.

    Parameters
    ----------
    body : bytes
        The whole body.
    status : int
        HTTP status.
    content_type : str
        Media type of the body.
    headers : tuple of (str, str)
        Further headers.
    """

    body: bytes
    status: int = 200
    content_type: str = JSON
    headers: tuple[tuple[str, str], ...] = ()


class Exchange:
    """One request and the means to answer it once, now or later."""

    def __init__(
        self, component: WebService, request: WebRequest, response: WebResponse
    ) -> None:
        self._component = component
        self._request = request
        self._response = response
        self.method: str = request.method
        self.path: str = request.path
        self.query: str = request.qs
        self.body: bytes = request.body.read()
        self.answered = False

    def header(self, name: str) -> str | None:
        """Return a header of the request, or none."""
        return self._request.headers.get(name)

    @property
    def parameters(self) -> dict[str, str]:
        """Parameters of the query."""
        pairs = (each.partition("=") for each in self.query.split("&") if each)
        return {name: value for name, _, value in pairs}

    def reply(self, reply: WebReply) -> None:
        """Send the answer; a second one is dropped."""
        if self.answered:
            return
        self.answered = True
        self._response.status = reply.status
        self._response.headers["Content-Type"] = reply.content_type
        for name, value in reply.headers:
            self._response.headers[name] = value
        self._response.body = reply.body
        self._component.fire(response_event(self._response), self._component.channel)

    def hang_up(self) -> None:
        """Close the connection without an answer."""
        self.answered = True
        self._component.close_socket(self._request.sock)


class _Dispatch(BaseComponent):
    """Hands the requests of one channel to a function."""

    def __init__(self, channel: str, service: WebService) -> None:
        super().__init__(channel=channel)
        self._service = service

    @handler("request", priority=1)
    def _on_request(self, event, request, response) -> None:
        # The answer may come later, so the event itself answers nothing.
        event.stop()
        event.success = False
        self._service.handle(Exchange(self._service, request, response))


class _WebListener(Listener):
    """The sockets under ``circuits.web``; closed ones take no more writes."""

    def on_accepted(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Wait for the first request."""

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Hand bytes to the HTTP component."""
        self.fire(read(sock, data))

    def on_closed(self, sock: socket.socket) -> None:
        """Tell the HTTP component that a connection has ended."""
        self.fire(disconnect(sock))

    @handler("write", override=True)
    def write(self, sock: socket.socket, data: bytes) -> None:
        """Write a part of an answer."""
        self.send(sock, data)

    @handler("close", override=True)
    def close(self, sock: socket.socket | None = None) -> None:
        """Close one connection once it is written out, or everything at once."""
        if sock is not None:
            self.finish(sock)
        else:
            super().close()


class _Http(HTTP):
    """HTTP of ``circuits.web`` that passes over connections closed meanwhile."""

    @handler("read", override=True)
    def _on_read(self, sock: socket.socket, data: bytes) -> None:
        if sock.fileno() >= 0:
            super()._on_read(sock, data)


class WebService(BaseComponent):
    """An HTTP service that answers each request through an `Exchange`.

    Parameters
    ----------
    bind : (str, int)
        IP address and port.
    channel : str
        Channel of the component; one for each service in a process.
    handle : callable
        Takes each exchange.
    """

    secure = False

    def __init__(
        self,
        bind: tuple[str, int],
        channel: str,
        handle: Callable[[Exchange], None],
    ) -> None:
        super().__init__(channel=channel)
        self.handle = handle
        self._listener = _WebListener(bind, channel).register(self)
        _Http(self, channel=channel).register(self)
        _Dispatch(channel, self).register(self)

    @property
    def host(self) -> str | None:
        """IP address that the service is bound to."""
        return self._listener.host

    @property
    def port(self) -> int | None:
        """Port that the service is bound to."""
        return self._listener.port

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._listener._clients)

    def close_socket(self, sock: socket.socket) -> None:
        """Close one connection."""
        self._listener.drop(sock)

    def shut_down(self) -> None:
        """Close the port and every connection."""
        self._listener.close()
