"""Client of the platform's log service.

Protocol: ``GET /streams/NAME?from=F&limit=L&wait_ms=W`` returns a CBOR map with
``tail`` (the next offset), ``earliest`` (the first retained offset) and ``records``
(arrays of offset, time in ms, bytes), or status 410 if ``from`` is no longer retained.
``POST /streams/NAME`` takes a CBOR array of byte strings, one for each record, and
returns a CBOR map with ``first``, the offset of the first of them.
"""

import logging
import random
from collections import deque

import attrs
import cbor2

from .client import Requester
from .errors import RecordError
from .journal import event, log_event
from .records import decode_record, encode_record, Logged, UnknownRecord
from .refusal import Reason, Refusal
from .wire import HttpRequest, HttpResponse

READ_LIMIT_RECORDS = 500
READ_WAIT_MS = 1000
READ_TIMEOUT_S = 3.0
APPEND_TIMEOUT_S = 2.0
APPEND_BATCH_RECORDS = 200
APPEND_DELAY_S = 0.005
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
BODY_LIMIT_BYTES = 16 * 1024 * 1024


@event(1, logging.ERROR)
class ReaderFailed:
    """The handler of a stream's records raised an exception; the process exits."""

    stream: str
    offset: int
    detail: str


@attrs.frozen
class Appended:
    """The offset that the log assigned to an appended record."""

    offset: int


@attrs.frozen
class FeedStatus:
    """Bounds of the stream at the last read.

    ``tail`` is the next offset, ``earliest`` the first one that is retained.
    """

    tail: int
    earliest: int


@attrs.define
class Backoff:
    """Exponential retry delays in seconds, with jitter.

    Each is ``min_s / 2`` plus a random part of a bound that doubles from ``min_s`` up
    to ``max_s``.
    """

    rng: random.Random
    min_s: float = RETRY_MIN_S
    max_s: float = RETRY_MAX_S
    _attempts: int = 0

    def next(self):
        """Return the delay before the next attempt."""
        bound = min(self.max_s, self.min_s * 2**self._attempts)
        self._attempts = min(self._attempts + 1, 16)
        return self.min_s / 2 + self.rng.random() * bound

    def reset(self):
        """Restart from the shortest delay."""
        self._attempts = 0


def log_request(stream, start, limit=READ_LIMIT_RECORDS, wait_ms=0):
    """Return the request that reads a stream."""
    target = f"/streams/{stream}?from={start}&limit={limit}&wait_ms={wait_ms}"
    return HttpRequest("GET", target, ((b"host", b"log"),))


def append_request(stream, records):
    """Return the request that appends records to a stream."""
    body = cbor2.dumps([encode_record(record) for record in records])
    return HttpRequest("POST", f"/streams/{stream}", ((b"host", b"log"),), body)


def parse_read(response):
    """Return (FeedStatus, list of raw records) from the response to a read."""
    page = cbor2.loads(response.body)
    return FeedStatus(page["tail"], page["earliest"]), page["records"]


def parse_append(response):
    """Return the offset of the first appended record from the response."""
    return cbor2.loads(response.body)["first"]


