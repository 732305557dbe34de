"""Compares the placer with first fit by declared sizes, and measures its cost.

Usage: bench_placement.py [simulated seconds]; prints JSON. Times of the comparison are
simulated; costs per event are CPU time of one process, at several fleet sizes.
"""

import itertools
import json
import random
import sys
import time
import tracemalloc
from collections import deque

import attrs
from fleet_simulation import Simulation, task_spec

from cardamomgrade.allocations import Quota
from cardamomgrade.placement import Placer
from cardamomgrade.records import Logged, TaskEnded, TaskPlaced
from cardamomgrade.room import Worker
from cardamomgrade.tasks import TaskState

SEED = 11
FLEET_WORKERS = 6600
FLEET_ACCELERATORS = 7800
FLEET_POOLS = 319
FLEET_TEAMS = 350
WORKER_ACCELERATORS = 8
RACK_WORKERS = 4
SCALES = (1 / 16, 1 / 4, 1)
SIMULATED_S = 300
LOADS = (0.8, 1.3)
TASKS_PER_WORKER = 4
EVENTS = 2000
SCANNED_TASKS_MAX = 200
LEASE_MS = 300_000


def build_workers(scale):
    """Return the workers of a fleet of ``scale`` times the full size.

    The workers of the first pools have accelerators.
    """
    count = round(FLEET_WORKERS * scale)
    pools = max(1, round(FLEET_POOLS * scale))
    accelerated_workers = round(FLEET_ACCELERATORS * scale / WORKER_ACCELERATORS)
    workers = []
    for number in range(count):
        pool = number * pools // count
        accelerators = WORKER_ACCELERATORS if number < accelerated_workers else 0
        large = bool(accelerators) or pool % 2
        workers.append(
            Worker(
                f"w{number}",
                f"p{pool}",
                f"z{number % 17}",
                f"r{number // RACK_WORKERS}",
                64.0 if large else 16.0,
                128_000 if large else 64_000,
                accelerators,
            )
        )
    return workers


@attrs.frozen
class BaselinePlacement:
    """A placement of the baseline, with the ``record`` of a TaskSent."""

    record: TaskPlaced


class FirstFit:
    """Baseline: first fit by declared sizes, urgent tasks first, no preemption."""

    def __init__(self, workers):
        self.state = TaskState()
        self._workers = {item.name: item for item in workers}
        self._pools = {}
        for item in workers:
            self._pools.setdefault(item.pool, []).append(item)
        self._free = {
            item.name: [item.cores, item.memory_mb, item.accelerators]
            for item in workers
        }
        self._queues = {}
        self._pending = set()

    def report(self, usage):
        """Ignore usage reports."""

    def fold(self, logged):
        """Apply a record and update the free capacity by declared sizes."""
        change = self.state.fold(logged)
        if not change:
            return change
        if change.after is not None and not change.after.live:
            queue = self._queues.setdefault(change.after.spec.pool, ([], []))
            queue[not change.after.spec.urgent].append(change.after.spec.task)
        if isinstance(logged.record, TaskPlaced):
            self._pending.discard(logged.record.task)
        if change.freed:
            self._adjust(change.freed, change.before.spec, 1)
        return change

    def _adjust(self, worker, spec, sign):
        free = self._free[worker]
        sizes = (spec.cores, spec.memory_mb, spec.accelerators)
        for index, size in enumerate(sizes):
            free[index] += sign * size

    def decide(self, now_ms):
        """Return the placements that fit now, at most one per worker in a call."""
        items = []
        for pool, queues in self._queues.items():
            busy = set()
            for queue in queues:
                self._decide_queue(pool, queue, busy, items)
        return items

    def _decide_queue(self, pool, queue, busy, items):
        kept = []
        for name in queue[:SCANNED_TASKS_MAX]:
            task = self.state.tasks.get(name)
            if task is None or task.live or name in self._pending:
                continue
            worker = self._first_fit(pool, task.spec, busy)
            if worker is None:
                kept.append(name)
                continue
            busy.add(worker)
            self._pending.add(name)
            self._adjust(worker, task.spec, -1)
            items.append(BaselinePlacement(self._record(task, worker)))
        queue[:SCANNED_TASKS_MAX] = kept

    def _first_fit(self, pool, spec, busy):
        wanted = (spec.cores, spec.memory_mb, spec.accelerators)
        for item in self._pools[pool]:
            free = self._free[item.name]
            if item.name not in busy and all(
                size <= available for size, available in zip(wanted, free, strict=True)
            ):
                return item.name
        return None

    def _record(self, task, worker):
        spec, last_offset = task.spec, self.state.next_offset - 1
        return TaskPlaced(
            spec.task,
            worker,
            task.attempt + 1,
            LEASE_MS,
            float(spec.cores),
            spec.memory_mb,
            last_offset,
            "c",
        )


