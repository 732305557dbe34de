"""A pace order that is carried out late leaves a fill task at work that seems halted."""

import asyncio
import random
import sys
from collections import deque
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standin3 as standins

QUEUE, FILLING, SERVICE = "watch", "archive", "planner"
EXECUTORS = 2
CPU, MEM_MB = 16_000, 65_536
TARGET_MS = 100
IDLE_TAIL_MS = 30
MILD_MS, HARSH_MS = 20, 300  # that a fill task at full pace adds to the tail
SAMPLE_S = 0.05
WINDOW = 10  # samples of the last half second, over which executors measure
HARM_S = standins.BOUNDS["interferenceMs"] / 1000
NEAR_S = standins.BOUNDS["contactMs"] / 1000
LATE_S = (2.0, 12.0)  # of the pages
SERVING = {
    "spec": "serves its own users",
    "steps": [
        {
            "count": EXECUTORS,
            "cpu": 2000,
            "memMb": 1024,
            "longRunning": True,
            "antiAffinity": 1,
            "image": "serve",
            "targetMs": TARGET_MS,
        }
    ],
}
FILLS = {
    "spec": "fills what others leave",
    "steps": [
        {
            "count": EXECUTORS,
            "cpu": 4000,
            "memMb": 1024,
            "longRunning": True,
            "antiAffinity": 1,
            "image": "fill",
            "fills": True,
        }
    ],
}

nodes = 2


class Beside:
    """The serving and the fill task on one executor, and what the one does to the other.

    ``over_since`` is since when the tail has been over the target without a break.
    """

    def __init__(self, executor):
        self.executor = executor
        self.added_ms = MILD_MS
        self.tails = deque(maxlen=WINDOW)
        self.over_since = None

    def run_of(self, job):
        runs = self.executor.runs.values()
        return next((item for item in runs if item.task.startswith(job)), None)

    def sample(self, serving_job, fill_job, now):
        serving, fill = self.run_of(serving_job), self.run_of(fill_job)
        if serving is None:
            return
        pace = fill.pace if fill is not None else 0
        self.tails.append(IDLE_TAIL_MS + self.added_ms * pace / 100)
        serving.load = int(max(self.tails))
        if fill is not None:
            fill.load = int(4000 * fill.pace / 100)
        if pace and self.tails[-1] > TARGET_MS:
            self.over_since = self.over_since or now
        else:
            self.over_since = None


async def prepare(platform):
    routes = [standins.route(QUEUE, SERVICE), standins.route(FILLING, SERVICE)]
    platform.store.put("keyed.op", "config", standins.config(routes, [SERVICE]))
    for number in range(EXECUTORS):
        await platform.add_executor(
            f"m-{number}", SERVICE, CPU, MEM_MB, "r1", lambda run: (None, "")
        )


async def run(record, platform, client, nodes, trouble):
    serving_job = await client.submit(f"/{QUEUE}/", SERVING)
    fill_job = await client.submit(f"/{FILLING}/", FILLS)
    if not await standins.until(lambda: len(platform.starts) >= 2 * EXECUTORS, 15):
        raise RuntimeError("the lasting tasks did not start")
    pairs = [Beside(item) for item in platform.executors.values()]
    held_s = 0.0
    judged_from = None

    async def watch():
        nonlocal held_s
        while True:
            now = record.now()
            for item in pairs:
                item.sample(serving_job, fill_job, now)
                if item.over_since is not None and judged_from is not None:
                    held_s = max(held_s, now - max(item.over_since, judged_from))
            await asyncio.sleep(SAMPLE_S)

    watcher = asyncio.create_task(watch())
    pair = pairs[0]
    fill = pair.run_of(fill_job)
    record.note(f"fill task {fill.task} on {pair.executor.name} at {fill.pace}%")
    pair.added_ms = HARSH_MS
    if not await standins.until(lambda: fill.pace == 0, 8):
        raise RuntimeError("the fill task was not halted")
    record.note("it disturbs, and was halted")
    pair.added_ms = MILD_MS
    late = {}

    def swallow(path, fields):
        is_speed_up = path == "/api/pace" and fields["percent"] >= 50
        if not trouble or late or not is_speed_up:
            return None
        late["s"] = random.uniform(*LATE_S)
        late["at"] = record.now() + late["s"]
        record.note(
            f"the order for {fields['percent']}% gets no answer, late {late['s']:.1f} s"
        )
        return late["s"]

    pair.executor.swallow = swallow
    if not await standins.until(lambda: late or fill.pace >= 50, 12):
        raise RuntimeError("the fill task was not sped up")
    pair.executor.swallow = lambda path, fields: None
    await asyncio.sleep(1.0)
    pair.added_ms = HARSH_MS
    record.note("it disturbs again, for the rest of the case")
    await asyncio.sleep(max(0.0, late.get("at", 0) - record.now()) + 0.1)
    record.note(f"no order is on its way any more; pace {fill.pace}%")
    await asyncio.sleep(NEAR_S)
    judged_from = record.now()
    await asyncio.sleep(20)
    watcher.cancel()
    record.note(f"pace {fill.pace}%, tail {pair.tails[-1]:.0f} ms, target {TARGET_MS}")
    record.note(f"longest time over the target on end: {held_s:.1f} s")
    if held_s > HARM_S:
        record.breaks(
            "HARM",
            f"a serving task was over its target for {held_s:.1f} s on end beside a "
            "fill task at work",
        )


if __name__ == "__main__":
    standins.main(sys.modules[__name__], Path(__file__).resolve().parent)
