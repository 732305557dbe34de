"""Buffer of the newest raw records of a stream, from which peers are served."""

from collections import deque

RING_RECORDS = 5000
RING_BYTES = 4 * 1024 * 1024
BATCH_RECORDS = 500
BATCH_BYTES = 256 * 1024


class Ring:
    """Consecutive raw records in offset order, limited in number and total bytes."""

    def __init__(self, records_max=RING_RECORDS, bytes_max=RING_BYTES):
        self._records_max = records_max
        self._bytes_max = bytes_max
        self._records = deque()
        self._bytes = 0

    @property
    def earliest(self):
        """The offset of the first record, or 0 if there is none."""
        return self._records[0].offset if self._records else 0

    @property
    def next_offset(self):
        """The offset after the last record, or 0 if there is none."""
        return self._records[-1].offset + 1 if self._records else 0

    def add(self, records):
        """Append records and drop the oldest ones beyond the limits.

        A record that does not follow the last one discards all records before it.
        """
        for record in records:
            if self._records and record.offset != self.next_offset:
                self._records.clear()
                self._bytes = 0
            self._records.append(record)
            self._bytes += len(record.data)
        while len(self._records) > self._records_max or self._bytes > self._bytes_max:
            self._bytes -= len(self._records.popleft().data)

    def batch(self, offset):
        """Return a tuple of the records from an offset on, limited to one message.

        Returns None if the offset is before the first record.
        """
        if offset < self.earliest:
            return None
        selected, size = [], 0
        start = offset - self.earliest
        for index in range(start, min(start + BATCH_RECORDS, len(self._records))):
            record = self._records[index]
            size += len(record.data)
            if selected and size > BATCH_BYTES:
                break
            selected.append(record)
        return tuple(selected)
