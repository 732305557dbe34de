"""How many processors the jobs that arrive keep busy, by service; pure.

Load pattern: a queue goes from next to nothing to several times its mean within a
second, and back after some seconds. The work that arrived in the last WINDOW_MS is
taken as what will go on to arrive, or that of the last RISE_MS where it is more.
"""

from collections import deque

RISE_MS = 500.0  # a burst rises within a second
WINDOW_MS = 1500.0  # about the time that a VM needs to join a pool


class Demand:
    """Arrivals of work in core-ms; times in ms of the monotonic clock."""

    def __init__(self):
        self._arrivals = {}

    def arrived(self, service, work, now_ms):
        """Take in the work of a job that was accepted."""
        self._arrivals.setdefault(service, deque()).append((now_ms, work))

    def cores_m(self, service, now_ms):
        """Return the thousandths of a core that arriving work keeps busy."""
        arrivals = self._arrivals.get(service, ())
        while arrivals and arrivals[0][0] < now_ms - WINDOW_MS:
            arrivals.popleft()
        mean = sum(work for _, work in arrivals) / WINDOW_MS
        recent = sum(work for at, work in arrivals if at > now_ms - RISE_MS) / RISE_MS
        return max(mean, recent) * 1000
