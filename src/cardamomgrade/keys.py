"""Claims of idempotency keys by one entry, through the ``claims`` stream of the log.

A claim is decided by the order of the records in the stream: it is appended, and its
outcome is known when the record is read back.
"""

import attrs

from .claim import ClaimState
from .entry_events import BadLogRecord, KeyOwned, KeyReleaseOwed, LogTruncated
from .feed import Appended, Feed
from .journal import log_event
from .records import KeyClaimed, KeyReleased, STREAM_CLAIMS
from .refusal import Reason, Refusal

RELEASE_RETRY_S = 2.0
TICK_S = 0.5


@attrs.define(eq=False)
class _PendingClaim:
    """A claim whose record has not been read back.

    ``unsure_since`` is the loop time at which the append failed without showing
    whether the log has the record.
    """

    key: bytes
    on_done: object
    unsure_since: float | None = None


@attrs.define(eq=False)
class _OwedRelease:
    """A release whose record has not been read back."""

    key: bytes
    appended_at: float


class Keys:
    """Claims the keys of one seat's requests and releases those that did not run.

    ``memory_ms()`` returns how long a key is remembered, ``record_event(event)`` logs
    an event. ``caught_up`` tells whether a read has reached the tail of the stream.
    """

    def __init__(self, loop, net, log, seat, memory_ms, record_event):
        self._loop = loop
        self._seat = seat
        self._memory_ms = memory_ms
        self._record_event = record_event
        self._claims = ClaimState()
        self._pending = {}
        self._owed_releases = {}
        self._incarnations = set()
        self.caught_up = False
        self._truncated_at = None
        self._read_at = 0.0
        self._feed = Feed(
            loop,
            net,
            log,
            STREAM_CLAIMS,
            self._on_records,
            on_fresh=self._on_fresh,
            on_truncated=self._on_lost,
            on_unreadable=lambda offset, detail: log_event(
                BadLogRecord(STREAM_CLAIMS, offset, detail)
            ),
        )

    def start(self):
        """Start reading the claims stream."""
        self._feed.start()
        self._loop.call_every(TICK_S, self._tick)

    def ready(self):
        """Return whether keys can be claimed now.

        The log must be reachable and all live claims known.
        """
        return self._feed.reachable and self._complete(self._memory_ms())

    @property
    def next_offset(self):
        """The offset of the claims stream that is read next."""
        return self._feed.next_offset

    def append(self, record):
        """Append a record to the claims stream on behalf of a peer."""
        self._feed.append(record)

    def find(self, key):
        """Return the live Claim of a key as far as the stream was read, or None."""
        return self._claims.find(key, self._now_ms())

    def claim(self, key, request, on_done):
        """Claim a key for a request.

        ``on_done(True | Refusal)`` is called once, possibly before this returns, but
        not after ``abandon``. The reason of a Refusal is DUPLICATE when another request
        has the key, or UNAVAILABLE when the log cannot be used to decide.
        """
        refusal = self._claim_refusal(key)
        if refusal is not None:
            on_done(refusal)
            return
        self._pending[request] = _PendingClaim(key, on_done)
        self._incarnations.add(self._seat.incarnation)
        seat = self._seat
        record = KeyClaimed(
            key, seat.name, seat.incarnation, request, self._memory_ms()
        )
        self._feed.append(record, lambda result: self._appended(request, result))

    def _claim_refusal(self, key):
        if not self._feed.reachable:
            return Refusal(Reason.UNAVAILABLE, "the log is not reachable")
        if not self.ready():
            return Refusal(Reason.UNAVAILABLE, "not all claims were read yet")
        if self.find(key) is not None:
            return Refusal(Reason.DUPLICATE, "the key was used by another request")
        return None

    def _complete(self, memory_ms):
        """Return whether every claim that may still be live is known.

        After records were lost to truncation, that is so when the longest time that a
        key is remembered has passed since.
        """
        if not self.caught_up:
            return False
        if self._claims.complete(self._now_ms(), memory_ms):
            return True
        memory_ms = max(memory_ms, self._claims.longest_memory_ms)
        watched_s = self._loop.now() - self._truncated_at
        return watched_s * 1000 >= memory_ms

    def _now_ms(self):
        """Return a lower bound of the log's current time in milliseconds."""
        if not self._read_at:
            return self._claims.time_ms
        return self._claims.time_ms + int((self._loop.now() - self._read_at) * 1000)

    def abandon(self, request):
        """Abandon a pending claim; if the log has it, it is released when read back."""
        self._pending.pop(request, None)

    def release(self, key, request):
        """Release the key of a request that did not run.

        The release is appended again until it is read back.
        """
        self._record_event(KeyReleaseOwed(request))
        self._owed_releases[request] = _OwedRelease(key, 0.0)
        self._append_release(request)

    def _append_release(self, request):
        owed = self._owed_releases[request]
        owed.appended_at = self._loop.now()
        self._feed.append(KeyReleased(owed.key, request))

    def _appended(self, request, result):
        pending = self._pending.get(request)
        if pending is None or isinstance(result, Appended):
            return
        if result.reason is Reason.UNAVAILABLE or not self._feed.reachable:
            self._resolve(request, Refusal(Reason.UNAVAILABLE, "the log is not there"))
        else:
            pending.unsure_since = self._loop.now()

    def _resolve(self, request, result):
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
                self._owed_releases.pop(record.request, None)
        self._read_at = self._loop.now()

    def _is_own(self, record):
        return record.request in self._pending or (
            record.entry == self._seat.name and record.incarnation in self._incarnations
        )

    def _on_own_claim(self, logged, result):
        request = logged.record.request
        if result is True:
            self._record_event(KeyOwned(request, logged.offset))
        if self._resolve(request, result) or result is not True:
            return
        self.release(logged.record.key, request)

    def _on_fresh(self, sent_s):
        self.caught_up = True
        for request, pending in list(self._pending.items()):
            since = pending.unsure_since
            if since is not None and sent_s > since:
                detail = "the log did not take the claim"
                self._resolve(request, Refusal(Reason.UNAVAILABLE, detail))

    def _on_lost(self, earliest):
        log_event(LogTruncated(STREAM_CLAIMS, earliest))
        self._claims.restart_at(earliest)
        self._truncated_at = self._loop.now()
        self._feed.next_offset = earliest
        self.caught_up = False

    def _tick(self):
        if not self._feed.reachable:
            refusal = Refusal(Reason.UNAVAILABLE, "the log is not reachable")
            for request in list(self._pending):
                self._resolve(request, refusal)
            return
        oldest = self._loop.now() - RELEASE_RETRY_S
        for request, owed in list(self._owed_releases.items()):
            if owed.appended_at < oldest:
                self._append_release(request)
