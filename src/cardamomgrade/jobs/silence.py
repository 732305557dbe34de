"""Records that tell a later scheduler since when an executor has no new lease.

Without such a record a new scheduler has to assume that its predecessor granted the
lease until the end of its term. A record is a promise that the lease is not granted
again before the record's deletion is stored.
"""

from .records import encode, PREFIX_SILENT, SilentRecord

MS = 1000


class SilentExecutors:
    """Executors that have a SilentRecord, or may have one, in one scheduler's term.

    ``granted_at`` maps those with a record of an earlier term to the time, in seconds
    of the monotonic clock, by which their lease was granted for the last time.
    """

    def __init__(self, loop, writer, granted_at):
        self._loop = loop
        self._writer = writer
        self._granted_at = dict(granted_at)
        self._deletions = {}

    def names(self):
        """Return the names of these executors."""
        return list(self._granted_at)

    def granted_at(self, name):
        """Return when the lease of one of these executors was last granted, or None.

        Its lease may be granted only if this is None.
        """
        return self._granted_at.get(name)

    def note(self, name, granted_at):
        """Store that the lease is not granted again, if that is not stored yet."""
        if name not in self._granted_at:
            self._granted_at[name] = granted_at
            record = SilentRecord(int((self._loop.now() - granted_at) * MS))
            self._writer.store([(PREFIX_SILENT + name, encode(record))])

    def clear(self, name, on_cleared=None):
        """Delete an executor's record; call ``on_cleared()`` when that is stored.

        Calls it at once if there is certainly no record. If the deletion is already
        under way, ``on_cleared`` replaces the callback of earlier calls.
        """
        key = PREFIX_SILENT + name
        if name in self._deletions:
            self._deletions[name] = on_cleared or self._deletions[name]
            return
        self._deletions[name] = on_cleared
        if name not in self._granted_at or self._writer.drop_unsent(key):
            self._deleted(name)
        else:
            self._writer.store([(key, b"")], lambda: self._deleted(name))

    def _deleted(self, name):
        self._granted_at.pop(name, None)
        on_cleared = self._deletions.pop(name)
        if on_cleared is not None:
            on_cleared()
