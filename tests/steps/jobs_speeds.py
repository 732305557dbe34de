"""Steps for executors on which tasks take much longer than elsewhere."""

import json
import math
from io import StringIO

import attrs
from behave import given, then, when

from cardamomgrade import journal
from cardamomgrade.jobs.reports import Outcome
from cardamomgrade.jobs.spec import Step
from slowness import Load, OBJECTIVE_MS, SlowPool

TICK_MS = 20
SEEDS = (10, 20, 30)
REPLAY_S = 14


def pass_time(context, duration_ms):
    """Let runs end, and plan, every TICK_MS; keep the lines that are logged."""
    world, stream = context.jobs, StringIO()
    journal.start_logging("jobs", "n1", stream)
    try:
        until_ms = world.now_ms + duration_ms
        while world.now_ms < until_ms:
            world.now_ms += TICK_MS
            for start in list(world.running):
                if world.ends[start] <= world.now_ms:
                    world.end(start, Outcome.DONE)
            begin_runs(context)
    finally:
        journal.stop_logging()
    context.lines.extend(json.loads(line) for line in stream.getvalue().splitlines())


def begin_runs(context):
    world = context.jobs
    for start in world.plan():
        run_ms = world.run_ms.get(start.executor, world.run_ms[""])
        world.ends[start] = world.now_ms + run_ms


def add_everywhere(world, estimate_ms=600, **fields):
    step = Step(len(world.scheduler.executors), cores_m=1000, per_executor=1)
    world.add(attrs.evolve(step, estimate_ms=estimate_ms, **fields))


def slow_names(context):
    executors = context.jobs.scheduler.executors
    return {name for name, executor in executors.items() if executor.slow}


@given("tasks take {run_ms:d} ms")
def step_run_time(context, run_ms):
    context.jobs.run_ms = {"": run_ms}
    context.jobs.ends, context.lines = {}, []
    context.jobs.now_ms += TICK_MS  # the time 0 means that a run is inherited


@given("tasks take {run_ms:d} ms on {name:w}")
def step_run_time_on(context, run_ms, name):
    context.jobs.run_ms[name] = run_ms


@given("{jobs:d} jobs in a row have a task on each executor")
@when("{jobs:d} jobs in a row have a task on each executor")
def step_in_a_row(context, jobs):
    world = context.jobs
    for _ in range(jobs):
        add_everywhere(world)
        begin_runs(context)
        pass_time(context, max(world.run_ms.values()) + TICK_MS)
        assert not world.running, world.running


@when("{jobs:d} jobs at once have a task on each executor")
def step_at_once(context, jobs):
    for _ in range(jobs):
        add_everywhere(context.jobs)
    begin_runs(context)


@when(
    "{jobs:d} jobs at once, expected to take {estimate_ms:d} ms, have a task on each "
    "executor"
)
def step_at_once_estimate(context, jobs, estimate_ms):
    for _ in range(jobs):
        add_everywhere(context.jobs, estimate_ms)
    begin_runs(context)


@when("{jobs:d} jobs at once have a {kind:w} task on each executor")
def step_at_once_kind(context, jobs, kind):
    for _ in range(jobs):
        add_everywhere(context.jobs, **{kind: True})
    begin_runs(context)
    assert len(context.jobs.running) == jobs * len(context.jobs.names)


@when("{jobs:d} jobs of {tasks:d} tasks run on e2 only")
def step_on_one(context, jobs, tasks):
    world = context.jobs
    for name, executor in world.scheduler.executors.items():
        executor.cordoned = name != "e2"
    for _ in range(jobs):
        world.add(Step(tasks, cores_m=1000, estimate_ms=600))
    begin_runs(context)
    assert {item.executor for item in world.running} == {"e2"}, world.running


@when("{duration_ms:d} ms go by")
def step_pass(context, duration_ms):
    pass_time(context, duration_ms)


@when("e1 is forgotten and registers again")
def step_forgotten(context):
    scheduler = context.jobs.scheduler
    entry = scheduler.executors["e1"].entry
    scheduler.forget_executor("e1")
    scheduler.put_executor(entry)
    pass_time(context, TICK_MS)


@when("e1 does not answer for {duration_ms:d} ms")
def step_no_answer(context, duration_ms):
    executor = context.jobs.scheduler.executors["e1"]
    executor.unreachable = True
    pass_time(context, duration_ms)
    executor.unreachable = False


@when("the scheduler pauses for {duration_ms:d} ms")
def step_pause(context, duration_ms):
    context.jobs.now_ms += duration_ms


@when("{names} have left the pool")
def step_left(context, names):
    context.left = {}
    for name in names.split(" and "):
        context.left[name] = context.jobs.scheduler.executors[name].entry
        context.jobs.scheduler.forget_executor(name)


