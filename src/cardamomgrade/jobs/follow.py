"""Follows one keyed topic of the store: the newest records first, then the log."""

from ..journal import event, note
from .store import Entry, Page, Records, Trimmed

READ_WAIT_MS = 500  # also the grain in which the silence of a scheduler is noticed
READ_TIMEOUT_S = 1.2  # over READ_WAIT_MS and the answer of a store that is slow
PROBE_TIMEOUT_S = 0.7  # of a read that does not wait, after a failure
RETRY_S = 0.1
MS = 1000


@event(620)
class StoreReachable:
    """Reads of a topic succeed again, or fail now."""

    topic: str
    reachable: bool
    detail: str


@event(621)
class TopicLoaded:
    """The newest records of a topic were read whole."""

    topic: str
    keys: int
    end: int
    why: str


class TopicFollower:
    """Calls ``on_entry(Entry)`` for each change of a key, in the order of the topic.

    ``on_read`` is called after every good read, ``on_fail`` after every other.
    ``pause_s`` is the shortest time
    between two reads. ``fresh_at`` is when the last good answer came.
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
        self.fresh_at = float("-inf")

    def start(self):
        """Begin to read."""
        self._load("start")

    def close(self):
        """Stop reading and drop the connections."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._client.close()

    @property
    def failing(self):
        """Whether the last call to the store failed."""
        return self._failing

    def age(self):
        """Return the seconds since the last good answer."""
        return self._loop.now() - self.fresh_at

    def _later(self, delay, callback):
        if not self._closed:
            self._timer = self._loop.call_later(delay, callback)

    def _load(self, why, after="", found=None, end=None):
        found = {} if found is None else found

        def done(page):
            if self._closed:
                return
            if not isinstance(page, Page):
                self._failed(page.detail)
                self._later(RETRY_S, lambda: self._load(why))
                return
            self._succeeded()
            found.update((entry.key, entry) for entry in page.entries)
            first_end = page.end if end is None else end
            if page.more and page.entries:
                self._load(why, page.entries[-1].key, found, first_end)
            else:
                self._loaded(found, first_end, why)

        self._client.newest(after, done, READ_TIMEOUT_S)

    def _loaded(self, found, end, why):
        gone = [
            key
            for key, offset in self._offsets.items()
            if key not in found and offset < end
        ]
        for key in gone:
            self._give(Entry(end - 1, key, b""))
        for entry in sorted(found.values(), key=lambda item: item.offset):
            self._give(entry)
        self.next_offset = max(end, 0)
        self.loaded = True
        note(TopicLoaded(self._topic, len(found), end, why))
        self._on_read()
        self._read()

    def _give(self, entry):
        if entry.offset <= self._offsets.get(entry.key, -1):
            return
        self._offsets[entry.key] = entry.offset
        self._on_entry(entry)

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
                self._later(RETRY_S, self._read)
                return
            self._take(result)
            self._on_read()
            self._later(self.pause_s, self._read)

        self._client.read(self.next_offset, wait_ms, done, timeout)

    def _take(self, records):
        self._succeeded()
        for entry in records.entries:
            if entry.offset >= self.next_offset:
                self._give(entry)
        self.next_offset = max(self.next_offset, records.next_offset)

    def sync(self, client, on_done):
        """Read up to the present end through another client.

        ``on_done(True)`` is called once all that was stored before this call was
        given to ``on_entry``; ``on_done(False)`` when the store did not answer.
        """

        def done(result):
            if isinstance(result, Records) and not self._closed:
                self._take(result)
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
            note(StoreReachable(self._topic, False, str(detail)))

    def _succeeded(self):
        self.fresh_at = self._loop.now()
        if self._failing:
            self._failing = False
            note(StoreReachable(self._topic, True, ""))
