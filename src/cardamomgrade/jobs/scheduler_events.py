"""Numbered events of the scheduler: placements, ends, jobs and executors."""

from ..journal import event


@event(600)
class TaskStarted:
    """The scheduler places a run of a task on an executor."""

    job: str
    task: str
    run: int
    executor: str
    queue: str
    free_cores_m: int


@event(601)
class TaskEnded:
    """The end of a run was taken note of."""

    job: str
    task: str
    run: int
    executor: str
    outcome: str


@event(602)
class JobChanged:
    """A job is in another state."""

    job: str
    queue: str
    state: str


@event(603)
class ExecutorAside:
    """An executor failed several tasks in a row and gets none for a while."""

    executor: str
    service: str
    for_ms: int


@event(604)
class ExecutorSeen:
    """An executor appeared, changed its state, or is gone."""

    executor: str
    service: str
    state: str
