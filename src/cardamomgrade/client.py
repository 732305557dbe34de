"""HTTP/1.1 client with one request in flight per connection."""

from collections import deque

import attrs
import h11

from .net import parse_address
from .wire import BODY_LIMIT_BYTES, HttpResponse, request_bytes


@attrs.frozen
class Failure:
    """The result of a request that got no complete response; falsy.

    ``sent`` tells whether any byte of the request was written to a connection;
    ``sending`` says when and over which one, for logs. ``check`` is the HttpResponse
    or Failure of the PeerCheck for want of which it was not sent, or None.
    """

    sent: bool
    detail: str
    sending: str = ""
    check: object = None

    def __bool__(self):
        return False


class ClientConn:
    """A connection to one server.

    ``on_idle_close`` is called when it closes while no request is in flight.
    ``received_bytes`` counts all bytes received. ``keeps_open`` is whether the latest
    answer, if any, allows further requests. ``verified`` is whether a PeerCheck has
    shown that the expected process is behind it.
    """

    def __init__(self, conn, body_limit=BODY_LIMIT_BYTES):
        self._conn = conn
        self._limit = body_limit
        self._http = None
        self._on_done = None
        self._head = None
        self._body = []
        self._size = 0
        self.received_bytes = 0
        self.keeps_open = True
        self.verified = False
        self.on_idle_close = None
        conn.on_data = self._on_data
        conn.on_close = self._on_close

    @property
    def usable(self):
        """Whether the connection is open and no request is in flight."""
        return not self._conn.closed and self._on_done is None

    def send(self, req, on_done):
        """Send a request; call ``on_done(HttpResponse | Failure)`` once.

        Raises WireError, with nothing sent, when the request is not valid HTTP.
        """
        self._http, data = request_bytes(req)
        self._on_done = on_done
        self._head, self._body, self._size = None, [], 0
        self._conn.write(data)

    def abort(self):
        """Close at once; a request in flight does not report a result."""
        self._on_done = None
        self._conn.abort()

    def _on_close(self):
        if self._on_done is not None:
            self._finish(Failure(True, "closed before the answer was whole"))
        elif self.on_idle_close is not None:
            self.on_idle_close()

    def _on_data(self, data):
        self.received_bytes += len(data)
        if self._on_done is None:
            self._conn.abort()
            if self.on_idle_close is not None:
                self.on_idle_close()
            return
        try:
            self._http.receive_data(data)
            self._pump()
        except h11.RemoteProtocolError as exc:
            self._fail(f"answer is not valid HTTP: {exc}")

    def _fail(self, detail):
        self._conn.abort()
        self._finish(Failure(True, detail))

    def _pump(self):
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body.append(bytes(event.data))
                self._size += len(event.data)
                if self._size > self._limit:
                    self._fail("answer too large")
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._complete()
                return
            elif event in (h11.NEED_DATA, h11.PAUSED):
                return

    def _complete(self):
        head = self._head
        response = HttpResponse(
            head.status_code, tuple(head.headers), b"".join(self._body)
        )
        reusable = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )
        self.keeps_open = reusable
        if not reusable:
            self._conn.abort()
        self._finish(response)

    def _finish(self, result):
        on_done, self._on_done = self._on_done, None
        self._http = None
        on_done(result)


