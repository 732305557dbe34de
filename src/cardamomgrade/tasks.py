"""Tasks and their attempts, folded from the ``tasks`` stream.

Every reader of the same records holds the same tasks. At most one attempt of a task
is live: it ends by a TaskEnded, and one that ends because its lease has lapsed does
so only once the log's time is past the lease and a margin. A placement is void when
another one on the same worker came after the record that it builds on, so that
racing placers never fill the same room twice.
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
LEASE_LIMIT_MS = 600_000
TASK_MEMORY_MS = 24 * 3600 * 1000
FAILED_ON_LIMIT = 8
OUTCOME_DONE = "done"
OUTCOME_FAILED = "failed"
OUTCOME_STOPPED = "stopped"
OUTCOME_LAPSED = "lapsed"
OUTCOMES = (OUTCOME_DONE, OUTCOME_FAILED, OUTCOME_STOPPED, OUTCOME_LAPSED)
_HASH_BYTES = 8


@unique
class Step(Enum):
    """What a valid record did to a task."""

    SUBMITTED = "submitted"
    PLACED = "placed"
    RENEWED = "renewed"
    ENDED = "ended"
    CANCELLED = "cancelled"
    REFUSED = "refused"


@attrs.frozen
class Task:
    """A task that is not over; ``worker`` is empty while no attempt is live.

    ``fence`` is the offset of the live attempt's TaskPlaced and ``until_ms`` the log
    time at which its lease lapses. ``failed_on`` are the last workers it failed on.
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
    """A step of a task: as it was, and as it is, or None when it is over."""

    step: Step
    before: Task | None
    after: Task | None
    outcome: str = ""

    @property
    def freed(self):
        """The worker whose room this change gives back, or an empty string."""
        return self.before.worker if self.step is Step.ENDED else ""


def _hash(task):
    return hashlib.blake2b(task.encode(), digest_size=_HASH_BYTES).digest()


def _is_size(value):
    return math.isfinite(value) and value >= 0


def _pending(task, **changes):
    return attrs.evolve(
        task, worker="", fence=-1, until_ms=0, cores=0.0, memory_mb=0, **changes
    )


