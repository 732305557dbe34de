"""Places tasks on workers by estimated sizes; does no I/O and reads no clock.

``Placer`` folds the ``tasks`` stream and keeps an index of the free capacity of the
workers. ``decide`` returns the records to append and the requests to workers; a
decision takes effect only when its record has been read back from the log. The work
per event is bounded: an ordinary event examines one pool and a limited number of its
workers.
"""

from collections import Counter

import attrs

from .allocations import Allocations
from .estimate import Estimator, Size
from .health import Health
from .placement_events import (
    Action,
    Decisions,
    LeaseLapsed,
    Obstacle,
    TaskCurbed,
    TaskHopeless,
    TaskSent,
    TaskWaits,
    WorkerSetAside,
    WorkerTried,
)
from .preempt import (
    choose_preemption,
    full_size,
    Reservations,
    throttled_size,
    URGENT_START_MS,
)
from .records import TaskEnded, TaskPlaced, TaskRefused
from .refusal import Refusal
from .room import WorkerCapacity
from .tasks import OUTCOME_DONE, OUTCOME_FAILED, OUTCOME_LAPSED, Step, TaskState
from .waiting import WaitingTasks

LEASE_MS = 300_000
APPEND_TIMEOUT_MS = 5000  # a decided record not read back by then counts as lost
USAGE_SETTLE_MS = 60_000  # allocations of younger tasks are not reduced
# Limits for one pool in one call of decide
PLACEMENTS_PER_POOL = 32
TEAMS_PER_DECISION = 16
URGENT_PER_DECISION = 64


@attrs.frozen
class _PendingPlacement:
    """A placement that was decided but has not been read back from the log."""

    capacity: WorkerCapacity
    team: str
    size: Size
    since_ms: int


