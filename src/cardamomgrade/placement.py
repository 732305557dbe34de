"""Places tasks on workers by estimated sizes; does no I/O and reads no clock.

``Placer`` folds the ``tasks`` stream and keeps an index of the room on the workers.
``decide`` returns what to append and what to ask of workers; only what has been read
back from the log counts as done. Work follows what changed: an ordinary event looks
at one pool and at a bounded number of its workers.
"""

from collections import Counter

import attrs

from .estimate import Estimator, Size
from .health import Health
from .holdings import Holdings
from .orders import (
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
    choose_yielding,
    Claims,
    full_size,
    throttled_size,
    URGENT_START_MS,
)
from .records import TaskEnded, TaskPlaced, TaskRefused
from .refusal import Refusal
from .room import Room
from .tasks import OUTCOME_DONE, OUTCOME_FAILED, OUTCOME_LAPSED, Step, TaskState
from .waiting import Waiting

LEASE_MS = 300_000
APPEND_WAIT_MS = 5000
SETTLE_MS = 60_000
SENT_PER_POOL = 32
TEAMS_TRIED = 16
URGENT_TRIED = 64


@attrs.frozen
class _Sending:
    """A placement that was decided and has not been read back."""

    room: Room
    team: str
    size: Size
    since_ms: int


class Placer:
    """The tasks and the workers as one control sees them."""

    def __init__(self, control, estimator=None):
        self.state = TaskState()
        self._control = control
        self._estimator = estimator or Estimator()
        self._health = Health()
        self._holdings = Holdings()
        self._waiting = {}
        self._dirty = set()
        self._sending = {}
        self._claims = Claims(self._holdings)
        self._refusing = {}
        self._lapsing = {}
        self._told = {}
        self._quota_waits = {}
        self._items = []

    def set_quotas(self, quotas):
        """Take the Quota list; teams without one are not limited."""
        self._holdings.quotas = {quota.team: quota for quota in quotas}
        for pool in self._waiting:
            self._touch(pool)

    def set_workers(self, workers):
        """Take the platform's list of workers; only differences cost work."""
        for room in self._holdings.set_workers(workers):
            if self._health.is_aside(room.worker.name):
                self._holdings.pool_of(room).close(room, Obstacle.SET_ASIDE)
            self._touch(room.worker.pool)

    def _touch(self, pool):
        """Have the tasks of a pool looked at again by the next ``decide``."""
        if pool in self._waiting:
            self._waiting[pool].untried = None
            self._dirty.add(pool)

    def report(self, usage):
        """Take a Usage: learn from it and correct what its task holds."""
        task = self.state.tasks.get(usage.task)
        if task is None or not task.live:
            return
        room, hold = self._holdings.find(task)
        if hold is None or hold.throttled:
            return
        self._estimator.report(task.spec, usage)
        needed = self._estimator.held(usage, hold.size)
        if usage.time_ms - hold.since_ms < SETTLE_MS:
            needed = needed.at_least(hold.size)
        if needed != hold.size:
            self._holdings.resize(room, hold, needed)
            self._touch(room.worker.pool)

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
            self._holdings.hold(result.after, logged.time_ms)
            self._forget(result.after)
        elif result.step is Step.ENDED:
            self._ended(result)
        elif result.step is Step.SUBMITTED:
            self._enqueue(result.after)
        elif result.after is None:
            self._forget(result.before)
        return result

    def withdraw(self, name):
        """Take back a decided placement that is not, or not yet, in the log."""
        sending = self._sending.pop(name, None)
        if sending is None:
            return
        room = sending.room
        self._use(sending.team, sending.size, -1)
        if self._holdings.is_listed(room):
            self._holdings.pool_of(room).open(room, Obstacle.BUSY)
        self._touch(room.worker.pool)
        task = self.state.tasks.get(name)
        if task is not None and not task.live:
            self._enqueue(task, first=True)

    def _enqueue(self, task, first=False):
        pool = task.spec.pool
        if pool not in self._waiting:
            self._waiting[pool] = Waiting()
        self._waiting[pool].push(task.spec, first)
        self._touch(pool)

    def _ended(self, change):
        task, name = change.before, change.before.spec.task
        self._lapsing.pop(name, None)
        room = self._holdings.free(task)
        self._wake_team(task.spec.team)
        if room is not None:
            self._judge(room, name, change.outcome)
            self._resume(room)
            self._touch(room.worker.pool)
        if change.after is not None:
            self._enqueue(change.after, first=True)

    def _judge(self, room, task, outcome):
        worker = room.worker
        if outcome == OUTCOME_DONE:
            self._health.succeeded(worker.name)
        if outcome != OUTCOME_FAILED:
            return
        pool = self._holdings.pool_of(room)
        until_ms = self._health.failed(
            worker.name, worker.pool, task, len(pool.rooms), self.state.time_ms
        )
        if until_ms is None:
            return
        pool.close(room, Obstacle.SET_ASIDE)
        streak = self._health.streak(worker.name)
        self._items.append(WorkerSetAside(worker.name, worker.pool, streak, until_ms))

    def _resume(self, room):
        """Lift the throttle from tasks whose whole Size fits again."""
        for hold in room.holds.values():
            size = full_size(hold.size)
            if hold.throttled and size.cores - hold.size.cores <= room.cores:
                self._holdings.resize(room, hold, size)
                hold.throttled = False
                self._curb(room, [hold], Action.RESUME, "")

    def _forget(self, task):
        """Drop what was kept for a task that no longer waits."""
        self._told.pop(task.spec.task, None)
        self._refusing.pop(task.spec.task, None)
        self._release(task.spec.task)

    def _release(self, name):
        room = self._claims.release(name)
        if room is not None:
            self._touch(room.worker.pool)

    def _use(self, team, size, sign):
        self._holdings.use(team, size, sign)
        if sign < 0:
            self._wake_team(team)

    def _wake_team(self, team):
        for pool in self._quota_waits.pop(team, ()):
            self._touch(pool)

    def decide(self, now_ms):
        """Return the Decisions due at the log time ``now_ms``."""
        self._try_workers(now_ms)
        self._end_lapsed(now_ms)
        self._expire_sending(now_ms)
        dirty, self._dirty = self._dirty | self._claims.pools(), set()
        for name in sorted(dirty):
            self._decide_pool(name, now_ms)
        items, self._items = self._items, []
        return Decisions(items)

    def _try_workers(self, now_ms):
        for name in self._health.due(now_ms):
            room = self._holdings.rooms.get(name)
            if room is not None:
                self._holdings.pool_of(room).open(room, Obstacle.SET_ASIDE)
                self._touch(room.worker.pool)
                self._items.append(WorkerTried(name, room.worker.pool))

    def _end_lapsed(self, now_ms):
        for task in self.state.lapsed(now_ms):
            name = task.spec.task
            if now_ms - self._lapsing.get(name, -APPEND_WAIT_MS) < APPEND_WAIT_MS:
                continue
            self._lapsing[name] = now_ms
            record = TaskEnded(name, task.attempt, OUTCOME_LAPSED, self._control)
            self._items.append(LeaseLapsed(record, task.worker))

    def _expire_sending(self, now_ms):
        due = now_ms - APPEND_WAIT_MS
        for name in [key for key, item in self._sending.items() if item.since_ms < due]:
            self.withdraw(name)
        for name in [key for key, sent in self._refusing.items() if sent < due]:
            del self._refusing[name]
            if self._is_waiting(name):
                self._enqueue(self.state.tasks[name], first=True)

    def _is_waiting(self, name):
        if name in self._sending or name in self._refusing:
            return False
        task = self.state.tasks.get(name)
        return task is not None and not task.live

    def _decide_pool(self, name, now_ms):
        """Try urgent tasks, then teams in turn; go on later where a bound ends it."""
        pool, waiting = self._holdings.pool(name), self._waiting[name]
        for task in waiting.urgent(self._is_waiting)[:URGENT_TRIED]:
            self._decide_task(pool, self.state.tasks[task], now_ms)
        if waiting.untried is None:
            waiting.untried = waiting.teams
        sent, skipped = 0, set()
        while sent < SENT_PER_POOL and len(skipped) < TEAMS_TRIED:
            turn = waiting.next_team(skipped, self._is_waiting)
            if turn is None:
                return
            if self._decide_task(pool, self.state.tasks[turn.task], now_ms):
                sent += 1
            else:
                skipped.add(turn.team)
        if waiting.untried is not None:
            waiting.untried -= len(skipped)
        if waiting.untried is None or waiting.untried > 0 or sent:
            self._dirty.add(name)

    def _decide_task(self, pool, task, now_ms):
        """Send, refuse or explain one waiting task; return whether it is settled."""
        spec = task.spec
        size = self._estimator.size(spec, len(task.failed_on))
        reason = self._hopeless_reason(pool, task, size)
        if reason:
            self._refuse(task, reason, now_ms)
            return True
        size = pool.clip(size)
        if self._holdings.is_over_quota(spec.team, size):
            self._quota_waits.setdefault(spec.team, set()).add(spec.pool)
            self._wait(task, Obstacle.QUOTA, ())
            return False
        if self._send_claimed(task, now_ms):
            return True
        search = pool.find(size, spec.team, task.failed_on)
        if search.room is not None:
            self._send(task, size, search.room, search.passed, now_ms)
            return True
        if spec.urgent and self._make_room(pool, task, size, now_ms):
            return True
        self._wait(task, _main_obstacle(search.passed), search.passed)
        return False

    def _hopeless_reason(self, pool, task, size):
        spec, workers = task.spec, len(pool.rooms)
        if workers and not pool.can_ever_hold(size.at_most(spec)):
            return (
                f"no worker of {spec.pool} has room for {spec.cores} cores, "
                f"{spec.memory_mb} MB and {spec.accelerators} accelerators"
            )
        if self._health.is_task_at_fault(task.failed_on, workers):
            return "failed on " + ", ".join(task.failed_on)
        return ""

    def _refuse(self, task, reason, now_ms):
        """Decide a TaskRefused; the task waits on until it has been read back."""
        name = task.spec.task
        for worker in task.failed_on:
            self._health.absolve(worker, name)
        self._waiting[task.spec.pool].drop(task.spec)
        self._refusing[name] = now_ms
        record = TaskRefused(name, reason, self._control)
        self._items.append(TaskHopeless(record, reason))

    def _send_claimed(self, task, now_ms):
        claim = self._claims.ready(task.spec.task)
        if claim is not None:
            self._send(task, claim.size, claim.room, (), now_ms)
        return claim is not None

    def _send(self, task, size, room, passed, now_ms):
        spec = task.spec
        self._waiting[spec.pool].drop(spec)
        self._release(spec.task)
        self._holdings.pool_of(room).close(room, Obstacle.BUSY)
        self._sending[spec.task] = _Sending(room, spec.team, size, now_ms)
        self._use(spec.team, size, 1)
        record = TaskPlaced(
            spec.task,
            room.worker.name,
            task.attempt + 1,
            LEASE_MS,
            float(size.cores),
            int(size.memory_mb),
            self.state.next_offset - 1,
            self._control,
        )
        reason = (
            f"{size.cores:.2f} cores and {size.memory_mb:.0f} MB estimated for "
            f"{spec.cores:.2f} and {spec.memory_mb} declared"
        )
        self._items.append(TaskSent(record, room.worker.rack, reason, passed))

    def _wait(self, task, obstacle, passed):
        name = task.spec.task
        if self._told.get(name) is not obstacle:
            self._told[name] = obstacle
            self._items.append(TaskWaits(name, task.spec.pool, obstacle, passed))

    def _make_room(self, pool, task, size, now_ms):
        """Let lesser work give way; return whether the task could be sent at once."""
        spec = task.spec
        if self._claims.is_kept(spec.task, now_ms):
            claim = self._claims.claim(spec.task)
            late = self._claims.take_late(spec.task, now_ms)
            self._curb(claim.room, late, Action.STOP, spec.task)
            return False
        self._release(spec.task)
        left_ms = task.submitted_ms + URGENT_START_MS - now_ms
        found = choose_yielding(pool, size, left_ms, task.failed_on)
        if found is None:
            return False
        self._curb(found.room, found.holds, found.action, spec.task)
        if found.action is Action.THROTTLE:
            for hold in found.holds:
                self._holdings.resize(found.room, hold, throttled_size(hold.size))
                hold.throttled = True
            self._send(task, size, found.room, (), now_ms)
            return True
        self._claims.keep(spec.task, found, size, max(now_ms, now_ms + left_ms))
        return False

    def _curb(self, room, holds, action, urgent):
        worker = room.worker.name
        reason = f"makes room for {urgent}" if urgent else "its room is free again"
        for hold in holds:
            self._items.append(
                TaskCurbed(hold.task, hold.attempt, worker, action, urgent, reason)
            )


def _main_obstacle(passed):
    counts = Counter({item.obstacle: item.workers for item in passed})
    return counts.most_common(1)[0][0] if counts else Obstacle.NO_WORKERS
