"""A gang that no single rack can hold is never placed, though all racks together can."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-3"))

import standins

QUEUE, SERVICE = "plans", "planner"
RACKS = {"r1": 3, "r2": 2, "r3": 2}
GANG = 3
CPU, MEM_MB = 16_000, 65_536
TASK_S = 1.0
WATCH_S = 25.0
STILL_S = 3.0
CALM_S = 3.0 + 4.0  # contactMs, and the 4 s before of the rule
BODY = {
    "spec": "a gang of 3 tasks, one on an executor, in one rack if possible",
    "steps": [
        {
            "count": GANG,
            "cpu": 2000,
            "memMb": 1024,
            "estimateMs": 1000,
            "gangScheduled": True,
            "rackLocal": True,
            "antiAffinity": 1,
        }
    ],
}
PLAIN = {"spec": "plain", "steps": [{"count": 2, "cpu": 500, "estimateMs": 300}]}

nodes = 2


async def prepare(platform):
    routes = [standins.route(QUEUE, SERVICE)]
    platform.store.put("keyed.op", "config", standins.config(routes, [SERVICE]))

    def plan(run):
        return (TASK_S if run.step in platform.gang_sizes else 0.3), "done"

    for rack, count in RACKS.items():
        for number in range(count):
            machine = f"m-{rack}-{number}"
            await platform.add_executor(machine, SERVICE, CPU, MEM_MB, rack, plan)


async def submit_gang(record, platform, client):
    job = f"{standins.random.getrandbits(64):016x}"
    platform.gang_sizes[f"{job}.0.0"] = GANG
    if not await client.submit(f"/{QUEUE}/", BODY, job):
        raise RuntimeError("the job was not accepted")
    record.note(f"gang {job} accepted")
    return job


def started(platform, job):
    return [item for item in platform.starts if item[2].startswith(job)]


async def run(record, platform, client, nodes, trouble):
    prefix = f"/{QUEUE}/"
    first = await submit_gang(record, platform, client)
    if not await standins.until(lambda: platform.ends["done"] >= GANG, 15):
        raise RuntimeError("the first gang did not run")
    record.note(f"first gang: {await client.state(prefix, first)}")
    if trouble:
        lost = next(x for x in platform.executors.values() if x.rack == "r1")
        record.note(f"{lost.name} of rack r1 is lost for good")
        platform.crash(lost)
        await asyncio.sleep(standins.BOUNDS["contactMs"] / 1000 + 5)
    else:
        await asyncio.sleep(2)
    job = await submit_gang(record, platform, client)
    accepted = record.now()
    end = accepted + WATCH_S
    while record.now() < end and not started(platform, job):
        plain = await client.submit(prefix, PLAIN)
        ran = await standins.until(lambda: len(started(platform, plain)) >= 2, 3)
        record.line("case", f"plain job {plain} ran: {ran}")
        await asyncio.sleep(1)
    state = await client.state(prefix, job)
    up = [x for x in platform.executors.values() if x.up]
    racks = standins.Counter(x.rack for x in up)
    record.note(f"executors up by rack: {dict(racks)}; state of the gang: {state}")
    if not started(platform, job):
        waited = record.now() - accepted
        record.breaks(
            "LOST",
            f"job {job} has had nothing running for {waited:.1f} s; {len(up)} idle "
            f"executors could run it {len(up) // GANG} times over",
        )
        return
    waited = started(platform, job)[0][0] - accepted
    record.note(f"first start {waited:.2f} s after it was accepted")
    if waited > STILL_S + CALM_S:
        record.breaks("LOST", f"job {job} had nothing running for {waited:.1f} s")


if __name__ == "__main__":
    standins.main(sys.modules[__name__], Path(__file__).resolve().parent)