class Requester:
    """Sends requests to one server one after another over one connection.

    ``check`` is the PeerCheck for requests to one process only.
    """

    def __init__(self, loop, net, address, body_limit=BODY_LIMIT_BYTES, check=None):
        self._loop = loop
        self._check = check
        self._net = net
        self._host, self._port = parse_address(address)
        self._limit = body_limit
        self._conn = None
        self._queue = deque()
        self._current = None
        self._closed = False

    def close(self):
        """Close the connection and drop all requests, without reporting results.

        A request whose connection is still being opened is not sent.
        """
        self._closed = True
        for call in (*self._queue, self._current):
            if call is not None:
                call.drop()
        self._queue.clear()
        self._current = None
        if self._conn is not None:
            self._conn.abort()

    def cancel(self):
        """Drop the request in flight and its connection, without reporting a result."""
        call, self._current = self._current, None
        if call is not None:
            call.drop()
            if self._conn is not None:
                self._conn.abort()
        self._next()

    def request(self, req, on_done, timeout, limit=0.0, verify=False):
        """Send a request; call ``on_done(HttpResponse | Failure)`` once.

        The ``timeout`` in seconds includes the wait in the queue; a Failure is
        reported when it has passed. If bytes of the answer arrived in that time it
        starts anew, until ``limit`` seconds have passed since this call.

        With ``verify``, it is sent only over a connection whose peer has passed the
        check. The check has a timeout of its own, and if it fails the request counts as
        not sent.
        """
        now = self._loop.now()
        call = _Call(req, on_done, timeout, now, now + limit, verify)
        call.restart_timer(self._loop, self._expire)
        self._queue.append(call)
        self._next()

    @property
    def unanswered(self):
        """The number of requests that are queued or in flight."""
        return len(self._queue) + (self._current is not None)

    @property
    def connected(self):
        """Whether the next request goes over a connection that has answered before.

        It reaches the same process as the requests before it, or none.
        """
        return self._has_conn() and self._conn.received_bytes > 0

    @property
    def verified(self):
        """Whether the next request goes over a connection whose peer was verified."""
        return self._has_conn() and self._conn.verified

    @property
    def keeps_open(self):
        """Whether the server left the connection open after its latest answer."""
        return self._conn is None or self._conn.keeps_open

    def _has_conn(self):
        return self._conn is not None and self._conn.usable

    def _next(self):
        while self._current is None and self._queue:
            call = self._queue.popleft()
            if call.done:
                continue
            self._current = call
            if self._has_conn():
                self._send(call)
            else:
                self._dial(call)

    def _dial(self, call):
        def opened(conn):
            # A request that was given up meanwhile may have a successor, which dialed
            # a connection of its own.
            superseded = call.done and (self._current is not None or self._has_conn())
            if self._closed or superseded:
                conn.abort()
                return
            self._conn = ClientConn(conn, self._limit)
            if self._check is not None:
                self._conn.verified = self._check.is_recent(self._loop.boot_now())
            if not call.done:
                self._send(call)

        def failed(exc):
            self._finish(call, Failure(False, str(exc)))

        self._net.dial(self._host, self._port, opened, failed)

    def _send(self, call):
        if call.verify and not self._conn.verified and call.req is not self._check.req:
            self._send_check(call)
            return
        conn, sent_at = self._conn, self._loop.boot_now()

        def done(result):
            if self._check is not None and call.req is self._check.req:
                self._verify(conn, result, sent_at)
            self._finish(call, result)

        call.sent = True
        call.sent_at = self._loop.now()
        call.received_bytes = conn.received_bytes
        call.is_first = not call.received_bytes
        conn.send(call.req, done)

    def _send_check(self, call):
        conn, sent_at = self._conn, self._loop.boot_now()

        def done(result):
            self._verify(conn, result, sent_at)
            if not conn.verified:
                detail = "another process answers" if result else result.detail
                self._finish(call, Failure(False, detail, check=result))
            elif conn.usable:
                call.restart_timer(self._loop, self._expire)
                self._send(call)
            else:
                # A server that closes each connection has to be reached again in time.
                self._dial(call)

        conn.send(self._check.req, done)

    def _verify(self, conn, result, sent_at):
        conn.verified = self._check.accepts(result)
        if conn.verified:
            self._check.record_answer(sent_at)

    def _expire(self, call):
        if not call.expiring:
            # After a delay of this process the answer may wait in the socket's buffer.
            call.expiring = True
            call.timer = self._loop.call_later(0, lambda: self._expire(call))
            return
        if self._is_arriving(call):
            call.expiring = False
            call.received_bytes = self._conn.received_bytes
            wait_s = min(call.timeout, call.limit_at - self._loop.now())
            call.timer = self._loop.call_later(wait_s, lambda: self._expire(call))
            return
        if self._current is call and self._conn is not None:
            self._conn.abort()
        result = Failure(call.sent, "timed out")
        if call.verify and not call.sent:
            result = attrs.evolve(result, check=result)
        self._finish(call, result)

    def _is_arriving(self, call):
        return (
            call.sent
            and self._conn is not None
            and self._conn.received_bytes > call.received_bytes
            and self._loop.now() < call.limit_at
        )

    def _finish(self, call, result):
        if self._current is call:
            self._current = None
        if not call.done:
            call.drop()
            if isinstance(result, Failure):
                result = attrs.evolve(result, sending=call.describe())
            call.on_done(result)
        self._next()


class RequesterPool:
    """Sends requests to one server over several connections, in no fixed order."""

    def __init__(self, loop, net, address, connections, check=None):
        self._requesters = [
            Requester(loop, net, address, check=check) for _ in range(connections)
        ]

    def close(self):
        """Close all connections and drop all requests, without reporting results."""
        for requester in self._requesters:
            requester.close()

    def request(self, req, on_done, timeout, verify=False):
        """Send a request over the connection with the fewest; see Requester."""
        least_busy = min(
            self._requesters, key=lambda item: (item.unanswered, not item.verified)
        )
        least_busy.request(req, on_done, timeout, verify=verify)


@attrs.define(eq=False)
class _Call:
    """A request that is queued or in flight.

    ``received_bytes`` are those of its connection when the timeout began. ``is_first``
    is whether its connection had answered nothing when it was sent.
    """

    req: object
    on_done: object
    timeout: float
    made_at: float
    limit_at: float
    verify: bool = False
    sent_at: float = 0.0
    is_first: bool = False
    received_bytes: int = 0
    timer: object = None
    sent: bool = False
    expiring: bool = False
    done: bool = False

    def describe(self):
        """Return when it was sent and over which connection, as text."""
        if not self.sent:
            return "not sent"
        conn = "a new" if self.is_first else "an answered"
        queued_ms = int((self.sent_at - self.made_at) * 1000)
        return f"sent after {queued_ms} ms over {conn} connection"

    def restart_timer(self, loop, on_expire):
        """Let ``on_expire`` get this call after its timeout from now on."""
        if self.timer is not None:
            self.timer.cancel()
        self.expiring = False
        self.timer = loop.call_later(self.timeout, lambda: on_expire(self))

    def drop(self):
        """Report no result from now on."""
        self.done = True
        self.timer.cancel()
