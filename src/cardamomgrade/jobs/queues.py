"""The operators' configuration as jobs use it: queues and the services behind them."""

import attrs


@attrs.frozen
class Advice:
    """Terms of the eligibility service of a queue; times in ms."""

    decision_ms: int
    period_ms: int
    valid_ms: int


@attrs.frozen
class Queue:
    """A queue: requests to ``host`` under ``prefix`` run on ``service``.

    ``priority`` 0 comes first. A task may fail ``max_attempts`` times. A job's
    objective is ``stretch`` times its longest chain and ``target_ms`` more.
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
    """A pool of executors; ``standby`` machines are off and cost nothing."""

    name: str
    guards_capacity: bool = False
    standby: bool = False


@attrs.frozen
class QueueConfig:
    """One version of the configuration."""

    version: int
    queues: tuple = ()
    services: tuple = ()
    body_limit: int = 0

    def queue(self, name):
        """Return the queue of that name, or None."""
        return next((item for item in self.queues if item.name == name), None)

    def service(self, name):
        """Return the service of that name, or None."""
        return next((item for item in self.services if item.name == name), None)

    def match(self, host, path):
        """Return the queue with the longest prefix of ``path`` on a host, or None."""
        host = host.partition(":")[0].lower()
        found = [
            item
            for item in self.queues
            if item.host.lower() == host and path.startswith(item.prefix)
        ]
        return max(found, key=lambda item: len(item.prefix), default=None)
