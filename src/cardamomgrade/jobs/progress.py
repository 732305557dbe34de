"""Progress of one job: tasks ready to start, current runs and ends of runs.

Pure state, performs no I/O. After a change, the result of ``record`` must be stored
before the orders that follow from the change are sent.
"""

import attrs

from .copies import (
    active_runs,
    adopt_run,
    allows_copies,
    newest_run,
    restore_other,
    resume_other,
    select_ended,
    stored_others,
    stored_run,
)
from .losses import acquit, charge, convict, is_given_up, runs_alone, Suspicion
from .records import JobState, Phase, ProgressRecord
from .reports import Outcome
from .spec import longest_chain_ms, TaskId


@attrs.define(eq=False)
class TaskState:
    """State of one task and its latest run.

    ``name`` is the text of its id. ``run`` counts its runs, ``failures`` those that
    failed. A waiting task keeps the name of the executor of its latest run until the
    end of that run is confirmed. ``run_ms`` is how long the run that is done took, 0 if
    another scheduler placed it. ``copies`` describes ``others`` and ``copy_run``;
    ``copied`` is set once it has had a copy that was not lost. ``losses`` counts the
    executors that crashed under it, ``suspicions`` are the Suspicions of those that may
    have crashed. ``begun_run`` is the newest of its runs that is known to have begun,
    or whose executor answered right before its start was sent. ``failed_run`` is the
    newest run of its gang that was counted as a failure, 0 for a task of no gang.
    """

    id: TaskId
    run: int = 0
    phase: Phase = Phase.WAITING
    executor: str = ""
    failures: int = 0
    checkpoint: str = ""
    failed_on: list = attrs.field(factory=list)
    placed_ms: float = 0.0
    run_ms: float = 0.0
    others: tuple = ()
    copy_run: int = 0
    copied: bool = False
    losses: int = 0
    suspicions: tuple = ()
    begun_run: int = 0
    failed_run: int = 0
    name: str = attrs.field(init=False)

    @name.default
    def _name(self):
        return str(self.id)

    def active_runs(self):
        """Return (run, executor) pairs of the runs that may go on."""
        return active_runs(self)

    def rows(self):
        """Return the fields of the TaskRecords to store, that of the newest run last.

        Versions that know no copies read the last one.
        """
        others = [(run, Phase.PLACED, name) for run, name in stored_others(self)]
        return [
            (
                self.id.occurrence,
                self.id.step,
                self.id.index,
                run,
                int(phase),
                executor,
                self.failures,
                self.checkpoint,
                *self._last_fields(),
            )
            for run, phase, executor in (*others, stored_run(self))
        ]

    def _last_fields(self):
        """Return the last fields of its TaskRecords, without those not needed."""
        suspicions = tuple(map(attrs.astuple, self.suspicions))
        begun_run = self.begun_run if self.begun_run > 1 else 0
        failed_run = self.failed_run if self.failed_run == self.run else 0
        fields = [self.losses, begun_run, suspicions, failed_run]
        while fields and not fields[-1]:
            fields.pop()
        return fields


@attrs.define(eq=False)
class StepState:
    """The tasks of one step and occurrence; counts the unfinished and waiting ones.

    ``run_ms`` is the sum of the run times of ``runs_done`` tasks that are done.
    """

    occurrence: int
    number: int
    step: object
    tasks: list
    unfinished: int
    waiting: int
    run_ms: float = 0.0
    runs_done: int = 0

    @property
    def is_restricted(self):
        """Whether tasks wait that may not run on every executor with room for one."""
        step = self.step
        return bool(self.waiting and (step.gang or step.label or step.per_executor))

    def observe(self, run_ms):
        """Record the run time of a task that is done, in ms."""
        self.run_ms += run_ms
        self.runs_done += 1

    def mean_run_ms(self, expected_ms):
        """Return the mean run time of its tasks, ``expected_ms`` until one is done."""
        return self.run_ms / self.runs_done if self.runs_done else expected_ms


