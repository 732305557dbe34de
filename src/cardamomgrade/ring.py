"""The newest raw records of a stream, kept to be handed on to peers."""

from collections import deque

RING_RECORDS = 5000
RING_BYTES = 4 * 1024 * 1024
BATCH_RECORDS = 500
BATCH_BYTES = 256 * 1024


class Ring:
    """Raw records in offset order without gaps, bounded in number and bytes."""

    def __init__(self, records=RING_RECORDS, size=RING_BYTES):
        self._limit = records
        self._size_limit = size
        self._records = deque()
        self._size = 0

    @property
    def earliest(self):
        """The offset of the first record kept, or 0 when none is."""
        return self._records[0].offset if self._records else 0

    @property
    def next_offset(self):
        """The offset after the last record kept, or 0 when none is."""
        return self._records[-1].offset + 1 if self._records else 0

    def add(self, records):
        """Keep records; one that does not follow the last starts anew."""
        for record in records:
            if self._records and record.offset != self.next_offset:
                self._records.clear()
                self._size = 0
            self._records.append(record)
            self._size += len(record.data)
        while len(self._records) > self._limit or self._size > self._size_limit:
            self._size -= len(self._records.popleft().data)

    def batch(self, offset):
        """Return the records from an offset, as many as one message may hold.

        None means that the offset is no longer kept.
        """
        if offset < self.earliest:
            return None
        found, size = [], 0
        start = offset - self.earliest
        for index in range(start, min(start + BATCH_RECORDS, len(self._records))):
            record = self._records[index]
            size += len(record.data)
            if found and size > BATCH_BYTES:
                break
            found.append(record)
        return tuple(found)
