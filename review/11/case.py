"""A scheduled job grows until the store refuses its progress; then nothing starts."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-3"))

import standins

SCHEDULED, QUEUE, SERVICE = "nightly", "portal", "letters"
EXECUTORS = 8
CPU, MEM_MB = 16_000, 65_536
TASK_S = 0.1
STEPS, WIDTH = 5, 32  # the most of a job of the small site
OCCURRENCES, FEW_OCCURRENCES = 60, 8
INTERVAL_MS = 650
WATCH_S, SHORT_WATCH_S = 94.0, 25.0
CALM_S = 3.0 + 4.0  # the time for which a job may stand still, and the 4 s before
STUCK_S = 12.0

nodes = 2


async def prepare(platform):
    routes = [standins.route(QUEUE, SERVICE), standins.route(SCHEDULED, SERVICE, 3, 1)]
    platform.store.put("keyed.op", "config", standins.config(routes, [SERVICE]))

    def plan(run):
        return TASK_S, "done"

    for number in range(EXECUTORS):
        rack = f"r{number // 4 + 1}"
        await platform.add_executor(f"m-{number}", SERVICE, CPU, MEM_MB, rack, plan)


def scheduled(occurrences):
    return {
        "spec": "a batch of letters",
        "repeatCount": occurrences,
        "startAtMs": int(time.time() * 1000),
        "intervalMs": INTERVAL_MS,
        "steps": [
            {"count": WIDTH, "cpu": 50, "memMb": 16, "estimateMs": 100}
            for _ in range(STEPS)
        ],
    }


def plain():
    return {"spec": "plain", "steps": [{"count": 2, "cpu": 500, "estimateMs": 100}]}


def starts_of(platform, job):
    return sum(item[2].startswith(job) for item in platform.starts)


async def run(record, platform, client, nodes, trouble):
    occurrences = OCCURRENCES if trouble else FEW_OCCURRENCES
    job = await client.submit(f"/{SCHEDULED}/", scheduled(occurrences))
    record.note(f"job {job} with {occurrences} x {STEPS * WIDTH} tasks accepted")
    began, refused_at, later = record.now(), None, {}
    watch_s = WATCH_S if trouble else SHORT_WATCH_S
    while record.now() - began < watch_s:
        if refused_at is None and platform.store.refused_sizes:
            refused_at = record.now()
            size = platform.store.refused_sizes[0]
            record.note(f"the store has refused a record of {size} bytes")
        if refused_at is not None and record.now() - refused_at > STUCK_S + CALM_S:
            break
        name = await client.submit(f"/{QUEUE}/", plain())
        if name and refused_at is not None:
            later[name] = record.now()
        await standins.until(lambda: starts_of(platform, name) >= 2, 2)
        running = sum(len(item.runs) for item in platform.executors.values())
        record.note(
            f"plain job {name}: {starts_of(platform, name)} of 2 started; "
            f"{starts_of(platform, job)} starts of the scheduled job; "
            f"{running} runs on all executors"
        )
        await asyncio.sleep(1.0)
    if refused_at is None:
        return
    record.note(f"scheduled job: {await client.state(f'/{SCHEDULED}/', job)}")
    still = [name for name in later if not starts_of(platform, name)]
    for name in still:
        record.note(f"plain job {name}: {await client.state(f'/{QUEUE}/', name)}")
    still = [name for name in still if not starts_of(platform, name)]
    waited = max((record.now() - later[name] for name in still), default=0.0)
    if len(still) == len(later) and waited > STUCK_S:
        running = sum(len(item.runs) for item in platform.executors.values())
        record.breaks(
            "LOST",
            f"none of the {len(later)} jobs accepted since has had anything running, "
            f"the first for {waited:.1f} s; {running} runs on {EXECUTORS} executors",
        )


if __name__ == "__main__":
    standins.main(sys.modules[__name__], Path(__file__).resolve().parent)
