"""Decisions of placement, each of which is also a numbered log event.

``refused`` counts the workers of the pool that were passed over, by Obstacle.
"""

from enum import Enum, unique

import attrs

from .journal import event


@unique
class Obstacle(Enum):
    """Why a worker was passed over, or why a task waits."""

    ACCELERATORS = "too few accelerators free"
    CORES = "too few cores free"
    MEMORY = "too little memory free"
    BUSY = "another placement is under way"
    SET_ASIDE = "set aside for failing tasks"
    RESERVED = "reserved for an urgent task"
    FAILED_HERE = "the task failed there"
    NOT_EXAMINED = "not examined"
    QUOTA = "the team's quota is used up"
    NO_WORKERS = "the pool has no workers"


@unique
class Action(Enum):
    """What a worker is asked to do to a running task, mildest first."""

    RESUME = "resume"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@attrs.frozen
class Passed:
    """How many workers were passed over for one obstacle."""

    obstacle: Obstacle
    workers: int

    def __str__(self):
        return f"{self.workers} {self.obstacle.value}"


@event(500)
class TaskSent:
    """A task is to be placed on a worker: append ``record``."""

    record: object
    rack: str
    reason: str
    refused: tuple = ()


@event(501)
class TaskHopeless:
    """A task can never run in its pool: append ``record``."""

    record: object
    reason: str


@event(502)
class LeaseLapsed:
    """A lease and its margin are over: append ``record``."""

    record: object
    worker: str


@event(503)
class TaskCurbed:
    """Ask a worker for an action on a task, for the sake of an urgent one."""

    task: str
    attempt: int
    worker: str
    action: Action
    urgent: str
    reason: str


@event(504)
class TaskWaits:
    """A task waits; logged when its obstacle changes."""

    task: str
    pool: str
    obstacle: Obstacle
    refused: tuple = ()


@event(505)
class WorkerSetAside:
    """A worker that failed several tasks gets none until ``until_ms``."""

    worker: str
    pool: str
    failures: int
    until_ms: int


@event(506)
class WorkerTried:
    """A worker that was set aside gets a task again."""

    worker: str
    pool: str


@attrs.frozen
class Decisions:
    """What one call of ``Placer.decide`` decided, in order."""

    items: tuple = attrs.field(converter=tuple)

    def records(self):
        """Return the records to append to the ``tasks`` stream, in order."""
        return [item.record for item in self.items if hasattr(item, "record")]

    def of(self, cls):
        """Return the decisions of one class."""
        return [item for item in self.items if isinstance(item, cls)]
