"""Holds executors for tasks that run alone; reads no clock and performs no I/O.

A task under which executors were lost runs beside lasting tasks only, so that its next
loss shows whether it is the cause, and costs no other job its work. While such a task
waits and no executor is idle, some are held: they get no other runs until it has ended
there. Of the executors that take new runs at most half are held, or a single one.
"""

import math

import attrs

from .losses import runs_alone, SETTLED_MS
from .placing import may_run, PlacementLimits
from .records import Phase

HELD_FRACTION = 0.5
EMPTYING_FRACTION = 0.25  # of a pool; others wait for the room that is held


@attrs.define
class Hold:
    """An executor of a service that is held for a task.

    ``run`` is the run of ``task`` there, or 0 until the executor is idle.
    ``until_ms`` is when the run of a lasting task lets others in beside it.
    """

    service: str
    task: str = ""
    run: int = 0
    until_ms: float = math.inf


def _finite_runs(executor):
    return len(executor.allocations) - executor.lasting_runs


def _could_run_alone(executor, state):
    """Return whether a task of a step has room on an executor beside lasting ones."""
    step, entry = state.step, executor.entry
    return (
        executor.lasting_cores_m + step.reserved_cores_m <= entry.cores_m
        and executor.lasting_memory_mb + step.memory_mb <= entry.memory_mb
        and step.accelerators <= entry.accelerators
        and (not step.label or step.label in entry.labels)
        and PlacementLimits(state).allows(executor.name)
    )


class Isolation:
    """The jobs with tasks that run alone, and the executors held for them."""

    def __init__(self):
        self._jobs = set()
        self._holds = {}

    def watch(self, job):
        """Look for tasks that run alone in a job, given its name."""
        self._jobs.add(job)

    def forget(self, job):
        """Stop watching a job that has ended."""
        self._jobs.discard(job)

    def holds(self, name):
        """Return whether an executor is held, so that it gets no other runs."""
        return name in self._holds

    @property
    def active(self):
        """Whether any job is watched or any executor held."""
        return bool(self._jobs or self._holds)

    def due(self, now_ms):
        """Release executors of lasting tasks that have settled; return the services."""
        settled = [name for name, x in self._holds.items() if x.until_ms <= now_ms]
        return {self._holds.pop(name).service for name in settled}

    def count(self, service):
        """Return how many executors of a service are held."""
        return sum(hold.service == service for hold in self._holds.values())

    def waiting(self, ready):
        """Return (job, StepState, TaskState) of the tasks of ReadyJobs to run alone."""
        if not self._jobs:
            return []
        return [
            (item.job, state, task)
            for item in ready
            if item.job.spec.job in self._jobs
            for state in item.steps
            for task in state.tasks
            if task.phase is Phase.WAITING and runs_alone(task, state.step)
        ]

    def release(self, service, known, usable, is_waiting):
        """Release the executors of a service that are held for nothing any more.

        ``known`` maps names to Executors, ``usable`` are those that take new runs.
        """
        names = {item.name for item in usable}
        for name, hold in list(self._holds.items()):
            if hold.service != service:
                continue
            if hold.run:
                executor = known.get(name)
                item = executor and executor.allocations.get(hold.task)
                is_needed = item is not None and item.run == hold.run
            else:
                is_needed = is_waiting and name in names
            if not is_needed:
                del self._holds[name]

    def choose(self, service, state, usable, pool_size):
        """Return an idle executor for a task of a step, or None.

        Holds another one until it is idle if there is none, and few are held.
        """
        most_held = max(1, int(len(usable) * HELD_FRACTION))
        held = [item for item in usable if item.name in self._holds]
        free = [item for item in held if self._is_emptying(item)]
        while free and len(held) > most_held:  # others were lost
            held.remove(free[-1])
            del self._holds[free.pop().name]
        if len(held) < most_held:
            free += [item for item in usable if item.name not in self._holds]
        limits = PlacementLimits(state)
        idle = [
            item
            for item in free
            if not _finite_runs(item) and may_run(item, state.step, limits)
        ]
        if idle:
            return min(idle, key=self._rank)
        limit = max(1, int(pool_size * EMPTYING_FRACTION))
        busy = [
            item
            for item in free
            if item.name not in self._holds and _could_run_alone(item, state)
        ]
        if busy and self._emptying(service) < limit:
            self._holds[min(busy, key=self._rank).name] = Hold(service)
        return None

    def _rank(self, executor):
        return (
            _finite_runs(executor),
            executor.name not in self._holds,
            executor.slow,
            executor.lasting_runs,
        )

    def _is_emptying(self, executor):
        return not self._holds[executor.name].run

    def _emptying(self, service):
        return sum(
            hold.service == service and not hold.run for hold in self._holds.values()
        )

    def begin(self, service, executor, task, run, lasting, now_ms):
        """Hold an executor for a run that begins there alone."""
        until_ms = now_ms + SETTLED_MS if lasting else math.inf
        self._holds[executor.name] = Hold(service, task, run, until_ms)
