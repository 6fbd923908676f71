"""Messages between daemons over UDP.

A datagram is a digest, keyed with the key of the mesh, and the content that it covers:
the sender and one message, encoded as MessagePack.
"""

from __future__ import annotations

import hmac
import socket
from collections.abc import Callable
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec
from circuits import handler
from circuits.net.sockets import UDPServer

from rhubarbhall.core.peer_messages import PeerMessage
from rhubarbhall.decoding import decode

if TYPE_CHECKING:
    from rhubarbhall.types import Address, MemberId

DIGEST_BYTES = 16
#: Most bytes that are read of a datagram; the digest of a longer one does not match.
MAX_DATAGRAM_BYTES = 1400


class _SignedContent(msgspec.Struct, frozen=True, array_like=True):
    """The content of a datagram, encoded as an array; the digest covers its bytes."""

    sender: str
    message: PeerMessage


class DatagramCodec:
    """Encodes datagrams, and decodes them with a check of their digest.

    Parameters
    ----------
    mesh_key : bytes
        Key that all daemons of a mesh share.
    """

    def __init__(self, mesh_key: bytes) -> None:
        self._key = mesh_key
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_SignedContent)

    def _digest(self, payload: bytes) -> bytes:
        return blake2b(payload, key=self._key, digest_size=DIGEST_BYTES).digest()

    def encode(self, sender: MemberId, message: PeerMessage) -> bytes:
        """Return a datagram from `sender`."""
        payload = self._encoder.encode(_SignedContent(sender, message))
        return self._digest(payload) + payload

    def decode(self, data: bytes) -> tuple[MemberId, PeerMessage] | None:
        """Return sender and message, or none if the digest or the content is wrong."""
        digest, payload = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(payload)):
            return None
        try:
            content = decode(self._decoder, payload)
        except msgspec.MsgspecError:
            return None
        return content.sender, content.message


class DatagramPort(UDPServer):
    """Sends and receives datagrams on one UDP port.

    Parameters
    ----------
    bind : (str, int)
        IP address and port.
    channel : str
        Channel of the component.
    codec : DatagramCodec
        Encodes datagrams and checks received ones.
    on_message : callable
        Called with the sender and the message of each datagram whose digest is right.

    Attributes
    ----------
    sent, received, rejected : int
        Numbers of datagrams: sent, received with a right digest, and received but
        rejected.
    """

    # Leaves out SO_REUSEADDR, which circuits sets by default and with which another
    # process could bind the same port.
    socket_options: list = []

    def __init__(
        self,
        bind: tuple[str, int],
        channel: str,
        codec: DatagramCodec,
        on_message: Callable[[MemberId, PeerMessage], None],
    ) -> None:
        super().__init__(bind, channel=channel)
        self._codec = codec
        self._on_message = on_message
        self.sent = 0
        self.received = 0
        self.rejected = 0

    def accepts_direct_calls(self, sock: socket.socket) -> bool:
        """Return whether the poller calls `on_readable` for a socket: always."""
        return True

    def on_readable(self, sock: socket.socket) -> None:
        """Read all datagrams that have arrived; called by the poller."""
        self._read()

    def on_writable(self, sock: socket.socket) -> None:
        """Do nothing: datagrams are never buffered, but sent at once or lost."""

    def _read(self) -> None:
        while True:
            try:
                data, _ = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            decoded = self._codec.decode(data)
            if decoded is None:
                self.rejected += 1
            else:
                self.received += 1
                self._on_message(*decoded)

    def send_message(
        self, address: Address, sender: MemberId, message: PeerMessage
    ) -> None:
        """Send one datagram.

        One that the socket does not accept is dropped: receivers have to cope with lost
        datagrams anyway.
        """
        host, _, port = address.rpartition(":")
        try:
            self._sock.sendto(self._codec.encode(sender, message), (host, int(port)))
        except OSError:
            return
        self.sent += 1

    @handler("close", override=True)
    def close(self, sock: socket.socket | None = None) -> None:
        """Close the port."""
        if self._sock is not None:
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None
