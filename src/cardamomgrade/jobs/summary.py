"""Summaries of jobs, tasks and queues for operators, computed from a JobView."""

import attrs

from .records import JobState, Phase
from .spec import TaskId


@attrs.frozen
class JobSummary:
    """One job of a list; ``waited_ms`` is a pending job's time since acceptance."""

    job: str
    queue: str
    customer: str
    state: str
    tasks: int
    started: int
    done: int
    waited_ms: int | None


@attrs.frozen
class TaskSummary:
    """The latest run of a task that was started at least once."""

    task: str
    run: int
    phase: str
    executor: str
    failures: int
    losses: int


@attrs.frozen
class JobDetails:
    """A job with its steps and its started tasks.

    ``scheduler`` is the node that schedules at present, or "" when none does.
    """

    job: str
    queue: str
    service: str
    customer: str
    state: str
    accepted_ms: int
    steps: list
    tasks: list
    scheduler: str
    epoch: int


@attrs.frozen
class QueueSummary:
    """One queue with the counts of its pending and running jobs."""

    queue: str
    service: str
    priority: int
    max_attempts: int
    pending: int
    running: int


def _tasks(row):
    return row.progress.tasks if row.progress is not None else ()


def _summarize(name, row, now_ms):
    """Return the JobSummary of a JobRow; ``now_ms`` is the wall clock."""
    spec, tasks = row.spec, _tasks(row)
    pending = row.state is JobState.PENDING
    return JobSummary(
        name,
        spec.queue,
        spec.customer,
        row.state.name.lower(),
        sum(step.tasks for step in spec.steps) * max(1, spec.repeat),
        len(tasks),
        sum(item.phase == Phase.DONE for item in tasks),
        int(now_ms - spec.accepted_ms) if pending else None,
    )


def job_summaries(view, now_ms, queue="", state="", customer=""):
    """Return JobSummaries, the oldest first; a text that is not "" selects some."""
    rows = [
        (row.spec.accepted_ms, name, row)
        for name, row in view.rows.items()
        if row.spec is not None
        and queue in ("", row.spec.queue)
        and customer in ("", row.spec.customer)
        and state in ("", row.state.name.lower())
    ]
    return [_summarize(name, row, now_ms) for _, name, row in sorted(rows)]


def job_details(view, name):
    """Return the JobDetails of a job, or None when the job is unknown."""
    row = view.find(name)
    if row is None:
        return None
    spec, term = row.spec, view.term
    task_summaries = [
        TaskSummary(
            str(TaskId(name, item.occurrence, item.step, item.index)),
            item.run,
            Phase(item.phase).name.lower(),
            item.executor,
            item.failures,
            item.losses,
        )
        for item in _tasks(row)
    ]
    return JobDetails(
        name,
        spec.queue,
        spec.service,
        spec.customer,
        row.state.name.lower(),
        spec.accepted_ms,
        [
            f"{step.tasks} of {step.cores_m} m, {step.memory_mb} MB"
            for step in spec.steps
        ],
        task_summaries,
        term.node if term is not None and not term.resigned else "",
        term.epoch if term is not None else 0,
    )


def queue_summaries(view, config):
    """Return the QueueSummaries of a QueueConfig."""
    states = [
        (row.spec.queue, row.state)
        for row in view.rows.values()
        if row.spec is not None
    ]
    return [
        QueueSummary(
            queue.name,
            queue.service,
            queue.priority,
            queue.max_attempts,
            states.count((queue.name, JobState.PENDING)),
            states.count((queue.name, JobState.RUNNING)),
        )
        for queue in config.queues
    ]
