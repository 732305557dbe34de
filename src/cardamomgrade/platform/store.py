"""Client of the platform's store: appends, reads and the newest record of each key."""

import base64
import struct
from urllib.parse import quote

from ..client import Failure, Requester
from ..errors import FeedError
from ..jobs.store import (
    Appended,
    AppendFailed,
    AppendFate,
    Entry,
    Page,
    ReadFailed,
    Records,
    Trimmed,
)
from ..wire import HttpRequest
from .checks import is_int, is_text, parse_object, replace_surrogates

TOPIC_JOBS = "keyed.jobs"
TOPIC_OPERATOR = "keyed.op"
TOPIC_EXECUTORS = "keyed.servers"
TOPIC_STATUS = "keyed.status"
PARTITION = 0
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024  # well above the size of a page or a read
READ_LIMIT_KB = 1024  # the store's default for one read
READ_LIMIT_S = 10.0  # for an answer that is arriving; 1 MB at 1 Mbit/s takes 8 s
_RECORD_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")


def encode_items(items):
    """Return the body of an append of (key, value) pairs; an empty value deletes."""
    parts = []
    for key, value in items:
        name = key.encode()
        parts.append(_RECORD_LENGTH.pack(1 + len(name) + len(value)))
        parts.append(bytes((len(name),)) + name + value)
    return b"".join(parts)


def decode_read(body, start):
    """Return the Records in the body of a read from offset ``start``.

    Raises FeedError when the body is truncated.
    """
    if len(body) < _READ_HEADER.size:
        raise FeedError("read: truncated before the offsets")
    end, _ = _READ_HEADER.unpack_from(body)
    entries, pos, offset = [], _READ_HEADER.size, start
    while pos < len(body):
        if pos + _RECORD_LENGTH.size > len(body):
            raise FeedError("read: truncated record")
        (size,) = _RECORD_LENGTH.unpack_from(body, pos)
        pos += _RECORD_LENGTH.size
        record = body[pos : pos + size]
        if len(record) != size:
            raise FeedError("read: truncated record")
        pos += size
        entries.append(_decode_entry(offset, record))
        offset += 1
    return Records(end, offset, tuple(entries))


def _decode_entry(offset, record):
    size = record[0] if record else 0
    if 1 + size > len(record):
        return Entry(offset, "", b"")  # no key of ours; a reader must get past it
    key = record[1 : 1 + size].decode("utf-8", "replace")
    return Entry(offset, key, record[1 + size :])


def _decode_page(body):
    try:
        # Keys may be of any writer; one that is not UTF-8 must not hide the others.
        fields = parse_object(body.decode("utf-8", "replace"))
        items, end = fields.get("items"), fields.get("end")
        if not isinstance(items, list) or not is_int(end, low=0):
            raise ValueError("no items or no end")
        entries = tuple(_newest_entry(item) for item in items)
    except ValueError as exc:
        raise FeedError(f"newest: {exc}") from exc
    return Page(entries, bool(fields.get("morePages")), end)


def _newest_entry(item):
    if not isinstance(item, dict):
        raise ValueError("an item is no table")
    offset, key, value = item.get("offset"), item.get("key"), item.get("value")
    if not (is_int(offset, low=0) and isinstance(key, str) and is_text(value)):
        raise ValueError("an item lacks a field or has one of the wrong type")
    return Entry(offset, replace_surrogates(key), base64.b64decode(value))


def _int_field(body, name):
    try:
        value = parse_object(body).get(name)
    except ValueError:
        return None
    return value if is_int(value, low=0) else None


class TopicClient:
    """Calls for one topic; reads and appends have separate connections.

    The timeout of a read starts anew while its answer arrives, which may be slow: a
    node on a narrow link would otherwise ask for the same records for ever.
    """

    def __init__(self, loop, net, address, topic):
        self._reads = Requester(loop, net, address, ANSWER_LIMIT_BYTES)
        self._appends = Requester(loop, net, address)
        self._host = ((b"host", address.encode()),)
        self._topic = topic

    def close(self):
        """Drop the connections; calls in flight make no callback."""
        self._reads.close()
        self._appends.close()

    def _target(self, call, **options):
        query = "&".join(f"{key}={quote(str(value))}" for key, value in options.items())
        return f"/api/{call}?topic={self._topic}&part={PARTITION}&{query}".rstrip("&")

    def append(self, items, on_done, timeout, at=None, writer=None):
        """Append (key, value) pairs; call ``on_done(Appended | AppendFailed)``.

        ``timeout`` is in seconds. The append fails unless the topic ends at the offset
        ``at``, if given; ``writer`` is a WriterPosition, or None to append unnumbered.
        """
        options = {}
        if writer is not None:
            options = {
                "producer": writer.name,
                "epoch": writer.epoch,
                "sequence": writer.sequence,
            }
        if at is not None:
            options["at"] = at
        headers = (*self._host, (b"content-type", b"application/octet-stream"))
        target = self._target("log-append", **options)
        req = HttpRequest("POST", target, headers, encode_items(items))
        self._appends.request(req, lambda res: on_done(_append_result(res)), timeout)

    def cancel_append(self):
        """Drop the append in flight; it makes no callback."""
        self._appends.cancel()

    def read(self, start, wait_ms, on_done, timeout):
        """Read from an offset; call ``on_done(Records | Trimmed | ReadFailed)``."""
        options = {"from": start, "maxKb": READ_LIMIT_KB}
        if wait_ms:
            options["waitMs"] = wait_ms
        target = self._target("log-read", **options)

        def done(res):
            on_done(_read_result(res, start))

        req = HttpRequest("GET", target, self._host)
        self._reads.request(req, done, timeout, READ_LIMIT_S)

    def newest(self, after, on_done, timeout):
        """Read the newest record of each key after the key ``after``, one page.

        Calls ``on_done(Page | ReadFailed)``.
        """
        options = {"after": after} if after else {}
        target = self._target("log-newest", **options)

        def done(res):
            on_done(_page_result(res))

        req = HttpRequest("GET", target, self._host)
        self._reads.request(req, done, timeout, READ_LIMIT_S)


def _append_result(res):
    if isinstance(res, Failure):
        fate = AppendFate.UNKNOWN if res.sent else AppendFate.NOT_DONE
        return AppendFailed(fate, res.detail)
    if res.status == 200:
        return Appended(_int_field(res.body, "offset") or 0)
    if res.status == 412:
        return AppendFailed(
            AppendFate.MOVED_ON, "the topic does not end at the offset given"
        )
    if res.status == 409:
        fenced = b"fenced" in res.body
        fate = AppendFate.FENCED if fenced else AppendFate.OUT_OF_SEQUENCE
        return AppendFailed(fate, res.body.decode("utf-8", "replace"))
    if res.status in (429, 503, 507):
        return AppendFailed(AppendFate.NOT_DONE, f"store answered {res.status}")
    return AppendFailed(AppendFate.UNKNOWN, f"store answered {res.status}")


def _read_result(res, start):
    if isinstance(res, Failure):
        return ReadFailed(res.detail)
    if res.status == 410:
        return Trimmed(_int_field(res.body, "first") or 0)
    if res.status != 200:
        return ReadFailed(f"store answered {res.status}")
    try:
        return decode_read(res.body, start)
    except FeedError as exc:
        return ReadFailed(str(exc))


def _page_result(res):
    if isinstance(res, Failure):
        return ReadFailed(res.detail)
    if res.status != 200:
        return ReadFailed(f"store answered {res.status}")
    try:
        return _decode_page(res.body)
    except FeedError as exc:
        return ReadFailed(str(exc))
