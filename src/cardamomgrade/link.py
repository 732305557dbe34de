"""One authenticated websocket link between two entries."""

import logging

import attrs
from websockets.client import ClientProtocol
from websockets.exceptions import WebSocketException
from websockets.frames import Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from .auth import check, new_nonce, sign
from .errors import PeerError
from .messages import decode_message, encode_message, Hello, Proof

MESSAGE_LIMIT_BYTES = 8 * 1024 * 1024
HANDSHAKE_TIMEOUT_S = 2.0
MESH_PATH = "/mesh"
DIALLER, LISTENER = "dialler", "listener"
_SILENT_LOGGER = logging.getLogger("cardamomgrade.websockets")
_SILENT_LOGGER.setLevel(logging.CRITICAL)


@attrs.frozen
class Identity:
    """Name, incarnation and shared key that an entry authenticates with."""

    name: str
    incarnation: int
    key: str = attrs.field(repr=False)


class Link:
    """A link that is up once both sides have proved that they know the shared key.

    ``on_up(link)`` is called when the link comes up, ``on_message(link, message)``
    for each later message, and ``on_down(link, reason)`` once when the link fails or
    the peer closes it, but not after ``close()``.
    """

    def __init__(self, loop, conn, identity, expected=None):
        """Start the handshake; ``expected`` is the dialled peer's name, or None."""
        self.peer = expected or ""
        self.incarnation = 0
        self.up = False
        self.bytes_in = 0
        self.bytes_out = 0
        self.address = f"{conn.peer[0]}:{conn.peer[1]}"
        self.on_up = self.on_message = lambda *args: None
        self.on_down = lambda link, reason: None
        self._conn = conn
        self._identity = identity
        self._is_dialler = expected is not None
        self._nonce = new_nonce()
        self._hello = None
        conn.on_data = self._on_data
        conn.on_close = lambda: self._fail("closed")
        self._timer = loop.call_later(
            HANDSHAKE_TIMEOUT_S, lambda: self._fail("handshake timed out")
        )
        self._protocol = self._open()

    def _open(self):
        if not self._is_dialler:
            return ServerProtocol(max_size=MESSAGE_LIMIT_BYTES, logger=_SILENT_LOGGER)
        uri = parse_uri(f"ws://{self.address}{MESH_PATH}")
        protocol = ClientProtocol(
            uri, max_size=MESSAGE_LIMIT_BYTES, logger=_SILENT_LOGGER
        )
        protocol.send_request(protocol.connect())
        self._flush(protocol)
        return protocol

    @property
    def closed(self):
        """Whether the connection is closed."""
        return self._conn.closed

    def send(self, message):
        """Send a message; it is lost if the websocket is not open or the link fails."""
        if self._conn.closed or self._protocol.state is not State.OPEN:
            return
        self._protocol.send_binary(encode_message(message))
        self._flush(self._protocol)

    def close(self):
        """Close the connection once all written data has been sent."""
        self._timer.cancel()
        self._conn.on_close = None
        self._conn.on_data = None
        self._conn.close()

    def _flush(self, protocol):
        for data in protocol.data_to_send():
            if data:
                self.bytes_out += len(data)
                self._conn.write(data)
            else:
                self._conn.close()

    def _fail(self, reason):
        self.close()
        self._conn.abort()
        on_down, self.on_down = self.on_down, lambda link, reason: None
        on_down(self, reason)

    def _on_data(self, data):
        self.bytes_in += len(data)
        try:
            self._protocol.receive_data(data)
            if self._protocol.handshake_exc is not None:
                raise PeerError(
                    f"websocket handshake failed: {self._protocol.handshake_exc}"
                )
            for item in self._protocol.events_received():
                self._on_protocol_event(item)
        except (PeerError, WebSocketException) as exc:
            self._fail(str(exc))
            return
        if self._conn.closed:
            return
        self._flush(self._protocol)
        if self._protocol.close_expected() or self._protocol.state is State.CLOSED:
            self._fail("websocket closed")

    def _on_protocol_event(self, item):
        if isinstance(item, Request):
            self._protocol.send_response(self._protocol.accept(item))
            self._send_hello()
        elif isinstance(item, Response):
            self._send_hello()
        elif item.opcode is Opcode.BINARY:
            self._on_frame(decode_message(bytes(item.data)))
        elif item.opcode in (Opcode.TEXT, Opcode.CONT):
            raise PeerError(f"frame {item.opcode.name} is not allowed, only BINARY")

    def _send_hello(self):
        if self._protocol.state is State.OPEN:
            me = self._identity
            self.send(Hello(me.name, me.incarnation, self._nonce))

    def _on_frame(self, message):
        if self.up:
            self.on_message(self, message)
        elif isinstance(message, Hello) and self._hello is None:
            self._on_hello(message)
        elif isinstance(message, Proof) and self._hello is not None:
            self._on_proof(message)
        else:
            raise PeerError(
                f"unexpected {type(message).__name__} before authentication"
            )

    def _on_hello(self, hello):
        if self._is_dialler and hello.name != self.peer:
            raise PeerError(
                f"dialled {self.peer!r} but the peer's name is {hello.name!r}"
            )
        self._hello = hello
        self.send(Proof(self._sign(DIALLER if self._is_dialler else LISTENER)))

    def _signed_parts(self, role):
        """Return the texts that the side in ``role`` signs.

        They are the role and then name, incarnation and nonce of the dialler and of
        the listener.
        """
        me, peer = self._identity, self._hello
        mine = (me.name, str(me.incarnation), self._nonce)
        theirs = (peer.name, str(peer.incarnation), peer.nonce)
        first, second = (mine, theirs) if self._is_dialler else (theirs, mine)
        return (role, *first, *second)

    def _sign(self, role):
        return sign(self._identity.key, *self._signed_parts(role))

    def _on_proof(self, proof):
        role = LISTENER if self._is_dialler else DIALLER
        if not check(self._identity.key, proof.digest, *self._signed_parts(role)):
            raise PeerError("the peer's proof does not match the shared key")
        self._timer.cancel()
        self.peer = self._hello.name
        self.incarnation = self._hello.incarnation
        self.up = True
        self.on_up(self)
