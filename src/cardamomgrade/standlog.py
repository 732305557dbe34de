"""Stand-in of the platform's log service, kept in memory.

It speaks the protocol that ``feed`` describes. Faults: ``down`` answers 503, ``hang``
never answers, ``slow_ms`` delays each answer, ``lose_answers`` closes the connection
after that many appends took effect, ``retain`` keeps only the newest records.
"""

import time
from urllib.parse import parse_qs, urlsplit

import attrs
import cbor2

from .wire import HttpResponse

STATUS_UP = "up"
STATUS_DOWN = "down"
STATUS_HANG = "hang"
CBOR_HEADERS = ((b"content-type", b"application/cbor"),)
WAIT_LIMIT_MS = 5000


@attrs.define
class LogFaults:
    """Faults in force; ``retain`` is in records a stream, 0 keeps all."""

    log: str = STATUS_UP
    slow_ms: int = 0
    lose_answers: int = 0
    retain: int = 0


@attrs.define
class _Stream:
    """Records of one stream; ``earliest`` is the offset of the first kept."""

    records: list = attrs.field(factory=list)
    earliest: int = 0
    waiters: list = attrs.field(factory=list)

    @property
    def tail(self):
        return self.earliest + len(self.records)


@attrs.define(eq=False)
class _Waiter:
    """A reader at the tail that waits for a record."""

    exchange: object
    start: int
    limit: int
    timer: object


def cbor_response(value, status=200):
    """Return a response with a CBOR body."""
    return HttpResponse(status, CBOR_HEADERS, cbor2.dumps(value))


class LogStandin:
    """Answers exchanges under ``/streams/``."""

    def __init__(self, loop):
        self._loop = loop
        self._streams = {}
        self._last_ms = 0
        self.faults = LogFaults()
        self.appends = 0

    def handle(self, exchange):
        """Answer one read or append, under the faults in force."""
        if self.faults.log == STATUS_HANG:
            return
        if self.faults.log == STATUS_DOWN:
            exchange.respond(HttpResponse(503))
            return
        if self.faults.slow_ms:
            delay = self.faults.slow_ms / 1000
            self._loop.call_later(delay, lambda: self._serve(exchange))
            return
        self._serve(exchange)

    def _serve(self, exchange):
        parts = urlsplit(exchange.req.target)
        name = parts.path.rpartition("/")[2]
        stream = self._streams.setdefault(name, _Stream())
        if exchange.req.method == "POST":
            self._append(exchange, stream)
        else:
            self._read(exchange, stream, parse_qs(parts.query))

    def _append(self, exchange, stream):
        first = stream.tail
        self._last_ms = max(self._last_ms, int(time.time() * 1000))
        for data in cbor2.loads(exchange.req.body):
            stream.records.append((stream.tail, self._last_ms, data))
            self.appends += 1
        self._retain(stream)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            exchange.drop()
        else:
            exchange.respond(cbor_response({"first": first}))
        self._wake(stream)

    def _retain(self, stream):
        excess = len(stream.records) - self.faults.retain
        if self.faults.retain and excess > 0:
            del stream.records[:excess]
            stream.earliest += excess

    def _wake(self, stream):
        waiters, stream.waiters = stream.waiters, []
        for waiter in waiters:
            waiter.timer.cancel()
            self._page(waiter.exchange, stream, waiter.start, waiter.limit)

    def _read(self, exchange, stream, query):
        start = int(query["from"][0])
        limit = int(query["limit"][0])
        wait_ms = min(int(query["wait_ms"][0]), WAIT_LIMIT_MS)
        if start < stream.earliest:
            exchange.respond(cbor_response({"earliest": stream.earliest}, 410))
        elif start < stream.tail or not wait_ms:
            self._page(exchange, stream, start, limit)
        else:
            self._wait(exchange, stream, start, limit, wait_ms)

    def _wait(self, exchange, stream, start, limit, wait_ms):
        def give_up():
            stream.waiters.remove(waiter)
            self._page(exchange, stream, start, limit)

        timer = self._loop.call_later(wait_ms / 1000, give_up)
        waiter = _Waiter(exchange, start, limit, timer)
        stream.waiters.append(waiter)

    def _page(self, exchange, stream, start, limit):
        if self.faults.log != STATUS_UP:
            exchange.respond(HttpResponse(503))
            return
        first = start - stream.earliest
        page = {
            "tail": stream.tail,
            "earliest": stream.earliest,
            "records": stream.records[first : first + limit],
        }
        exchange.respond(cbor_response(page))

    def trim(self):
        """Apply a changed retention to every stream."""
        for stream in self._streams.values():
            self._retain(stream)
