"""Follows the fleet stream; appends to it and reads the outcome of each append back."""

import attrs

from .feed import Appended, Feed
from .fleet import LEASE_MS
from .records import STREAM_FLEET
from .refusal import Reason, Refusal
from .replica import FoldedRecord, Replica

READ_BACK_TIMEOUT_S = 5.0
PAUSE_CHECK_INTERVAL_S = 0.5
PAUSE_MIN_S = 5.0
MS_PER_S = 1000
UNKNOWN_OFFSET = -1


@attrs.define(eq=False)
class _Pending:
    """An appended record that has not been read back yet.

    ``first_offset`` is the lowest offset that it may have. ``append_ended_s`` is when
    the append succeeded or ended with an unknown result, or -1 before that.
    """

    record: object
    on_outcome: object
    first_offset: int
    offset: int = UNKNOWN_OFFSET
    append_ended_s: float = -1.0


class Follower:
    """Keeps a Replica up to date from a Feed.

    ``on_results(list)`` gets the FoldedRecord and Restored items of each read. Optional
    hooks:

    - ``on_fresh()`` is called after each read that reached the tail.
    - ``on_resumed()`` is called when the state is fresh again after a pause of the
      process or after the lease has lapsed.
    - ``on_truncated(earliest)``, ``on_unreadable(offset, detail)``, ``on_raw(raw)`` and
      ``rng`` are those of Feed.
    """

    def __init__(self, loop, net, address, on_results, **hooks):
        self._loop = loop
        self._on_results = on_results
        self._on_fresh_hook = hooks.get("on_fresh") or (lambda: None)
        self._on_resumed = hooks.get("on_resumed") or (lambda: None)
        self._on_truncated_hook = hooks.get("on_truncated") or (lambda earliest: None)
        self._pending = []
        self._tail_read_s = None
        self._last_fold_s = 0.0
        self._last_check_s = loop.now()
        self._resumed_s = None
        self.replica = Replica()
        self.feed = Feed(
            loop,
            net,
            address,
            STREAM_FLEET,
            self._on_records,
            on_fresh=self._on_fresh,
            on_truncated=self._on_truncated,
            on_unreadable=hooks.get("on_unreadable"),
            on_raw=hooks.get("on_raw"),
            rng=hooks.get("rng"),
        )

    def start(self):
        """Start reading at the start of the stream."""
        self._last_check_s = self._loop.now()
        self._loop.call_every(PAUSE_CHECK_INTERVAL_S, self._check_pause)
        self.feed.start()

    def _check_pause(self):
        now = self._loop.now()
        if now - self._last_check_s > PAUSE_MIN_S:
            self._resumed_s = now
        self._last_check_s = now

    def paused(self):
        """Return whether the process was paused and has not read the tail since.

        A pause is a gap of more than PAUSE_MIN_S between checks that are due every
        PAUSE_CHECK_INTERVAL_S.
        A paused member may have been recorded as gone in the meantime, so that VMs
        drain without its acknowledgement.
        """
        if self._loop.now() - self._last_check_s > PAUSE_MIN_S:
            return True
        return self._resumed_s is not None

    @property
    def state(self):
        """The folded FleetState."""
        return self.replica.state

    def fresh(self):
        """Return whether a read sent less than LEASE_MS ago reached the tail."""
        if self._tail_read_s is None or self.replica.awaiting_snapshot:
            return False
        return (self._loop.now() - self._tail_read_s) * MS_PER_S < LEASE_MS

    @property
    def tail_read_s(self):
        """When the last read that reached the tail was sent, or None.

        It is None also while the replica waits for a snapshot.
        """
        return None if self.replica.awaiting_snapshot else self._tail_read_s

    def extend_lease(self, sent_s):
        """Extend the lease, as a read sent at ``sent_s`` has reached the tail."""
        was_current = self.fresh() and not self.paused()
        self._tail_read_s = max(sent_s, self._tail_read_s or sent_s)
        if self._resumed_s is not None and sent_s >= self._resumed_s:
            self._resumed_s = None
        if not was_current and self.fresh() and not self.paused():
            self._on_resumed()

    def restart_at(self, earliest):
        """Restart at ``earliest``, the first offset that can be read."""
        self._on_truncated(earliest)

    def log_time_ms(self):
        """Return a lower bound of the log's clock now, in ms."""
        elapsed = self._loop.now() - self._last_fold_s if self._last_fold_s else 0.0
        return self.state.time_ms + int(elapsed * MS_PER_S)

    def _on_truncated(self, earliest):
        self.replica.lost(earliest)
        self.feed.next_offset = earliest
        self._on_truncated_hook(earliest)

    def _on_records(self, batch):
        results = self.replica.take(batch)
        self._last_fold_s = self._loop.now()
        for item in results:
            if isinstance(item, FoldedRecord) and self._pending:
                self._match(item)
        self._on_results(results)

    def _on_fresh(self, sent_s):
        self.extend_lease(sent_s)
        for pending in list(self._pending):
            if 0 <= pending.append_ended_s <= sent_s - READ_BACK_TIMEOUT_S:
                refusal = Refusal(
                    Reason.UNKNOWN, "the appended record was not read back in time"
                )
                self._resolve(pending, refusal)
        self._on_fresh_hook()

    def submit(self, record, on_outcome):
        """Append a record and call ``on_outcome`` once with the outcome.

        The outcome is the FoldedRecord read back, or a Refusal: ``UNAVAILABLE`` if the
        log does not hold the record, ``UNKNOWN`` if it has not been read back
        READ_BACK_TIMEOUT_S after the append ended.
        """
        pending = _Pending(record, on_outcome, self.feed.next_offset)
        self._pending.append(pending)
        self.feed.append(record, lambda outcome: self._appended(pending, outcome))

    def _appended(self, pending, outcome):
        if pending not in self._pending:
            return
        if isinstance(outcome, Appended):
            pending.offset = outcome.offset
            pending.append_ended_s = self._loop.now()
        elif outcome.reason is Reason.UNKNOWN:
            pending.append_ended_s = self._loop.now()
        else:
            self._resolve(pending, outcome)

    def _match(self, folded):
        logged = folded.logged
        for pending in self._pending:
            if _matches(logged, pending):
                self._resolve(pending, folded)
                return

    def _resolve(self, pending, outcome):
        self._pending.remove(pending)
        pending.on_outcome(outcome)


def _matches(logged, pending):
    """Return whether a record read from the log is the pending one."""
    if logged.offset < pending.first_offset or logged.record != pending.record:
        return False
    return pending.offset in (UNKNOWN_OFFSET, logged.offset)
