"""One caller's connection to a server: reads requests, answers them in order."""

import math

import h11

from .errors import WireError
from .wire import (
    check_head,
    find_header,
    has_body,
    HEAD_END,
    HEAD_LIMIT_BYTES,
    HttpRequest,
    response_headers,
)

REQUEST_BYTES = 8 * 1024  # of the parser of an incomplete request
PARSED_HEAD_COST = 4
KEPT_BODY_COST = 4  # decoded, encoded for the store, and its append
UNREAD_BYTES = 128 * 1024  # in the kernel for a connection that is not read
RETRY_AFTER = (b"retry-after", b"1")
LINGER_TIMEOUT_S = 2.0
LINGER_LIMIT_BYTES = 2 * 1024 * 1024
CHUNK_LIMIT = 16 * 1024  # of one body; a job of 64 steps has fewer tokens


class Exchange:
    """One request, to be answered once.

    ``on_disconnect()`` is called when the caller closes the connection before that.
    """

    def __init__(self, session, req, peer, kept_bytes=0):
        self._session = session
        self._kept_bytes = kept_bytes
        self.req = req
        self.peer = peer
        self.answered = False
        self.on_disconnect = None

    def respond(self, response, close=False):
        """Answer the request; with ``close`` also close the connection after it.

        Does nothing when the request was answered before, except that the memory of a
        request whose caller has left counts until then.
        """
        kept_bytes, self._kept_bytes = self._kept_bytes, 0
        self._session.release(kept_bytes)
        if self.answered:
            return
        self.answered = True
        self._session.answer(self, response, close)

    def drop(self):
        """Close the caller's connection without answering."""
        kept_bytes, self._kept_bytes = self._kept_bytes, 0
        self._session.release(kept_bytes)
        self.answered = True
        self._session.close_now()

    def respond_partially(self, response):
        """Send the head and half of the body, then close; used by test stand-ins."""
        self.answered = True
        self._session.answer_partially(response)

    def caller_left(self):
        """Call ``on_disconnect`` unless answered; called by the session."""
        if not self.answered:
            self.answered = True
            if self.on_disconnect is not None:
                self.on_disconnect()


