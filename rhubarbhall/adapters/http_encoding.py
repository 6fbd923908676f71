"""Encoding of HTTP/1.1 messages."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rhubarbhall.core.requests import Response

_REASON_BY_STATUS = {status.value: status.phrase for status in HTTPStatus}


def encode_request(
    method: str,
    path: str,
    host: str,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
) -> bytes:
    """Return the bytes of a request; see `encode_request_head`."""
    return encode_request_head(method, path, host, headers, body) + body


def encode_request_head(
    method: str,
    path: str,
    host: str,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
) -> bytes:
    """Return the bytes of a request before its body.

    Parameters
    ----------
    method, path : str
        Method and path.
    host : str
        Value of the ``Host`` header.
    headers : tuple of (str, str)
        Headers besides ``Host`` and ``Content-Length``.
    body : bytes
        The whole body.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1", "replace")


def _has_length(response: Response, without_body: bool) -> bool:
    if response.status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
        return False
    # The length of the body that a response to HEAD omits is not known here.
    return bool(response.body) or not without_body


def encode_response(
    response: Response, keep_alive: bool, without_body: bool = False
) -> bytes:
    """Return the bytes of a response; see `encode_response_head`."""
    head = encode_response_head(response, keep_alive, without_body)
    return head if without_body else head + response.body


def encode_response_head(
    response: Response, keep_alive: bool, without_body: bool = False
) -> bytes:
    """Return the bytes of a response before its body.

    Parameters
    ----------
    response : Response
        The response; its headers without those of the connection.
    keep_alive : bool
        Whether the connection stays open after this response.
    without_body : bool
        Whether the request was a HEAD, whose response has headers only.
    """
    reason = _REASON_BY_STATUS.get(response.status, "")
    lines = [f"HTTP/1.1 {response.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    if _has_length(response, without_body):
        lines.append(f"Content-Length: {len(response.body)}")
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1", "replace")