@when("{name:w} registers again")
def step_again(context, name):
    context.jobs.scheduler.put_executor(context.left[name])


@given("e1 is slow")
def step_make_slow(context):
    context.execute_steps(
        """
        Given tasks take 3000 ms on e1
        When 3 jobs in a row have a task on each executor
        Then e1 counts as slow
        """
    )


def place(context, *steps, **fields):
    """Place a job of some steps alone; its runs are ended again."""
    world = context.jobs
    world.add(*steps, **fields)
    starts = world.plan()
    for start in starts:
        world.end(start, Outcome.STOPPED)
    world.scheduler.cancel(world.job)
    return starts


@when("a job of {tasks:d} tasks of 4 cores is placed, in a gang or not")
def step_place(context, tasks):
    context.placed = []
    for gang in (False, True):
        starts = place(context, Step(tasks, cores_m=4000, gang=gang))
        context.placed.append({item.executor for item in starts})
        assert len(starts) == tasks or "drained" in context, starts


@when("a gang of {tasks:d} tasks of 4 cores is placed")
def step_place_gang(context, tasks):
    starts = place(context, Step(tasks, cores_m=4000, gang=True))
    assert len(starts) == tasks
    context.placed = [{item.executor for item in starts}]


@when("{tasks:d} tasks of 4 cores, expected to take {run_ms:d} ms, are placed {where}")
def step_place_timed(context, tasks, run_ms, where):
    world, fields = context.jobs, {}
    if where == "on e1 only":
        world.scheduler.cordon({"e3"})
        fields["label"] = "a"
    elif where != "anywhere":
        fields["per_executor"] = int(where.split()[2])
    world.add(Step(tasks, cores_m=4000, estimate_ms=run_ms, **fields))
    context.since_ms, context.tasks = world.now_ms, tasks
    begin_runs(context)


def last_start(context):
    """Let time pass until all tasks have started; return (ms, names of executors)."""
    world, names = context.jobs, {}
    while True:
        names |= {item.task: item.executor for item in world.running}
        if len(names) == context.tasks:
            return world.now_ms - context.since_ms, list(names.values())
        pass_time(context, TICK_MS)


@then("the last of them starts after {wait_ms:d} ms, on e1")
def step_last_slow(context, wait_ms):
    waited_ms, names = last_start(context)
    assert waited_ms == wait_ms and names[-1] == "e1", (waited_ms, names)


@then("none of them is on e1, and the last one starts after {wait_ms:d} ms")
def step_last_sound(context, wait_ms):
    waited_ms, names = last_start(context)
    assert waited_ms == wait_ms and "e1" not in names, (waited_ms, names)


@then("the pool needs no VM for tasks that no executor may run")
def step_not_blocked(context):
    needs = context.jobs.scheduler._pool_needs
    assert needs._blocked_vms["s"] == 0, needs._blocked_vms


@when("a lasting step that may miss 1 of 4 tasks is placed")
def step_place_budget(context):
    starts = place(context, Step(4, cores_m=1000, lasting=True, may_miss=1))
    context.placed = [{item.executor for item in starts}]


@when("a lasting step of {tasks:d} tasks of 4 cores is placed")
def step_place_lasting(context, tasks):
    starts = place(context, Step(tasks, cores_m=4000, lasting=True))
    assert len(starts) == tasks, starts
    context.placed = [{item.executor for item in starts}]


@when("a task that failed on all the others is placed")
def step_place_failed(context):
    world = context.jobs
    world.add(Step(1, cores_m=1000))
    ((task,),) = [step.tasks for step in world.scheduler.jobs[world.job].ready_steps()]
    task.failed_on = ["e2", "e3", "e4"]
    context.placed = [{item.executor for item in world.plan()}]


@when("a task whose data is in the rack of e1 is placed")
def step_place_rack(context):
    world = context.jobs
    world.scheduler.executors["e2"].cordoned = True  # the other one of that rack
    context.placed = [
        {item.executor for item in place(context, Step(1, cores_m=1000, rack="r1"))}
    ]


@when("e1 drains for another {remaining:d} ms")
def step_drain(context, remaining):
    scheduler = context.jobs.scheduler
    entry = scheduler.executors["e1"].entry
    scheduler.put_executor(attrs.evolve(entry, draining=True, remaining_ms=remaining))
    context.drained = True


@then("none of them is on e1")
def step_none_on(context):
    assert all("e1" not in names for names in context.placed), context.placed


@then("some of them are on e1")
def step_some_on(context):
    assert all("e1" in names for names in context.placed), context.placed


@then("no executor counts as slow")
def step_none_slow(context):
    assert not slow_names(context), slow_names(context)


@then("{names} counts as slow")
@then("{names} count as slow")
def step_slow(context, names):
    assert slow_names(context) == set(names.split(" and ")), slow_names(context)


