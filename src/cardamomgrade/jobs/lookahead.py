"""Places small tasks so that large ones find room; reads no clock, performs no I/O.

Load pattern: a pool is about full with tasks of unequal sizes. Each end of a small task
is followed by the start of another one, and small free capacities are left on all
executors, so that a task that needs most of an executor waits although the free
capacity would suffice. While such a large task waits, and for ACTIVE_MS after, steps
are placed by best fit of their dominant resource, and one executor is reserved for the
first large task in order that fits nowhere (EASY backfill; Lifka 1995). Tasks after it
in order start there only if they are expected to end before the large task can start,
or fit beside it. When a pool has more work than it can do, order decides who waits:
placement is then as without this module.

An expected end that is wrong costs time only, since room is checked against what is
allocated. The state is in memory; a new scheduler starts without reservations.
"""

import math

import attrs

from ..journal import log_event
from .executors import LargestRoom
from .scheduler_events import ReservationBegan, ReservationEnded
from .urgency import Rank

LARGE_FRACTION = 0.5  # of the largest executor; two such tasks never share one
ACTIVE_MS = 5000.0
# Waiting work over the cores, or the memory, that no lasting task uses. In replays with
# 1.5 times the load that a pool holds, 600 ms delayed small tasks, no limit cost 3 of
# 65% of the work that was in time, and a limit by cores alone 2 of 53% on executors
# whose memory is the bottleneck.
OVERLOAD_MS = 400.0
RESERVED_FRACTION = 0.25  # of a service's executors; smaller pools get no reservation
RESERVATION_MAX_MS = 2500.0  # below the 3 s after which a job counts as stalled
RETRY_MS = 500.0  # after a search that found no executor, which costs a look at all
OVERDUE_MS = 100.0  # until the end of a run that should have ended, or is inherited
EVENTS_PER_S = 10


def needs_of(step):
    """Return the (thousandths of a core, MB, accelerators) that a task reserves."""
    return step.reserved_cores_m, step.memory_mb, step.accelerators


def sizes_of(entry):
    """Return the capacities of an executor, in the order of ``needs_of``."""
    return entry.cores_m, entry.memory_mb, entry.accelerators


def free_of(executor):
    """Return the free capacities of an executor, in the order of ``needs_of``."""
    entry = executor.entry
    return (
        entry.cores_m - executor.cores_m,
        entry.memory_mb - executor.memory_mb,
        entry.accelerators - executor.accelerators,
    )


def is_large(step, largest):
    """Return whether a task needs over LARGE_FRACTION of ``largest`` of any kind."""
    return (
        step.reserved_cores_m > LARGE_FRACTION * largest[0]
        or step.memory_mb > LARGE_FRACTION * largest[1]
        or step.accelerators > LARGE_FRACTION * largest[2]
    )


def forecast_room(executor, step, now_ms):
    """Return when an executor has room for a task, and what is free beside it then.

    The time, in ms, is infinite if the end of no run makes room for it.
    """
    free = _subtract(free_of(executor), needs_of(step))
    if min(free) >= 0:
        return now_ms, free
    ends = sorted(
        (
            max(item.ends_ms, now_ms + OVERDUE_MS),
            item.cores_m,
            item.memory_mb,
            item.accelerators,
        )
        for item in executor.allocations.values()
        if not item.lasting
    )
    for ends_ms, *freed in ends:
        free = [have + more for have, more in zip(free, freed, strict=True)]
        if min(free) >= 0:
            return ends_ms, free
    return math.inf, free


def is_overloaded(ready, executors):
    """Return whether the ReadyJobs keep executors busy for over OVERLOAD_MS."""
    cores_m = sum(x.entry.cores_m - x.lasting_cores_m for x in executors)
    return ready.backlog_core_ms * 1000 > OVERLOAD_MS * cores_m


def memory_backlog_mb_ms(ready):
    """Return the work of the ReadyJobs that are left, in MB-ms.

    The memory of a job is taken to be in use as long as its cores.
    """
    total_mb_ms = 0.0
    for item in ready:
        cores_m = sum(x.waiting * x.step.reserved_cores_m for x in item.steps)
        memory_mb = sum(x.waiting * x.step.memory_mb for x in item.steps)
        if cores_m:
            total_mb_ms += item.backlog_core_ms * 1000 / cores_m * memory_mb
    return total_mb_ms


