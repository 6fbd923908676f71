"""Parsing of HTTP/1.1 messages.

The readers are the callback objects of the parsers of ``httptools``.
"""

from __future__ import annotations

from http import HTTPStatus

import httptools

from rhubarbhall.adapters.body_buffer import BodyBuffer
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.requests import Response
from rhubarbhall.core.traffic.body_budget import (
    SMALL_BODY_BYTES,
    BodyBudget,
    BodyReservation,
)

#: Statuses that an answer may have.
MIN_STATUS, MAX_STATUS = 100, 599
#: Limit of the interim answers (1xx) before an answer. Servers send one or two; without
#: a limit a connection could be kept busy by them until its request's deadline.
MAX_INTERIM_ANSWERS = 16
#: Limit of the requests that one read completes; a caller whose requests are answered
#: in order has no use for more.
MAX_FINISHED = 32
#: Memory that a header takes besides its text, in bytes, and a request besides its head
#: and body.
HEADER_OVERHEAD_BYTES = 200
REQUEST_OVERHEAD_BYTES = 1024
#: Memory of a head up to which no room is taken for it, in bytes.
FREE_HEAD_BYTES = 4 * 1024
#: Headers and bytes of a head that certainly takes no more than that.
SHORT_HEAD_HEADERS = 16
SHORT_HEAD_BYTES = FREE_HEAD_BYTES - SHORT_HEAD_HEADERS * HEADER_OVERHEAD_BYTES
_CONNECTION_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length"}
)


class WireError(Exception):
    """The received bytes are not valid HTTP/1.1 or exceed a limit.

    Parameters
    ----------
    kind : ErrorKind
        What is wrong.
    """

    def __init__(self, kind: ErrorKind) -> None:
        super().__init__(kind.value)
        self.kind = kind


class _MessageReader:
    """The parts of reading that requests and responses share."""

    def __init__(self, max_head: int, max_body: int) -> None:
        self._max_head = max_head
        self._max_body = max_body
        self._body = BodyBuffer()
        #: Bytes since the parser last reported anything: it keeps a header, a chunk
        #: extension or a trailer without end to itself.
        self._unreported_bytes = 0
        #: Headers and parts of bodies so far.
        self.steps = 0
        self._reset()

    def _reset(self) -> None:
        self._unreported_bytes = 0
        self._headers: list[tuple[str, str]] = []
        if self._body.size:
            self._body = BodyBuffer()
        self._header_bytes = 0
        self.in_message = False

    def close(self) -> None:
        """Free the parser and what was received; nothing can be fed any more.

        To be called when the connection ends. The parser and its reader refer to each
        other, so they would be kept until the garbage collector looks for cycles, which
        it does after a number of objects, whatever their size.
        """
        self._parser = None
        self._reset()

    def on_message_begin(self) -> None:
        """Discard the state of the previous message."""
        self._reset()
        self.in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header."""
        self.steps += 1
        self._unreported_bytes = 0
        self._header_bytes += len(name) + len(value) + 4
        if self._header_bytes > self._max_head:
            raise WireError(ErrorKind.HEADERS_TOO_LARGE)
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        self.steps += 1
        self._unreported_bytes = 0
        self._body.append(data)
        if self._body.size > self._max_body:
            raise WireError(self.body_error)

    @property
    def body_size(self) -> int:
        """Number of received bytes of a body that is not whole yet."""
        return self._body.size

    body_error = ErrorKind.BODY_TOO_LARGE

    def feed(self, data: bytes) -> None:
        """Parse received bytes, which may end in the middle of a message.

        Bytes without end that belong to no message exceed the limit of the headers.

        Raises
        ------
        WireError
            If the bytes are not valid HTTP/1.1 or exceed a limit.
        """
        self._unreported_bytes += len(data)
        kind = self._parse(data)
        if kind is None and self._unreported_bytes > self._max_head:
            kind = ErrorKind.HEADERS_TOO_LARGE
        if kind is not None:
            raise WireError(kind)

    def _parse(self, data: bytes) -> ErrorKind | None:
        """Return what is wrong with the bytes, if anything.

        The errors of the parser end here: they and those of the callbacks refer to each
        other, and to the frames that hold the bytes.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return ErrorKind.MALFORMED_REQUEST
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, WireError):
                raise
            cause.__context__ = cause.__traceback__ = error.__context__ = None
            return cause.kind
        except httptools.HttpParserError:
            return ErrorKind.MALFORMED_REQUEST
        return None