class Session:
    """A caller's connection, which handles one request at a time.

    Pipelined requests wait in the buffer.
    """

    def __init__(self, server, conn):
        self._server = server
        self._conn = conn
        self._buffer = b""
        self._http = None
        self._exchange = None
        self._head = None
        self._body = bytearray()
        self._chunks = 0
        self._head_bytes = 0
        self._held_bytes = 0
        self._paused = False
        self._blocked = False
        self._last = False
        self._lingering = False
        self._timer = None
        self._due = math.inf
        self._on_due = None
        conn.on_data = self._on_data
        conn.on_close = self._on_close
        self._set_timer(server.limits.idle_s, self._abort_conn)

    def _set_timer(self, delay, callback):
        self._due, self._on_due = self._server.loop.now() + delay, callback
        # A later deadline is left to the timer that is set: each request sets two, and
        # the loop keeps a cancelled timer until it is due.
        if self._timer is None or self._timer.due > self._due:
            self._stop_timer()
            self._timer = self._server.loop.call_later(delay, self._check_due)

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()

    def _check_due(self):
        self._timer = None
        left = self._due - self._server.loop.now()
        if left <= 0:
            self._on_due()
        elif left < math.inf:
            self._timer = self._server.loop.call_later(left, self._check_due)

    def _abort_conn(self):
        self._conn.abort()
        self._on_close()

    def _on_close(self):
        self._stop_timer()
        self._server.sessions.discard(self)
        self._server.turnover.closed(self)
        self._hold(0)
        if self._exchange is not None:
            self._exchange.caller_left()

    def is_answering(self, exchange):
        """Return whether ``exchange`` belongs to this connection."""
        return self._exchange is exchange

    def close_now(self):
        """Close at once, without answering a request that is being read or handled."""
        self._abort_conn()

    def answer_partially(self, response):
        """Send half of the body under a content-length of all of it, then close."""
        raw = h11.Connection(h11.SERVER)
        event = h11.Response(
            status_code=response.status, headers=response_headers(response)
        )
        self._conn.write(raw.send(event) + response.body[: len(response.body) // 2])
        self._conn.close()
        self._on_close()

    def close_idle(self):
        """Close now unless a request is being read or handled."""
        if self._exchange is None and self._http is None and not self._buffer:
            self._abort_conn()

    def _on_data(self, data):
        if self._exchange is not None or self._blocked:
            if not self._last:
                self._buffer += data
            if self._last or len(self._buffer) > HEAD_LIMIT_BYTES:
                self._pause(True)
        elif self._http is None:
            self._start(self._buffer + data)
        else:
            self._feed(data)
        self._update_held()

    def _pause(self, paused):
        if self._paused != paused:
            self._paused = paused
            self._conn.pause_reads(paused)

    def _update_held(self):
        """Count what this connection holds besides a request in progress."""
        if self._conn.closed or self._lingering:
            return
        size = len(self._buffer) + len(self._body) + self._conn.pending
        if self._http is not None and self._exchange is None:
            size += self._head_bytes
        if self._paused and not self._last:
            size += UNREAD_BYTES
        if size != self._held_bytes:
            self._hold(size)

    def _hold(self, size):
        grows, self._held_bytes = size > self._held_bytes, size
        if self._server.budget.hold(self, size) and grows:
            self._server.free_memory()

    def release(self, kept_bytes):
        """Stop counting a request that was in progress."""
        self._server.budget.release(kept_bytes)

    def give_up_memory(self):
        """Refuse an incomplete request, or answer no more than the one in progress."""
        if self._conn.pending:
            self._abort_conn()
        elif self._exchange is not None or self._blocked:
            self._last, self._buffer = True, b""
            self._pause(True)
            self._update_held()
        else:
            self._refuse(503, "out of memory for requests", (RETRY_AFTER,))

    def _start(self, data):
        if not self._buffer:
            self._set_timer(self._server.limits.message_s, self._on_message_timeout)
        self._buffer = data.lstrip(b"\r\n") if data[:2] == b"\r\n" else data
        end = self._buffer.find(HEAD_END, 0, HEAD_LIMIT_BYTES + len(HEAD_END))
        if end < 0:
            if len(self._buffer) > HEAD_LIMIT_BYTES:
                self._refuse(431, "head too large")
            return
        problem = check_head(self._buffer)
        if problem is not None:
            self._refuse(problem.status, problem.detail)
            return
        data, self._buffer = self._buffer, b""
        self._head_bytes = REQUEST_BYTES + PARSED_HEAD_COST * end
        self._http = h11.Connection(h11.SERVER, HEAD_LIMIT_BYTES)
        self._head, self._body, self._chunks = None, bytearray(), 0
        self._feed(data)

    def _on_message_timeout(self):
        self._refuse(408, "request not received in time")

    def _refuse(self, status, detail, headers=()):
        headers = ((b"connection", b"close"), *headers)
        response = self._server.refusal(status, detail)
        raw = h11.Connection(h11.SERVER)
        event = h11.Response(
            status_code=response.status,
            headers=[*response_headers(response), *headers],
        )
        self._conn.write(raw.send(event) + response.body)
        self._linger()

    def _linger(self):
        """Close when the peer has read the answer.

        Closing a socket with unread data would reset the connection, and the peer could
        lose the answer.
        """
        self._lingering = True
        self._http, self._buffer, self._body = None, b"", bytearray()
        self._hold(0)
        if self._conn.closed:
            self._on_close()
            return
        self._server.turnover.closing(self)
        unread_bytes = LINGER_LIMIT_BYTES

        def discard(data):
            nonlocal unread_bytes
            unread_bytes -= len(data)
            if unread_bytes < 0:
                self._abort_conn()

        self._conn.on_data = discard
        self._pause(False)
        self._set_timer(LINGER_TIMEOUT_S, self._abort_conn)
        self._conn.end_writes()

    def _feed(self, data):
        try:
            self._http.receive_data(data)
            self._pump()
        except h11.RemoteProtocolError as exc:
            self._refuse(exc.error_status_hint, str(exc))

    def _pump(self):
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._head = event
                if event.method == b"CONNECT":
                    self._refuse(501, "CONNECT is not supported")
                    return
                declared = int(find_header(event.headers, "content-length", "0"))
                if declared > self._server.limits.body_bytes:
                    self._refuse(413, "body too large")
                    return
            elif isinstance(event, h11.Data):
                self._body += event.data
                self._chunks += event.chunk_start
                if len(self._body) > self._server.limits.body_bytes:
                    self._refuse(413, "body too large")
                    return
                if self._chunks > CHUNK_LIMIT:
                    self._refuse(413, "too many chunks")
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._complete()
                return
            else:
                self._continue()
                return

    def _continue(self):
        if self._http.they_are_waiting_for_100_continue:
            event = h11.InformationalResponse(status_code=100, headers=())
            self._conn.write(self._http.send(event))

    def _complete(self):
        self._due = math.inf
        self._buffer = self._http.trailing_data[0]
        head = self._head
        req = HttpRequest(
            head.method.decode("ascii"),
            head.target.decode("ascii"),
            tuple(head.headers),
            bytes(self._body),
        )
        kept_bytes = self._head_bytes + KEPT_BODY_COST * len(self._body)
        self._body = bytearray()
        if self._held_bytes:
            self._hold(0)
        if not self._server.budget.keep(kept_bytes):
            self._server.on_shed("memory")
            self._refuse(503, "out of memory for requests", (RETRY_AFTER,))
            return
        self._server.turnover.began(self)
        exchange = Exchange(self, req, self._conn.peer, kept_bytes)
        self._exchange = exchange
        try:
            self._server.on_request(exchange)
        except Exception:
            exchange.drop()
            raise

    def answer(self, exchange, response, close):
        """Write the response; close, or continue with the next pipelined request."""
        if self._conn.closed:
            return
        http, self._http, self._exchange = self._http, None, None
        headers = response_headers(response)
        if close or self._last or self._server.draining:
            headers.append((b"connection", b"close"))
        try:
            out = http.send(h11.Response(status_code=response.status, headers=headers))
            if response.body and has_body(exchange.req.method, response.status):
                out += http.send(h11.Data(data=response.body))
            out += http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            self._abort_conn()
            raise WireError(f"response is not valid HTTP: {exc}") from exc
        self._conn.write(out)
        if self._conn.closed:
            self._on_close()
            return
        if http.our_state is h11.MUST_CLOSE:
            if self._buffer or self._paused or self._conn.pending:
                self._linger()
            else:
                self._conn.close()
                self._on_close()
            return
        self._server.turnover.answered(self)
        self._set_timer(self._server.limits.idle_s, self._abort_conn)
        if self._conn.pending:
            # A peer that takes no answers gets no further ones.
            self._blocked = True
            self._conn.on_drain = self._resume
            self._update_held()
        elif self._buffer or self._paused:
            self._blocked = True
            self._server.loop.call_later(0, self._resume)

    def _resume(self):
        self._blocked = False
        if self._conn.closed:
            return
        if self._last:
            self._linger()
            return
        data, self._buffer = self._buffer, b""
        if data:
            self._on_data(data)
        if self._exchange is None and not self._blocked:
            self._pause(False)
            self._update_held()
