"""Lease of one executor, whose deadline is a time of the executor's own clock.

All runs on an executor end when its lease lapses. The scheduler can only compute when
it has certainly lapsed: the executor's clock may be slow, a renewal that had no answer
may have arrived, and so may a call to a former incarnation.
"""

LEASE_MS = 4000  # outlasts a change of scheduler: TERM_TIMEOUT_S and the reads after it
MIN_CLOCK_RATE = 0.98  # slowest rate of an executor's clock that the platform allows
CLOCK_KNOWN_S = 10.0  # a slow clock may have lost 0.2 s of the lease in this time
TIMER_MARGIN_MS = 150  # the executor's timers fire slightly late
MS = 1000


def lapse_bound_s(lease_ms):
    """Return the seconds after its grant by which a lease has certainly lapsed.

    A deadline is at most the lease ahead when it is sent, and a renewal that arrives
    late still has its old deadline.
    """
    return (lease_ms / MIN_CLOCK_RATE + TIMER_MARGIN_MS) / MS


class Lease:
    """Lease of one Incarnation, which an earlier scheduler may have granted.

    ``now`` and ``granted_at``, by when it was granted for the last time, are in seconds
    of the local monotonic clock; ``granted_at`` is ``now`` if nothing better is known.
    ``clock_ms`` and deadlines are in ms of the executor's clock. A deadline in a call
    to a former incarnation may be far ahead of that clock; the executor shortens it to
    ``max_lease_ms`` from its arrival.
    """

    def __init__(
        self,
        now,
        clock_ms,
        incarnation,
        lease_ms=LEASE_MS,
        max_lease_ms=LEASE_MS,
        granted_at=None,
    ):
        self._incarnation = incarnation
        self._lease_ms = lease_ms
        self._max_lease_ms = max_lease_ms
        self._clock_read_at = now
        self._clock_ms = clock_ms
        self._answered_at = float("-inf")
        self.granted_at = now if granted_at is None else granted_at

    def update_clock(self, now, clock_ms):
        """Set the executor's clock from an answer just received; 0 is no value."""
        if clock_ms:
            self._clock_read_at = self._answered_at = now
            self._clock_ms = clock_ms

    def knows_clock(self, now):
        """Return whether an answer showed the executor's clock lately.

        Else it may be far ahead of the lowest possible value, as a registration may be
        read long after it was written, and the granted lease is that much shorter.
        """
        return now - self._answered_at < CLOCK_KNOWN_S

    def min_clock_ms(self, now):
        """Return the lowest value that the executor's clock may show now."""
        return self._clock_ms + (now - self._clock_read_at) * MS * MIN_CLOCK_RATE

    def grant(self, now):
        """Grant the lease again; return its deadline in ms of the executor's clock."""
        self.granted_at = now
        return int(self.min_clock_ms(now) + self._lease_ms)

    def lapses_in(self, now):
        """Return the seconds until every lease granted so far has certainly lapsed."""
        own = self.granted_at + lapse_bound_s(self._lease_ms)
        former_until = self._incarnation.former_until
        return max(own, former_until + lapse_bound_s(self._max_lease_ms)) - now

    def has_lapsed(self, now):
        """Return whether every lease granted so far has certainly lapsed."""
        return self.lapses_in(now) <= 0
