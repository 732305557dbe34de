"""Tasks and their attempts, folded from the ``tasks`` stream.

All readers of the same records have the same state. At most one attempt of a task is
live. An attempt ends by a TaskEnded; one with the outcome lapsed is valid only when
the log time is past the end of the lease and a margin. A placement is refused if
another placement on the same worker follows the record that it builds on, so that
concurrent placers never allocate the same capacity twice.
"""

import hashlib
import heapq
import math
import sys
from enum import Enum, unique

import attrs

from .records import (
    TaskCancelled,
    TaskEnded,
    TaskPlaced,
    TaskRefused,
    TaskRenewed,
    TaskSubmitted,
)
from .refusal import Reason, Refusal

LEASE_MARGIN_MS = 1000
LEASE_MAX_MS = 600_000
FINISHED_RETENTION_MS = 24 * 3600 * 1000
FAILED_ON_MAX = 8
OUTCOME_DONE = "done"
OUTCOME_FAILED = "failed"
OUTCOME_STOPPED = "stopped"
OUTCOME_LAPSED = "lapsed"
OUTCOMES = (OUTCOME_DONE, OUTCOME_FAILED, OUTCOME_STOPPED, OUTCOME_LAPSED)
_HASH_BYTES = 8


@unique
class Step(Enum):
    """The effect of a valid record on a task."""

    SUBMITTED = "submitted"
    PLACED = "placed"
    RENEWED = "renewed"
    ENDED = "ended"
    CANCELLED = "cancelled"
    REFUSED = "refused"


@attrs.frozen
class Task:
    """An unfinished task; ``worker`` is empty while no attempt is live.

    ``fence`` is the offset of the live attempt's TaskPlaced and ``until_ms`` the log
    time at which its lease lapses. ``failed_on`` names the last workers on which the
    task failed, at most FAILED_ON_MAX of them.
    """

    spec: TaskSubmitted
    submitted_ms: int
    attempt: int = 0
    worker: str = ""
    fence: int = -1
    until_ms: int = 0
    lease_ms: int = 0
    cores: float = 0.0
    memory_mb: int = 0
    cancelled: bool = False
    failed_on: tuple = ()

    @property
    def live(self):
        """Whether an attempt may be running."""
        return bool(self.worker)


@attrs.frozen
class Change:
    """A Step of a task, with the task before and after it.

    ``before`` is None for a new task and ``after`` is None for a finished one.
    """

    step: Step
    before: Task | None
    after: Task | None
    outcome: str = ""

    @property
    def freed(self):
        """The worker whose capacity this change frees, or an empty string."""
        return self.before.worker if self.step is Step.ENDED else ""


def _hash(task):
    return hashlib.blake2b(task.encode(), digest_size=_HASH_BYTES).digest()


def _is_size(value):
    return math.isfinite(value) and value >= 0


def _without_attempt(task, **changes):
    return attrs.evolve(
        task, worker="", fence=-1, until_ms=0, cores=0.0, memory_mb=0, **changes
    )


