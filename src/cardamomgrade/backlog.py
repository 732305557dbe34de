"""Queue of the requests that wait for an endpoint of one pool.

Urgent services go first, callers of a service take turns, and a batch request is
served at least once in ``BATCH_TURN`` picks while any waits.
"""

from collections import deque

import attrs

from .refusal import Reason, Refusal

BATCH_TURN = 8
SERVICE_FACTOR = 1.5


@attrs.define(eq=False)
class Waiting:
    """A request in the queue; ``deadline`` is in seconds of the loop's clock."""

    service: str
    caller: str
    urgent: bool
    deadline: float
    payload: object = None


@attrs.frozen
class Accepted:
    """A request was queued; ``evicted`` lost its place to it, or is None."""

    evicted: Waiting | None = None


@attrs.frozen
class Pace:
    """How fast the pool's endpoints serve: seconds a request, requests at once."""

    service_s: float
    parallel: int


def too_late(item, pace, now):
    """Return whether a queued request would most likely miss its deadline."""
    return now + SERVICE_FACTOR * pace.service_s >= item.deadline


class _Line:
    """The requests of one service, a queue for each caller."""

    def __init__(self):
        self.turns = deque()
        self.queues = {}
        self.size = 0

    def add(self, item):
        if item.caller not in self.queues:
            self.queues[item.caller] = deque()
            self.turns.append(item.caller)
        self.queues[item.caller].append(item)
        self.size += 1

    def first(self):
        return self.queues[self.turns[0]][0]

    def take(self):
        item = self.first()
        self.remove(item)
        if self.turns and self.turns[0] == item.caller:
            self.turns.rotate(-1)
        return item

    def remove(self, item):
        queue = self.queues.get(item.caller)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        self.size -= 1
        if not queue:
            del self.queues[item.caller]
            self.turns.remove(item.caller)
        return True

    def waiting(self, caller):
        return len(self.queues.get(caller, ()))

    def ahead(self, caller):
        """Return how many requests are served before the caller's next one."""
        own = self.waiting(caller)
        others = (
            min(len(queue), own + 1)
            for name, queue in self.queues.items()
            if name != caller
        )
        return own + sum(others)

    def longest(self):
        return max(self.queues.values(), key=len)


class Backlog:
    """Bounded queues of the services that share a pool."""

    def __init__(self):
        self._lines = {True: {}, False: {}}
        self._turns = {True: deque(), False: deque()}
        self._picks = 0
        self.size = 0

    def offer(self, item, bound, pace, now):
        """Queue a request; return Accepted or a Refusal.

        ``bound`` is the most that may wait for the item's service. When it is
        reached, a caller with more waiting loses its last request to one with less.
        """
        wait = self.wait_s(item, pace)
        if now + wait + pace.service_s > item.deadline:
            return Refusal(Reason.OVERLOADED, f"the wait would be {wait:.2f} s")
        line = self._line(item)
        evicted = None
        if line.size >= bound:
            longest = line.longest() if line.size else ()
            if len(longest) <= line.waiting(item.caller) + 1:
                return Refusal(Reason.OVERLOADED, f"{line.size} requests wait")
            evicted = longest[-1]
            self.remove(evicted)
        self._line(item, create=True).add(item)
        self.size += 1
        return Accepted(evicted)

    def wait_s(self, item, pace):
        """Return the seconds that a request would wait, by the observed pace."""
        ahead = self._line(item).ahead(item.caller)
        lines = self._lines[item.urgent]
        ahead += sum(
            min(line.size, ahead + 1)
            for name, line in lines.items()
            if name != item.service
        )
        if item.urgent:
            batch = sum(line.size for line in self._lines[False].values())
            ahead += min(batch, ahead // (BATCH_TURN - 1))
        else:
            urgent = sum(line.size for line in self._lines[True].values())
            ahead += min(urgent, (ahead + 1) * (BATCH_TURN - 1))
        return (ahead + 1) * pace.service_s / max(1, pace.parallel)

    def _line(self, item, create=False):
        lines = self._lines[item.urgent]
        line = lines.get(item.service)
        if line is None:
            line = _Line()
            if create:
                lines[item.service] = line
                self._turns[item.urgent].append(item.service)
        return line

    def peek(self):
        """Return the request that ``pick`` gives next, or None."""
        urgent = self._next_class()
        if urgent is None:
            return None
        return self._lines[urgent][self._turns[urgent][0]].first()

    def pick(self):
        """Take the next request out, or return None."""
        urgent = self._next_class()
        if urgent is None:
            return None
        self._picks = 0 if not urgent else self._picks + 1
        turns = self._turns[urgent]
        service = turns[0]
        line = self._lines[urgent][service]
        item = line.take()
        self.size -= 1
        turns.rotate(-1)
        self._tidy(urgent, service, line)
        return item

    def _next_class(self):
        urgent, batch = bool(self._lines[True]), bool(self._lines[False])
        if not urgent and not batch:
            return None
        if urgent and batch:
            return self._picks < BATCH_TURN - 1
        return urgent

    def remove(self, item):
        """Take a request out of the queue; return whether it was there."""
        line = self._lines[item.urgent].get(item.service)
        if line is None or not line.remove(item):
            return False
        self.size -= 1
        self._tidy(item.urgent, item.service, line)
        return True

    def _tidy(self, urgent, service, line):
        if not line.size:
            del self._lines[urgent][service]
            self._turns[urgent].remove(service)
