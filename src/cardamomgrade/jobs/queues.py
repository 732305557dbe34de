"""Configuration of queues, of the services that run their jobs, and of customers."""

import attrs

from .customers import index_keys, key_digest


@attrs.frozen
class Advice:
    """Timing of the eligibility service of a queue, in ms."""

    decision_ms: int
    period_ms: int
    valid_ms: int


@attrs.frozen
class Queue:
    """A queue: jobs submitted to ``host`` under ``prefix`` run on ``service``.

    Lower values of ``priority`` come first. A job fails when one of its tasks has
    failed ``max_attempts`` times. The objective of a job is ``stretch`` times the run
    time of its longest chain of steps, plus ``target_ms``. Callers of a ``public``
    queue need no key.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    timeout_ms: int = 0
    advice: Advice | None = None
    public: bool = False


@attrs.frozen
class Service:
    """A pool of executors; VMs of a ``standby`` pool are off and cost nothing."""

    name: str
    guards_capacity: bool = False
    standby: bool = False


@attrs.frozen
class QueueConfig:
    """One version of the configuration; ``body_limit`` is in bytes, 0 is no limit.

    ``customers`` is None where the deployment has no customers: no key is asked for.
    """

    version: int
    queues: tuple = ()
    services: tuple = ()
    body_limit: int = 0
    customers: tuple | None = None
    _queues_by_name: dict = attrs.field(init=False, eq=False, repr=False)
    _queues_by_host: dict = attrs.field(init=False, eq=False, repr=False)
    _customers_by_name: dict = attrs.field(init=False, eq=False, repr=False)
    _customers_by_key: dict = attrs.field(init=False, eq=False, repr=False)

    @_queues_by_name.default
    def _index_queues(self):
        return {item.name: item for item in reversed(self.queues)}

    @_queues_by_host.default
    def _index_hosts(self):
        index = {}
        for item in sorted(self.queues, key=lambda item: -len(item.prefix)):
            index.setdefault(item.host.lower(), []).append(item)
        return index

    @_customers_by_name.default
    def _index_customers(self):
        return {item.name: item for item in reversed(self.customers or ())}

    @_customers_by_key.default
    def _index_keys(self):
        return index_keys(self.customers or ())

    def queue(self, name):
        """Return the queue named ``name``, or None."""
        return self._queues_by_name.get(name)

    def customer(self, name):
        """Return the customer named ``name``, or None."""
        return self._customers_by_name.get(name)

    def customer_of_key(self, key):
        """Return the customer that has a key, or None."""
        return self._customers_by_key.get(key_digest(key)) if key else None

    def needs_key(self, queue):
        """Return whether calls to a Queue need the key of a customer."""
        return self.customers is not None and not queue.public

    def service(self, name):
        """Return the service named ``name``, or None."""
        return next((item for item in self.services if item.name == name), None)

    def match(self, host, path):
        """Return the queue on a host whose prefix matches most of ``path``, or None."""
        queues = self._queues_by_host.get(host.partition(":")[0].lower(), ())
        return next((item for item in queues if path.startswith(item.prefix)), None)
