"""Decides which connections give way when a server is at a limit; does no I/O."""


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
