"""Shares of customers when capacity is short; pure state, times are in ms.

Load pattern: for seconds one customer of many submits several times its usual number of
jobs, or all together submit more than there is room for. First come, first served would
let the customer with the most jobs have most of the room, and make all others late.

A customer is entitled to ``weight`` jobs a second. Jobs beyond that are excess: they
get the capacity that no other job wants. Entitled jobs of a service are ordered by
start-time fair queueing (Goyal, Vin and Cheng 1996): each gets a start tag when it
arrives, which grows with the work that its customer submitted before, divided by its
weight. A customer that was idle starts at the virtual time of the jobs served now, so
that it neither waits for the others' backlog nor saves up a claim. Work of jobs that
were not served in time is taken back; otherwise a customer that lost some of its jobs
would lose the later ones as well.
"""

import attrs

BURST_S = 1.0  # a customer may submit the jobs of one second at once
MIN_WEIGHT = 0.1  # jobs a second; a weight of 0 would block its customer for good
MS = 1000


@attrs.define
class _Bucket:
    tokens: float
    filled_ms: float


class Entitlements:
    """A token bucket for each customer; ``accepted_ms`` is a job's acceptance time."""

    def __init__(self):
        self._weights = {}
        self._buckets = {}

    def set_customers(self, customers):
        """Apply the Customers of a configuration; None or () entitles every job."""
        self._weights = {
            item.name: max(MIN_WEIGHT, item.weight) for item in customers or ()
        }

    def _fill(self, customer, now_ms):
        weight = self._weights[customer]
        depth = max(1.0, weight * BURST_S)
        bucket = self._buckets.setdefault(customer, _Bucket(depth, now_ms))
        # Entries' clocks differ, so that a job may seem older than the one before it.
        passed_ms = max(0.0, now_ms - bucket.filled_ms)
        bucket.tokens = min(depth, bucket.tokens + weight * passed_ms / MS)
        bucket.filled_ms = max(bucket.filled_ms, now_ms)
        return bucket

    def record(self, customer, accepted_ms):
        """Record an accepted job; return whether it is excess."""
        if customer not in self._weights:
            return False
        bucket = self._fill(customer, accepted_ms)
        if bucket.tokens < 1:
            return True
        bucket.tokens -= 1
        return False

    def wait_ms(self, customer, now_ms):
        """Return in how many ms a job of a customer is entitled, 0 if it is now."""
        if customer not in self._weights:
            return 0.0
        missing = 1 - self._fill(customer, now_ms).tokens
        return max(0.0, missing * MS / self._weights[customer])


class FairQueue:
    """Start tags of the jobs of one service, in core-ms by weight."""

    def __init__(self):
        self._virtual_time = 0.0
        self._finish_tags = {}

    def tag(self, customer, weight, core_ms):
        """Return the start tag of an arriving job of a customer."""
        start = max(self._virtual_time, self._finish_tags.get(customer, 0.0))
        self._finish_tags[customer] = start + core_ms / max(MIN_WEIGHT, weight)
        return start

    def on_begun(self, tag):
        """Advance the virtual time to the tag of a job that begins."""
        self._virtual_time = max(self._virtual_time, tag)

    def refund(self, customer, weight, core_ms):
        """Take back the work of a job that was not served in time."""
        self._finish_tags[customer] -= core_ms / max(MIN_WEIGHT, weight)


@attrs.define
class _Standing:
    """A job's start tag, and the work for which its customer was charged."""

    customer: str
    weight: float
    tag: float
    core_ms: float


class Shares:
    """Standing of the jobs of all services: whether they are excess, and their tags."""

    def __init__(self):
        self._customers = {}
        self._entitlements = Entitlements()
        self._queues = {}
        self._excess = set()
        self._standings = {}

    def set_customers(self, customers):
        """Apply the Customers of a configuration, or None."""
        self._customers = {item.name: item for item in customers or ()}
        self._entitlements.set_customers(customers)

    def add(self, spec, service, core_ms):
        """Add a job that a customer submitted, in the order of acceptance.

        Jobs that last or that are repeated are not counted.
        """
        customer = self._customers.get(spec.customer)
        if customer is None or spec.lasting or spec.repeat:
            return
        if self._entitlements.record(spec.customer, spec.accepted_ms):
            self._excess.add(spec.job)
            return
        queue = self._queues.setdefault(service, FairQueue())
        tag = queue.tag(spec.customer, customer.weight, core_ms)
        self._standings[spec.job] = _Standing(
            spec.customer, customer.weight, tag, core_ms
        )

    def is_excess(self, job):
        """Return whether a job, by name, is beyond its customer's entitlement."""
        return job in self._excess

    def tag(self, job):
        """Return the start tag of a job, 0 without customers."""
        standing = self._standings.get(job)
        return standing.tag if standing is not None else 0.0

    def on_begun(self, job, service):
        """Record that the first task of a job starts."""
        standing = self._standings.get(job)
        if standing is not None and service in self._queues:
            self._queues[service].on_begun(standing.tag)

    def on_late(self, job, service):
        """Record that a job can no longer be in time, and has not begun."""
        standing = self._standings.get(job)
        if standing is not None and standing.core_ms and service in self._queues:
            self._queues[service].refund(
                standing.customer, standing.weight, standing.core_ms
            )
            standing.core_ms = 0.0

    def forget(self, job):
        """Drop what is known of a job."""
        self._excess.discard(job)
        self._standings.pop(job, None)