class TaskState:
    """The tasks that are not over, and the names of those that lately were.

    Names of tasks that are over stay known for TASK_MEMORY_MS of log time, in two
    generations of 8-byte hashes, so that a submission sent again runs nothing.
    """

    def __init__(self):
        self.tasks = {}
        self.next_offset = 0
        self.time_ms = 0
        self._over = set()
        self._old_over = set()
        self._over_since_ms = 0
        self._last_placed = {}
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
        """Apply a record; return its Change, or a Refusal that says why it is void.

        A record below ``next_offset`` was applied before and changes nothing.
        """
        if logged.offset < self.next_offset:
            return Refusal(Reason.ALREADY_DONE, "offset was folded")
        self.next_offset = logged.offset + 1
        self._advance(logged.time_ms)
        handle = self._handlers.get(type(logged.record))
        if handle is None:
            return Refusal(Reason.UNKNOWN, "no record of tasks")
        return handle(logged.record, logged.offset)

    def lapsed(self, time_ms):
        """Return the tasks whose lease and margin are over at ``time_ms``."""
        over, kept = [], []
        while self._leases and self._leases[0][0] + LEASE_MARGIN_MS <= time_ms:
            _, name, attempt = heapq.heappop(self._leases)
            task = self.tasks.get(name)
            if task is None or not task.live or task.attempt != attempt:
                continue
            kept.append((task.until_ms, name, attempt))
            if task.until_ms + LEASE_MARGIN_MS <= time_ms:
                over.append(task)
                continue
            heapq.heappush(self._leases, kept.pop())
        for entry in kept:
            heapq.heappush(self._leases, entry)
        return over

    def is_over(self, name):
        """Return whether the task is known to be over."""
        key = _hash(name)
        return key in self._over or key in self._old_over

    def _advance(self, time_ms):
        self.time_ms = max(self.time_ms, time_ms)
        if self.time_ms - self._over_since_ms >= TASK_MEMORY_MS:
            self._old_over, self._over = self._over, set()
            self._over_since_ms = self.time_ms

    def _find(self, name):
        task = self.tasks.get(name)
        if task is not None:
            return task
        if self.is_over(name):
            return Refusal(Reason.ALREADY_DONE, f"{name} is over")
        return Refusal(Reason.UNKNOWN, f"no task {name}")

    def _find_attempt(self, record):
        task = self._find(record.task)
        if isinstance(task, Refusal):
            return task
        if not task.live or task.attempt != record.attempt:
            return Refusal(
                Reason.OUTDATED, f"{record.task} attempt {record.attempt} is not live"
            )
        return task

    def _put(self, step, before, after, outcome=""):
        self.tasks[after.spec.task] = after
        return Change(step, before, after, outcome)

    def _close(self, step, before, outcome=""):
        del self.tasks[before.spec.task]
        self._over.add(_hash(before.spec.task))
        return Change(step, before, None, outcome)

    def _submit(self, record, offset):
        if record.task in self.tasks or self.is_over(record.task):
            return Refusal(Reason.DUPLICATE, f"{record.task} was submitted")
        sizes = (record.cores, record.memory_mb, record.accelerators, record.run_s)
        if not record.task or not all(_is_size(size) for size in sizes):
            return Refusal(Reason.BAD_VALUE, "sizes must be finite and not negative")
        spec = attrs.evolve(
            record, team=sys.intern(record.team), pool=sys.intern(record.pool)
        )
        return self._put(Step.SUBMITTED, None, Task(spec, self.time_ms))

    def _place(self, record, offset):
        task = self._find(record.task)
        if isinstance(task, Refusal):
            return task
        if task.live:
            return Refusal(Reason.WRONG_STATE, f"attempt {task.attempt} is live")
        if record.attempt != task.attempt + 1:
            return Refusal(Reason.OUTDATED, f"next attempt is {task.attempt + 1}")
        if not 0 < record.lease_ms <= LEASE_LIMIT_MS or not record.worker:
            return Refusal(Reason.BAD_VALUE, "worker or lease_ms is not allowed")
        if not _is_size(record.cores) or not _is_size(record.memory_mb):
            return Refusal(Reason.BAD_VALUE, "sizes must be finite and not negative")
        if self._last_placed.get(record.worker, -1) > record.builds_on:
            return Refusal(Reason.OUTDATED, f"{record.worker} was given another task")
        worker = sys.intern(record.worker)
        self._last_placed[worker] = offset
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
        return self._put(Step.PLACED, task, placed)

    def _renew(self, record, offset):
        task = self._find_attempt(record)
        if isinstance(task, Refusal):
            return task
        if task.cancelled:
            return Refusal(Reason.WRONG_STATE, f"{record.task} is cancelled")
        if self.time_ms >= task.until_ms:
            return Refusal(Reason.EXPIRED, f"lease ended at {task.until_ms}")
        until_ms = max(task.until_ms, self.time_ms + task.lease_ms)
        renewed = attrs.evolve(task, until_ms=until_ms)
        return self._put(Step.RENEWED, task, renewed)

    def _end(self, record, offset):
        task = self._find_attempt(record)
        if isinstance(task, Refusal):
            return task
        if record.outcome not in OUTCOMES:
            return Refusal(Reason.BAD_VALUE, f"outcome {record.outcome}")
        early = self.time_ms < task.until_ms + LEASE_MARGIN_MS
        if record.outcome == OUTCOME_LAPSED and early:
            return Refusal(Reason.WRONG_STATE, f"lease runs until {task.until_ms}")
        if record.outcome == OUTCOME_DONE or task.cancelled:
            return self._close(Step.ENDED, task, record.outcome)
        failed_on = task.failed_on
        if record.outcome == OUTCOME_FAILED and task.worker not in failed_on:
            failed_on = (*failed_on, task.worker)[-FAILED_ON_LIMIT:]
        pending = _pending(task, failed_on=failed_on)
        return self._put(Step.ENDED, task, pending, record.outcome)

    def _cancel(self, record, offset):
        task = self._find(record.task)
        if isinstance(task, Refusal):
            return task
        if task.cancelled:
            return Refusal(Reason.ALREADY_DONE, f"{record.task} is cancelled")
        if not task.live:
            return self._close(Step.CANCELLED, task)
        return self._put(Step.CANCELLED, task, attrs.evolve(task, cancelled=True))

    def _refuse(self, record, offset):
        task = self._find(record.task)
        if isinstance(task, Refusal):
            return task
        if task.live:
            return Refusal(Reason.WRONG_STATE, f"attempt {task.attempt} is live")
        return self._close(Step.REFUSED, task)