def _subtract(free, needs):
    return [have - need for have, need in zip(free, needs, strict=True)]


def _could_host(executor, state):
    """Return whether an executor could run a task of a step if nothing ran on it."""
    step = state.step
    if step.label and step.label not in executor.entry.labels:
        return False
    if step.per_executor:
        names = (task.name for task in state.tasks)
        if sum(name in executor.allocations for name in names) >= step.per_executor:
            return False
    return min(_subtract(sizes_of(executor.entry), needs_of(step))) >= 0


@attrs.define(eq=False)
class Reservation:
    """An executor reserved since ``begun_ms`` for one task of a StepState ``state``.

    The task is expected to have room at ``starts_ms``; ``spare`` are the capacities
    that are then free beside it. ``key`` is the place of its job in the order.
    """

    job: str
    state: object
    executor: str
    key: tuple
    begun_ms: float
    starts_ms: float
    spare: list
    logged: bool


@attrs.define(eq=False)
class _ServiceState:
    """When a large task last waited for a service, and the Reservation for one.

    ``rests_until_ms`` holds the jobs that get no reservation for a time.
    """

    large_ms: float
    reservation: Reservation | None = None
    rests_until_ms: dict = attrs.field(factory=dict)


class LookAhead:
    """The reservations of all services."""

    def __init__(self):
        self._services = {}
        self._second = -1
        self._events = 0

    def due(self, now_ms):
        """Return the services whose reservation has lasted for its longest time."""
        return [
            service
            for service, known in self._services.items()
            if known.reservation is not None
            and now_ms - known.reservation.begun_ms >= RESERVATION_MAX_MS
        ]

    def begin_round(self, service, ready, executors, now_ms):
        """Return the PlacementRound of a service, or None if it is placed as usual.

        ``ready`` are its ReadyJobs, ``executors`` those that take new runs.
        """
        known = self._services.get(service)
        if is_overloaded(ready, executors):
            self._end_overloaded(service, known, now_ms)
            return None
        sizes = zip(*(sizes_of(item.entry) for item in executors), strict=True)
        largest = [max(size) for size in sizes] or [math.inf] * 3
        large = [
            (item, state)
            for item in ready
            for state in item.steps
            if is_large(state.step, largest)
        ]
        if known is None and not large:
            return None
        memory_mb = sum(x.entry.memory_mb - x.lasting_memory_mb for x in executors)
        if memory_backlog_mb_ms(ready) > OVERLOAD_MS * memory_mb:
            self._end_overloaded(service, known, now_ms)
            return None
        if known is None:
            known = self._services[service] = _ServiceState(now_ms)
        if large:
            known.large_ms = now_ms
        if known.reservation is not None:
            self._renew(service, known, large, executors, now_ms)
        if now_ms - known.large_ms >= ACTIVE_MS:
            del self._services[service]
            return None
        if known.reservation is None and len(executors) * RESERVED_FRACTION >= 1:
            self._reserve(service, known, large, executors, now_ms)
        return PlacementRound(self, service, known.reservation, largest, now_ms)

    def _end_overloaded(self, service, known, now_ms):
        if known is not None and known.reservation is not None:
            self.end(service, "overload", now_ms)

    def _renew(self, service, known, large, executors, now_ms):
        """Update the Reservation of a service from what runs now, or end it."""
        reserved = known.reservation
        executor = next(
            (item for item in executors if item.name == reserved.executor), None
        )
        keys = [item.key for item, state in large if state is reserved.state]
        if not keys:
            self.end(service, "not needed", now_ms)
        elif executor is None:
            self.end(service, "executor closed", now_ms)
        elif now_ms - reserved.begun_ms >= RESERVATION_MAX_MS:
            known.rests_until_ms[reserved.job] = now_ms + RESERVATION_MAX_MS
            self.end(service, "expired", now_ms)
        else:
            reserved.key = keys[0]
            room = forecast_room(executor, reserved.state.step, now_ms)
            reserved.starts_ms, reserved.spare = room

    def _reserve(self, service, known, large, executors, now_ms):
        """Reserve an executor for the first large task in order that fits nowhere."""
        known.rests_until_ms = {
            job: until_ms
            for job, until_ms in known.rests_until_ms.items()
            if until_ms > now_ms
        }
        room = LargestRoom.of(executors)
        for item, state in large:
            step = state.step
            fits = room.may_fit(step) and any(x.fits(step) for x in executors)
            job = item.job.spec.job
            # Jobs beyond LATE get the capacity that no other job wants.
            if step.gang or fits or item.key[0] > Rank.LATE:
                continue
            if job in known.rests_until_ms:
                continue
            found = [
                (*forecast_room(executor, step, now_ms), executor.name)
                for executor in executors
                if _could_host(executor, state)
            ]
            starts_ms, spare, name = min(found, default=(math.inf, [], ""))
            if starts_ms == math.inf:
                known.rests_until_ms[job] = now_ms + RETRY_MS
                return
            logged = self._may_log(now_ms)
            known.reservation = Reservation(
                job, state, name, item.key, now_ms, starts_ms, spare, logged
            )
            if logged:
                in_ms = int(starts_ms - now_ms)
                log_event(ReservationBegan(job, state.number, name, service, in_ms))
            return

    def end(self, service, reason, now_ms):
        """End the reservation of a service."""
        known = self._services[service]
        item, known.reservation = known.reservation, None
        if item.logged:
            log_event(
                ReservationEnded(
                    item.job,
                    item.state.number,
                    item.executor,
                    service,
                    reason,
                    int(now_ms - item.begun_ms),
                )
            )

    def _may_log(self, now_ms):
        second = now_ms // 1000
        if second != self._second:
            self._second, self._events = second, 0
        self._events += 1
        return self._events <= EVENTS_PER_S


