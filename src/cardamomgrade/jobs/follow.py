"""Follows a keyed topic of the store: loads the newest records, then reads the log."""

import logging
import traceback
from pathlib import Path

from ..journal import event, log_event
from .store import Entry, Page, Records, Trimmed

READ_WAIT_MS = 500  # a missing scheduler is noticed up to this much later
READ_TIMEOUT_S = 1.2  # covers READ_WAIT_MS and the answer of a slow store
PROBE_TIMEOUT_S = 0.7  # for reads that do not wait for new records
RETRY_S = 0.1
ERROR_SHOWN_CHARS = 200
MS = 1000


@event(620)
class StoreReachable:
    """Reads of a topic succeed again, or began to fail."""

    topic: str
    reachable: bool
    detail: str


@event(621)
class TopicLoaded:
    """The newest record of every key of a topic was read."""

    topic: str
    keys: int
    end: int
    why: str


@event(659, logging.ERROR)
class EntryNotApplied:
    """Applying a record raised an error, which is a fault of this program.

    The record may have been applied in part. ``detail`` has the error and its place.
    """

    topic: str
    key: str
    offset: int
    detail: str


class TopicFollower:
    """Calls ``on_entry(Entry)`` for each change of a key, in the order of the topic.

    ``on_read()`` is called after every successful read, ``on_fail()`` after a failed
    one. An error that ``on_entry`` raises is logged, and the next record is delivered:
    a stored record would raise it again in a new process. ``pause_s`` is the pause in
    seconds before the next read of the log, ``read_at`` the monotonic time of the last
    successful answer, and ``gap_s`` the seconds between it and the one before, infinite
    for the first.
    """

    def __init__(
        self, loop, client, topic, on_entry, on_read=None, pause_s=0.0, on_fail=None
    ):
        self._loop = loop
        self._client = client
        self._topic = topic
        self._on_entry = on_entry
        self._on_read = on_read or (lambda: None)
        self._on_fail = on_fail or (lambda: None)
        self._offsets = {}
        self._timer = None
        self._failing = False
        self._closed = False
        self.pause_s = pause_s
        self.next_offset = 0
        self.loaded = False
        self.read_at = float("-inf")
        self.gap_s = float("inf")

    def start(self):
        """Load the newest records, then follow the log."""
        self._load("start")

    def close(self):
        """Stop reading and drop the connections of the client."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._client.close()

    @property
    def failing(self):
        """Whether the last read of the topic failed."""
        return self._failing

    def age(self):
        """Return the seconds since the last successful answer, infinite before it."""
        return self._loop.now() - self.read_at

    def _schedule(self, delay, callback):
        if not self._closed:
            self._timer = self._loop.call_later(delay, callback)

    def _load(self, why, after="", entries=None, end=None):
        entries = {} if entries is None else entries

        def done(page):
            if self._closed:
                return
            if not isinstance(page, Page):
                self._failed(page.detail)
                self._schedule(RETRY_S, lambda: self._load(why))
                return
            self._succeeded(is_first=end is None)
            known = len(entries)
            entries.update((entry.key, entry) for entry in page.entries)
            first_end = page.end if end is None else end
            # A key that is not UTF-8 cannot be sent back; its page may come again.
            if page.more and len(entries) > known:
                self._load(why, page.entries[-1].key, entries, first_end)
            else:
                self._on_loaded(entries, first_end, why, not page.more)

        self._client.newest(after, done, READ_TIMEOUT_S)

    def _on_loaded(self, entries, end, why, is_complete):
        deleted = [
            key
            for key, offset in self._offsets.items()
            if is_complete and key not in entries and offset < end
        ]
        for key in deleted:
            self._deliver(Entry(end - 1, key, b""))
        for entry in sorted(entries.values(), key=lambda item: item.offset):
            self._deliver(entry)
        self.next_offset = max(end, 0)
        self.loaded = True
        why = why if is_complete else f"{why}; the pages do not go on"
        log_event(TopicLoaded(self._topic, len(entries), end, why))
        self._on_read()
        self._read()

    def _deliver(self, entry):
        if entry.offset <= self._offsets.get(entry.key, -1):
            return
        self._offsets[entry.key] = entry.offset
        try:
            self._on_entry(entry)
        except Exception as exc:
            detail = _describe(exc)
            log_event(EntryNotApplied(self._topic, entry.key, entry.offset, detail))

    def _read(self):
        wait_ms = 0 if self._failing else READ_WAIT_MS
        timeout = PROBE_TIMEOUT_S if self._failing else READ_TIMEOUT_S

        def done(result):
            if self._closed:
                return
            if isinstance(result, Trimmed):
                self._load("records expired")
                return
            if not isinstance(result, Records):
                self._failed(result.detail)
                self._schedule(RETRY_S, self._read)
                return
            self._process(result)
            self._on_read()
            self._schedule(self.pause_s, self._read)

        self._client.read(self.next_offset, wait_ms, done, timeout)

    def _process(self, records):
        self._succeeded()
        for entry in records.entries:
            if entry.offset >= self.next_offset:
                self._deliver(entry)
        self.next_offset = max(self.next_offset, records.next_offset)

    def sync(self, client, on_done):
        """Read up to the current end of the topic through another client.

        Calls ``on_done(True)`` once ``on_entry`` was called for every record stored
        before this call, or ``on_done(False)`` when the read failed.
        """

        def done(result):
            if isinstance(result, Records) and not self._closed:
                self._process(result)
                caught_up = result.next_offset >= result.end
                if not caught_up:
                    self.sync(client, on_done)
                    return
            on_done(isinstance(result, Records))

        client.read(self.next_offset, 0, done, PROBE_TIMEOUT_S)

    def _failed(self, detail):
        self._on_fail()
        if not self._failing:
            self._failing = True
            log_event(StoreReachable(self._topic, False, str(detail)))

    def _succeeded(self, is_first=True):
        now = self._loop.now()
        if is_first:
            self.gap_s = now - self.read_at
        self.read_at = now
        if self._failing:
            self._failing = False
            log_event(StoreReachable(self._topic, True, ""))


def _describe(exc):
    """Return the text of an error and the line of code that raised it."""
    place = traceback.extract_tb(exc.__traceback__)[-1]
    text = repr(exc)[:ERROR_SHOWN_CHARS]
    return f"{text} at {Path(place.filename).name}:{place.lineno}"
