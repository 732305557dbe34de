"""In-memory stand-in for the platform's log service.

It serves the protocol that ``feed`` describes. Faults: ``log`` may be ``down`` (every
response is 503) or ``hang`` (no responses); ``slow_ms`` delays each response;
``lose_answers`` is the number of coming appends that are applied, but whose connection
is closed instead of a response; ``retain`` is the number of newest records to keep.
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
    """Faults to inject; ``retain`` is in records per stream, 0 keeps all."""

    log: str = STATUS_UP
    slow_ms: int = 0
    lose_answers: int = 0
    retain: int = 0


@attrs.define
class _Stream:
    """Records of one stream; ``earliest`` is the offset of the oldest one kept."""

    records: list = attrs.field(factory=list)
    earliest: int = 0
    pending_reads: list = attrs.field(factory=list)

    @property
    def tail(self):
        return self.earliest + len(self.records)


@attrs.define(eq=False)
class _PendingRead:
    """A read from the stream's tail whose response waits for the next append."""

    exchange: object
    start: int
    limit: int
    timer: object


def cbor_response(value, status=200):
    """Return a response with a CBOR body."""
    return HttpResponse(status, CBOR_HEADERS, cbor2.dumps(value))


class LogStandin:
    """Serves reads and appends below ``/streams/``."""

    def __init__(self, loop):
        self._loop = loop
        self._streams = {}
        self._last_ms = 0
        self.faults = LogFaults()
        self.appends = 0

    def handle(self, exchange):
        """Respond to one read or append, as the injected faults allow."""
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
        self._trim_stream(stream)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            exchange.drop()
        else:
            exchange.respond(cbor_response({"first": first}))
        self._answer_pending(stream)

    def _trim_stream(self, stream):
        excess = len(stream.records) - self.faults.retain
        if self.faults.retain and excess > 0:
            del stream.records[:excess]
            stream.earliest += excess

    def _answer_pending(self, stream):
        pending_reads, stream.pending_reads = stream.pending_reads, []
        for read in pending_reads:
            read.timer.cancel()
            self._send_page(read.exchange, stream, read.start, read.limit)

    def _read(self, exchange, stream, query):
        start = int(query["from"][0])
        limit = int(query["limit"][0])
        wait_ms = min(int(query["wait_ms"][0]), WAIT_LIMIT_MS)
        if start < stream.earliest:
            exchange.respond(cbor_response({"earliest": stream.earliest}, 410))
        elif start < stream.tail or not wait_ms:
            self._send_page(exchange, stream, start, limit)
        else:
            self._wait(exchange, stream, start, limit, wait_ms)

    def _wait(self, exchange, stream, start, limit, wait_ms):
        def expire():
            stream.pending_reads.remove(read)
            self._send_page(exchange, stream, start, limit)

        timer = self._loop.call_later(wait_ms / 1000, expire)
        read = _PendingRead(exchange, start, limit, timer)
        stream.pending_reads.append(read)

    def _send_page(self, exchange, stream, start, limit):
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

    def apply_retention(self):
        """Trim every stream to ``faults.retain`` records."""
        for stream in self._streams.values():
            self._trim_stream(stream)