class Placer:
    """Places the tasks of all pools, as known to one control process.

    ``control`` is the name written into the records that the placer decides.
    """

    def __init__(self, control, estimator=None):
        self.state = TaskState()
        self._control = control
        self._estimator = estimator or Estimator()
        self._health = Health()
        self._allocations = Allocations()
        self._waiting = {}
        self._dirty = set()
        self._pending_placements = {}
        self._reservations = Reservations(self._allocations)
        self._pending_refusals = {}
        self._pending_lapses = {}
        self._logged_obstacles = {}
        self._quota_blocked_pools = {}
        self._decisions = []

    def set_quotas(self, quotas):
        """Replace the list of Quotas; teams without one are not limited."""
        self._allocations.quotas = {quota.team: quota for quota in quotas}
        for pool in self._waiting:
            self._mark_dirty(pool)

    def set_workers(self, workers):
        """Replace the list of Workers; only differences from the last are processed."""
        for capacity in self._allocations.set_workers(workers):
            if self._health.is_quarantined(capacity.worker.name):
                self._allocations.pool_of(capacity).block(capacity, Obstacle.SET_ASIDE)
            self._mark_dirty(capacity.worker.pool)

    def _mark_dirty(self, pool):
        """Make the next ``decide`` reconsider all waiting tasks of a pool."""
        if pool in self._waiting:
            self._waiting[pool].untried_teams = None
            self._dirty.add(pool)

    def report(self, usage):
        """Update the estimates from a Usage and resize the allocation of its task."""
        task = self.state.tasks.get(usage.task)
        if task is None or not task.live:
            return
        capacity, allocation = self._allocations.find(task)
        if allocation is None or allocation.throttled:
            return
        self._estimator.report(task.spec, usage)
        needed = self._estimator.needed_size(usage, allocation.size)
        if usage.time_ms - allocation.since_ms < USAGE_SETTLE_MS:
            needed = needed.at_least(allocation.size)
        if needed != allocation.size:
            self._allocations.resize(capacity, allocation, needed)
            self._mark_dirty(capacity.worker.pool)

    def fold(self, logged):
        """Apply a record of the ``tasks`` stream; return its Change or Refusal."""
        record = logged.record
        result = self.state.fold(logged)
        refused = isinstance(result, Refusal)
        if isinstance(record, TaskPlaced) and (
            not refused or record.control == self._control
        ):
            self.withdraw(record.task)
        if refused:
            return result
        if result.step is Step.PLACED:
            self._allocations.allocate(result.after, logged.time_ms)
            self._clear_waiting_state(result.after)
        elif result.step is Step.ENDED:
            self._apply_end(result)
        elif result.step is Step.SUBMITTED:
            self._enqueue(result.after)
        elif result.after is None:
            self._clear_waiting_state(result.before)
        return result

    def withdraw(self, name):
        """Undo a pending placement and queue its task again if it still waits.

        Does nothing when no placement of the task ``name`` is pending.
        """
        pending = self._pending_placements.pop(name, None)
        if pending is None:
            return
        capacity = pending.capacity
        self._count_usage(pending.team, pending.size, -1)
        if self._allocations.is_listed(capacity):
            self._allocations.pool_of(capacity).unblock(capacity, Obstacle.BUSY)
        self._mark_dirty(capacity.worker.pool)
        task = self.state.tasks.get(name)
        if task is not None and not task.live:
            self._enqueue(task, first=True)

    def _enqueue(self, task, first=False):
        pool = task.spec.pool
        if pool not in self._waiting:
            self._waiting[pool] = WaitingTasks()
        self._waiting[pool].push(task.spec, first)
        self._mark_dirty(pool)

    def _apply_end(self, change):
        task, name = change.before, change.before.spec.task
        self._pending_lapses.pop(name, None)
        capacity = self._allocations.free(task)
        self._recheck_team(task.spec.team)
        if capacity is not None:
            self._record_outcome(capacity, name, change.outcome)
            self._resume_throttled(capacity)
            self._mark_dirty(capacity.worker.pool)
        if change.after is not None:
            self._enqueue(change.after, first=True)

    def _record_outcome(self, capacity, task, outcome):
        worker = capacity.worker
        if outcome == OUTCOME_DONE:
            self._health.succeeded(worker.name)
        if outcome != OUTCOME_FAILED:
            return
        pool = self._allocations.pool_of(capacity)
        until_ms = self._health.failed(
            worker.name, worker.pool, task, len(pool.capacities), self.state.time_ms
        )
        if until_ms is None:
            return
        pool.block(capacity, Obstacle.SET_ASIDE)
        streak = self._health.streak(worker.name)
        self._decisions.append(
            WorkerSetAside(worker.name, worker.pool, streak, until_ms)
        )

    def _resume_throttled(self, capacity):
        """Resume throttled tasks of a worker whose full Size fits again."""
        for allocation in capacity.allocations.values():
            size = full_size(allocation.size)
            if (
                allocation.throttled
                and size.cores - allocation.size.cores <= capacity.free_cores
            ):
                self._allocations.resize(capacity, allocation, size)
                allocation.throttled = False
                self._request_action(capacity, [allocation], Action.RESUME, "")

    def _clear_waiting_state(self, task):
        """Drop the state kept for a waiting task, including its reservation."""
        self._logged_obstacles.pop(task.spec.task, None)
        self._pending_refusals.pop(task.spec.task, None)
        self._release_reservation(task.spec.task)

    def _release_reservation(self, name):
        capacity = self._reservations.release(name)
        if capacity is not None:
            self._mark_dirty(capacity.worker.pool)

    def _count_usage(self, team, size, sign):
        self._allocations.count_usage(team, size, sign)
        if sign < 0:
            self._recheck_team(team)

    def _recheck_team(self, team):
        for pool in self._quota_blocked_pools.pop(team, ()):
            self._mark_dirty(pool)

    def decide(self, now_ms):
        """Return the Decisions due at the log time ``now_ms``."""
        self._readmit_workers(now_ms)
        self._expire_leases(now_ms)
        self._expire_pending(now_ms)
        dirty, self._dirty = self._dirty | self._reservations.pools(), set()
        for name in sorted(dirty):
            self._decide_pool(name, now_ms)
        items, self._decisions = self._decisions, []
        return Decisions(items)

    def _readmit_workers(self, now_ms):
        for name in self._health.due(now_ms):
            capacity = self._allocations.capacities.get(name)
            if capacity is not None:
                self._allocations.pool_of(capacity).unblock(
                    capacity, Obstacle.SET_ASIDE
                )
                self._mark_dirty(capacity.worker.pool)
                self._decisions.append(WorkerTried(name, capacity.worker.pool))

    def _expire_leases(self, now_ms):
        for task in self.state.lapsed(now_ms):
            name = task.spec.task
            if (
                now_ms - self._pending_lapses.get(name, -APPEND_TIMEOUT_MS)
                < APPEND_TIMEOUT_MS
            ):
                continue
            self._pending_lapses[name] = now_ms
            record = TaskEnded(name, task.attempt, OUTCOME_LAPSED, self._control)
            self._decisions.append(LeaseLapsed(record, task.worker))

    def _expire_pending(self, now_ms):
        due = now_ms - APPEND_TIMEOUT_MS
        for name in [
            key for key, item in self._pending_placements.items() if item.since_ms < due
        ]:
            self.withdraw(name)
        for name in [key for key, sent in self._pending_refusals.items() if sent < due]:
            del self._pending_refusals[name]
            if self._is_waiting(name):
                self._enqueue(self.state.tasks[name], first=True)

    def _is_waiting(self, name):
        if name in self._pending_placements or name in self._pending_refusals:
            return False
        task = self.state.tasks.get(name)
        return task is not None and not task.live

    def _decide_pool(self, name, now_ms):
        """Try urgent tasks, then teams in rotation.

        A pool for which a limit was reached is continued by the next ``decide``.
        """
        pool, waiting = self._allocations.pool(name), self._waiting[name]
        for task in waiting.urgent(self._is_waiting)[:URGENT_PER_DECISION]:
            self._decide_task(pool, self.state.tasks[task], now_ms)
        if waiting.untried_teams is None:
            waiting.untried_teams = waiting.teams
        placed, skipped = 0, set()
        while placed < PLACEMENTS_PER_POOL and len(skipped) < TEAMS_PER_DECISION:
            candidate = waiting.next_team(skipped, self._is_waiting)
            if candidate is None:
                return
            if self._decide_task(pool, self.state.tasks[candidate.task], now_ms):
                placed += 1
            else:
                skipped.add(candidate.team)
        if waiting.untried_teams is not None:
            waiting.untried_teams -= len(skipped)
        if waiting.untried_teams is None or waiting.untried_teams > 0 or placed:
            self._dirty.add(name)

    def _decide_task(self, pool, task, now_ms):
        """Place or refuse a waiting task; return False when it has to go on waiting."""
        spec = task.spec
        size = self._estimator.estimate(spec, len(task.failed_on))
        reason = self._unplaceable_reason(pool, task, size)
        if reason:
            self._refuse(task, reason, now_ms)
            return True
        size = pool.clamp(size)
        if self._allocations.is_over_quota(spec.team, size):
            self._quota_blocked_pools.setdefault(spec.team, set()).add(spec.pool)
            self._log_wait(task, Obstacle.QUOTA, ())
            return False
        if self._place_reserved(task, now_ms):
            return True
        search = pool.find(size, spec.team, task.failed_on)
        if search.capacity is not None:
            self._place(task, size, search.capacity, search.skipped, now_ms)
            return True
        if spec.urgent and self._preempt(pool, task, size, now_ms):
            return True
        self._log_wait(task, _most_common_obstacle(search.skipped), search.skipped)
        return False

    def _unplaceable_reason(self, pool, task, size):
        spec, workers = task.spec, len(pool.capacities)
        if workers and not pool.could_ever_fit(size.at_most(spec)):
            return (
                f"no worker of pool {spec.pool} has room for {spec.cores} cores, "
                f"{spec.memory_mb} MB and {spec.accelerators} accelerators"
            )
        if self._health.is_task_at_fault(task.failed_on, workers):
            return "failed on " + ", ".join(task.failed_on)
        return ""

    def _refuse(self, task, reason, now_ms):
        """Decide a TaskRefused; the task is refused once the record is read back."""
        name = task.spec.task
        for worker in task.failed_on:
            self._health.absolve(worker, name)
        self._waiting[task.spec.pool].drop(task.spec)
        self._pending_refusals[name] = now_ms
        record = TaskRefused(name, reason, self._control)
        self._decisions.append(TaskHopeless(record, reason))

    def _place_reserved(self, task, now_ms):
        reservation = self._reservations.ready(task.spec.task)
        if reservation is not None:
            self._place(task, reservation.size, reservation.capacity, (), now_ms)
        return reservation is not None

    def _place(self, task, size, capacity, skipped, now_ms):
        spec = task.spec
        self._waiting[spec.pool].drop(spec)
        self._release_reservation(spec.task)
        self._allocations.pool_of(capacity).block(capacity, Obstacle.BUSY)
        self._pending_placements[spec.task] = _PendingPlacement(
            capacity, spec.team, size, now_ms
        )
        self._count_usage(spec.team, size, 1)
        record = TaskPlaced(
            spec.task,
            capacity.worker.name,
            task.attempt + 1,
            LEASE_MS,
            float(size.cores),
            int(size.memory_mb),
            self.state.next_offset - 1,
            self._control,
        )
        reason = (
            f"{size.cores:.2f} cores and {size.memory_mb:.0f} MB estimated for "
            f"{spec.cores:.2f} cores and {spec.memory_mb} MB declared"
        )
        self._decisions.append(TaskSent(record, capacity.worker.rack, reason, skipped))

    def _log_wait(self, task, obstacle, skipped):
        name = task.spec.task
        if self._logged_obstacles.get(name) is not obstacle:
            self._logged_obstacles[name] = obstacle
            self._decisions.append(TaskWaits(name, task.spec.pool, obstacle, skipped))

    def _preempt(self, pool, task, size, now_ms):
        """Preempt non-urgent tasks; return whether the urgent task was placed.

        Throttling frees cores at once. For a checkpoint or a stop, the worker stays
        reserved until the preempted attempts have ended.
        """
        spec = task.spec
        if self._reservations.is_pending(spec.task, now_ms):
            reservation = self._reservations.get(spec.task)
            overdue = self._reservations.take_overdue(spec.task, now_ms)
            self._request_action(reservation.capacity, overdue, Action.STOP, spec.task)
            return False
        self._release_reservation(spec.task)
        left_ms = task.submitted_ms + URGENT_START_MS - now_ms
        found = choose_preemption(pool, size, left_ms, task.failed_on)
        if found is None:
            return False
        self._request_action(found.capacity, found.allocations, found.action, spec.task)
        if found.action is Action.THROTTLE:
            for allocation in found.allocations:
                self._allocations.resize(
                    found.capacity, allocation, throttled_size(allocation.size)
                )
                allocation.throttled = True
            self._place(task, size, found.capacity, (), now_ms)
            return True
        self._reservations.reserve(
            spec.task, found, size, max(now_ms, now_ms + left_ms)
        )
        return False

    def _request_action(self, capacity, allocations, action, urgent):
        worker = capacity.worker.name
        reason = f"preempted for {urgent}" if urgent else "capacity is free again"
        for allocation in allocations:
            self._decisions.append(
                TaskCurbed(
                    allocation.task, allocation.attempt, worker, action, urgent, reason
                )
            )


def _most_common_obstacle(skipped):
    counts = Counter({item.obstacle: item.workers for item in skipped})
    return counts.most_common(1)[0][0] if counts else Obstacle.NO_WORKERS
