"""Decides which connections give way when a server is at a limit; does no I/O."""

import math

SMALL_REQUEST_BYTES = 64 * 1024
LARGE_REQUESTS_SHARE = 0.5
TARGET_SHARE = 0.9


class Turnover:
    """Connections in the order in which they give way to new ones.

    Connections that are closing come first, then those without any complete request,
    then those between two requests; in each group the one that has been in it longest.
    A connection with a request in progress never gives way.
    """

    def __init__(self):
        self._closing = {}
        self._unused = {}
        self._idle = {}

    def opened(self, conn):
        """Add a new connection."""
        self._unused[conn] = None

    def began(self, conn):
        """Keep a connection whose request is complete until it was answered."""
        self._unused.pop(conn, None)
        self._idle.pop(conn, None)

    def answered(self, conn):
        """Let a connection give way again, as the last of the idle ones."""
        self._idle[conn] = None

    def closing(self, conn):
        """Let a connection give way before all that are not closing."""
        self.began(conn)
        self._closing[conn] = None

    def closed(self, conn):
        """Remove a connection."""
        self.began(conn)
        self._closing.pop(conn, None)

    def first(self):
        """Return the connection that gives way next, or None."""
        for group in (self._closing, self._unused, self._idle):
            for conn in group:
                return conn
        return None


class MemoryBudget:
    """Bytes that the connections of a server hold in memory together.

    ``hold`` is for what may be given up, such as an incomplete request, and ``keep``
    for requests in progress. Large requests in progress get half of the budget at most,
    so that room is left for small ones.
    """

    def __init__(self, limit_bytes=math.inf):
        self._limit_bytes = limit_bytes
        self._holdings = {}
        self.held_bytes = 0
        self.kept_bytes = 0

    def hold(self, conn, size):
        """Set what a connection holds; return whether the sum is too large."""
        self.held_bytes += size - self._holdings.pop(conn, 0)
        if size:
            self._holdings[conn] = size
        return self.held_bytes + self.kept_bytes > self._limit_bytes

    def keep(self, size):
        """Add the bytes of a complete request, unless there is no room for it.

        Returns whether they were added. A single request always has room.
        """
        share = 1 if size <= SMALL_REQUEST_BYTES else LARGE_REQUESTS_SHARE
        if self.kept_bytes and self.kept_bytes + size > share * self._limit_bytes:
            return False
        self.kept_bytes += size
        return True

    def release(self, size):
        """Remove the bytes of a request that was answered."""
        self.kept_bytes -= size

    def excess_holders(self):
        """Return the connections that must give up what they hold, largest first.

        What is left is a share of the budget, so that this is not called for each of
        the bytes that arrive next.
        """
        excess = self.held_bytes + self.kept_bytes - TARGET_SHARE * self._limit_bytes
        found = []
        for conn in sorted(self._holdings, key=self._holdings.get, reverse=True):
            if excess <= 0:
                break
            excess -= self._holdings[conn]
            found.append(conn)
        return found
