"""Jobs as callers submit them, their steps and the ids of their tasks."""

import attrs


@attrs.frozen
class Step:
    """A step: a number of equal tasks that may run at the same time.

    ``cores_m`` is in thousandths of a core, ``estimate_ms`` a rough duration of one
    task. ``after`` holds the indices of steps that must be done first. ``per_executor``
    limits the tasks of one occurrence on one executor; 0 means no limit. A ``lasting``
    step runs until its job is cancelled; ``may_miss`` is how many of its tasks may be
    interrupted at once, or -1 when the step sets no such budget. The tasks of a
    step that ``fills`` are fill tasks: they use idle cores, and none are reserved.
    """

    tasks: int
    cores_m: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple = attrs.field(default=(), converter=tuple)
    label: str = ""
    rack: str = ""
    per_executor: int = 0
    gang: bool = False
    rack_local: bool = False
    speculative: bool = False
    lasting: bool = False
    checkpoints: bool = False
    fills: bool = False
    image: str = ""
    target_ms: int = 0
    may_miss: int = -1

    @property
    def reserved_cores_m(self):
        """Thousandths of a core that are reserved for one task on an executor."""
        return 0 if self.fills else self.cores_m


@attrs.frozen
class JobSpec:
    """A job as it was accepted.

    ``accepted_ms`` is the wall clock of the entry. With ``repeat`` above 0 the steps
    run that many times, occurrence K at ``start_at_ms + K * interval_ms``.
    ``max_attempts`` is copied from the queue, which may be deleted before the job ends.
    ``customer`` is the name of the customer that submitted it, or "".
    """

    job: str
    queue: str
    service: str
    text: str
    accepted_ms: int
    steps: tuple
    repeat: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    max_attempts: int = 1
    customer: str = ""

    @property
    def lasting(self):
        """Whether any step runs until the job is cancelled."""
        return any(step.lasting for step in self.steps)

    def due_ms(self, occurrence):
        """Return the wall-clock time at which an occurrence may start, or 0."""
        if self.repeat == 0:
            return 0
        return self.start_at_ms + occurrence * self.interval_ms


def longest_chain_ms(steps, run_ms):
    """Return the run time of the longest chain of dependent steps, in ms.

    ``run_ms`` holds the run time of each step.
    """
    ends = []
    for step, step_ms in zip(steps, run_ms, strict=True):
        before = max((ends[item] for item in step.after), default=0.0)
        ends.append(before + step_ms)
    return max(ends, default=0.0)


@attrs.frozen(order=True)
class TaskId:
    """Identifies one task by job, occurrence, step and index."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self):
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


def parse_task(text):
    """Return the TaskId in ``text``, or None when the text is not a task id."""
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskId(parts[0], *(int(part) for part in parts[1:]))
