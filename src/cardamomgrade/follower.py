"""Follows the fleet stream; appends to it and reads the outcome of each append back."""

import attrs

from .feed import Appended, Feed
from .fleet import LEASE_MS
from .records import STREAM_FLEET
from .refusal import Reason, Refusal
from .replica import Replica, Step

SETTLE_S = 5.0
BEAT_S = 0.5
PAUSE_S = 5.0
MS_PER_S = 1000
UNKNOWN_OFFSET = -1


@attrs.define(eq=False)
class _Pending:
    """An appended record that has not been read back yet.

    ``first_offset`` is the lowest offset that it may have. ``append_ended_s`` is when
    the append succeeded or ended with an unknown result, or -1 before that.
    """

    record: object
    on_verdict: object
    first_offset: int
    offset: int = UNKNOWN_OFFSET
    append_ended_s: float = -1.0


class Follower:
    """Keeps a Replica up to date from a Feed.

    ``on_results(list)`` gets the Step and Restored items of each read. Optional hooks:

    - ``on_fresh()`` is called after each read that reached the tail.
    - ``on_resumed()`` is called when the state is fresh again after a pause of the
      process or after the lease has lapsed.
    - ``on_lost(earliest)``, ``on_bad(offset, detail)``, ``on_raw(raw)`` and ``rng`` are
      those of Feed.
    """

    def __init__(self, loop, net, address, on_results, **hooks):
        self._loop = loop
        self._on_results = on_results
        self._on_fresh_hook = hooks.get("on_fresh") or (lambda: None)
        self._on_resumed = hooks.get("on_resumed") or (lambda: None)
        self._on_lost_hook = hooks.get("on_lost") or (lambda earliest: None)
        self._pending = []
        self._tail_read_s = None
        self._last_fold_s = 0.0
        self._beat_s = loop.now()
        self._resumed_s = None
        self.replica = Replica()
        self.feed = Feed(
            loop,
            net,
            address,
            STREAM_FLEET,
            self._on_records,
            on_fresh=self._on_fresh,
            on_lost=self._on_lost,
            on_bad=hooks.get("on_bad"),
            on_raw=hooks.get("on_raw"),
            rng=hooks.get("rng"),
        )

    def start(self):
        """Start reading at the start of the stream."""
        self._beat_s = self._loop.now()
        self._loop.call_every(BEAT_S, self._beat)
        self.feed.start()

    def _beat(self):
        now = self._loop.now()
        if now - self._beat_s > PAUSE_S:
            self._resumed_s = now
        self._beat_s = now

    def paused(self):
        """Return whether the process was paused and has not read the tail since.

        A pause is a gap of more than PAUSE_S between calls that are due every BEAT_S.
        A paused member may have been recorded as gone in the meantime, so that VMs
        drain without its acknowledgement.
        """
        if self._loop.now() - self._beat_s > PAUSE_S:
            return True
        return self._resumed_s is not None

    @property
    def state(self):
        """The folded FleetState."""
        return self.replica.state

    def fresh(self):
        """Return whether a read sent less than LEASE_MS ago reached the tail."""
        if self._tail_read_s is None or self.replica.waiting:
            return False
        return (self._loop.now() - self._tail_read_s) * MS_PER_S < LEASE_MS

    @property
    def proof_s(self):
        """When the last read that reached the tail was sent, or None.

        It is None also while the replica waits for a snapshot.
        """
        return None if self.replica.waiting else self._tail_read_s

    def freshen(self, sent_s):
        """Record that a read proves that the log before ``sent_s`` has been folded."""
        was_current = self.fresh() and not self.paused()
        self._tail_read_s = max(sent_s, self._tail_read_s or sent_s)
        if self._resumed_s is not None and sent_s >= self._resumed_s:
            self._resumed_s = None
        if not was_current and self.fresh() and not self.paused():
            self._on_resumed()

    def lose(self, earliest):
        """Restart at ``earliest``, the first offset that can be read."""
        self._on_lost(earliest)

    def log_time_ms(self):
        """Return a lower bound of the log's clock now, in ms."""
        elapsed = self._loop.now() - self._last_fold_s if self._last_fold_s else 0.0
        return self.state.time_ms + int(elapsed * MS_PER_S)

    def _on_lost(self, earliest):
        self.replica.lost(earliest)
        self.feed.next_offset = earliest
        self._on_lost_hook(earliest)

    def _on_records(self, batch):
        results = self.replica.take(batch)
        self._last_fold_s = self._loop.now()
        for item in results:
            if isinstance(item, Step) and self._pending:
                self._match(item)
        self._on_results(results)

    def _on_fresh(self, sent_s):
        self.freshen(sent_s)
        for pending in list(self._pending):
            if 0 <= pending.append_ended_s <= sent_s - SETTLE_S:
                refusal = Refusal(
                    Reason.UNKNOWN, "the appended record was not read back in time"
                )
                self._resolve(pending, refusal)
        self._on_fresh_hook()

    def submit(self, record, on_verdict):
        """Append a record and call ``on_verdict`` once with the outcome.

        The outcome is the Step of the record read back, or a Refusal: ``UNAVAILABLE``
        if the log does not hold the record, ``UNKNOWN`` if it has not been read back
        SETTLE_S after the append ended.
        """
        pending = _Pending(record, on_verdict, self.feed.next_offset)
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

    def _match(self, step):
        logged = step.logged
        for pending in self._pending:
            if _matches(logged, pending):
                self._resolve(pending, step)
                return

    def _resolve(self, pending, verdict):
        self._pending.remove(pending)
        pending.on_verdict(verdict)


def _matches(logged, pending):
    """Return whether a record read from the log is the pending one."""
    if logged.offset < pending.first_offset or logged.record != pending.record:
        return False
    return pending.offset in (UNKNOWN_OFFSET, logged.offset)
