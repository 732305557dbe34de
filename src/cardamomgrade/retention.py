"""Decides when a control writes a snapshot of the folded state.

The log retains records for a limited time. A snapshot is due after a number of records,
after a time without a snapshot, and when the last one is in the older half of the
retained records.
"""

SNAPSHOT_RECORDS = 2000
RANK_DELAY_S = 5.0
READ_BACK_TIMEOUT_S = 10.0


class Retention:
    """Schedules the snapshots of one control; times are monotonic seconds."""

    def __init__(self, interval_s, records=SNAPSHOT_RECORDS):
        self._interval_s = interval_s
        self._records_max = records
        self._snapshot_offset = None
        self._last_snapshot_s = 0.0
        self._due_since_s = None
        self._written_s = None

    def due(self, replica, status, rank, now):
        """Return whether this control should write a snapshot now.

        A control of rank r (from 0) waits r * RANK_DELAY_S, so that it writes only if
        no control of a lower rank has written one by then. After a True the result is
        False until the snapshot is read back or READ_BACK_TIMEOUT_S has passed.
        """
        if replica.snapshot_offset != self._snapshot_offset:
            self._snapshot_offset = replica.snapshot_offset
            self._last_snapshot_s = now
            self._due_since_s = self._written_s = None
        if not self._is_due(replica, status, now):
            self._due_since_s = None
            return False
        if self._due_since_s is None:
            self._due_since_s = now
        if now - self._due_since_s < rank * RANK_DELAY_S:
            return False
        if self._written_s is not None and now - self._written_s < READ_BACK_TIMEOUT_S:
            return False
        self._written_s = now
        return True

    def _is_due(self, replica, status, now):
        if replica.awaiting_snapshot or replica.state.offset == 0:
            return False
        if replica.records_since_snapshot >= self._records_max:
            return True
        if now - self._last_snapshot_s >= self._interval_s:
            return True
        return self._nearly_truncated(replica, status)

    def _nearly_truncated(self, replica, status):
        """Return whether the last snapshot is in the older half of what is retained."""
        middle = (status.earliest + status.tail) // 2
        return status.earliest > 0 and replica.snapshot_offset < middle
