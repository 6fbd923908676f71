"""HTTP/1.1 on the wire, parsed by ``httptools``."""

from __future__ import annotations

from http import HTTPStatus

import httptools

from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.requests import Response

_REASON_BY_STATUS = {status.value: status.phrase for status in HTTPStatus}
_CONNECTION_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length"}
)


class WireError(Exception):
    """The bytes received are not what they should be.

    Parameters
    ----------
    kind : ErrorKind
        What is wrong.
    """

    def __init__(self, kind: ErrorKind) -> None:
        super().__init__(kind.value)
        self.kind = kind


class _Reader:
    """What requests and responses share."""

    def __init__(self, max_head: int, max_body: int) -> None:
        self._max_head = max_head
        self._max_body = max_body
        self._begin()

    def _begin(self) -> None:
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._head_bytes = 0
        self.in_message = False

    def on_message_begin(self) -> None:
        """Forget the message before."""
        self._begin()
        self.in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._count_head(len(name) + len(value) + 4)
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def _count_head(self, count: int) -> None:
        self._head_bytes += count
        if self._head_bytes > self._max_head:
            raise WireError(ErrorKind.HEADERS_TOO_LARGE)

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._body += data
        if len(self._body) > self._max_body:
            raise WireError(self.body_error)

    body_error = ErrorKind.BODY_TOO_LARGE

    def feed(self, data: bytes) -> None:
        """Take bytes; finished messages are handed on by callbacks.

        Raises
        ------
        WireError
            If the bytes are not valid or exceed a limit.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise WireError(ErrorKind.MALFORMED_REQUEST) from error
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, WireError):
                raise cause from None
            raise
        except httptools.HttpParserError as error:
            raise WireError(ErrorKind.MALFORMED_REQUEST) from error


class ParsedRequest:
    """A whole request as it came over a connection."""

    __slots__ = ("method", "path", "headers", "body", "keep_alive")

    def __init__(
        self,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        keep_alive: bool,
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive


class RequestReader(_Reader):
    """Parses the requests of one connection.

    Parameters
    ----------
    max_head, max_body : int
        Limits in bytes.
    """

    def __init__(self, max_head: int, max_body: int) -> None:
        super().__init__(max_head, max_body)
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self.finished: list[ParsedRequest] = []
        self.wants_continue = False

    def on_message_begin(self) -> None:
        """Forget the message before."""
        super().on_message_begin()
        self._url = b""

    def on_url(self, url: bytes) -> None:
        """Take a part of the path."""
        self._count_head(len(url))
        self._url += url

    def on_headers_complete(self) -> None:
        """Check the headers before the body comes."""
        for name, value in self._headers:
            if name.lower() == "content-length" and int(value) > self._max_body:
                raise WireError(ErrorKind.BODY_TOO_LARGE)
            if name.lower() == "expect" and value.lower() == "100-continue":
                self.wants_continue = True

    def on_message_complete(self) -> None:
        """Keep the whole message."""
        self.in_message = False
        try:
            path = self._url.decode("ascii")
        except UnicodeDecodeError:
            raise WireError(ErrorKind.MALFORMED_REQUEST) from None
        self.finished.append(
            ParsedRequest(
                self._parser.get_method().decode("ascii"),
                path,
                tuple(self._headers),
                bytes(self._body),
                self._parser.should_keep_alive(),
            )
        )


class ResponseReader(_Reader):
    """Parses the responses of one connection, one at a time.

    Parameters
    ----------
    max_head : int
        Limit of the headers in bytes.
    """

    body_error = ErrorKind.ANSWER_TOO_LARGE

    def __init__(self, max_head: int) -> None:
        super().__init__(max_head, max_body=0)
        self._parser = httptools.HttpResponseParser(self)
        self._without_body = False
        self.response: Response | None = None
        self.keep_alive = False

    def expect(self, max_body: int, without_body: bool = False) -> None:
        """Prepare for the response to the next request.

        Parameters
        ----------
        max_body : int
            Limit of the body in bytes.
        without_body : bool
            Whether the request was a HEAD, whose response has headers only.
        """
        self._max_body = max_body
        self._without_body = without_body
        self.response = None

    def on_headers_complete(self) -> None:
        """Finish a response that has no body whatever its headers say."""
        status = self._parser.get_status_code()
        if self._without_body and status != HTTPStatus.CONTINUE:
            # The parser waits for a body, so it cannot read another response.
            self._finish(status)
            self.keep_alive = False

    def on_message_complete(self) -> None:
        """Keep the whole message."""
        self.in_message = False
        status = self._parser.get_status_code()
        if status == HTTPStatus.CONTINUE or self.response is not None:
            return
        self._finish(status)
        self.keep_alive = self._parser.should_keep_alive()

    def _finish(self, status: int) -> None:
        headers = tuple(
            (name, value)
            for name, value in self._headers
            if name.lower() not in _CONNECTION_HEADERS
        )
        self.response = Response(status, headers, bytes(self._body))


def encode_request(
    method: str,
    path: str,
    host: str,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1", "replace") + body


def _has_length(response: Response, without_body: bool) -> bool:
    if response.status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
        return False
    # The length of the body that a HEAD leaves out is not known here.
    return bool(response.body) or not without_body


def encode_response(
    response: Response, keep_alive: bool, without_body: bool = False
) -> bytes:
    """Return the bytes of a response.

    Parameters
    ----------
    without_body : bool
        Whether the request was a HEAD, whose answer has headers only.
    """
    reason = _REASON_BY_STATUS.get(response.status, "")
    lines = [f"HTTP/1.1 {response.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    if _has_length(response, without_body):
        lines.append(f"Content-Length: {len(response.body)}")
    if not keep_alive:
        lines.append("Connection: close")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1", "replace")
    return head if without_body else head + response.body


class AnswerStream(_Reader):
    """Parses all responses that come over a connection, asked for or not.

    Parameters
    ----------
    max_head, max_body : int
        Limits in bytes.
    """

    body_error = ErrorKind.ANSWER_TOO_LARGE

    def __init__(self, max_head: int, max_body: int) -> None:
        super().__init__(max_head, max_body)
        self._parser = httptools.HttpResponseParser(self)
        self.finished: list[Response] = []
        self.keep_alive = True
        #: Whether a response without a length is being read; its end is that of the
        #: connection.
        self.ends_with_connection = False

    def on_headers_complete(self) -> None:
        """Note how the end of the body will be told."""
        names = {name.lower() for name, _ in self._headers}
        framed = names & {"content-length", "transfer-encoding"}
        status = self._parser.get_status_code()
        bodiless = status < HTTPStatus.OK or status in _BODILESS
        self.ends_with_connection = not framed and not bodiless

    def on_message_complete(self) -> None:
        """Keep the whole message."""
        self._take()

    def _take(self) -> None:
        if not self.in_message:
            return
        self.in_message = False
        self.ends_with_connection = False
        status = self._parser.get_status_code()
        self.keep_alive = self.keep_alive and self._parser.should_keep_alive()
        if status >= HTTPStatus.OK:
            headers = tuple(
                pair for pair in self._headers if pair[0].lower() not in _HOP_HEADERS
            )
            self.finished.append(Response(status, headers, bytes(self._body)))

    def end(self) -> None:
        """Learn that the connection was ended properly by the other side."""
        self.keep_alive = False
        if self.in_message and self.ends_with_connection:
            self._take()


_BODILESS = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
_HOP_HEADERS = _CONNECTION_HEADERS - {"keep-alive"}
