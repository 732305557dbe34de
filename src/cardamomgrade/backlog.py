"""Bounded queue of the requests that wait for an endpoint of one pool.

Urgent services go first, the services of a class and the callers of a service are
served round robin, and while batch requests wait at least every
``BATCH_PICK_INTERVAL``-th pick is one of them.
"""

from collections import deque

import attrs

from .refusal import Reason, Refusal

BATCH_PICK_INTERVAL = 8
SERVICE_TIME_MARGIN = 1.5


@attrs.define(eq=False)
class QueuedRequest:
    """A queue item; ``deadline`` is in seconds of the loop's clock.

    ``payload`` is the caller's object for the request.
    """

    service: str
    caller: str
    urgent: bool
    deadline: float
    payload: object = None


@attrs.frozen
class Accepted:
    """Result of a request that was queued.

    ``evicted`` is the request that was dropped to make room, or None.
    """

    evicted: QueuedRequest | None = None


@attrs.frozen
class Throughput:
    """Observed speed of a pool: seconds per request and requests served at once."""

    service_s: float
    parallel: int


def would_miss_deadline(item, throughput, now):
    """Return whether a request sent now would probably miss its deadline.

    That is when less than SERVICE_TIME_MARGIN times the observed service time is left.
    """
    return now + SERVICE_TIME_MARGIN * throughput.service_s >= item.deadline


class _ServiceQueue:
    """The requests of one service: a FIFO for each caller, served round robin."""

    def __init__(self):
        self.caller_order = deque()
        self.queues = {}
        self.size = 0

    def add(self, item):
        if item.caller not in self.queues:
            self.queues[item.caller] = deque()
            self.caller_order.append(item.caller)
        self.queues[item.caller].append(item)
        self.size += 1

    def first(self):
        return self.queues[self.caller_order[0]][0]

    def take(self):
        item = self.first()
        self.remove(item)
        if self.caller_order and self.caller_order[0] == item.caller:
            self.caller_order.rotate(-1)
        return item

    def remove(self, item):
        queue = self.queues.get(item.caller)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        self.size -= 1
        if not queue:
            del self.queues[item.caller]
            self.caller_order.remove(item.caller)
        return True

    def waiting(self, caller):
        return len(self.queues.get(caller, ()))

    def ahead(self, caller):
        """Return how many requests are served before one that the caller adds now."""
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
    """The queues of the services that share a pool.

    Private dicts are by urgency: True for urgent services, False for batch.
    """

    def __init__(self):
        self._queues = {True: {}, False: {}}
        self._service_order = {True: deque(), False: deque()}
        self._urgent_in_a_row = 0
        self.size = 0

    def offer(self, item, bound, throughput, now):
        """Queue a request; return Accepted or a Refusal.

        ``bound`` is the most requests that may wait for the item's service. When it
        is reached, the caller with the longest queue loses its last request, provided
        that it still has at least as many waiting as the item's caller afterwards.
        Otherwise the item is refused, as it is when its deadline would pass in the
        queue. ``now`` is in seconds of the loop's clock.
        """
        wait = self.estimate_wait_s(item, throughput)
        if now + wait + throughput.service_s > item.deadline:
            return Refusal(Reason.OVERLOADED, f"the wait would be {wait:.2f} s")
        service_queue = self._service_queue(item)
        evicted = None
        if service_queue.size >= bound:
            longest = service_queue.longest() if service_queue.size else ()
            if len(longest) <= service_queue.waiting(item.caller) + 1:
                return Refusal(Reason.OVERLOADED, f"{service_queue.size} requests wait")
            evicted = longest[-1]
            self.remove(evicted)
        self._service_queue(item, create=True).add(item)
        self.size += 1
        return Accepted(evicted)

    def estimate_wait_s(self, item, throughput):
        """Return the seconds that a request would wait at the observed throughput.

        It counts the requests that are picked first: those of its own service, the
        turns of other services of its class and those of the other class.
        """
        ahead = self._service_queue(item).ahead(item.caller)
        queues = self._queues[item.urgent]
        ahead += sum(
            min(service_queue.size, ahead + 1)
            for name, service_queue in queues.items()
            if name != item.service
        )
        if item.urgent:
            batch = sum(
                service_queue.size for service_queue in self._queues[False].values()
            )
            ahead += min(batch, ahead // (BATCH_PICK_INTERVAL - 1))
        else:
            urgent = sum(
                service_queue.size for service_queue in self._queues[True].values()
            )
            ahead += min(urgent, (ahead + 1) * (BATCH_PICK_INTERVAL - 1))
        return (ahead + 1) * throughput.service_s / max(1, throughput.parallel)

    def _service_queue(self, item, create=False):
        queues = self._queues[item.urgent]
        service_queue = queues.get(item.service)
        if service_queue is None:
            service_queue = _ServiceQueue()
            if create:
                queues[item.service] = service_queue
                self._service_order[item.urgent].append(item.service)
        return service_queue

    def peek(self):
        """Return the request that ``pick()`` would return, or None."""
        urgent = self._next_class()
        if urgent is None:
            return None
        return self._queues[urgent][self._service_order[urgent][0]].first()

    def pick(self):
        """Remove and return the next request, or return None."""
        urgent = self._next_class()
        if urgent is None:
            return None
        self._urgent_in_a_row = 0 if not urgent else self._urgent_in_a_row + 1
        order = self._service_order[urgent]
        service = order[0]
        service_queue = self._queues[urgent][service]
        item = service_queue.take()
        self.size -= 1
        order.rotate(-1)
        self._drop_if_empty(urgent, service, service_queue)
        return item

    def _next_class(self):
        """Return whether the next pick is urgent; None when nothing waits."""
        urgent, batch = bool(self._queues[True]), bool(self._queues[False])
        if not urgent and not batch:
            return None
        if urgent and batch:
            return self._urgent_in_a_row < BATCH_PICK_INTERVAL - 1
        return urgent

    def remove(self, item):
        """Remove a request; return whether it was queued."""
        service_queue = self._queues[item.urgent].get(item.service)
        if service_queue is None or not service_queue.remove(item):
            return False
        self.size -= 1
        self._drop_if_empty(item.urgent, item.service, service_queue)
        return True

    def _drop_if_empty(self, urgent, service, service_queue):
        if not service_queue.size:
            del self._queues[urgent][service]
            self._service_order[urgent].remove(service)
