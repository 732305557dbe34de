"""Estimates the cores that arriving jobs keep busy, per service; pure state.

Load pattern: the rate of a queue rises from almost zero to several times its mean
within a second or two, and falls back after some seconds. The estimate assumes that
work keeps arriving at the rate of the last WINDOW_MS, or of the last BURST_MS if that
is higher. While the rate grows, the growth is assumed to go on until a VM that is
ordered now has joined. A queue of few large jobs grows and shrinks by chance.
"""

import math
from collections import deque

BURST_MS = 500.0  # bursts rise within a second
WINDOW_MS = 1500.0  # about the time in which a VM joins a pool
HALF_WINDOW_MS = WINDOW_MS / 2
JOIN_MS = 2000.0  # from the order of a move until tasks start on the VM
GROWTH_DEVIATIONS = 2.0  # standard deviations of independent arrivals
GROWTH_LIMIT = 2.0  # times the rate of the newest half window


def linear_growth(older, newer, chance):
    """Return the cores that work will keep busy when a VM that is ordered now joins.

    ``older`` and ``newer`` are the cores by the arrivals of the halves of the window,
    and ``chance`` is the standard deviation of their difference.
    """
    expected = newer
    if 0 < older < newer - GROWTH_DEVIATIONS * chance:
        growth = (newer - older) / HALF_WINDOW_MS
        expected += growth * (HALF_WINDOW_MS / 2 + JOIN_MS)
    return min(expected, newer * GROWTH_LIMIT)


def no_growth(older, newer, chance):
    """Return the cores by the arrivals of the newer half of the window."""
    return newer


class Demand:
    """Recent arrivals of work, in core-ms; times are monotonic ms.

    ``expect`` is ``linear_growth`` or another function like it.
    """

    def __init__(self, expect=linear_growth):
        self._expect = expect
        self._arrivals = {}

    def record_arrival(self, service, core_ms, now_ms):
        """Record the work, in core-ms, of an accepted job."""
        self._arrivals.setdefault(service, deque()).append((now_ms, core_ms))

    def cores_m(self, service, now_ms):
        """Return the cores that arriving work keeps busy, in thousandths of a core."""
        arrivals = self._arrivals.get(service, ())
        while arrivals and arrivals[0][0] < now_ms - WINDOW_MS:
            arrivals.popleft()
        total = sum(core_ms for _, core_ms in arrivals)
        newest = [item for item in arrivals if item[0] > now_ms - HALF_WINDOW_MS]
        newer = sum(core_ms for _, core_ms in newest) / HALF_WINDOW_MS
        burst = sum(core_ms for at, core_ms in newest if at > now_ms - BURST_MS)
        older = total / HALF_WINDOW_MS - newer
        chance = math.sqrt(sum(core_ms**2 for _, core_ms in arrivals)) / HALF_WINDOW_MS
        expected = self._expect(older, newer, chance)
        return max(total / WINDOW_MS, burst / BURST_MS, expected) * 1000
