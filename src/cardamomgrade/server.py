"""HTTP/1.1 server that reads complete requests and writes responses in order."""

import attrs

from .exchange import Session
from .overload import MemoryBudget, Turnover
from .wire import BODY_LIMIT_BYTES, HttpResponse

MESSAGE_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0
CONNECTION_LIMIT = 2000


@attrs.frozen
class ServerLimits:
    """Limits of a server; sizes in bytes, times in seconds.

    ``message_s`` is the time to receive one request, ``idle_s`` the time that a
    connection may be open without a request. ``socket_bytes`` is the size of each
    buffer of a connection in the kernel, 0 for the system's default.
    """

    body_bytes: int = BODY_LIMIT_BYTES
    connections: int = CONNECTION_LIMIT
    message_s: float = MESSAGE_TIMEOUT_S
    idle_s: float = IDLE_TIMEOUT_S
    socket_bytes: int = 0


def plain_response(status, text, headers=()):
    """Return a response whose body is ``text`` as plain text."""
    return HttpResponse(
        status, ((b"content-type", b"text/plain"), *headers), text.encode() + b"\n"
    )


class HttpServer:
    """Listens on one or more addresses and calls ``on_request(exchange)``.

    ``refusal(status, detail)`` returns the response to a request that is not valid
    HTTP or exceeds a limit. New ``limits`` may be set at any time. At the limit on
    connections the one that the Turnover names gives way to a new one.
    ``on_shed(reason)`` is called for each connection or request that a shared limit
    has cost a caller. ``budget`` is the MemoryBudget of all connections.
    """

    def __init__(
        self,
        loop,
        net,
        on_request,
        limits=None,
        refusal=plain_response,
        on_shed=lambda reason: None,
        budget=None,
    ):
        self.loop = loop
        self.on_request = on_request
        self.limits = limits or ServerLimits()
        self.refusal = refusal
        self.sessions = set()
        self.draining = False
        self.turnover = Turnover()
        self.on_shed = on_shed
        self.budget = budget or MemoryBudget()
        self._net = net

    def listen(self, host, port):
        """Start listening and return the bound port."""
        return self._net.listen(host, port, self._on_conn, self.limits.socket_bytes)

    def free_memory(self):
        """Make connections give up memory until the budget holds."""
        for session in self.budget.excess_holders():
            self.on_shed("memory")
            session.give_up_memory()

    def drain(self):
        """Close idle connections now and the others after their response."""
        self.draining = True
        for session in list(self.sessions):
            session.close_idle()

    def close_all_except(self, exchange):
        """Close every connection at once, except that of ``exchange``."""
        for session in list(self.sessions):
            if not session.is_answering(exchange):
                session.close_now()

    def _on_conn(self, conn):
        if self.draining:
            conn.abort()
            return
        if len(self.sessions) >= self.limits.connections:
            self.on_shed("connections")
            session = self.turnover.first()
            if session is None:
                conn.abort()
                return
            session.close_now()
        session = Session(self, conn)
        self.sessions.add(session)
        self.turnover.opened(session)