class ParsedRequest:
    """A whole request as received.

    Parameters
    ----------
    method, path : str
        Method and path.
    headers : tuple of (str, str)
        All headers.
    body : bytes
        The whole body.
    keep_alive : bool
        Whether the connection may be used for another request.
    reservation : BodyReservation, optional
        Room that the request takes, to be released by the user; none for a short one
        without a body.
    head_bytes : int
        Memory that its head takes, in bytes.
    """

    __slots__ = (
        "method",
        "path",
        "headers",
        "body",
        "keep_alive",
        "reservation",
        "head_bytes",
    )

    def __init__(
        self,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        keep_alive: bool,
        reservation: BodyReservation | None = None,
        head_bytes: int = 0,
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive
        self.reservation = reservation
        self.head_bytes = head_bytes

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes, in bytes."""
        return self.head_bytes + len(self.body)

    def release(self) -> None:
        """Give back the room of the body, once the request is done with."""
        if self.reservation is not None:
            self.reservation.release()


class RequestReader(_MessageReader):
    """Parses the requests of one connection.

    Parameters
    ----------
    max_head : int
        Limit of the path and headers of a request, in bytes.
    max_body : int
        Limit of the body of a request, in bytes.
    budget : BodyBudget, optional
        Room for the bodies of all connections.

    Attributes
    ----------
    finished : list of ParsedRequest
        Whole requests that the user has not removed yet.
    in_message : bool
        Whether a request has been received in part.
    in_head : bool
        Whether the head of a request has been received in part.
    wants_continue : bool
        Whether a caller waits for ``100 Continue``; reset by the user.
    steps : int
        Headers and chunks that the last bytes consisted of. The processor time that the
        bytes take grows with them.
    """

    def __init__(
        self, max_head: int, max_body: int, budget: BodyBudget | None = None
    ) -> None:
        self._budget = budget or BodyBudget()
        self._reservation: BodyReservation | None = None
        super().__init__(max_head, max_body)
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self.in_head = False
        self.finished: list[ParsedRequest] = []
        self.wants_continue = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes and take room for what is held of them."""
        self.steps = 0
        super().feed(data)
        if self._body.size or not self._is_head_short:
            self._reserve()

    @property
    def _is_head_short(self) -> bool:
        """Whether the head is so short that no room has to be taken for it."""
        return (
            len(self._headers) <= SHORT_HEAD_HEADERS
            and self._header_bytes + self._unreported_bytes <= SHORT_HEAD_BYTES
        )

    def _reserve(self) -> None:
        """Take room for the bytes that are held and have none yet.

        Raises
        ------
        WireError
            If there is no room.
        """
        excess = self._head_bytes + self._unreported_bytes - FREE_HEAD_BYTES
        held = self._body.size + max(0, excess)
        reservation = self._reservation
        count = held if reservation is None else held - reservation.size
        if count <= 0:
            return
        if reservation is None:
            reservation = self._reservation = BodyReservation(self._budget)
        if not reservation.grow(count):
            raise WireError(ErrorKind.NO_ROOM_FOR_BODY)

    @property
    def _head_bytes(self) -> int:
        """Memory that the head which is being received takes, in bytes."""
        return self._header_bytes + HEADER_OVERHEAD_BYTES * len(self._headers)

    @property
    def held_bytes(self) -> int:
        """Memory that the message which is being received takes, in bytes."""
        return self._head_bytes + self._unreported_bytes + self._body.size

    def limit(self, max_head: int, max_body: int) -> None:
        """Set the limits for what is received from now on, in bytes."""
        self._max_head, self._max_body = max_head, max_body

    def on_message_begin(self) -> None:
        """Discard the state of the previous message."""
        super().on_message_begin()
        self._url = b""
        self.in_head = True

    def on_url(self, url: bytes) -> None:
        """Add a part of the path."""
        self._header_bytes += len(url)
        if self._header_bytes > self._max_head:
            raise WireError(ErrorKind.HEADERS_TOO_LARGE)
        self._url += url

    def on_headers_complete(self) -> None:
        """Check the headers before the body is received."""
        self.in_head = False
        for name, value in self._headers:
            if name.lower() == "content-length":
                self._check_length(int(value))
            if name.lower() == "expect" and value.lower() == "100-continue":
                self.wants_continue = True

    def _check_length(self, length: int) -> None:
        if length > self._max_body:
            raise WireError(ErrorKind.BODY_TOO_LARGE)
        if length > SMALL_BODY_BYTES and not self._budget.make_room(length):
            raise WireError(ErrorKind.NO_ROOM_FOR_BODY)

    def _reset(self) -> None:
        super()._reset()
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None

    def close(self) -> None:
        """Free the parser and what was received, also whole requests."""
        super().close()
        for parsed in self.finished:
            parsed.release()
        self.finished.clear()

    def on_message_complete(self) -> None:
        """Add the whole request to `finished`."""
        self.in_message = False
        if len(self.finished) >= MAX_FINISHED:
            raise WireError(ErrorKind.MALFORMED_REQUEST)
        self._unreported_bytes = 0
        if self._body.size or not self._is_head_short:
            self._reserve()
        head_bytes = self._head_bytes + REQUEST_OVERHEAD_BYTES
        try:
            path = self._url.decode("ascii")
        except UnicodeDecodeError:
            raise WireError(ErrorKind.MALFORMED_REQUEST) from None
        reservation, self._reservation = self._reservation, None
        body = self._body.take()
        if reservation is not None and body:
            reservation.settle(body)
        self.finished.append(
            ParsedRequest(
                self._parser.get_method().decode("ascii"),
                path,
                tuple(self._headers),
                body,
                self._parser.should_keep_alive(),
                reservation,
                head_bytes,
            )
        )
        self._header_bytes = 0
        self._headers = []


class _StatusReader(_MessageReader):
    """What the readers of responses share: the check of the status."""

    def __init__(self, max_head: int, max_body: int) -> None:
        super().__init__(max_head, max_body)
        self._parser = httptools.HttpResponseParser(self)
        self._interim_answers = 0

    def _check_status(self) -> int:
        """Return the status of the response whose headers are complete.

        The parser itself requires three digits.

        Raises
        ------
        WireError
            If it is out of range, or if there were too many interim answers.
        """
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise WireError(ErrorKind.MALFORMED_REQUEST)
        self._interim_answers += 1
        if status >= HTTPStatus.OK:
            self._interim_answers = 0
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            raise WireError(ErrorKind.MALFORMED_REQUEST)
        return status


class ResponseReader(_StatusReader):
    """Parses the responses of one connection, one at a time.

    Parameters
    ----------
    max_head : int
        Limit of the headers of a response, in bytes.

    Attributes
    ----------
    response : Response, optional
        The whole response to the last request, once it has been received.
    keep_alive : bool
        Whether the connection may be used for another request.
    """

    body_error = ErrorKind.ANSWER_TOO_LARGE

    def __init__(self, max_head: int) -> None:
        super().__init__(max_head, max_body=0)
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
        """Complete a response without a body, even if its headers announce one."""
        status = self._check_status()
        if self._without_body and status != HTTPStatus.CONTINUE:
            # The parser waits for a body, so it cannot parse another response.
            self._finish(status)
            self.keep_alive = False

    def on_message_complete(self) -> None:
        """Complete the response, unless it is ``100 Continue``."""
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
        self.response = Response(status, headers, self._body.take())


class ResponseStreamReader(_StatusReader):
    """Parses all responses that a connection carries, requested or not.

    Parameters
    ----------
    max_head : int
        Limit of the headers of a response, in bytes.
    max_body : int
        Limit of the body of a response, in bytes.

    Attributes
    ----------
    finished : list of Response
        Whole responses that the user has not removed yet.
    in_message : bool
        Whether a response has been received in part.
    keep_alive : bool
        Whether the connection may be used for another request.
    ends_with_connection : bool
        Whether the response being received has no length, so that it ends with the
        connection.
    """

    body_error = ErrorKind.ANSWER_TOO_LARGE

    def __init__(self, max_head: int, max_body: int) -> None:
        super().__init__(max_head, max_body)
        self.finished: list[Response] = []
        self.keep_alive = True
        self.ends_with_connection = False

    def on_headers_complete(self) -> None:
        """Determine how the end of the body will be recognized."""
        names = {name.lower() for name, _ in self._headers}
        length_headers = names & {"content-length", "transfer-encoding"}
        status = self._check_status()
        bodiless = status < HTTPStatus.OK or status in _BODILESS
        self.ends_with_connection = not length_headers and not bodiless

    def on_message_complete(self) -> None:
        """Complete the response."""
        self._finish_response()

    def _finish_response(self) -> None:
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
            self.finished.append(Response(status, headers, self._body.take()))

    def end(self) -> None:
        """Handle the regular end of the connection by the other side.

        Completes a response without a length.
        """
        self.keep_alive = False
        if self.in_message and self.ends_with_connection:
            self._finish_response()


_BODILESS = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
_HOP_HEADERS = _CONNECTION_HEADERS - {"keep-alive"}
