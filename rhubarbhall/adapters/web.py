"""HTTP services on ``circuits.web`` that may answer a request later.

The port for operators and the stand-ins use it; requests of callers are served by
`callers.py`, without ``circuits.web``.
"""

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
    """A complete answer.

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
    """One request, which is answered at most once, at once or later.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path without the query.
    query : str
        Query, without the question mark.
    body : bytes
        Body of the request.
    answered : bool
        Whether an answer was sent or the connection closed without one.
    """

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
        """Return the value of a header of the request, or none."""
        return self._request.headers.get(name)

    @property
    def parameters(self) -> dict[str, str]:
        """Parameters of the query by their names; their values are not decoded."""
        pairs = (each.partition("=") for each in self.query.split("&") if each)
        return {name: value for name, _, value in pairs}

    def reply(self, reply: WebReply) -> None:
        """Send the answer; further answers are dropped."""
        if self.answered:
            return
        self.answered = True
        self._response.status = reply.status
        self._response.headers["Content-Type"] = reply.content_type
        for name, value in reply.headers:
            self._response.headers[name] = value
        self._response.body = reply.body
        self._component.fire(response_event(self._response), self._component.channel)

    def close_connection(self) -> None:
        """Close the connection without an answer."""
        self.answered = True
        self._component.close_socket(self._request.sock)


class _RequestDispatcher(BaseComponent):
    """Passes the requests of one channel to the service's `handle` function."""

    def __init__(self, channel: str, service: WebService) -> None:
        super().__init__(channel=channel)
        self._service = service

    @handler("request", priority=1)
    def _on_request(self, event, request, response) -> None:
        # Keeps circuits.web from answering as soon as the event ends, since the answer
        # may come later.
        event.stop()
        event.success = False
        self._service.handle(Exchange(self._service, request, response))


class _WebListener(Listener):
    """The sockets that ``circuits.web`` uses; writes to closed ones are dropped."""

    def on_accepted(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Do nothing until the first request arrives."""

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Pass received bytes to the HTTP component."""
        self.fire(read(sock, data))

    def on_closed(self, sock: socket.socket) -> None:
        """Report the end of a connection to the HTTP component."""
        self.fire(disconnect(sock))

    @handler("write", override=True)
    def write(self, sock: socket.socket, data: bytes) -> None:
        """Write part of an answer."""
        self.send(sock, data)

    @handler("close", override=True)
    def close(self, sock: socket.socket | None = None) -> None:
        """Close one connection once all its bytes are written.

        Without an argument all connections and the listener are closed at once.
        """
        if sock is not None:
            self.finish(sock)
        else:
            super().close()


class _Http(HTTP):
    """HTTP of ``circuits.web`` that ignores bytes of connections already closed.

    A read event may still be queued when its connection is closed.
    """

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
        Called with each exchange.
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
        _RequestDispatcher(channel, self).register(self)

    @property
    def host(self) -> str | None:
        """IP address that the service is bound to; None once it is closed."""
        return self._listener.host

    @property
    def port(self) -> int | None:
        """Port that the service is bound to; None once it is closed."""
        return self._listener.port

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._listener._clients)

    def close_socket(self, sock: socket.socket) -> None:
        """Close one connection at once."""
        self._listener.drop(sock)

    def shut_down(self) -> None:
        """Close the port and every connection."""
        self._listener.close()
