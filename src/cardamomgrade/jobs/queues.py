"""Configuration of queues and of the services that run their jobs."""

import attrs


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
    time of its longest chain of steps, plus ``target_ms``.
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


@attrs.frozen
class Service:
    """A pool of executors; VMs of a ``standby`` pool are off and cost nothing."""

    name: str
    guards_capacity: bool = False
    standby: bool = False


@attrs.frozen
class QueueConfig:
    """One version of the configuration; ``body_limit`` is in bytes, 0 is no limit."""

    version: int
    queues: tuple = ()
    services: tuple = ()
    body_limit: int = 0
    _queues_by_name: dict = attrs.field(init=False, eq=False, repr=False)

    @_queues_by_name.default
    def _index_queues(self):
        return {item.name: item for item in reversed(self.queues)}

    def queue(self, name):
        """Return the queue named ``name``, or None."""
        return self._queues_by_name.get(name)

    def service(self, name):
        """Return the service named ``name``, or None."""
        return next((item for item in self.services if item.name == name), None)

    def match(self, host, path):
        """Return the queue on a host whose prefix matches most of ``path``, or None."""
        host = host.partition(":")[0].lower()
        found = [
            item
            for item in self.queues
            if item.host.lower() == host and path.startswith(item.prefix)
        ]
        return max(found, key=lambda item: len(item.prefix), default=None)
