"""A gang that has failed once is counted as failed once for each member that failed."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standin3 as standins

QUEUE, SERVICE = "plans", "planner"
EXECUTORS = 12
GANG = 8
ATTEMPTS = 2
CPU, MEM_MB = 64_000, 131_072
TASK_S = 0.6
FAULT_S = 0.3
BODY = {
    "spec": "a gang of 8 tasks",
    "steps": [
        {
            "count": GANG,
            "cpu": 10_000,
            "memMb": 8000,
            "estimateMs": 600,
            "gangScheduled": True,
        }
    ],
}

nodes = 2


async def prepare(platform):
    routes = [standins.route(QUEUE, SERVICE, ATTEMPTS)]
    platform.store.put("keyed.op", "config", standins.config(routes, [SERVICE]))
    platform.grey = set()

    def plan_of(machine):
        def plan(run):
            if machine in platform.grey:
                return FAULT_S, "failed"
            return TASK_S, "done"

        return plan

    for number in range(EXECUTORS):
        machine, rack = f"m-{number}", f"r{number // 4 + 1}"
        await platform.add_executor(
            machine, SERVICE, CPU, MEM_MB, rack, plan_of(machine)
        )


async def submit_gang(record, platform, client):
    job = f"{standins.random.getrandbits(64):016x}"
    platform.gang_sizes[f"{job}.0.0"] = GANG
    if not await client.submit(f"/{QUEUE}/", BODY, job):
        raise RuntimeError("the job was not accepted")
    record.note(f"gang {job} accepted")
    return job


async def final_state(client, job, seconds=20):
    for _ in range(int(seconds / 0.3)):
        state = await client.state(f"/{QUEUE}/", job)
        if state in ("completed", "failed", "cancelled"):
            return state
        await asyncio.sleep(0.3)
    return state


async def run(record, platform, client, nodes, trouble):
    job = await submit_gang(record, platform, client)
    state = await final_state(client, job)
    record.note(f"first gang: {state}")
    if state != "completed":
        raise RuntimeError("the first gang did not run")
    if trouble:
        # The executor on which the gang's first tasks ran fails all that it starts.
        first = platform.starts[0][1]
        platform.grey.add(platform.executors[first].machine)
        record.note(f"{first} fails all that it starts from now on")
    for _ in range(4):
        job = await submit_gang(record, platform, client)
        state = await final_state(client, job)
        runs = {item[3] for item in platform.starts if item[2].startswith(job)}
        record.note(f"gang {job}: {state} after {len(runs)} runs of the gang")
        if state == "failed" and len(runs) < ATTEMPTS:
            record.breaks(
                "LOST",
                f"job {job} is shown as failed after {len(runs)} run of its gang; "
                f"maxAttempts is {ATTEMPTS}",
            )
            return
        await asyncio.sleep(1)


if __name__ == "__main__":
    standins.main(sys.modules[__name__], Path(__file__).resolve().parent)
