"""Jobs that no executor has started are not counted as waiting (see claim.txt)."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standin import BOUNDS, new_id, play, trouble, World  # noqa: E402

SERVICE, MACHINES, PER_RACK = "svc-rappels", 16, 4
JOBS = 4
DARK_S = 7.2  # "rack dark" of the site file: 6.4 to 7.4 s
COUNTED_S = BOUNDS["visible_ms"] / 1000 + 2.0  # of the rule MIXED
LATE_S = 0.3  # a value may be asked for this much after that age, to be sure
AGE_MAX_S = DARK_S - 0.5


def make_world(folder):
    return World(
        folder,
        services=[(SERVICE, MACHINES, PER_RACK, False)],
        queues={"reports": (SERVICE, {}), "notices": (SERVICE, {})},
    )


async def case(world):
    world.on_start = lambda executor, run: executor.work(run, 0.5)
    racks = sorted({item.rack for item in world.machines.values()})
    rack = racks[-1]
    await warm_up(world)
    if trouble():
        hit = [x.executor for x in world.machines.values() if x.rack == rack]
        dark = asyncio.gather(*(go_dark(world, item) for item in hit))
    else:
        dark = asyncio.create_task(asyncio.sleep(DARK_S))
    step = {
        "count": 1,
        "cpu": 1000,
        "memMb": 512,
        "estimateMs": 500,
        "requirements": rack,
    }
    accepted = {}
    for _ in range(JOBS):
        name = new_id()
        if await world.submit("reports", name, {"spec": "report", "steps": [step]}):
            accepted[name] = world.now()
    breaches = []
    last = max(accepted.values())
    while world.now() < last + AGE_MAX_S - 0.6:
        await asyncio.sleep(0.25)
        breaches.extend(await ask(world, accepted))
    await dark
    await asyncio.sleep(BOUNDS["finish_s"])
    for name in accepted:
        state = await world.state("reports", name)
        if state != "completed":
            world.record(f"reports/{name} is {state} at the end")
    return breaches[:6]


async def warm_up(world):
    """Run a few jobs, so that all nodes and the scheduler are at work."""
    for _ in range(3):
        step = {"count": 4, "cpu": 1000, "memMb": 512, "estimateMs": 500}
        await world.submit("notices", new_id(), {"spec": "notice", "steps": [step]})
        await asyncio.sleep(1.0)
    await asyncio.sleep(2.0)


async def go_dark(world, executor):
    """Crash an executor that then answers nothing; a new one begins after DARK_S."""
    world.record(f"DISRUPTION: executor {executor.name} crashes, dark for {DARK_S} s")
    machine, address = executor.machine, executor.address
    executor.silence()
    await asyncio.sleep(DARK_S)
    executor.finish("crashed")
    new = await world.add_executor(machine, executor.service_name, address)
    world.record(f"executor {new.name} begins at {address}")


async def ask(world, accepted):
    """Ask each node for the queue's count; return the breaches of MIXED."""
    breaches = []
    for node in [item for item in world.nodes if item.ready]:
        asked_at = world.now()
        started = {row[3].split(".")[0] for row in world.starts}
        waiting = [
            name
            for name, at in accepted.items()
            if name not in started and asked_at - at > COUNTED_S + LATE_S
        ]
        answer = await world.attempt("GET", "reports", "", node=node)
        if answer is None or answer[0] != 200 or not waiting:
            continue
        # None of them may have begun while the answer was on its way.
        begun = {row[3].split(".")[0] for row in world.starts}
        waiting = [name for name in waiting if name not in begun]
        count = json.loads(answer[2])["pendingCount"]
        if count < len(waiting) / 2:
            state = await world.state("reports", waiting[0])
            breaches.append(
                f"MIXED: {node.name} gives a pendingCount of {count} at "
                f"{asked_at:.1f} s; {len(waiting)} jobs were accepted over "
                f"{COUNTED_S:.0f} s before and have not begun; {waiting[0]} is shown "
                f"as {state}"
            )
    return breaches


play(__file__, make_world, case)
