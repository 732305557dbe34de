"""Times placement rounds of the jobs scheduler by the number of tasks that wait.

Usage: bench_rounds.py. Prints, for each number of waiting tasks, the processor time of
a round that places TASKS_PLACED of them on EXECUTORS executors, per task placed.
"""

import time

from cardamomgrade.jobs.queues import Queue, QueueConfig, Service
from cardamomgrade.jobs.reports import ExecutorEntry, Outcome
from cardamomgrade.jobs.scheduler import Scheduler
from cardamomgrade.jobs.spec import JobSpec, Step

EXECUTORS = 300
TASKS_A_JOB = 8
TASKS_PLACED = 80
ROUNDS = 50
TASK_CORES_M = 2300
VM_CORES_M = 16_000
VM_MEMORY_MB = 64_000
WAITING_TASKS = (100, 1000, 10_000)
WALL_MS = 1_800_000_000_000


def full_scheduler(waiting):
    """Return a Scheduler whose executors are full while ``waiting`` tasks wait."""
    queue = Queue("letters", "host", "/", "letters", stretch=1.6, target_ms=600)
    cfg = QueueConfig(1, (queue,), (Service("letters"),))
    scheduler = Scheduler(cfg)
    for number in range(EXECUTORS):
        entry = ExecutorEntry(
            f"e{number}",
            "letters",
            "127.0.0.1:1",
            "zone",
            False,
            VM_CORES_M,
            VM_MEMORY_MB,
            0,
            (),
            "rack",
            0,
        )
        scheduler.put_executor(entry)
    room = EXECUTORS * (VM_CORES_M // TASK_CORES_M)
    for number in range((room + waiting) // TASKS_A_JOB):
        steps = (Step(TASKS_A_JOB, TASK_CORES_M, 1000, estimate_ms=640),)
        spec = JobSpec(f"{number:016x}", "letters", "letters", "", WALL_MS, steps)
        scheduler.add_job(spec)
    return scheduler


def time_rounds(waiting):
    """Return the processor time of a round in s, and the tasks placed in it."""
    scheduler = full_scheduler(waiting)
    running = scheduler.plan(0, WALL_MS)
    spent_s = placed = 0
    for number in range(1, min(ROUNDS, waiting // TASKS_PLACED) + 1):
        ended, running = running[:TASKS_PLACED], running[TASKS_PLACED:]
        for item in ended:
            scheduler.end(item.executor, item.task, item.run, Outcome.DONE, "", 640)
        started_s = time.process_time()
        starts = scheduler.plan(number, WALL_MS + number)
        spent_s += time.process_time() - started_s
        placed += len(starts)
        running.extend(starts)
    return spent_s, placed


def main():
    """Print the time of a task placed for each number of waiting tasks."""
    for waiting in WAITING_TASKS:
        spent_s, placed = time_rounds(waiting)
        print(f"{waiting} waiting: {spent_s / placed * 1e6:.0f} us a task placed")


if __name__ == "__main__":
    main()
