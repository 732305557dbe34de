"""What operators are told of jobs, from a JobView; pure."""

import attrs

from .records import JobState, Phase
from .spec import TaskId


@attrs.frozen
class JobLine:
    """One job in a list; ``waited_ms`` is set while no task has started."""

    job: str
    queue: str
    state: str
    tasks: int
    started: int
    done: int
    waited_ms: int | None


@attrs.frozen
class TaskLine:
    """The newest run of one task that was started."""

    task: str
    run: int
    phase: str
    executor: str
    failures: int


@attrs.frozen
class JobStory:
    """A job as it was accepted and what became of it; ``scheduler`` runs it now."""

    job: str
    queue: str
    service: str
    state: str
    accepted_ms: int
    steps: list
    tasks: list
    scheduler: str
    epoch: int


@attrs.frozen
class QueueLine:
    """One queue with its jobs that are not over."""

    queue: str
    service: str
    priority: int
    max_attempts: int
    pending: int
    running: int


def _tasks(row):
    return row.progress.tasks if row.progress is not None else ()


def _job_line(name, row, now_ms):
    """Return the JobLine of a JobRow at a time of day."""
    spec, tasks = row.spec, _tasks(row)
    pending = row.state is JobState.PENDING
    return JobLine(
        name,
        spec.queue,
        row.state.name.lower(),
        sum(step.tasks for step in spec.steps) * max(1, spec.repeat),
        len(tasks),
        sum(item.phase == Phase.DONE for item in tasks),
        int(now_ms - spec.accepted_ms) if pending else None,
    )


def job_lines(view, now_ms, queue="", state=""):
    """Return the JobLines of all jobs, or of one queue or state, the oldest first."""
    rows = [
        (row.spec.accepted_ms, name, row)
        for name, row in view.rows.items()
        if row.spec is not None
        and queue in ("", row.spec.queue)
        and state in ("", row.state.name.lower())
    ]
    return [_job_line(name, row, now_ms) for _, name, row in sorted(rows)]


def job_story(view, name):
    """Return the JobStory of a job, or None when none was accepted."""
    row = view.find(name)
    if row is None:
        return None
    spec, term = row.spec, view.term
    lines = [
        TaskLine(
            str(TaskId(name, item.occurrence, item.step, item.index)),
            item.run,
            Phase(item.phase).name.lower(),
            item.executor,
            item.failures,
        )
        for item in _tasks(row)
    ]
    return JobStory(
        name,
        spec.queue,
        spec.service,
        row.state.name.lower(),
        spec.accepted_ms,
        [
            f"{step.tasks} of {step.cores_m} m, {step.memory_mb} MB"
            for step in spec.steps
        ],
        lines,
        term.node if term is not None and not term.resigned else "",
        term.epoch if term is not None else 0,
    )


def queue_lines(view, config):
    """Return the QueueLines of a QueueConfig."""
    states = [
        (row.spec.queue, row.state)
        for row in view.rows.values()
        if row.spec is not None
    ]
    return [
        QueueLine(
            queue.name,
            queue.service,
            queue.priority,
            queue.max_attempts,
            states.count((queue.name, JobState.PENDING)),
            states.count((queue.name, JobState.RUNNING)),
        )
        for queue in config.queues
    ]