def build_placer(workers):
    """Return a Placer with the workers and a quota for each team."""
    placer = Placer("c")
    placer.set_workers(workers)
    cores = sum(item.cores for item in workers)
    teams = {f"team{number}" for number in range(FLEET_TEAMS)}
    placer.set_quotas(
        [Quota(team, cores / 4, FLEET_ACCELERATORS) for team in sorted(teams)]
    )
    return placer


def compare(load, seconds):
    """Return the results of the placer and of first fit for the same arrivals."""
    workers = build_workers(SCALES[0])
    teams = round(FLEET_TEAMS * SCALES[0])
    results = {}
    for name, placer in (
        ("ours", build_placer(workers)),
        ("first_fit", FirstFit(workers)),
    ):
        simulation = Simulation(workers, teams, load, SEED, placer)
        results[name] = simulation.run(seconds * 1000)
    return results


class LoadedPlacer:
    """A placer whose workers run tasks; records are folded as if read from a log."""

    def __init__(self, workers, rng):
        self.placer = build_placer(workers)
        self._workers = workers
        self._rng = rng
        self._numbers = itertools.count()
        self.now_ms = 0
        self.decisions = 0
        self._live = deque()

    def fold(self, record):
        """Apply a record at the next offset."""
        offset = self.placer.state.next_offset
        self.placer.fold(Logged(offset, self.now_ms, record))

    def submit(self):
        """Submit a task to the pool of a random worker."""
        pool = self._rng.choice(self._workers).pool
        team = f"team{self._rng.randrange(FLEET_TEAMS)}"
        name = f"task-{next(self._numbers)}"
        self.fold(task_spec(name, team, pool, self._rng.uniform(0.5, 3), 2000))

    def settle(self):
        """Decide, and fold the decided records."""
        items = self.placer.decide(self.now_ms).items
        self.decisions += len(items)
        for item in items:
            if hasattr(item, "record"):
                self.fold(item.record)
                self._live.append(item.record.task)

    def end_one(self):
        """End the live task that started first."""
        name = self._live.popleft()
        task = self.placer.state.tasks[name]
        self.fold(TaskEnded(name, task.attempt, "done", "w"))


def measure_cost(scale):
    """Return the memory and the CPU time per event of a fleet scaled by ``scale``."""
    workers = build_workers(scale)
    tracemalloc.start()
    loaded = LoadedPlacer(workers, random.Random(SEED))
    for _ in range(TASKS_PER_WORKER * len(workers)):
        loaded.submit()
    while loaded.placer.state.tasks and loaded.decisions < 10**6:
        before = loaded.decisions
        loaded.settle()
        if loaded.decisions == before:
            break
    live = sum(task.live for task in loaded.placer.state.tasks.values())
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    event_s, before = [], loaded.decisions
    for _ in range(EVENTS):
        started = time.process_time()
        loaded.end_one()
        loaded.submit()
        loaded.settle()
        event_s.append(time.process_time() - started)
    decisions = loaded.decisions - before
    event_s.sort()
    return {
        "scale": scale,
        "workers": len(workers),
        "live_tasks": live,
        "bytes": size,
        "bytes_per_live_task": round(size / max(1, live)),
        "event_us_mean": round(sum(event_s) / EVENTS * 1e6),
        "event_us_p99": round(event_s[int(EVENTS * 0.99)] * 1e6),
        "decisions": decisions,
        "decision_us": round(sum(event_s) / max(1, decisions) * 1e6),
    }


def main():
    """Run the comparison and the cost measurements and print the results."""
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else SIMULATED_S
    report = {
        "seed": SEED,
        "simulated_s": seconds,
        "compare": [
            {"load": load, "scale": SCALES[0], **compare(load, seconds)}
            for load in LOADS
        ],
        "cost": [measure_cost(scale) for scale in SCALES],
    }
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
