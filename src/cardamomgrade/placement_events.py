"""Decisions of the placer, each of which is also a numbered log event.

``refused`` holds a SkippedCount of workers of the pool for each Obstacle.
"""

from enum import Enum, unique

import attrs

from .journal import event


@unique
class Obstacle(Enum):
    """Why a worker was skipped, or why a task waits."""

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
    """What a worker is requested to do with a running task, mildest first."""

    RESUME = "resume"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@attrs.frozen
class SkippedCount:
    """The number of workers skipped because of one obstacle."""

    obstacle: Obstacle
    workers: int

    def __str__(self):
        return f"{self.workers} {self.obstacle.value}"


@event(500)
class TaskSent:
    """A task was assigned to a worker; ``record`` is to be appended."""

    record: object
    rack: str
    reason: str
    refused: tuple = ()


@event(501)
class TaskHopeless:
    """A task can never run in its pool; ``record`` is to be appended."""

    record: object
    reason: str


@event(502)
class LeaseLapsed:
    """A task's lease and its margin have expired; ``record`` is to be appended."""

    record: object
    worker: str


@event(503)
class TaskCurbed:
    """A worker is to apply an action to a task that an urgent task preempts.

    ``urgent`` is the urgent task; it is empty for a resume.
    """

    task: str
    attempt: int
    worker: str
    action: Action
    urgent: str
    reason: str


@event(504)
class TaskWaits:
    """A task cannot be placed yet; logged when its main obstacle changes."""

    task: str
    pool: str
    obstacle: Obstacle
    refused: tuple = ()


@event(505)
class WorkerSetAside:
    """A worker that failed several tasks gets none until the log time ``until_ms``."""

    worker: str
    pool: str
    failures: int
    until_ms: int


@event(506)
class WorkerTried:
    """A worker that was set aside may get tasks again."""

    worker: str
    pool: str


@attrs.frozen
class Decisions:
    """The decisions of one call of ``Placer.decide``, in order."""

    items: tuple = attrs.field(converter=tuple)

    def records(self):
        """Return the records to append to the ``tasks`` stream, in order."""
        return [item.record for item in self.items if hasattr(item, "record")]

    def of(self, cls):
        """Return the decisions of one class."""
        return [item for item in self.items if isinstance(item, cls)]
