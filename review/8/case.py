"""A long task whose executor is cut off five times: its job is shown as failed."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standin2  # noqa: E402

EXECUTORS, SPECIAL = 6, 2  # the last two have the label that the job needs
CUT_S, PAUSE_S, CUTS = 5.0, 4.0, 5  # one of six executors at a time
LONG_S = 50.0
lengths = {}


def plan(task):
    return lengths.get(task.partition(".")[0], 0.1)


def kind_of(number):
    return "b" if number >= EXECUTORS - SPECIAL else "a"


async def scenario(record, platform, system, trouble):
    job = standin2.job_id()
    lengths[job] = LONG_S
    step = {"count": 1, "cpu": 1000, "memMb": 64, "estimateMs": int(LONG_S * 1000)}
    if not await system.submit(job, [{**step, "requirements": "b"}]):
        return 2
    await asyncio.sleep(2.0)
    for _ in range(CUTS if trouble else 0):
        until = time.monotonic() + 10
        at = None
        while at is None and time.monotonic() < until:
            await asyncio.sleep(0.1)
            at = next(
                (e for e in platform.executors if any(t.startswith(job) for t in e.runs)),
                None,
            )
        if at is None:
            break
        at.cut()
        await asyncio.sleep(CUT_S)
        at.heal()
        await asyncio.sleep(PAUSE_S)
    states = ("completed", "failed")
    state = await system.wait_state(job, states, 20.0 if trouble else LONG_S + 10)
    ends = [item[1] for item in platform.log if item[3].startswith(job)]
    record("job", job, "is", state, "- what its runs did:", ends)
    if state == "failed" and "failed" not in ends and standin2.CRASH not in ends:
        record("LOST: it is shown as failed without cause")
        return 1
    return 0 if state == "completed" or (trouble and state == "running") else 2


standin2.main(
    Path(__file__).parent, scenario, executors=EXECUTORS, plan=plan, kind_of=kind_of
)
