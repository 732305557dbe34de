"""Estimates how slow each executor is; reads no clock and performs no I/O.

Load pattern: a tenth of a pool's executors run 5 to 8 times slower than the others, or
leave their tasks standing still, for some seconds while they report healthy. A step
waits for its slowest task, so that most steps of 8 tasks are late. About 3% of all
runs take 7 times as long by chance, also on sound executors, so that one or two long
runs in a row say little.

The estimate is the median, over the last runs, of a run's time over that of its step's
siblings on other executors. A run that is still going and has taken SLOW_RATIO times as
long counts from then on. Each run counts once, at the earlier of its end and that
moment: if all long runs that are still going were counted at once, a sound executor
would seem slow, because long runs are going for a longer time than others.

Slow executors are used last. A task that only they have room for waits a little for
another one: in a nearly full pool, they have room more often than the others.
"""

import math
from collections import deque
from heapq import heappop, heappush
from statistics import median_high
from weakref import WeakKeyDictionary, WeakSet

import attrs

from ..journal import event
from .placing import may_run, PlacementLimits
from .records import Phase

SLOW_RATIO = 2.0  # above the spread of equal tasks, below the slowdowns seen (5 to 8)
SOUND_RATIO = 1.3  # equal tasks vary by less
RUNS_KEPT = 5  # 3 of 5 long runs by chance: 1 in 4,000 windows, at 3% long runs
SILENCE_MS = 10_000  # without a result nothing is known any more; slow periods end
SIBLINGS_MIN = 3  # the median of fewer is as unsure as a single run
SIBLINGS_MAX = 32  # looked at per run, to bound the cost for steps of many tasks
RECHECK_RATIO = 1.25  # of a run's age, until it is compared again
CHECK_MIN_MS = 50.0
REFERENCE_MIN_MS = 200.0  # orders and reports of equal tasks differ by up to this
PAUSE_MS = 1000.0  # between two updates; the run times include a pause of this process
HOLD_FACTOR = 4.0  # times the run time; a run on a slow executor takes 5 to 8 times it
HOLD_RUN_MIN_MS = 175.0  # jobs have 600 ms more than 1.6 times this: time for 5 times
HOLD_MAX_MS = 1000.0  # 2000 gained nothing; no job may stand still for 3 s
POOL_FRACTION = 0.5  # if more executors seem slow, the tasks or the platform are


@event(650)
class ExecutorSpeed:
    """An executor begins to count as ``slow``, or counts as ``sound`` again.

    ``ratio`` is the estimate, the median over ``ratios``, which are the last run times
    over those of other executors, the oldest first. Missing ones count as 1. ``why`` is
    ``runs``, or ``silence`` if there was no result for too long.
    """

    executor: str
    service: str
    state: str
    ratio: float
    ratios: list
    why: str


@event(651)
class SlownessIgnored:
    """So many executors of a service seem slow that none is treated as slow.

    With ``ignored`` false, slow executors are treated as slow again.
    """

    service: str
    ignored: bool
    slow: int
    executors: int


@attrs.define(eq=False)
class _Result:
    """How long a run took, or takes at least, over the time of its siblings."""

    key: object
    ratio: float


@attrs.define(eq=False)
class _LiveRun:
    """A run that has not ended; ``result`` is set once it has taken too long.

    ``expected_ms`` is the learned run time, which ``is_learned`` says to rely on.
    """

    executor: str
    task: object
    state: object
    started_ms: float
    expected_ms: float
    is_learned: bool
    result: _Result = None


