"""Progress of one job: which tasks may start, which run, and how runs ended.

Pure state: every change comes in by a method, and ``record`` is what has to be
stored before an order that follows from the change leaves.
"""

import attrs

from .records import JobState, Phase, ProgressRecord, TaskRecord
from .reports import Outcome
from .spec import TaskId


@attrs.define(eq=False)
class TaskState:
    """The newest run of one task; ``failures`` are its runs that ended failed.

    A task that waits names the executor of its newest run as long as how that run
    ended is not known for certain.
    """

    id: TaskId
    run: int = 0
    phase: Phase = Phase.WAITING
    executor: str = ""
    failures: int = 0
    checkpoint: str = ""
    failed_on: list = attrs.field(factory=list)
    placed_ms: float = 0.0

    def record(self):
        """Return the TaskRecord to store."""
        return TaskRecord(
            self.id.occurrence,
            self.id.step,
            self.id.index,
            self.run,
            int(self.phase),
            self.executor,
            self.failures,
            self.checkpoint,
        )


@attrs.define(eq=False)
class StepState:
    """The tasks of one step of one occurrence."""

    occurrence: int
    number: int
    step: object
    tasks: list
    undone: int
    waiting: int


class JobProgress:
    """A job with the state of its tasks."""

    def __init__(self, spec, max_attempts):
        self.spec = spec
        self.max_attempts = max_attempts
        self.cancelled = False
        self.failed = False
        self._steps = {}
        self._occurrences = 0
        self._started = False

    @classmethod
    def restore(cls, spec, max_attempts, record):
        """Return the progress that a ProgressRecord describes."""
        job = cls(spec, max_attempts)
        job.failed = record.state == JobState.FAILED
        job.cancelled = record.state == JobState.CANCELLED
        for item in record.tasks:
            task = job._find(TaskId(spec.job, item.occurrence, item.step, item.index))
            if task is None:
                continue
            task.run, task.executor = item.run, item.executor
            task.failures, task.checkpoint = item.failures, item.checkpoint
            job._move(task, Phase(item.phase))
            job._started = True
        return job

    @property
    def state(self):
        """The JobState that callers are told."""
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if self._all_done():
            return JobState.COMPLETED
        return JobState.RUNNING if self._started else JobState.PENDING

    def _all_done(self):
        if self.spec.lasting or self._occurrences < max(1, self.spec.repeat):
            return False
        return all(step.undone == 0 for step in self._steps.values())

    def record(self):
        """Return the ProgressRecord to store."""
        tasks = tuple(task.record() for task in self._tasks() if task.run > 0)
        return ProgressRecord(int(self.state), tasks)

    def _tasks(self):
        for step in self._steps.values():
            yield from step.tasks

    def placed(self):
        """Return the TaskState of every run that may be on an executor."""
        return [task for task in self._tasks() if task.phase is Phase.PLACED]

    def _open_occurrence(self):
        occurrence = self._occurrences
        self._occurrences += 1
        for number, step in enumerate(self.spec.steps):
            tasks = [
                TaskState(TaskId(self.spec.job, occurrence, number, index))
                for index in range(step.tasks)
            ]
            self._steps[occurrence, number] = StepState(
                occurrence, number, step, tasks, len(tasks), len(tasks)
            )

    def open_due(self, wall_ms):
        """Open the occurrences that are due; return when the next one is, or 0."""
        while self._occurrences < max(1, self.spec.repeat):
            due = self.spec.due_ms(self._occurrences)
            if due > wall_ms:
                return due
            self._open_occurrence()
        return 0

    def ready_steps(self):
        """Return each StepState that has tasks to start now."""
        if self.cancelled or self.failed:
            return []
        return [
            step
            for step in self._steps.values()
            if step.waiting and self._may_start(step)
        ]

    def _may_start(self, step):
        if step.step.gang and step.waiting < len(step.tasks):
            return False
        return all(
            self._steps[step.occurrence, number].undone == 0
            for number in step.step.after
        )

    def _find(self, task_id):
        if not 0 <= task_id.step < len(self.spec.steps):
            return None
        while task_id.occurrence >= self._occurrences:
            if self._occurrences >= max(1, self.spec.repeat):
                return None
            self._open_occurrence()
        tasks = self._steps[task_id.occurrence, task_id.step].tasks
        return tasks[task_id.index] if 0 <= task_id.index < len(tasks) else None

    def _move(self, task, phase):
        step = self._steps[task.id.occurrence, task.id.step]
        step.undone -= (phase is Phase.DONE) - (task.phase is Phase.DONE)
        step.waiting += (phase is Phase.WAITING) - (task.phase is Phase.WAITING)
        task.phase = phase

    @property
    def begun(self):
        """Whether any task was ever started."""
        return self._started

    def chain_ms(self, expect, undone_only=False):
        """Return the run time of the longest chain of steps, in ms.

        ``expect(step)`` gives the run time of one task of a step.
        """
        ends = []
        for number, step in enumerate(self.spec.steps):
            state = self._steps.get((0, number))
            done = undone_only and state is not None and state.undone == 0
            before = max((ends[item] for item in step.after), default=0.0)
            ends.append(before + (0.0 if done else expect(step)))
        return max(ends, default=0.0)

    def work(self, expect):
        """Return the core-ms of the tasks that are not done."""
        return sum(
            state.undone * state.step.counted_cores_m * expect(state.step) / 1000
            for state in self._steps.values()
        )

    def place(self, task, executor):
        """Start the next run of a task on an executor; return its number."""
        task.run += 1
        task.executor = executor
        self._move(task, Phase.PLACED)
        self._started = True
        return task.run

    def place_gang(self, step, executors):
        """Start all tasks of a gang; they share the number of the run."""
        run = max(task.run for task in step.tasks) + 1
        for task, executor in zip(step.tasks, executors, strict=True):
            task.run = run - 1
            self.place(task, executor)
        return run

    def live(self, task_id, run):
        """Return the TaskState if that run is the one under way, else None."""
        task = self._find(task_id)
        if task is None or task.run != run or task.phase is not Phase.PLACED:
            return None
        return task

    def given_up(self, task_id, run, executor):
        """Return the TaskState of a run that was taken as lapsed unheard, else None.

        Nothing of its task, or of its gang, has started since.
        """
        task = self._find(task_id)
        if task is None:
            return None
        step = self._steps[task_id.occurrence, task_id.step]
        for member in step.tasks if step.step.gang else [task]:
            if member.run != run or member.phase is not Phase.WAITING:
                return None
        return task if task.executor == executor else None

    def withdraw(self, task):
        """Take back a run that never began."""
        task.executor = ""
        self._move(task, Phase.WAITING)

    def end(self, task, outcome, checkpoint="", heard=True):
        """Take note of the end of the newest run; ``heard`` from its executor."""
        step = self._steps[task.id.occurrence, task.id.step]
        if checkpoint:
            task.checkpoint = checkpoint
        if outcome is Outcome.DONE and not step.step.lasting:
            members = step.tasks if step.step.gang else [task]
            for member in members:
                self._move(member, Phase.DONE)
            return
        if outcome is Outcome.FAILED:
            self._count_failure(task, step)
        if task.phase is Phase.PLACED:
            self._move(task, Phase.WAITING)
        if heard and task.phase is Phase.WAITING:
            task.executor = ""

    def _count_failure(self, task, step):
        task.failed_on.append(task.executor)
        failures = task.failures + 1
        members = step.tasks if step.step.gang else [task]
        for member in members:
            member.failures = failures
        if not step.step.lasting and failures >= self.max_attempts:
            self.failed = True
            self._move(task, Phase.EXHAUSTED)
