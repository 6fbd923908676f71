"""Datagrams between daemons: MessagePack with a keyed digest, over UDP."""

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

if TYPE_CHECKING:
    from rhubarbhall.types import Address, MemberId

DIGEST_BYTES = 16
MAX_DATAGRAM_BYTES = 1400


class _Signed(msgspec.Struct, frozen=True, array_like=True):
    """What the digest covers."""

    sender: str
    message: PeerMessage


class DatagramCodec:
    """Encodes and checks datagrams.

    Parameters
    ----------
    mesh_key : bytes
        Key that all daemons of a mesh share.
    """

    def __init__(self, mesh_key: bytes) -> None:
        self._key = mesh_key
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_Signed)

    def _digest(self, payload: bytes) -> bytes:
        return blake2b(payload, key=self._key, digest_size=DIGEST_BYTES).digest()

    def encode(self, sender: MemberId, message: PeerMessage) -> bytes:
        """Return a datagram from `sender`."""
        payload = self._encoder.encode(_Signed(sender, message))
        return self._digest(payload) + payload

    def decode(self, data: bytes) -> tuple[MemberId, PeerMessage] | None:
        """Return sender and message, or none when the datagram is not genuine."""
        digest, payload = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(payload)):
            return None
        try:
            signed = self._decoder.decode(payload)
        except msgspec.MsgspecError:
            return None
        return signed.sender, signed.message


class DatagramPort(UDPServer):
    """Sends and receives datagrams.

    Parameters
    ----------
    bind : (str, int)
        IP address and port.
    channel : str
        Channel of the component.
    codec : DatagramCodec
        Signs and checks.
    on_message : callable
        Takes the sender and the message of each genuine datagram.
    """

    # The port must not be shared with another process.
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

    def takes_directly(self, sock: socket.socket) -> bool:
        """Tell whether the poller may call for a socket."""
        return True

    def on_readable(self, sock: socket.socket) -> None:
        """Read all datagrams that have come; called by the poller."""
        self._read()

    def on_writable(self, sock: socket.socket) -> None:
        """Do nothing: datagrams are sent at once or lost."""

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
        """Send one datagram; it may be lost like any other."""
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
