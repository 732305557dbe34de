"""Follows the fleet stream and appends to it, with verdicts read back."""

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
    """An appended record that has not been read back yet."""

    record: object
    on_verdict: object
    since: int
    offset: int = UNKNOWN_OFFSET
    doubtful_s: float = -1.0


class Follower:
    """A Replica kept up from a Feed.

    ``on_results(list)`` gets the Step and Restored items of each read. Hooks:
    ``on_fresh()`` after each read that showed the tail, ``on_resumed()`` when the
    state is fresh again after a pause or a lapse, ``on_lost(earliest)``,
    ``on_bad(offset, detail)``, ``on_raw(raw)`` and ``rng``.
    """

    def __init__(self, loop, net, address, on_results, **hooks):
        self._loop = loop
        self._on_results = on_results
        self._on_fresh_hook = hooks.get("on_fresh") or (lambda: None)
        self._on_resumed = hooks.get("on_resumed") or (lambda: None)
        self._on_lost_hook = hooks.get("on_lost") or (lambda earliest: None)
        self._pending = []
        self._fresh_s = None
        self._folded_s = 0.0
        self._beat_s = loop.now()
        self._paused_until_s = None
        self.replica = Replica()
        self.feed = Feed(
            loop,
            net,
            address,
            STREAM_FLEET,
            self._take,
            on_fresh=self._on_fresh,
            on_lost=self._on_lost,
            on_bad=hooks.get("on_bad"),
            on_raw=hooks.get("on_raw"),
            rng=hooks.get("rng"),
        )

    def start(self):
        """Begin reading at the start of the stream."""
        self._beat_s = self._loop.now()
        self._loop.call_every(BEAT_S, self._beat)
        self.feed.start()

    def _beat(self):
        now = self._loop.now()
        if now - self._beat_s > PAUSE_S:
            self._paused_until_s = now
        self._beat_s = now

    def paused(self):
        """Return whether the process stood still and has not read the tail since.

        A member that stood still may have been recorded as gone meanwhile, so that
        VMs drain without its acknowledgement.
        """
        if self._loop.now() - self._beat_s > PAUSE_S:
            return True
        return self._paused_until_s is not None

    @property
    def state(self):
        """The folded FleetState."""
        return self.replica.state

    def fresh(self):
        """Return whether a read sent less than LEASE_MS ago showed the tail."""
        if self._fresh_s is None or self.replica.waiting:
            return False
        return (self._loop.now() - self._fresh_s) * MS_PER_S < LEASE_MS

    @property
    def proof_s(self):
        """When the last read was sent that showed the tail, or None."""
        return None if self.replica.waiting else self._fresh_s

    def freshen(self, sent_s):
        """Note that a read proves that all before ``sent_s`` was folded."""
        current = self.fresh() and not self.paused()
        self._fresh_s = max(sent_s, self._fresh_s or sent_s)
        if self._paused_until_s is not None and sent_s >= self._paused_until_s:
            self._paused_until_s = None
        if not current and self.fresh() and not self.paused():
            self._on_resumed()

    def lose(self, earliest):
        """Begin again at ``earliest``, which is the first record to be had."""
        self._on_lost(earliest)

    def log_time_ms(self):
        """Return a time that the log's clock has surely reached, in ms."""
        elapsed = self._loop.now() - self._folded_s if self._folded_s else 0.0
        return self.state.time_ms + int(elapsed * MS_PER_S)

    def _on_lost(self, earliest):
        self.replica.lost(earliest)
        self.feed.next_offset = earliest
        self._on_lost_hook(earliest)

    def _take(self, batch):
        results = self.replica.take(batch)
        self._folded_s = self._loop.now()
        for item in results:
            if isinstance(item, Step) and self._pending:
                self._match(item)
        self._on_results(results)

    def _on_fresh(self, sent_s):
        self.freshen(sent_s)
        for pending in list(self._pending):
            if 0 <= pending.doubtful_s <= sent_s - SETTLE_S:
                refusal = Refusal(Reason.UNKNOWN, "the append was not read back")
                self._settle(pending, refusal)
        self._on_fresh_hook()

    def submit(self, record, on_verdict):
        """Append a record and call ``on_verdict`` once with the outcome.

        It is the Step read back, or a Refusal: ``UNAVAILABLE`` when the log does not
        hold the record, ``UNKNOWN`` when reading for SETTLE_S did not show it.
        """
        pending = _Pending(record, on_verdict, self.feed.next_offset)
        self._pending.append(pending)
        self.feed.append(record, lambda outcome: self._appended(pending, outcome))

    def _appended(self, pending, outcome):
        if pending not in self._pending:
            return
        if isinstance(outcome, Appended):
            pending.offset = outcome.offset
            pending.doubtful_s = self._loop.now()
        elif outcome.reason is Reason.UNKNOWN:
            pending.doubtful_s = self._loop.now()
        else:
            self._settle(pending, outcome)

    def _match(self, step):
        logged = step.logged
        for pending in self._pending:
            if _answers(logged, pending):
                self._settle(pending, step)
                return

    def _settle(self, pending, verdict):
        self._pending.remove(pending)
        pending.on_verdict(verdict)


def _answers(logged, pending):
    """Return whether a record read is the one that is pending."""
    if logged.offset < pending.since or logged.record != pending.record:
        return False
    return pending.offset in (UNKNOWN_OFFSET, logged.offset)