@then(
    "the log says that e1 is slow by a ratio of 2 or more, from 3 ratios, because of "
    "runs"
)
def step_logged_slow(context):
    (line,) = [item for item in context.lines if item["event_name"] == "ExecutorSpeed"]
    assert (line["executor"], line["state"], line["why"]) == ("e1", "slow", "runs")
    assert line["ratio"] >= 2 and len(line["ratios"]) == 3, line


@then("the log says that e1 is sound, because of {why:w}")
def step_logged_sound(context, why):
    lines = [item for item in context.lines if item["event_name"] == "ExecutorSpeed"]
    assert [item["state"] for item in lines] == ["slow", "sound"], lines
    assert lines[1]["executor"] == "e1" and lines[1]["why"] == why, lines


@then("the log says that slowness is ignored, in {slow:d} of {executors:d} executors")
def step_logged_ignored(context, slow, executors):
    lines = [item for item in context.lines if item["event_name"] == "SlownessIgnored"]
    found = [(item["ignored"], item["slow"], item["executors"]) for item in lines]
    assert found == [(True, slow, executors)], found


# Replays of the load


@given(
    "jobs of 8 tasks on 30 executors, of which 3 are {factor:d} times slower from "
    "second 2 to 8"
)
def step_slow_load(context, factor):
    context.load = Load(slow_factor=factor, jobs_per_s=25)


@given("{rate:d} jobs a second instead of 25")
def step_rate(context, rate):
    context.load = attrs.evolve(context.load, jobs_per_s=rate)


@given("jobs of 8 tasks on 30 executors, of which 3 stand still from second 2 to 8")
def step_still_load(context):
    context.load = Load(slow_factor=math.inf, jobs_per_s=25)


@given("jobs of 8 tasks on 30 sound executors, {kind}")
def step_sound_load(context, kind):
    kinds = {
        "all of one size": Load(slow=0, jobs_per_s=25),
        "of which some take 8 times as long as others": Load(
            slow=0, jobs_per_s=12, sizes=(0.5, 1, 2, 4)
        ),
        "of which no run is long by chance": Load(slow=0, long_runs=0, jobs_per_s=25),
    }
    context.load = kinds[kind]


def replay(load, seconds, speeds=True):
    pools = [SlowPool(attrs.evolve(load, seed=seed), speeds) for seed in SEEDS]
    for pool in pools:
        pool.run(seconds)
    return pools


@when("they run with and without regard to slow executors")
def step_replay(context):
    context.pools = replay(context.load, REPLAY_S)
    context.blind = replay(context.load, REPLAY_S, speeds=False)
    context.seconds = REPLAY_S


@when("they run for {seconds:d} s")
def step_replay_for(context, seconds):
    pool = SlowPool(context.load)
    pool.run(seconds)
    context.pools, context.seconds = [pool], seconds


def percent_in_time(pools):
    waits_ms = [wait_ms for pool in pools for wait_ms in pool.waits_ms(2, 8)]
    return 100 * sum(wait_ms <= OBJECTIVE_MS for wait_ms in waits_ms) / len(waits_ms)


def check_in_time(blind, pools, most, least):
    found = percent_in_time(blind), percent_in_time(pools)
    assert found[0] <= most and found[1] >= least, found


@then(
    "at most {most:d}% of the jobs in the seconds 2 to 8 are in time without it, and "
    "at least {least:d}% with it"
)
def step_replay_in_time(context, most, least):
    check_in_time(context.blind, context.pools, most, least)


@then("at most {most:d}% and at least {least:d}% where no run is long by chance")
def step_replay_no_tail(context, most, least):
    load = attrs.evolve(context.load, long_runs=0)
    blind = replay(load, REPLAY_S, speeds=False)
    check_in_time(blind, replay(load, REPLAY_S), most, least)


@then("all slow executors are found within {found_ms:d} ms")
def step_replay_found(context, found_ms):
    for pool in context.pools:
        begin_ms = context.load.slow_from_s * 1000
        found = {name: at_ms - begin_ms for name, at_ms in pool.found_ms.items()}
        assert found.keys() == pool.slow, found
        assert max(found.values()) <= found_ms, found


@then("sound executors count as slow for less than 1 of 1,000 of the time")
def step_replay_wrong(context):
    load = context.load
    sound_ms = (load.executors - load.slow) * context.seconds * 1000
    found = sum(pool.wrong_ms for pool in context.pools) / len(context.pools) / sound_ms
    assert found < 0.001, (found, [pool.wrong for pool in context.pools])


@then("all decisions are the same")
def step_replay_same(context):
    for pool, blind in zip(context.pools, context.blind, strict=True):
        assert pool.starts == blind.starts and len(pool.starts) > 1000
        assert not pool.wrong
