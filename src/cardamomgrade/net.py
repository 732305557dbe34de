"""Non-blocking TCP connections on the loop, by IP address and port."""

import errno
import socket

from circuits import BaseComponent, handler

from .errors import ConnectError

READ_BYTES = 65536
BACKLOG_CONNS = 512
CONNECT_TIMEOUT_S = 1.0
WRITE_BUFFER_LIMIT_BYTES = 4 * 1024 * 1024
_IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK)


def parse_address(text):
    """Return (ip, port) of ``ip:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Conn:
    """One TCP connection.

    The owner sets ``on_data(data)`` and ``on_close()``. ``on_close`` is called once
    when the peer closes or an error occurs, but not when the connection is closed by
    ``close`` or ``abort``. ``on_drain()``, if set, is called once when all written data
    has been handed to the kernel.
    """

    def __init__(self, net, sock, peer):
        self._net = net
        self._sock = sock
        self._out = bytearray()
        self._closing = False
        self._ends_writes = False
        self.peer = peer
        self.closed = False
        self.on_data = None
        self.on_close = None
        self.on_drain = None

    @property
    def pending(self):
        """The number of written bytes that are not yet handed to the kernel."""
        return len(self._out)

    def write(self, data):
        """Send ``data``, and abort the connection when the peer reads too slowly.

        That is when more than ``WRITE_BUFFER_LIMIT_BYTES`` are pending.
        """
        if self.closed or self._closing or self._ends_writes:
            return
        if not self._out:
            data = self._send(data)
        if self.closed or not data:
            return
        self._out += data
        if len(self._out) > WRITE_BUFFER_LIMIT_BYTES:
            self.abort()
            return
        self._net.watch_writes(self._sock, True)

    def _send(self, data):
        try:
            return data[self._sock.send(data) :]
        except BlockingIOError:
            return data
        except OSError:
            self._close_sock()
            return b""

    def close(self):
        """Close after the written data has been sent."""
        self._closing = True
        if not self._out:
            self.abort()

    def end_writes(self):
        """Tell the peer that nothing follows the written data; go on reading."""
        self._ends_writes = True
        if not self._out and not self.closed:
            self._shut_down_writes()

    def _shut_down_writes(self):
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close_sock()

    def abort(self):
        """Close at once; ``on_close`` is not called."""
        self.on_close = None
        self._close_sock()

    def pause_reads(self, paused):
        """Stop or resume reading; a peer that keeps writing blocks while stopped."""
        if not self.closed:
            self._net.watch_reads(self._sock, not paused)

    def _close_sock(self):
        if self.closed:
            return
        self.closed = True
        self._net.unwatch(self._sock)
        self._sock.close()
        callback, self.on_close = self.on_close, None
        if callback is not None:
            callback()

    def readable(self):
        """Read the available data; called by Net."""
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close_sock()
        elif self.on_data is not None:
            self.on_data(data)

    def writable(self):
        """Send pending data; called by Net."""
        self._out = bytearray(self._send(bytes(self._out)))
        if self.closed or self._out:
            return
        self._net.watch_writes(self._sock, False)
        if self._closing:
            self.abort()
        elif self._ends_writes:
            self._shut_down_writes()
        elif self.on_drain is not None:
            callback, self.on_drain = self.on_drain, None
            callback()


class Net(BaseComponent):
    """Accepts and opens the TCP connections of one process."""

    channel = "net"

    def __init__(self, loop):
        super().__init__()
        self._loop = loop
        self._poller = loop.poller
        self._conns = {}
        self._dials = {}
        self._listeners = {}
        self.register(loop)

    def listen(self, host, port, on_conn, buffer_bytes=0):
        """Listen and call ``on_conn(conn)`` per connection; return the bound port.

        ``buffer_bytes`` is the size of each of the kernel's two buffers of a
        connection, 0 for the system's default.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
        sock.bind((host, port))
        sock.listen(BACKLOG_CONNS)
        sock.setblocking(False)
        self._listeners[sock] = on_conn
        self._poller.addReader(self, sock)
        return sock.getsockname()[1]

    def close_listeners(self):
        """Close the listening sockets."""
        for sock in self._listeners:
            self._poller.discard(sock)
            sock.close()
        self._listeners.clear()

    def dial(self, host, port, on_open, on_fail, timeout=CONNECT_TIMEOUT_S):
        """Connect; call ``on_open(conn)`` or ``on_fail(ConnectError)`` later.

        ``timeout`` is in seconds.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex((host, port))
        if code not in (0, *_IN_PROGRESS):
            sock.close()
            exc = ConnectError(f"{host}:{port}: {errno.errorcode.get(code, code)}")
            self._loop.call_later(0, lambda: on_fail(exc))
            return
        timer = self._loop.call_later(
            timeout, lambda: self._dial_failed(sock, "timed out")
        )
        self._dials[sock] = ((host, port), on_open, on_fail, timer)
        self._poller.addWriter(self, sock)

    def _dial_failed(self, sock, detail):
        peer, _, on_fail, timer = self._dials.pop(sock)
        timer.cancel()
        self._poller.discard(sock)
        sock.close()
        on_fail(ConnectError(f"{peer[0]}:{peer[1]}: {detail}"))

    def _dial_done(self, sock):
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._dial_failed(sock, errno.errorcode.get(code, str(code)))
            return
        peer, on_open, _, timer = self._dials.pop(sock)
        timer.cancel()
        self._poller.removeWriter(sock)
        on_open(self._register_conn(sock, peer))

    def _register_conn(self, sock, peer):
        conn = Conn(self, sock, peer)
        self._conns[sock] = conn
        self._poller.addReader(self, sock)
        return conn

    def _accept(self, listener):
        while True:
            try:
                sock, peer = listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._listeners[listener](self._register_conn(sock, peer))

    def watch_writes(self, sock, wanted):
        """Start or stop watching a socket for being writable."""
        if wanted and not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)
        elif not wanted and self._poller.isWriting(sock):
            self._poller.removeWriter(sock)

    def watch_reads(self, sock, wanted):
        """Start or stop watching a socket for data."""
        if wanted and not self._poller.isReading(sock):
            self._poller.addReader(self, sock)
        elif not wanted and self._poller.isReading(sock):
            self._poller.removeReader(sock)

    def unwatch(self, sock):
        """Stop watching a socket that is about to be closed."""
        self._conns.pop(sock, None)
        self._poller.discard(sock)

    @handler("_read")
    def _on_read(self, sock):
        if sock in self._listeners:
            self._accept(sock)
        elif sock in self._conns:
            self._conns[sock].readable()

    @handler("_write")
    def _on_write(self, sock):
        if sock in self._dials:
            self._dial_done(sock)
        elif sock in self._conns:
            self._conns[sock].writable()

    @handler("_disconnect")
    def _on_disconnect(self, sock):
        if sock in self._dials:
            self._dial_done(sock)
        elif sock in self._conns:
            self._conns[sock].readable()