class JobProgress:
    """A job and the state of its tasks."""

    def __init__(self, spec, max_attempts):
        self.spec = spec
        self.max_attempts = max_attempts
        self.cancelled = False
        self.failed = False
        self._steps = {}
        self._occurrences = 0
        self._placed = False
        self._begun = False
        self._unfinished = 0

    @classmethod
    def restore(cls, spec, max_attempts, record):
        """Return the JobProgress stored in a ProgressRecord."""
        job = cls(spec, max_attempts)
        job.failed = record.state == JobState.FAILED
        job.cancelled = record.state == JobState.CANCELLED
        for item in record.tasks:
            task = job._find(TaskId(spec.job, item.occurrence, item.step, item.index))
            if task is None:
                continue
            if task.run and allows_copies(spec.steps[item.step]):
                restore_other(task)
            task.run, task.executor = item.run, item.executor
            task.failures, task.checkpoint = item.failures, item.checkpoint
            task.losses, task.begun_run = item.losses, item.begun_run
            task.failed_run = item.failed_run
            task.suspicions = tuple(Suspicion(*row) for row in item.suspicions)
            job._set_phase(task, Phase(item.phase))
            job._placed = True
        job._begun = job._placed and record.state != JobState.PENDING
        for task in job._tasks():
            if task.others:
                task.copy_run = task.run
                if task.phase is Phase.WAITING and resume_other(task):
                    job._set_phase(task, Phase.PLACED)
        return job

    @property
    def state(self):
        """The JobState reported to callers."""
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if self._all_done():
            return JobState.COMPLETED
        return JobState.RUNNING if self._begun else JobState.PENDING

    def _all_done(self):
        if self.spec.lasting or self._occurrences < max(1, self.spec.repeat):
            return False
        return self._unfinished == 0

    def record(self):
        """Return the ProgressRecord to store."""
        rows = (row for task in self._tasks() if task.run > 0 for row in task.rows())
        return ProgressRecord(int(self.state), tuple(rows))

    def _tasks(self):
        for step in self._steps.values():
            yield from step.tasks

    def placed(self):
        """Return the TaskState of every task whose run may be on an executor."""
        return [
            task for task in self._tasks() if task.phase is Phase.PLACED or task.others
        ]

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
            self._unfinished += len(tasks)

    def open_due_occurrences(self, wall_ms):
        """Open due occurrences; return the wall-clock ms of the next one, or 0."""
        while self._occurrences < max(1, self.spec.repeat):
            due = self.spec.due_ms(self._occurrences)
            if due > wall_ms:
                return due
            self._open_occurrence()
        return 0

    def ready_steps(self):
        """Return the StepStates with tasks that may start now."""
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
            self._steps[step.occurrence, number].unfinished == 0
            for number in step.step.after
        )

    def step_state(self, task_id):
        """Return the StepState of a task, or None if its occurrence is not open."""
        return self._steps.get((task_id.occurrence, task_id.step))

    def _find(self, task_id):
        if not 0 <= task_id.step < len(self.spec.steps):
            return None
        while task_id.occurrence >= self._occurrences:
            if self._occurrences >= max(1, self.spec.repeat):
                return None
            self._open_occurrence()
        tasks = self._steps[task_id.occurrence, task_id.step].tasks
        return tasks[task_id.index] if 0 <= task_id.index < len(tasks) else None

    def _set_phase(self, task, phase):
        step = self._steps[task.id.occurrence, task.id.step]
        newly_done = (phase is Phase.DONE) - (task.phase is Phase.DONE)
        step.unfinished -= newly_done
        self._unfinished -= newly_done
        step.waiting += (phase is Phase.WAITING) - (task.phase is Phase.WAITING)
        task.phase = phase

    @property
    def placed_once(self):
        """Whether any run was ever placed, which an executor may not have begun."""
        return self._placed

    @property
    def begun(self):
        """Whether an executor has said that it began a run."""
        return self._begun

    def record_begun(self):
        """Record that an executor has said so."""
        self._begun = True

    @property
    def run_count(self):
        """The number of runs that were placed so far."""
        return sum(task.run for task in self._tasks())

    def critical_path_ms(self, expected_ms, unfinished_only=False):
        """Return the run time of the longest chain of dependent steps, in ms.

        ``expected_ms(step)`` returns the run time of one task of a step; it is used for
        steps of which no task is done, since the tasks of a step are alike. With
        ``unfinished_only``, steps whose tasks are all done count as 0.
        """
        run_ms = []
        for number, step in enumerate(self.spec.steps):
            state = self._steps.get((0, number))
            if state is None:
                run_ms.append(expected_ms(step))
            elif unfinished_only and state.unfinished == 0:
                run_ms.append(0.0)
            else:
                run_ms.append(state.mean_run_ms(expected_ms(step)))
        return longest_chain_ms(self.spec.steps, run_ms)

    def core_ms(self, expected_ms):
        """Return the expected core time of the unfinished tasks, in core-ms."""
        return sum(
            state.unfinished
            * state.step.reserved_cores_m
            * expected_ms(state.step)
            / 1000
            for state in self._steps.values()
        )

    def place(self, task, executor):
        """Start the next run of a task on an executor; return the run number."""
        task.run = newest_run(task) + 1
        task.executor = executor
        self._set_phase(task, Phase.PLACED)
        self._placed = True
        return task.run

    def place_gang(self, step, executors):
        """Start all tasks of a gang under one run number; return that number."""
        run = max(task.run for task in step.tasks) + 1
        for task, executor in zip(step.tasks, executors, strict=True):
            task.run = run - 1
            self.place(task, executor)
        return run

    def select_ended(self, task_id, run, executor):
        """Make a run that ended the current run of its task, if it is another one."""
        task = self._find(task_id)
        if task is not None and task.others:
            select_ended(task, run, executor)

    def adopt_done_run(self, task_id, run, executor):
        """Return the TaskState of a run that was given up and is done, else None.

        The run becomes the current one. Returns None unless the step allows copies, or
        if the task is done already or the job has ended.
        """
        task = self._find(task_id)
        if (
            task is None
            or not allows_copies(self.spec.steps[task_id.step])
            or not 1 <= run <= newest_run(task)
            or task.phase not in (Phase.WAITING, Phase.PLACED)
            or self.state.final
        ):
            return None
        adopt_run(task, run, executor)
        return task

    def running_task(self, task_id, run):
        """Return the TaskState if ``run`` is its current run, else None."""
        task = self._find(task_id)
        if task is None or task.run != run or task.phase is not Phase.PLACED:
            return None
        return task

    def lapsed_task(self, task_id, run, executor):
        """Return the TaskState of a run marked lapsed without confirmation, else None.

        Returns None as well if its task, or any task of its gang, started again since.
        """
        task = self._find(task_id)
        if task is None:
            return None
        step = self._steps[task_id.occurrence, task_id.step]
        for member in step.tasks if step.step.gang else [task]:
            if member.run != run or member.phase is not Phase.WAITING:
                return None
        return task if task.executor == executor else None

    def suspected(self):
        """Return (name, executor) for each Suspicion of a task."""
        return [
            (task.name, item.executor)
            for task in self._tasks()
            for item in task.suspicions
        ]

    def acquit(self, task_id, executor, run=0):
        """Drop the Suspicions of a task against an executor, or only that of a run."""
        task = self._find(task_id)
        if task is not None:
            acquit(task, executor, run)

    def convict(self, task_id, executor, born=0):
        """Count a task's Suspicions against an executor whose incarnation is over.

        ``born`` is that of a later one, or 0. Returns the TaskState, or None if none
        counted. A task that runs elsewhere by now is given up once that run is lost.
        """
        task = self._find(task_id)
        if task is None or not convict(task, executor, born):
            return None
        if task.phase is Phase.WAITING:
            self._give_up_if_due(task)
        return task

    def _give_up_if_due(self, task):
        if not is_given_up(task) or task.others:
            return
        if self._has_lasting_besides(task):
            self._set_phase(task, Phase.EXHAUSTED)
        else:
            self._exhaust(task)

    def _has_lasting_besides(self, task):
        """Return whether a lasting task leaves others that go on without it.

        Ending them would cost the job's callers more than the task that is given up.
        """
        step = self._steps[task.id.occurrence, task.id.step].step
        return (
            step.lasting
            and not step.gang
            and any(
                item is not task and item.phase is not Phase.EXHAUSTED
                for state in self._steps.values()
                for item in state.tasks
                if state.step.lasting
            )
        )

    def tasks_alone(self):
        """Return whether any task must run alone, after losses."""
        return any(
            runs_alone(task, state.step)
            for state in self._steps.values()
            for task in state.tasks
        )

    def withdraw(self, task):
        """Cancel the placement of a run that never began."""
        self._forget_copy(task)
        if self._needs_no_run(task):
            return
        task.executor = ""
        self._set_phase(task, Phase.WAITING)
        self._give_up_if_due(task)

    def _forget_copy(self, task):
        """Allow a task another copy, if its current run is a copy that is lost."""
        if task.run == task.copy_run:
            task.copied = False

    def _needs_no_run(self, task):
        """Return whether a task whose current run ended must not start again now.

        Its other run goes on, or the failures of both have used up its attempts.
        """
        if resume_other(task):
            return True
        if task.copy_run and task.failures >= self.max_attempts:
            self._exhaust(task)
            return True
        return False

    def end(self, task, outcome, checkpoint="", confirmed=True, loss=None):
        """Record the end of the current run.

        ``confirmed`` means that the end is known from the executor itself. A gang is
        done when one of its tasks is. ``loss`` is the Loss of a run that was lost with
        its executor, if that counts against the task.
        """
        step = self._steps[task.id.occurrence, task.id.step]
        if checkpoint:
            task.checkpoint = checkpoint
        if outcome is Outcome.DONE and not step.step.lasting:
            members = step.tasks if step.step.gang else [task]
            for member in members:
                self._set_phase(member, Phase.DONE)
            return
        if outcome is Outcome.FAILED:
            self._count_failure(task, step)
        if loss is not None:
            charge(task, loss)
        if outcome is Outcome.LAPSED:
            self._give_up_if_due(task)
            self._forget_copy(task)
        if task.phase is Phase.PLACED and self._needs_no_run(task):
            return
        if task.phase is Phase.PLACED:
            self._set_phase(task, Phase.WAITING)
        if confirmed and task.phase is Phase.WAITING:
            task.executor = ""

    def _count_failure(self, task, step):
        task.failed_on.append(task.executor)
        failures = task.failures + 1
        if step.step.gang:
            # A run of a gang fails once, however many of its members say so.
            if task.failed_run == task.run:
                return
            for member in step.tasks:
                member.failures, member.failed_run = failures, task.run
        else:
            task.failures = failures
        # The other run of a task may still be done, whatever the number of failures.
        if not (step.step.lasting or task.others) and failures >= self.max_attempts:
            self._exhaust(task)

    def _exhaust(self, task):
        self.failed = True
        self._set_phase(task, Phase.EXHAUSTED)
