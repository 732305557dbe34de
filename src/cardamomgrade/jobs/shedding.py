"""Limits of a node that callers share, and the log of what they were refused for."""

from ..journal import event, log_event

CONNECTION_LIMIT = 1500
MIN_CONNECTIONS = 16
CONNECTIONS_PER_FD = 0.5  # the store, executors and listeners need the others
MEMORY_SHARE = 1 / 6  # of the limit; the others are for jobs and scheduling
MIN_MEMORY_BYTES = 8 * 1024 * 1024
SOCKET_BYTES = 64 * 1024
BYTES_PER_MB = 1024 * 1024
LOG_INTERVAL_S = 1.0


@event(660)
class CallersShed:
    """Callers lost connections or requests to a limit since the last such line.

    ``reason`` is the limit; logged once a second at most for each.
    """

    reason: str
    count: int


def connection_limit(max_fds):
    """Return how many connections callers may have, by the limit on descriptors."""
    by_fds = max(MIN_CONNECTIONS, int(max_fds * CONNECTIONS_PER_FD))
    return min(CONNECTION_LIMIT, by_fds)


def memory_limit_bytes(memory_mb):
    """Return how many bytes of requests callers may hold, by the limit on memory."""
    return max(MIN_MEMORY_BYTES, int(memory_mb * BYTES_PER_MB * MEMORY_SHARE))


class SheddingLog:
    """Counts and logs connections and requests that a limit has cost callers."""

    def __init__(self, loop, metrics):
        self._loop = loop
        self._metrics = metrics
        self._counts = {}

    def note(self, reason):
        """Count one; the log line follows at once or within LOG_INTERVAL_S."""
        self._metrics.count("shed", reason=reason)
        if reason in self._counts:
            self._counts[reason] += 1
            return
        log_event(CallersShed(reason, 1))
        self._wait(reason)

    def _wait(self, reason):
        self._counts[reason] = 0

        def log():
            count = self._counts.pop(reason)
            if count:
                log_event(CallersShed(reason, count))
                self._wait(reason)

        self._loop.call_later(LOG_INTERVAL_S, log)
