"""Claims of idempotency keys by one entry, through the ``claims`` stream."""

import attrs

from .claim import ClaimState
from .entry_events import BadLogRecord, KeyOwned, KeyReleaseOwed, LogTruncated
from .feed import Appended, Feed
from .journal import note
from .records import KeyClaimed, KeyReleased, STREAM_CLAIMS
from .refusal import Reason, Refusal

RELEASE_AGAIN_S = 2.0
TICK_S = 0.5


@attrs.define(eq=False)
class _Pending:
    """A claim whose record was not read back yet."""

    key: bytes
    on_done: object
    unsure_since: float | None = None


@attrs.define(eq=False)
class _Owed:
    """A release that was not read back yet."""

    key: bytes
    appended_at: float


class Keys:
    """Claims keys for requests of one seat and releases those that did not run.

    ``memory_ms()`` tells how long a key is remembered. ``decide(event)`` logs.
    ``caught_up`` tells whether the tail of the stream was seen.
    """

    def __init__(self, loop, net, log, seat, memory_ms, decide):
        self._loop = loop
        self._seat = seat
        self._memory_ms = memory_ms
        self._decide = decide
        self._claims = ClaimState()
        self._pending = {}
        self._owed = {}
        self._incarnations = set()
        self.caught_up = False
        self._lost_at = None
        self._read_at = 0.0
        self._feed = Feed(
            loop,
            net,
            log,
            STREAM_CLAIMS,
            self._on_records,
            on_fresh=self._on_fresh,
            on_lost=self._on_lost,
            on_bad=lambda offset, detail: note(
                BadLogRecord(STREAM_CLAIMS, offset, detail)
            ),
        )

    def start(self):
        """Begin to read the claims."""
        self._feed.start()
        self._loop.call_every(TICK_S, self._tick)

    def ready(self):
        """Return whether keys can be claimed now."""
        return self._feed.reachable and self._complete(self._memory_ms())

    @property
    def next_offset(self):
        """The next offset of the claims stream to read."""
        return self._feed.next_offset

    def append(self, record):
        """Append a record of the claims stream for a peer."""
        self._feed.append(record)

    def find(self, key):
        """Return the live Claim of a key that this entry knows of, or None."""
        return self._claims.find(key, self._now_ms())

    def claim(self, key, request, on_done):
        """Ask for a key; ``on_done(True | Refusal)`` is called once, maybe now.

        DUPLICATE: another request has the key. UNAVAILABLE: the log cannot tell.
        """
        objection = self._objection(key)
        if objection is not None:
            on_done(objection)
            return
        self._pending[request] = _Pending(key, on_done)
        self._incarnations.add(self._seat.incarnation)
        seat = self._seat
        record = KeyClaimed(
            key, seat.name, seat.incarnation, request, self._memory_ms()
        )
        self._feed.append(record, lambda result: self._appended(request, result))

    def _objection(self, key):
        if not self._feed.reachable:
            return Refusal(Reason.UNAVAILABLE, "the log is not reachable")
        if not self.ready():
            return Refusal(Reason.UNAVAILABLE, "not all claims were read yet")
        if self.find(key) is not None:
            return Refusal(Reason.DUPLICATE, "the key was used by another request")
        return None

    def _complete(self, memory_ms):
        """Return whether every claim that may still be live is known."""
        if not self.caught_up:
            return False
        if self._claims.complete(self._now_ms(), memory_ms):
            return True
        memory_ms = max(memory_ms, self._claims.longest_memory_ms)
        watched_s = self._loop.now() - self._lost_at
        return watched_s * 1000 >= memory_ms

    def _now_ms(self):
        """Return a lower bound of the log's time."""
        if not self._read_at:
            return self._claims.time_ms
        return self._claims.time_ms + int((self._loop.now() - self._read_at) * 1000)

    def forget(self, request):
        """Give a claim up; if the log holds it, it is released when read back."""
        self._pending.pop(request, None)

    def release(self, key, request):
        """Release the key of a request that did not run."""
        self._decide(KeyReleaseOwed(request))
        self._owed[request] = _Owed(key, 0.0)
        self._append_release(request)

    def _append_release(self, request):
        owed = self._owed[request]
        owed.appended_at = self._loop.now()
        self._feed.append(KeyReleased(owed.key, request))

    def _appended(self, request, result):
        pending = self._pending.get(request)
        if pending is None or isinstance(result, Appended):
            return
        if result.reason is Reason.UNAVAILABLE or not self._feed.reachable:
            self._settle(request, Refusal(Reason.UNAVAILABLE, "the log is not there"))
        else:
            pending.unsure_since = self._loop.now()

    def _settle(self, request, result):
        pending = self._pending.pop(request, None)
        if pending is not None:
            pending.on_done(result)
        return pending is not None

    def _on_records(self, batch):
        for logged in batch:
            result = self._claims.fold(logged)
            record = logged.record
            if isinstance(record, KeyClaimed) and self._is_own(record):
                self._on_own_claim(logged, result)
            elif isinstance(record, KeyReleased):
                self._owed.pop(record.request, None)
        self._read_at = self._loop.now()

    def _is_own(self, record):
        return record.request in self._pending or (
            record.entry == self._seat.name and record.incarnation in self._incarnations
        )

    def _on_own_claim(self, logged, result):
        request = logged.record.request
        if result is True:
            self._decide(KeyOwned(request, logged.offset))
        if self._settle(request, result) or result is not True:
            return
        self.release(logged.record.key, request)

    def _on_fresh(self, sent_s):
        self.caught_up = True
        for request, pending in list(self._pending.items()):
            since = pending.unsure_since
            if since is not None and sent_s > since:
                detail = "the log did not take the claim"
                self._settle(request, Refusal(Reason.UNAVAILABLE, detail))

    def _on_lost(self, earliest):
        note(LogTruncated(STREAM_CLAIMS, earliest))
        self._claims.lose(earliest)
        self._lost_at = self._loop.now()
        self._feed.next_offset = earliest
        self.caught_up = False

    def _tick(self):
        if not self._feed.reachable:
            refusal = Refusal(Reason.UNAVAILABLE, "the log is not reachable")
            for request in list(self._pending):
                self._settle(request, refusal)
            return
        oldest = self._loop.now() - RELEASE_AGAIN_S
        for request, owed in list(self._owed.items()):
            if owed.appended_at < oldest:
                self._append_release(request)
