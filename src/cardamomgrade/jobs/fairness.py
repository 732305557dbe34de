"""Shares of customers when capacity is short; pure state, times are wall-clock ms.

Load pattern: for seconds one customer of many submits several times its usual number of
jobs, or all together submit more than there is room for. First come, first served would
let the customer with the most jobs have most of the room, and make all others late.

A customer's share of a service is its ``weight`` among those that have jobs there. The
jobs of a service are ordered by start-time fair queueing (Goyal, Vin and Cheng 1996):
each gets a start tag when it arrives, which grows with the work that its customer
submitted before, divided by its weight. A customer that was idle starts at the virtual
time of the jobs served now, so that it neither waits for the others' backlog nor saves
up a claim. Work of jobs that were not served in time is taken back; otherwise a
customer that lost some of its jobs would lose the later ones as well.

A job is *excess* if its customer has so many jobs before it that its share cannot serve
it before its caller stops waiting. Excess jobs get the capacity that no other job
wants.
"""

from collections import deque

import attrs

MIN_WEIGHT = 0.1  # a weight of 0 would block its customer for good
RATE_WINDOW_MS = 1000.0  # short against a turn of a queue, long against a run
RATE_GROWTH = 2.0  # VMs join within 2 s, so that a service may soon begin more jobs
COST_WEIGHT = 0.1  # of the newest job in the mean work of a job
MS = 1000


@attrs.define
class _Account:
    """A customer of one service; ``finish`` is the tag after its newest job."""

    weight: float
    finish: float = 0.0
    arrived_ms: float = float("-inf")


class FairQueue:
    """Start tags of the jobs of one service, in core-ms by weight."""

    def __init__(self):
        self._virtual_time = 0.0
        self._accounts = {}
        self._begun_ms = deque()
        self._mean_core_ms = 0.0

    def tag(self, customer, weight, core_ms, now_ms=0.0):
        """Return the start tag of an arriving job of a customer."""
        account = self._accounts.setdefault(customer, _Account(weight))
        account.weight = max(MIN_WEIGHT, weight)
        account.arrived_ms = now_ms
        start = max(self._virtual_time, account.finish)
        account.finish = start + core_ms / account.weight
        if self._mean_core_ms:
            self._mean_core_ms += COST_WEIGHT * (core_ms - self._mean_core_ms)
        else:
            self._mean_core_ms = core_ms
        return start

    def on_begun(self, tag, now_ms=0.0):
        """Advance the virtual time to the tag of a job that begins."""
        self._virtual_time = max(self._virtual_time, tag)
        self._begun_ms.append(now_ms)

    def refund(self, customer, core_ms):
        """Take back the work of a job that was not served in time."""
        account = self._accounts[customer]
        account.finish -= core_ms / account.weight

    def wait_ms(self, customer, now_ms):
        """Return how long a customer's share takes for the jobs that it has waiting.

        That is 0 as long as nothing is known of how fast the service begins jobs.
        """
        while self._begun_ms and self._begun_ms[0] < now_ms - RATE_WINDOW_MS:
            self._begun_ms.popleft()
        account = self._accounts.get(customer)
        if account is None or not self._begun_ms or not self._mean_core_ms:
            return 0.0
        ahead = max(0.0, account.finish - self._virtual_time) * account.weight
        active = sum(
            item.weight
            for item in self._accounts.values()
            if item.arrived_ms >= now_ms - RATE_WINDOW_MS or item is account
        )
        per_ms = RATE_GROWTH * len(self._begun_ms) / RATE_WINDOW_MS
        per_ms *= account.weight / active
        return ahead / self._mean_core_ms / per_ms

    def customers(self):
        """Return the names of the customers that ever had a job."""
        return list(self._accounts)


@attrs.define
class _Standing:
    """A job's start tag, and the work for which its customer was charged."""

    customer: str
    tag: float
    core_ms: float


class Shares:
    """Standing of the jobs of all services: whether they are excess, and their tags."""

    def __init__(self):
        self._customers = {}
        self._queues = {}
        self._excess = set()
        self._standings = {}

    def set_customers(self, customers):
        """Apply the Customers of a configuration, or None."""
        self._customers = {item.name: item for item in customers or ()}

    def add(self, spec, service, core_ms, limit_ms):
        """Add a job that a customer submitted, in the order of acceptance.

        ``limit_ms`` is how long its caller waits at most. Jobs that last or that are
        repeated are not counted.
        """
        customer = self._customers.get(spec.customer)
        if customer is None or spec.lasting or spec.repeat:
            return
        queue = self._queues.setdefault(service, FairQueue())
        if queue.wait_ms(spec.customer, spec.accepted_ms) > limit_ms:
            self._excess.add(spec.job)
            return
        tag = queue.tag(spec.customer, customer.weight, core_ms, spec.accepted_ms)
        self._standings[spec.job] = _Standing(spec.customer, tag, core_ms)

    def is_excess(self, job):
        """Return whether a job, by name, is beyond its customer's share."""
        return job in self._excess

    def tag(self, job):
        """Return the start tag of a job, 0 without customers."""
        standing = self._standings.get(job)
        return standing.tag if standing is not None else 0.0

    def on_begun(self, job, service, now_ms):
        """Record that the first task of a job starts."""
        standing = self._standings.get(job)
        if standing is not None and service in self._queues:
            self._queues[service].on_begun(standing.tag, now_ms)

    def on_late(self, job, service):
        """Record that a job can no longer be in time, and has not begun."""
        standing = self._standings.get(job)
        if standing is not None and standing.core_ms and service in self._queues:
            self._queues[service].refund(standing.customer, standing.core_ms)
            standing.core_ms = 0.0

    def waits_ms(self, now_ms):
        """Return a dict of (service, customer) to the wait for its share, above 0."""
        waits = {}
        for service, queue in self._queues.items():
            for customer in queue.customers():
                wait_ms = queue.wait_ms(customer, now_ms)
                if wait_ms > 0:
                    waits[service, customer] = wait_ms
        return waits

    def forget(self, job):
        """Drop what is known of a job."""
        self._excess.discard(job)
        self._standings.pop(job, None)
