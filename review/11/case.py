"""A start reaches the next life of an executor, which is then cut off: it runs twice."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standin3 as standins

QUEUE, SERVICE = "reports", "planner"
EXECUTORS = 7
CPU, MEM_MB = 16_000, 65_536
TASK_S = 8.0
DOWN_S = 0.6
CUT_S = 5.0
ROUNDS = 8
REST_S = 2.0
LIMIT_S = 75.0
REGISTERS_AFTER_S = 0.8
JOB = {
    "spec": "reports",
    "steps": [{"count": 4, "cpu": 250, "memMb": 256, "estimateMs": 8000}],
}

nodes = 2


async def prepare(platform):
    routes = [standins.route(QUEUE, SERVICE, 4)]
    platform.store.put("keyed.op", "config", standins.config(routes, [SERVICE]))

    def plan(run):
        return TASK_S, "done"

    for number in range(EXECUTORS):
        machine, rack = f"m-{number}", f"r{number // 4 + 1}"
        executor = await platform.add_executor(
            machine, SERVICE, CPU, MEM_MB, rack, plan
        )
        executor.born = int(time.time() * 1000)
        executor.register()


def runs_now(platform, task):
    return [
        (executor.name, item.run)
        for executor in platform.executors.values()
        for item in executor.runs.values()
        if executor.up and item.task == task and not item.stopping
    ]


def recent_starts(platform, record):
    """Return a Counter of the executors that have started runs in the last second."""
    began = record.now() - 1
    return standins.Counter(
        name
        for at, name, *_ in platform.starts
        if at > began and platform.executors[name].up
    )


async def run(record, platform, client, nodes, trouble):
    twice = {}

    async def watch():
        while True:
            for executor in list(platform.executors.values()):
                for task in list(executor.runs):
                    runs = runs_now(platform, task)
                    if len(runs) > 1 and task not in twice:
                        twice[task] = runs
                        record.note(f"{task} runs twice at one time: {runs}")
            await asyncio.sleep(0.02)

    async def traffic():
        while True:
            asyncio.create_task(client.submit(f"/{QUEUE}/", JOB))
            await asyncio.sleep(0.15)

    watcher = asyncio.create_task(watch())
    sender = asyncio.create_task(traffic())
    await asyncio.sleep(3)
    for number in range(ROUNDS if trouble else 1):
        if not trouble:
            await asyncio.sleep(20)
            break
        if record.now() > LIMIT_S:
            break
        await standins.until(lambda: recent_starts(platform, record), 10)
        recent = recent_starts(platform, record)
        if not recent:
            break
        name = recent.most_common(1)[0][0]
        record.note(
            f"{name} crashes at its next start, and starts again after {DOWN_S} s"
        )
        former = platform.executors[name]
        crashed = asyncio.Event()

        def crash(path, fields, former=former, crashed=crashed):
            """Crash as a start is on its way."""
            if path != "/api/run-start" or crashed.is_set():
                return None
            former.crash(dark=True)
            crashed.set()
            return 0.0

        former.swallow = crash
        if not await standins.until(crashed.is_set, 10):
            break
        await asyncio.sleep(DOWN_S)
        former.server.close()
        life = platform.next_life(former)
        started = asyncio.Event()

        def on_start(item, life=life, started=started):
            if not life.has_answered:
                life.is_cut = True  # from here on, so that its answer is lost
                started.set()

        life.on_start = on_start
        await life.begin(platform.host, former.server.port, register=False)
        await standins.until(started.is_set, REGISTERS_AFTER_S)
        life.on_start = lambda item: None
        if not life.is_cut:
            life.register()
            record.note("noticed, or no start came, before its registration")
        else:
            record.note(f"cut off for {CUT_S} s, with {len(life.runs)} runs")
            await asyncio.sleep(CUT_S)
            life.is_cut = False
            life.register()
        await asyncio.sleep(REST_S)
        if twice:
            break
    sender.cancel()
    await asyncio.sleep(1)
    watcher.cancel()
    if twice:
        record.breaks("TWICE", f"{len(twice)} tasks ran twice at one time: {twice}")


if __name__ == "__main__":
    standins.main(sys.modules[__name__], Path(__file__).resolve().parent)
