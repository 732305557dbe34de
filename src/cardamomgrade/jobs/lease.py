"""Lease of one executor, counted on the executor's own clock.

Everything that runs on an executor ends when its lease lapses. This side only knows
when it surely has: the clock there may be slow, and a renewal without an answer may
have arrived.
"""

LEASE_MS = 4000  # bridges the change of scheduler (TERM_TIMEOUT_S and its reads)
CLOCK_SLOWEST = 0.98  # the platform's bound on the rate of an executor's clock
LAPSE_MARGIN_MS = 150  # the executor's own timers fire slightly late
MS = 1000


def longest_s(lease_ms):
    """Return the seconds after which a lease that was granted has surely lapsed.

    A deadline is never further ahead than the lease when it is sent, and a late
    renewal still carries its old deadline.
    """
    return (lease_ms / CLOCK_SLOWEST + LAPSE_MARGIN_MS) / MS


class Lease:
    """Times are seconds of the monotonic clock here and ms of the clock there.

    A new Lease counts from ``now``, since an earlier scheduler may have granted one.
    """

    def __init__(self, now, clock_ms, lease_ms=LEASE_MS):
        self._lease_ms = lease_ms
        self._heard_at = now
        self._clock_ms = clock_ms
        self._granted_at = now

    def heard(self, now, clock_ms):
        """Take note of the executor's clock in an answer that has just arrived."""
        if clock_ms:
            self._heard_at = now
            self._clock_ms = clock_ms

    def clock_floor_ms(self, now):
        """Return what the executor's clock shows at least."""
        return self._clock_ms + (now - self._heard_at) * MS * CLOCK_SLOWEST

    def grant(self, now):
        """Return the deadline to send now, in ms of the executor's clock."""
        self._granted_at = now
        return int(self.clock_floor_ms(now) + self._lease_ms)

    def surely_lapsed(self, now):
        """Return whether nothing granted so far can still be in force."""
        return now - self._granted_at > longest_s(self._lease_ms)