class Feed:
    """Reads one stream in order from an offset and appends to it.

    ``on_records(list of Logged)`` gets each record once, in offset order, whether it
    was read from the log or passed to ``accept``. An exception from it stops the loop.
    Optional hooks:

    - ``on_fresh(sent_s)`` is called when a read that was sent at ``sent_s`` has
      returned the tail and all records before it have been delivered.
    - ``on_truncated(earliest)`` is called when the next offset is no longer retained.
    - ``on_raw(raw)`` gets each list of raw records that were new.
    - ``on_unreadable(offset, detail)`` is called for a record that cannot be decoded
      or is of an unknown version or kind.
    - ``rng`` is the random.Random of the retry delays.
    """

    def __init__(self, loop, net, address, stream, on_records, **hooks):
        self._loop = loop
        self._stream = stream
        self._on_records = on_records
        self._on_fresh = hooks.get("on_fresh") or (lambda sent_s: None)
        self._on_truncated = hooks.get("on_truncated") or (lambda earliest: None)
        self._on_raw = hooks.get("on_raw") or (lambda raw: None)
        self._on_unreadable = hooks.get("on_unreadable") or (
            lambda offset, detail: None
        )
        rng = hooks.get("rng") or random.Random()
        self._reader = Requester(loop, net, address, BODY_LIMIT_BYTES)
        self._writer = Requester(loop, net, address)
        self._backoff = Backoff(rng)
        self._queue = deque()
        self._appending = False
        self.next_offset = 0
        self.status = FeedStatus(0, 0)
        self.reachable = False

    def start(self, offset=0):
        """Start reading at ``offset``."""
        self.next_offset = offset
        self._read()

    def _read(self):
        sent_s = self._loop.now()
        wait_ms = READ_WAIT_MS if self.reachable else 0
        req = log_request(self._stream, self.next_offset, wait_ms=wait_ms)
        self._reader.request(
            req, lambda res: self._read_done(res, sent_s), READ_TIMEOUT_S
        )

    def _read_done(self, result, sent_s):
        status = result.status if isinstance(result, HttpResponse) else 0
        if status == 410:
            self._on_truncated(cbor2.loads(result.body)["earliest"])
        if status != 200:
            self.reachable = False
            self._loop.call_later(self._backoff.next(), self._read)
            return
        self.reachable = True
        self._backoff.reset()
        self.status, raw = parse_read(result)
        self.accept(raw)
        if self.next_offset >= self.status.tail:
            self._on_fresh(sent_s)
        self._loop.call_later(0, self._read)

    def accept(self, raw):
        """Deliver raw records [offset, time in ms, bytes].

        Records other than the next one in offset order are skipped.
        """
        batch, new_items = [], []
        for item in raw:
            offset, time_ms, data = item
            if offset != self.next_offset:
                continue
            self.next_offset = offset + 1
            new_items.append(item)
            record = self._decode(offset, data)
            if record is not None:
                batch.append(Logged(offset, time_ms, record))
        if new_items:
            self._on_raw(new_items)
        if batch:
            self._call_handler(batch)

    def _call_handler(self, batch):
        try:
            self._on_records(batch)
        except Exception as exc:
            log_event(ReaderFailed(self._stream, batch[0].offset, repr(exc)))
            self._loop.fail()
            raise

    def _decode(self, offset, data):
        try:
            record = decode_record(data)
        except RecordError as exc:
            self._on_unreadable(offset, str(exc))
            return None
        if isinstance(record, UnknownRecord):
            self._on_unreadable(offset, f"version {record.version} kind {record.kind}")
        return record

    def append(self, record, on_done=None):
        """Append a record, without retries; call ``on_done(Appended | Refusal)``.

        The reason of a Refusal is ``UNAVAILABLE`` if the log does not hold the record,
        or ``UNKNOWN`` if it may hold it, which only reading the stream can show.
        """
        self._queue.append((record, on_done or (lambda result: None)))
        if not self._appending:
            self._appending = True
            self._loop.call_later(APPEND_DELAY_S, self._append_next)

    def _append_next(self):
        if not self._queue:
            self._appending = False
            return
        count = min(len(self._queue), APPEND_BATCH_RECORDS)
        batch = [self._queue.popleft() for _ in range(count)]
        req = append_request(self._stream, [record for record, _ in batch])
        self._writer.request(
            req, lambda result: self._append_done(batch, result), APPEND_TIMEOUT_S
        )

    def _append_done(self, batch, result):
        if isinstance(result, HttpResponse) and result.status == 200:
            first = parse_append(result)
            outcomes = [Appended(first + index) for index in range(len(batch))]
        else:
            outcomes = [_append_refusal(result)] * len(batch)
        for (_, on_done), outcome in zip(batch, outcomes, strict=True):
            on_done(outcome)
        self._append_next()


def _append_refusal(result):
    if isinstance(result, HttpResponse):
        return Refusal(
            Reason.UNAVAILABLE, f"the log service returned status {result.status}"
        )
    if result.sent:
        return Refusal(Reason.UNKNOWN, result.detail)
    return Refusal(Reason.UNAVAILABLE, result.detail)