class TaskState:
    """The unfinished tasks, and the names of those that finished recently.

    Names of finished tasks are kept for at least FINISHED_RETENTION_MS of log time, as
    8-byte hashes in two generations, so that a repeated submission runs nothing.
    """

    def __init__(self):
        self.tasks = {}
        self.next_offset = 0
        self.time_ms = 0
        self._finished = set()
        self._previous_finished = set()
        self._finished_since_ms = 0
        self._last_placement_offsets = {}
        self._leases = []
        self._handlers = {
            TaskSubmitted: self._submit,
            TaskPlaced: self._place,
            TaskRenewed: self._renew,
            TaskEnded: self._end,
            TaskCancelled: self._cancel,
            TaskRefused: self._refuse,
        }

    def fold(self, logged):
        """Apply a record; return its Change, or a Refusal that leaves the tasks as is.

        A record below ``next_offset`` was applied before and has no effect.
        """
        if logged.offset < self.next_offset:
            return Refusal(Reason.ALREADY_DONE, "offset was already folded")
        self.next_offset = logged.offset + 1
        self._advance(logged.time_ms)
        handle = self._handlers.get(type(logged.record))
        if handle is None:
            return Refusal(Reason.UNKNOWN, "not a record of the tasks stream")
        return handle(logged.record, logged.offset)

    def lapsed(self, time_ms):
        """Return the live tasks whose lease and margin have passed at ``time_ms``."""
        lapsed, requeued = [], []
        while self._leases and self._leases[0][0] + LEASE_MARGIN_MS <= time_ms:
            _, name, attempt = heapq.heappop(self._leases)
            task = self.tasks.get(name)
            if task is None or not task.live or task.attempt != attempt:
                continue
            requeued.append((task.until_ms, name, attempt))
            if task.until_ms + LEASE_MARGIN_MS <= time_ms:
                lapsed.append(task)
                continue
            heapq.heappush(self._leases, requeued.pop())
        for entry in requeued:
            heapq.heappush(self._leases, entry)
        return lapsed

    def is_finished(self, name):
        """Return whether the task is known to have finished."""
        key = _hash(name)
        return key in self._finished or key in self._previous_finished

    def _advance(self, time_ms):
        self.time_ms = max(self.time_ms, time_ms)
        if self.time_ms - self._finished_since_ms >= FINISHED_RETENTION_MS:
            self._previous_finished, self._finished = self._finished, set()
            self._finished_since_ms = self.time_ms

    def _find(self, name):
        task = self.tasks.get(name)
        if task is not None:
            return task
        if self.is_finished(name):
            return Refusal(Reason.ALREADY_DONE, f"task {name} has finished")
        return Refusal(Reason.UNKNOWN, f"no task {name}")

    def _find_attempt(self, record):
        task = self._find(record.task)
        if isinstance(task, Refusal):
            return task
        if not task.live or task.attempt != record.attempt:
            return Refusal(
                Reason.OUTDATED,
                f"attempt {record.attempt} of {record.task} is not live",
            )
        return task

    def _update(self, step, before, after, outcome=""):
        self.tasks[after.spec.task] = after
        return Change(step, before, after, outcome)

    def _finish(self, step, before, outcome=""):
        del self.tasks[before.spec.task]
        self._finished.add(_hash(before.spec.task))
        return Change(step, before, None, outcome)

    def _submit(self, record, offset):
        if record.task in self.tasks or self.is_finished(record.task):
            return Refusal(
                Reason.DUPLICATE, f"task {record.task} was already submitted"
            )
        sizes = (record.cores, record.memory_mb, record.accelerators, record.run_s)
        if not record.task or not all(_is_size(size) for size in sizes):
            return Refusal(
                Reason.BAD_VALUE, "task is empty, or a size is negative or not finite"
            )
        spec = attrs.evolve(
            record, team=sys.intern(record.team), pool=sys.intern(record.pool)
        )
        return self._update(Step.SUBMITTED, None, Task(spec, self.time_ms))

    def _place(self, record, offset):
        task = self._find(record.task)
        if isinstance(task, Refusal):
            return task
        if task.live:
            return Refusal(Reason.WRONG_STATE, f"attempt {task.attempt} is live")
        if record.attempt != task.attempt + 1:
            return Refusal(Reason.OUTDATED, f"attempt must be {task.attempt + 1}")
        if not 0 < record.lease_ms <= LEASE_MAX_MS or not record.worker:
            return Refusal(
                Reason.BAD_VALUE,
                f"worker is empty, or lease_ms is not in 1 to {LEASE_MAX_MS}",
            )
        if not _is_size(record.cores) or not _is_size(record.memory_mb):
            return Refusal(
                Reason.BAD_VALUE, "cores or memory_mb is negative or not finite"
            )
        if self._last_placement_offsets.get(record.worker, -1) > record.builds_on:
            return Refusal(Reason.OUTDATED, f"{record.worker} got a later placement")
        worker = sys.intern(record.worker)
        self._last_placement_offsets[worker] = offset
        until_ms = self.time_ms + record.lease_ms
        heapq.heappush(self._leases, (until_ms, task.spec.task, record.attempt))
        placed = attrs.evolve(
            task,
            attempt=record.attempt,
            worker=worker,
            fence=offset,
            until_ms=until_ms,
            lease_ms=record.lease_ms,
            cores=record.cores,
            memory_mb=record.memory_mb,
        )
        return self._update(Step.PLACED, task, placed)

    def _renew(self, record, offset):
        task = self._find_attempt(record)
        if isinstance(task, Refusal):
            return task
        if task.cancelled:
            return Refusal(Reason.WRONG_STATE, f"task {record.task} is cancelled")
        if self.time_ms >= task.until_ms:
            return Refusal(Reason.EXPIRED, f"lease ended at {task.until_ms}")
        until_ms = max(task.until_ms, self.time_ms + task.lease_ms)
        renewed = attrs.evolve(task, until_ms=until_ms)
        return self._update(Step.RENEWED, task, renewed)

    def _end(self, record, offset):
        task = self._find_attempt(record)
        if isinstance(task, Refusal):
            return task
        if record.outcome not in OUTCOMES:
            return Refusal(Reason.BAD_VALUE, f"outcome {record.outcome} is unknown")
        still_leased = self.time_ms < task.until_ms + LEASE_MARGIN_MS
        if record.outcome == OUTCOME_LAPSED and still_leased:
            return Refusal(Reason.WRONG_STATE, f"lease runs until {task.until_ms}")
        if record.outcome == OUTCOME_DONE or task.cancelled:
            return self._finish(Step.ENDED, task, record.outcome)
        failed_on = task.failed_on
        if record.outcome == OUTCOME_FAILED and task.worker not in failed_on:
            failed_on = (*failed_on, task.worker)[-FAILED_ON_MAX:]
        waiting = _without_attempt(task, failed_on=failed_on)
        return self._update(Step.ENDED, task, waiting, record.outcome)

    def _cancel(self, record, offset):
        task = self._find(record.task)
        if isinstance(task, Refusal):
            return task
        if task.cancelled:
            return Refusal(
                Reason.ALREADY_DONE, f"task {record.task} is already cancelled"
            )
        if not task.live:
            return self._finish(Step.CANCELLED, task)
        return self._update(Step.CANCELLED, task, attrs.evolve(task, cancelled=True))

    def _refuse(self, record, offset):
        task = self._find(record.task)
        if isinstance(task, Refusal):
            return task
        if task.live:
            return Refusal(Reason.WRONG_STATE, f"attempt {task.attempt} is live")
        return self._finish(Step.REFUSED, task)
