"""Connection pool of an entry for one endpoint."""

import attrs

from .client import ClientConn, Failure
from .errors import WireError
from .net import parse_address
from .wire import BODY_LIMIT_BYTES, HttpResponse

IDLE_LIMIT_S = 30.0
UNREPEATABLE_IDLE_LIMIT_S = 1.0
REQUEST_ID_HEADER = "request-id"


@attrs.define(eq=False)
class Call:
    """One request to an endpoint."""

    req: object
    request_id: str
    on_done: object
    conn: ClientConn = None
    sending: bool = False
    finished: bool = False

    @property
    def sent(self):
        """Whether any byte of the request was written to a connection."""
        return self.conn is not None


@attrs.frozen
class _Idle:
    conn: ClientConn
    since: float


class Endpoint:
    """Sends requests to one address over at most ``limit`` connections."""

    def __init__(self, loop, net, address, limit, body_limit=BODY_LIMIT_BYTES):
        self.address = address
        self._loop = loop
        self._net = net
        self._host, self._port = parse_address(address)
        self._limit = limit
        self._body_limit = body_limit
        self._idle = []
        self.open = 0

    @property
    def free_connections(self):
        """The number of connections that are idle or may still be opened."""
        return self._limit - self.open + len(self._idle)

    def start(self, req, request_id, repeatable, on_done):
        """Send ``req`` and return its Call.

        ``on_done(HttpResponse | Failure)`` is called once, after this has returned. A
        request that is not ``repeatable`` uses no connection that was idle for
        ``UNREPEATABLE_IDLE_LIMIT_S`` or longer, since the endpoint may be closing it.
        """
        call = Call(req, request_id, on_done)
        conn = self._take_idle(
            IDLE_LIMIT_S if repeatable else UNREPEATABLE_IDLE_LIMIT_S
        )
        if conn is not None:
            self._send(call, conn)
        elif self.open >= self._limit:
            failure = Failure(False, "no connection free")
            self._loop.call_later(0, lambda: self._finish(call, failure))
        else:
            self._dial(call)
        return call

    def abort(self, call):
        """Abort a request; its ``on_done`` is not called."""
        call.on_done = None
        if call.conn is not None and not call.finished:
            self._close_conn(call.conn)

    def sweep(self):
        """Close connections that have been idle for longer than ``IDLE_LIMIT_S``."""
        oldest = self._loop.now() - IDLE_LIMIT_S
        for item in [item for item in self._idle if item.since < oldest]:
            self._idle.remove(item)
            self._close_conn(item.conn)

    def close(self):
        """Close the idle connections."""
        while self._idle:
            self._close_conn(self._idle.pop().conn)

    def _take_idle(self, limit):
        now = self._loop.now()
        while self._idle:
            item = self._idle.pop()
            if item.conn.usable and now - item.since < limit:
                return item.conn
            self._close_conn(item.conn)
        return None

    def _dial(self, call):
        self.open += 1

        def opened(raw):
            conn = ClientConn(raw, self._body_limit)
            if call.on_done is None:
                self._add_idle(conn)
            else:
                self._send(call, conn)

        def failed(exc):
            self.open -= 1
            self._finish(call, Failure(False, str(exc)))

        self._net.dial(self._host, self._port, opened, failed)

    def _send(self, call, conn):
        conn.on_idle_close = None
        call.conn = conn
        call.sending = True
        try:
            conn.send(call.req, lambda result: self._on_result(call, result))
        except WireError as exc:
            call.conn = None
            self._add_idle(conn)
            self._finish(call, Failure(False, str(exc)))
        call.sending = False

    def _on_result(self, call, result):
        conn = call.conn
        call.finished = True
        if isinstance(result, HttpResponse):
            echo = result.header(REQUEST_ID_HEADER)
            if echo and echo != call.request_id:
                result = Failure(True, "answer to another request")
        if isinstance(result, HttpResponse) and conn.usable:
            self._add_idle(conn)
        else:
            self._close_conn(conn)
        self._finish(call, result)

    def _finish(self, call, result):
        if call.sending:
            self._loop.call_later(0, lambda: self._finish(call, result))
            return
        on_done, call.on_done = call.on_done, None
        if on_done is not None:
            on_done(result)

    def _add_idle(self, conn):
        item = _Idle(conn, self._loop.now())
        conn.on_idle_close = lambda: self._remove_idle(item)
        self._idle.append(item)

    def _remove_idle(self, item):
        if item in self._idle:
            self._idle.remove(item)
            self.open -= 1

    def _close_conn(self, conn):
        conn.on_idle_close = None
        conn.abort()
        self.open -= 1
