"""Log events of the scheduler: run placements and ends, job and executor states."""

from ..journal import event


@event(600)
class TaskStarted:
    """The scheduler placed a run of a task on an executor."""

    job: str
    task: str
    run: int
    executor: str
    queue: str
    free_cores_m: int


@event(601)
class TaskEnded:
    """The scheduler recorded the end of a run."""

    job: str
    task: str
    run: int
    executor: str
    outcome: str


@event(653)
class RunLost:
    """A run was lost with its executor, which had ``beside`` other runs.

    ``cause`` is a LossCause. A run that has not ``begun`` counts no loss of its task.
    """

    task: str
    run: int
    executor: str
    cause: str
    beside: int
    begun: bool


@event(661)
class SuspicionEnded:
    """It is known whether an executor that was silent under a task had ``crashed``.

    ``losses`` counts the crashes under the task.
    """

    task: str
    executor: str
    crashed: bool
    losses: int


@event(654)
class TaskGivenUp:
    """A task starts no more, since ``losses`` executors crashed under it."""

    task: str
    executor: str
    losses: int


@event(652)
class CopyStarted:
    """The scheduler placed a second run of a task whose first one is overdue.

    The first run has taken ``age_ms``, although ``expected_ms`` is usual.
    """

    task: str
    run: int
    executor: str
    age_ms: int
    expected_ms: int


@event(602)
class JobChanged:
    """A job changed its state."""

    job: str
    queue: str
    state: str


@event(603)
class ExecutorAside:
    """An executor is quarantined for ``for_ms`` after failing several jobs in a row."""

    executor: str
    service: str
    for_ms: int


@event(604)
class ExecutorSeen:
    """An executor registered, changed its state, or left the platform's list."""

    executor: str
    service: str
    state: str


@event(640)
class ReservationBegan:
    """An executor is reserved for a large task that fits nowhere now.

    It is expected to have room for the task in ``starts_in_ms``.
    """

    job: str
    step: int
    executor: str
    service: str
    starts_in_ms: int


@event(641)
class ReservationEnded:
    """The reservation of an executor ended after ``held_ms``, by its start or not."""

    job: str
    step: int
    executor: str
    service: str
    reason: str
    held_ms: int


@event(617)
class JobStalled:
    """Tasks of a job have not been started for ``for_ms``, and none is known to run.

    ``silent`` counts its tasks on executors that do not answer; ``executors`` counts
    those of its service by why they take no task of ``step``.
    """

    job: str
    queue: str
    service: str
    step: str
    waiting: int
    silent: int
    for_ms: int
    executors: dict
