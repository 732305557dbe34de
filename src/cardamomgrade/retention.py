"""Decides when a control writes a snapshot of the folded state.

Records are kept for a limited time, so that a snapshot is due after a number of
records, after a time without any, and when the last one nears the first kept offset.
"""

SNAPSHOT_RECORDS = 2000
RANK_DELAY_S = 5.0
SETTLE_S = 10.0


class Retention:
    """Times the snapshots of one control; times are monotonic seconds."""

    def __init__(self, interval_s, records=SNAPSHOT_RECORDS):
        self._interval_s = interval_s
        self._records = records
        self._snapshot_offset = None
        self._seen_s = 0.0
        self._wanted_s = None
        self._written_s = None

    def due(self, replica, status, rank, now):
        """Return whether to write a snapshot now.

        Of several controls the one with the lowest rank writes first, and the others
        only if its snapshot has not come. A True is given once until the snapshot is
        read back or SETTLE_S has passed.
        """
        if replica.snapshot_offset != self._snapshot_offset:
            self._snapshot_offset = replica.snapshot_offset
            self._seen_s = now
            self._wanted_s = self._written_s = None
        if not self._wanted(replica, status, now):
            self._wanted_s = None
            return False
        if self._wanted_s is None:
            self._wanted_s = now
        if now - self._wanted_s < rank * RANK_DELAY_S:
            return False
        if self._written_s is not None and now - self._written_s < SETTLE_S:
            return False
        self._written_s = now
        return True

    def _wanted(self, replica, status, now):
        if replica.waiting or replica.state.offset == 0:
            return False
        if replica.since_snapshot >= self._records:
            return True
        if now - self._seen_s >= self._interval_s:
            return True
        return self._nearly_lost(replica, status)

    def _nearly_lost(self, replica, status):
        """Return whether the last snapshot lies in the older half of what is kept."""
        middle = (status.earliest + status.tail) // 2
        return status.earliest > 0 and replica.snapshot_offset < middle