@attrs.define(eq=False)
class _Recent:
    """The last results of one executor, and the number of runs that are overdue."""

    results: deque = attrs.field(factory=lambda: deque(maxlen=RUNS_KEPT))
    result_ms: float = 0.0
    overdue: int = 0

    @property
    def ratio(self):
        """The estimate: the median of the results, those that are missing being 1."""
        ratios = [item.ratio for item in self.results]
        return sorted(ratios + [1.0] * (RUNS_KEPT - len(ratios)))[RUNS_KEPT // 2]

    def is_silent(self, now_ms):
        """Return whether nothing is known any more, for lack of results."""
        return not self.overdue and now_ms - self.result_ms >= SILENCE_MS


class Speeds:
    """Tracks the runs on executors, by the names of these, and which ones are slow.

    The Durations serve to judge a run only for lack of siblings, and only if they are
    reliable. Runs of lasting steps have no length, those of fill tasks depend on what
    runs beside them, and the members of a gang wait for each other: none of these
    counts.
    """

    def __init__(self, durations):
        self._durations = durations
        self._live = {}
        self._due = []
        self._recent = {}
        self._changed = set()
        self._slow = set()
        self._applied = set()
        self._ignored = set()
        self._held = WeakSet()
        self._held_since_ms = WeakKeyDictionary()
        self._updated_ms = None

    def begin(self, executor, job, task, now_ms):
        """Track the run of a task that was placed on an executor.

        ``job`` is its JobProgress and ``task`` its TaskState.
        """
        state = job.step_state(task.id)
        step, queue = state.step, job.spec.queue
        if step.lasting or step.fills or step.gang:
            return
        key = (task.name, task.run)
        expected_ms = self._durations.expected_ms(queue, step.estimate_ms)
        is_learned = self._durations.is_reliable(queue, step.estimate_ms)
        self._live[key] = _LiveRun(
            executor, task, state, now_ms, expected_ms, is_learned
        )
        due_ms = now_ms + SLOW_RATIO * max(expected_ms, REFERENCE_MIN_MS)
        heappush(self._due, (due_ms, key))

    def done(self, task_name, run, now_ms):
        """Record that a run ended done."""
        live = self._live.pop((task_name, run), None)
        if live is None:
            return
        elapsed_ms = now_ms - live.started_ms
        if live.result is not None:
            recent = self._recent[live.executor]
            recent.overdue -= 1
            recent.result_ms = now_ms
        ratio, key = self._ratio(live, now_ms)
        if ratio is not None and live.result is None:
            self._observe(live, key, ratio, now_ms)
        elif ratio is not None and live.result.key == key:
            live.result.ratio = max(live.result.ratio, ratio)
            self._changed.add(live.executor)
        self._check_siblings(live, elapsed_ms)

    def drop(self, task_name, run):
        """Record that a run ended otherwise, which says nothing about its length."""
        live = self._live.pop((task_name, run), None)
        if live is not None and live.result is not None:
            self._recent[live.executor].overdue -= 1

    def forget(self, executor):
        """Drop what is known about an executor that is gone or has restarted."""
        for key, live in list(self._live.items()):
            if live.executor == executor:
                del self._live[key]
        self._recent.pop(executor, None)
        for names in (self._changed, self._slow, self._applied):
            names.discard(executor)

    def ratio(self, executor):
        """Return how many times as long as elsewhere tasks take on an executor."""
        recent = self._recent.get(executor)
        return recent.ratio if recent is not None else 1.0

    def holds(self, pool, job, state, now_ms):
        """Return whether a task is to wait rather than start on a slow executor.

        ``pool`` are the Executors of its service. It waits for room on one that is not
        slow, up to HOLD_FACTOR times its run time and HOLD_MAX_MS, as it ends sooner
        there. It doesn't if such a one has room but is avoided for a better reason.
        """
        self._held.discard(state)
        step = state.step
        if step.lasting or step.fills:
            return False
        limits = PlacementLimits(state)
        sound = [item for item in pool if item.open and not item.slow]
        if any(may_run(item, step, limits) for item in sound) or not any(
            _may_run_later(item, step, limits) for item in sound
        ):
            return False
        expected_ms = self._durations.expected_ms(job.spec.queue, step.estimate_ms)
        run_ms = state.mean_run_ms(expected_ms)
        held_ms = now_ms - self._held_since_ms.setdefault(state, now_ms)
        if run_ms < HOLD_RUN_MIN_MS or held_ms >= min(
            HOLD_FACTOR * run_ms, HOLD_MAX_MS
        ):
            return False
        self._held.add(state)
        return True

    def is_held(self, state):
        """Return whether tasks of a StepState wait though a slow executor has room."""
        return state in self._held

    def update(self, executors, pools, now_ms):
        """Set ``slow`` of the Executors; return the events to log.

        ``executors`` maps a name to its Executor, ``pools`` a service to such a dict.
        """
        paused = self._updated_ms is not None and now_ms - self._updated_ms > PAUSE_MS
        self._updated_ms = now_ms
        if paused:
            for key in list(self._live):
                self.drop(*key)
        while self._due and self._due[0][0] <= now_ms:
            key = heappop(self._due)[1]
            live = self._live.get(key)
            if live is not None and live.result is None:
                self._check(key, live, executors.get(live.executor), now_ms)
        events = [
            item
            for name in sorted(self._changed | self._slow)
            if (item := self._judge(executors.get(name), name, now_ms)) is not None
        ]
        self._changed = set()
        if self._slow or self._applied or self._ignored:
            for service, pool in pools.items():
                events.extend(self._apply(service, pool))
        return events

    def _check(self, key, live, executor, now_ms):
        """Compare a run that is still going with its siblings."""
        if executor is None or executor.unreachable:
            # It may have ended unseen.
            self.drop(*key)
            return
        ratio, result_key = self._ratio(live, now_ms)
        if ratio is not None and ratio >= SLOW_RATIO:
            live.result = self._observe(live, result_key, ratio, now_ms)
            self._recent[live.executor].overdue += 1
            return
        age_ms = now_ms - live.started_ms
        again_ms = max(CHECK_MIN_MS, age_ms * (RECHECK_RATIO - 1))
        heappush(self._due, (now_ms + again_ms, key))

    def _check_siblings(self, live, elapsed_ms):
        """Check the runs of a step sooner, of which half of the tasks are now done.

        What was expected of them may be far too long.
        """
        tasks = live.state.tasks
        if live.state.runs_done + 1 != len(tasks) // 2 + 1:
            return
        for task in tasks:
            key = (task.name, task.run)
            sibling = self._live.get(key)
            if sibling is not None and sibling.result is None:
                due_ms = sibling.started_ms + SLOW_RATIO * max(
                    elapsed_ms, REFERENCE_MIN_MS
                )
                heappush(self._due, (due_ms, key))

    def _ratio(self, live, now_ms):
        """Return (ratio, key) of a run that has ended or is still going, at ``now_ms``.

        The ratio is None if there is nothing to compare the run with. Results with the
        same key on one executor count once: without siblings elsewhere, they say as
        much about the tasks of this step as about the executor.
        """
        elapsed_ms = now_ms - live.started_ms
        others = []
        for task in live.state.tasks[:SIBLINGS_MAX]:
            if task.executor == live.executor:
                continue
            if task.phase is Phase.DONE and task.run_ms:
                others.append(task.run_ms)
            elif (
                task.phase is Phase.PLACED
                and task.placed_ms
                and now_ms - task.placed_ms >= elapsed_ms / SOUND_RATIO
            ):
                others.append(math.inf)  # a younger one may turn out longer or shorter
        key = (live.task.name, live.task.run)
        if len(others) >= SIBLINGS_MIN:
            reference_ms = median_high(others)
            if reference_ms == math.inf:
                return 1.0, key
            return elapsed_ms / max(reference_ms, REFERENCE_MIN_MS), key
        if not live.is_learned:
            return None, key
        state = live.state
        step_key = (live.task.id.job, state.occurrence, state.number)
        return elapsed_ms / max(live.expected_ms, REFERENCE_MIN_MS), step_key

    def _observe(self, live, key, ratio, now_ms):
        recent = self._recent.setdefault(live.executor, _Recent())
        if recent.is_silent(now_ms):
            recent.results.clear()
        recent.result_ms = now_ms
        self._changed.add(live.executor)
        for result in recent.results:
            if result.key == key:
                result.ratio = min(result.ratio, ratio)
                return result
        result = _Result(key, ratio)
        recent.results.append(result)
        return result

    def _judge(self, executor, name, now_ms):
        """Update whether an executor is slow; return the event to log, or None."""
        recent = self._recent.get(name)
        if executor is None or recent is None:
            self.forget(name)
            return None
        ratio = recent.ratio
        if name not in self._slow:
            if ratio < SLOW_RATIO:
                return None
            self._slow.add(name)
            state, why = "slow", "runs"
        else:
            silent = recent.is_silent(now_ms)
            if not silent and ratio > SOUND_RATIO:
                return None
            self._slow.discard(name)
            state, why = "sound", "silence" if silent else "runs"
        ratios = [round(item.ratio, 2) for item in recent.results]
        if state == "sound":
            recent.results.clear()
        service = executor.entry.service
        return ExecutorSpeed(name, service, state, round(ratio, 2), ratios, why)

    def _apply(self, service, pool):
        """Set ``slow`` of the executors of a service, unless too many seem slow."""
        slow = self._slow & pool.keys()
        ignored = len(slow) > max(1, int(len(pool) * POOL_FRACTION))
        applied = set() if ignored else slow
        for name in (self._applied & pool.keys()) ^ applied:
            pool[name].slow = name in applied
        self._applied = (self._applied - pool.keys()) | applied
        if ignored == (service in self._ignored):
            return
        self._ignored ^= {service}
        yield SlownessIgnored(service, ignored, len(slow), len(pool))


class NoSpeeds:
    """Takes all executors for equally fast; in the place of Speeds."""

    def __init__(self, durations):
        pass

    def ignore(self, *args):
        """Record nothing."""

    begin = done = drop = forget = ignore

    def ratio(self, executor):
        """Return 1, as for an executor that is as fast as others."""
        return 1.0

    def holds(self, pool, job, state, now_ms):
        """Return False: no task waits for a faster executor."""
        return False

    def is_held(self, state):
        """Return False."""
        return False

    def update(self, executors, pools, now_ms):
        """Return no events."""
        return ()


def _may_run_later(executor, step, limits):
    """Return whether an executor may run a task once its other tasks have ended."""
    entry = executor.entry
    return (
        executor.lasting_cores_m + step.reserved_cores_m <= entry.cores_m
        and step.memory_mb <= entry.memory_mb
        and step.accelerators <= entry.accelerators
        and limits.allows(executor.name)
        and (not step.label or step.label in entry.labels)
    )