class NoLookAhead:
    """Reserves nothing; in the place of a LookAhead."""

    def due(self, now_ms):
        """Return no services."""
        return ()

    def begin_round(self, service, ready, executors, now_ms):
        """Return None, as for a round in which no large task waits."""
        return None


class PlacementRound:
    """One placement round of a service for which large tasks wait or waited.

    ``reservation`` is its Reservation, or None.
    """

    def __init__(self, lookahead, service, reservation, largest, now_ms):
        self._lookahead = lookahead
        self._service = service
        self._largest = largest
        self._now_ms = now_ms
        self.reservation = reservation

    def gate(self, item, state, expected_ms):
        """Return the StepGate of a step of a ReadyJob.

        ``expected_ms`` is the expected run time of one of its tasks. The gate is None
        for lasting steps: their availability goes before the wait of others.
        """
        if state.step.lasting:
            return None
        shares = [
            need / size if size else 0.0
            for need, size in zip(needs_of(state.step), self._largest, strict=True)
        ]
        kind = shares.index(max(shares))
        return StepGate(self, item.key, state, kind, self._now_ms + expected_ms)

    def end_started(self):
        """End the reservation, since its task started."""
        self._lookahead.end(self._service, "started", self._now_ms)
        self.reservation = None


class StepGate:
    """Decides for the tasks of one step which executors they may use, and which first.

    ``kind`` is the index of its dominant resource in ``needs_of``, ``ends_ms`` when a
    run that starts now is expected to end.
    """

    def __init__(self, placement_round, key, state, kind, ends_ms):
        self._round = placement_round
        self._key = key
        self._state = state
        self._kind = kind
        self._ends_ms = ends_ms
        self._needs = needs_of(state.step)

    def _held(self, executor):
        """Return the Reservation of an executor for a task before this step, if any."""
        item = self._round.reservation
        if item is None or item.executor != executor.name or item.state is self._state:
            return None
        return item if item.key < self._key else None

    def allows(self, executor):
        """Return whether one more task may use an executor as far as it is reserved."""
        item = self._held(executor)
        return (
            item is None
            or self._ends_ms <= item.starts_ms
            or min(_subtract(item.spare, self._needs)) >= 0
        )

    def slack(self, executor):
        """Return what is free of the dominant resource; the least is the best fit."""
        return free_of(executor)[self._kind]

    def record_placed(self, executor):
        """Note that a task of the step is placed on an executor."""
        item = self._held(executor)
        if item is not None:
            if self._ends_ms > item.starts_ms:
                item.spare = _subtract(item.spare, self._needs)
            return
        item = self._round.reservation
        if item is None or item.executor != executor.name:
            return
        if item.state is self._state:
            self._round.end_started()
