"""Requests from callers on the local VM, and the platform's readiness checks.

Decodes the platform's headers of requests, and encodes outcomes as HTTP responses.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

import msgspec

from rhubarbhall.core.errors import ANSWER_BY_KIND
from rhubarbhall.core.ownership.key_table import KEY_COUNT
from rhubarbhall.core.requests import Response
from rhubarbhall.core.traffic.pending_requests import CallerRequest
from rhubarbhall.core.traffic.requests import Answered, NotRun, Outcome
from rhubarbhall.platform import names

if TYPE_CHECKING:
    from rhubarbhall.core.requests import RawRequest
    from rhubarbhall.types import RequestId, Seconds

#: Headers of a caller that are not forwarded, in lower case: those that concern only
#: its connection, those decoded into fields of the request, and those that the router
#: sets.
_NOT_FORWARDED = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        names.REQUEST_ID.lower(),
        names.TIMEOUT.lower(),
        names.CALLER_SERVICE.lower(),
        names.EXPECTED_INSTANCE.lower(),
        names.KEY.lower(),
    }
)
_SERVICE_UNAVAILABLE = int(HTTPStatus.SERVICE_UNAVAILABLE)
#: Time for which a rendered page is served again, in seconds. Rendering the state of a
#: large deployment takes long.
PAGE_LIFETIME_S = 0.2
#: Path of the crash suspects on the readiness port; a fingerprint follows.
SUSPECTS_PATH = "/suspects/"


#: Whole numbers of the platform's headers; longer ones are above every limit.
_NUMBER = re.compile(r"[0-9]{1,12}")


def _parse_number(text: str | None, limit: int) -> int | None:
    """Return a whole number from 0 to below a limit; none for any other text."""
    if text is None or not _NUMBER.fullmatch(text):
        return None
    number = int(text)
    return number if number < limit else None


#: Bound on the timeout that a caller may set, in milliseconds (one day); this and
#: larger values count as no timeout.
_MAX_TIMEOUT_MS = 24 * 3600 * 1000


def _connection_headers(by_name: dict[str, str]) -> set[str]:
    """Return the headers that ``Connection`` lists as for this connection only."""
    listed = by_name.get("connection", "")
    return {part.strip().lower() for part in listed.split(",")}


def parse_request(raw: RawRequest) -> CallerRequest:
    """Decode a caller's request and the platform's headers in it.

    A timeout or key that is malformed or out of range counts as missing.
    """
    by_name = {name.lower(): value for name, value in raw.headers}
    dropped = _NOT_FORWARDED | _connection_headers(by_name)
    timeout_ms = _parse_number(by_name.get(names.TIMEOUT.lower()), _MAX_TIMEOUT_MS)
    return CallerRequest(
        id=by_name.get(names.REQUEST_ID.lower(), ""),
        method=raw.method,
        path=raw.path,
        host=by_name.get("host", ""),
        headers=tuple(pair for pair in raw.headers if pair[0].lower() not in dropped),
        body=raw.body,
        timeout_s=timeout_ms / 1000 if timeout_ms else None,
        key=_parse_number(by_name.get(names.KEY.lower()), KEY_COUNT),
    )


def render_outcome(request_id: str, outcome: Outcome) -> Response:
    """Return the HTTP response for an outcome.

    Parameters
    ----------
    request_id : str
        Id that the caller gave its request; returned to it unless empty.
    outcome : Outcome
        Outcome of the request.
    """
    headers: tuple[tuple[str, str], ...] = ()
    if request_id:
        headers = ((names.REQUEST_ID, request_id),)
    if isinstance(outcome, Answered):
        return Response(outcome.status, (*outcome.headers, *headers), outcome.body)
    spec = ANSWER_BY_KIND[outcome.kind]
    status = spec.status
    if isinstance(outcome, NotRun):
        if spec.retry_after_s is not None:
            # Of the statuses that mean "not run", this is the one that callers retry.
            status = _SERVICE_UNAVAILABLE
            retry_after_s = outcome.retry_after_s or 0.05
            headers = (*headers, (names.RETRY_AFTER, f"{retry_after_s:.3f}"))
        else:
            # A retry cannot succeed, so that a person has to look at the reason.
            problem = {"kind": outcome.kind, "title": spec.title}
            headers = (*headers, ("Content-Type", "application/problem+json"))
            return Response(status, headers, msgspec.json.encode(problem))
    return Response(status, headers)


class RequestHandler(Protocol):
    """Handler for the requests of callers."""

    def submit(
        self, request: CallerRequest, reply: Callable[[Outcome], None]
    ) -> int | None:
        """Accept a request; return a ticket while its outcome is pending."""

    def caller_gone(self, ticket: int) -> None:
        """Cancel a request whose caller has closed its connection."""


class Answers(Protocol):
    """Server that writes the answers to callers."""

    def answer(self, request_id: RequestId, response: Response) -> None:
        """Write the answer to a request."""


class CallerSink:
    """Decodes requests from callers' connections and passes them on.

    Parameters
    ----------
    requests : RequestHandler
        Handler for the decoded requests.
    """

    def __init__(self, requests: RequestHandler) -> None:
        self._requests = requests
        self._ticket_by_request: dict[RequestId, int] = {}
        self.answers: Answers | None = None

    def take(self, request_id: RequestId, raw: RawRequest) -> None:
        """Decode a request and submit it."""
        request = parse_request(raw)

        def reply(outcome: Outcome) -> None:
            self._ticket_by_request.pop(request_id, None)
            self.answers.answer(request_id, render_outcome(request.id, outcome))

        ticket = self._requests.submit(request, reply)
        if ticket is not None:
            self._ticket_by_request[request_id] = ticket

    def caller_disconnected(self, request_id: RequestId) -> None:
        """Cancel the request of a caller that has closed its connection."""
        ticket = self._ticket_by_request.pop(request_id, None)
        if ticket is not None:
            self._requests.caller_gone(ticket)


class CachedPage:
    """A page that is rendered anew only after some time, however often it is requested.

    Parameters
    ----------
    render : callable
        Returns the media type and the body.
    clock : callable
        Returns the time, in seconds.
    """

    def __init__(
        self, render: Callable[[], tuple[str, bytes]], clock: Callable[[], Seconds]
    ) -> None:
        self._render = render
        self._clock = clock
        self._page = ("", b"")
        self._rendered_at = float("-inf")

    def __call__(self) -> tuple[str, bytes]:
        """Return the media type and the body."""
        now = self._clock()
        if now - self._rendered_at >= PAGE_LIFETIME_S:
            self._page, self._rendered_at = self._render(), now
        return self._page


class ReadinessSink:
    """Serves the platform's readiness checks and further pages.

    Parameters
    ----------
    is_ready : callable
        Returns whether the daemon is ready for requests.
    pages : dict of str to callable
        Further pages by path, such as metrics; each returns a media type and a body.
    clear_suspect : callable
        Takes the fingerprint of a crash suspect in hexadecimal digits, clears it on all
        daemons, and returns whether it was known.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        pages: dict[str, Callable[[], tuple[str, bytes]]],
        clear_suspect: Callable[[str], bool],
    ) -> None:
        self._is_ready = is_ready
        self._pages = pages
        self._clear_suspect = clear_suspect
        self.answers: Answers | None = None

    def take(self, request_id: RequestId, raw: RawRequest) -> None:
        """Answer a request for a page or for the readiness."""
        path = raw.path.partition("?")[0]
        if raw.method == "DELETE":
            response = self._delete(path)
        else:
            response = self._response(path)
        self.answers.answer(request_id, response)

    def caller_disconnected(self, request_id: RequestId) -> None:
        """Do nothing: every request is answered immediately, so none is pending."""

    def _delete(self, path: str) -> Response:
        is_known = path.startswith(SUSPECTS_PATH) and self._clear_suspect(
            path.removeprefix(SUSPECTS_PATH)
        )
        return Response(HTTPStatus.OK if is_known else HTTPStatus.NOT_FOUND)

    def _response(self, path: str) -> Response:
        if path in self._pages:
            content_type, body = self._pages[path]()
            return Response(HTTPStatus.OK, (("Content-Type", content_type),), body)
        if path != names.READINESS_PATH:
            return Response(HTTPStatus.NOT_FOUND)
        return Response(HTTPStatus.OK if self._is_ready() else _SERVICE_UNAVAILABLE)
