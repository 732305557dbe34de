"""Steps for the job scheduler."""

import itertools

import attrs
from behave import given, then, when

from cardamomgrade.health import Health
from cardamomgrade.jobs.queues import Queue, QueueConfig, Service
from cardamomgrade.jobs.records import (
    CancelRecord,
    decode_job,
    decode_progress,
    encode,
    JobState,
    Phase,
    PREFIX_CANCEL,
    PREFIX_JOB,
)
from cardamomgrade.jobs.reports import ExecutorEntry, Outcome
from cardamomgrade.jobs.scheduler import QUARANTINE_MIN_MS, Scheduler
from cardamomgrade.jobs.spec import JobSpec, Step
from cardamomgrade.jobs.store import Entry
from cardamomgrade.jobs.view import JobView

WALL_MS = 1_700_000_000_000
CONFIG = QueueConfig(
    1,
    (Queue("q", "h", "/q/", "s", max_attempts=3, stretch=2.0, target_ms=500),),
    (Service("s"), Service("off", standby=True)),
)


def executor_entry(name, cores, rack="r1", labels=("a",)):
    return ExecutorEntry(
        name, "s", "127.0.0.1:1", "z", False, cores * 1000, 64_000, 0, labels, rack, 0
    )


class SchedulerFixture:
    """A scheduler with a simulated clock, and the Start orders of current runs."""

    def __init__(self, executors, cores):
        self.now_ms = 0.0
        self.scheduler = Scheduler(CONFIG)
        self.numbers = itertools.count()
        self.running = []
        self.job = ""
        self.names = [f"e{number}" for number in range(1, executors + 1)]
        self.cores = cores
        for number, name in enumerate(self.names, 1):
            rack = "r2" if number > executors / 2 else "r1"
            labels = ("a",) if number % 2 else ("b",)
            self.scheduler.put_executor(executor_entry(name, cores, rack, labels))

    @property
    def wall_ms(self):
        return WALL_MS + self.now_ms

    def add(self, *steps, **fields):
        self.job = f"{next(self.numbers):016x}"
        spec = JobSpec(self.job, "q", "s", "text", self.wall_ms, steps, **fields)
        self.scheduler.add_job(spec, now_ms=self.now_ms)
        return spec

    def plan(self):
        starts = self.scheduler.plan(self.now_ms, self.wall_ms)
        for start in starts:
            self.scheduler.record_begun(start.task, start.run)
        self.running.extend(starts)
        return starts

    def end(self, start, outcome):
        if start in self.running:
            self.running.remove(start)
        return self.scheduler.end(
            start.executor, start.task, start.run, outcome, "", self.now_ms
        )

    def end_all(self, outcome=Outcome.DONE):
        for start in list(self.running):
            self.end(start, outcome)

    def state(self):
        return self.scheduler.state_of(self.job)


@when("the cancellation of a job is read, and then the job")
def step_cancel_first(context):
    jobs = context.jobs
    view = JobView()
    view.on_job, view.on_cancel = jobs.scheduler.add_job, jobs.scheduler.cancel
    jobs.job = "00000000000000a1"
    spec = JobSpec(jobs.job, "q", "s", "text", jobs.wall_ms, (Step(1, cores_m=1000),))
    cancel = encode(CancelRecord(int(jobs.wall_ms)))
    view.fold(Entry(5, PREFIX_CANCEL + jobs.job, cancel))
    view.fold(Entry(9, PREFIX_JOB + jobs.job, encode(spec)))


@given("a pool of {executors:d} executors with {cores:d} cores each")
def step_pool(context, executors, cores):
    context.jobs = SchedulerFixture(executors, cores)


@when("a job with steps of {first:d} and {second:d} tasks of {cores:d} core is added")
def step_job(context, first, second, cores):
    size = {"cores_m": cores * 1000, "memory_mb": 100}
    context.jobs.add(Step(first, **size), Step(second, after=(0,), **size))


@when("a gang of {tasks:d} tasks of {cores:d} core is added")
def step_gang(context, tasks, cores):
    context.jobs.add(Step(tasks, cores_m=cores * 1000, gang=True))


@when("a job that repeats {times:d} times every {interval:d} ms is added")
def step_repeating(context, times, interval):
    context.jobs.add(
        Step(1, cores_m=1000),
        repeat=times,
        start_at_ms=int(context.jobs.wall_ms + 500),
        interval_ms=interval,
    )


@when("a job whose step sets {field} to {value} is added")
def step_field(context, field, value):
    value = int(value) if value.isdecimal() else value
    context.jobs.add(Step(4, cores_m=1000, **{field: value}))


@then("the plan starts {count:d} tasks")
def step_plan(context, count):
    starts = context.jobs.plan()
    assert len(starts) == count, starts


@then("the plan starts {count:d} tasks under one run number")
def step_plan_gang(context, count):
    starts = context.jobs.plan()
    assert len(starts) == count and {item.run for item in starts} == {1}, starts


@when("all running tasks are done")
def step_all_done(context):
    context.jobs.end_all()


@then("the job ends as {state}")
def step_state(context, state):
    assert context.jobs.state() is JobState[state.upper()], context.jobs.state()


@then("no executor holds more than its cores")
def step_capacity(context):
    for executor in context.jobs.scheduler.executors.values():
        assert executor.cores_m <= executor.entry.cores_m
        held = sum(item.cores_m for item in executor.allocations.values())
        assert held == executor.cores_m


@when("its first task fails {times:d} times")
def step_fails(context, times):
    world = context.jobs
    for _ in range(times):
        world.plan()
        assert len(world.running) == 1, world.running
        world.end(world.running[0], Outcome.FAILED)


@then("its task runs on another executor after a failure")
def step_other_executor(context):
    world = context.jobs
    (first,) = world.plan()
    world.end(first, Outcome.FAILED)
    (second,) = world.plan()
    assert second.executor != first.executor and second.run == first.run + 1


@when("every task on the first executor fails in {jobs:d} jobs")
def step_failing_executor(context, jobs):
    world = context.jobs
    for _ in range(jobs):
        world.add(Step(8, cores_m=1000))
        world.plan()
        for start in list(world.running):
            failing = start.executor == world.names[0]
            world.end(start, Outcome.FAILED if failing else Outcome.DONE)
        world.scheduler.cancel(world.job)
        world.end_all(Outcome.STOPPED)


@then("new jobs run on the second executor only")
def step_second_only(context):
    world = context.jobs
    world.add(Step(6, cores_m=1000))
    assert {item.executor for item in world.plan()} == {world.names[1]}
    world.end_all()


@then("after the quarantine they run on the first executor again")
def step_after_quarantine(context):
    world = context.jobs
    world.now_ms += QUARANTINE_MIN_MS + 1
    world.add(Step(6, cores_m=1000))
    assert world.names[0] in {item.executor for item in world.plan()}


@when("the job is cancelled")
def step_cancel(context):
    context.jobs.scheduler.cancel(context.jobs.job)


@then("{count:d} stops are ordered")
def step_stops(context, count):
    stops = context.jobs.scheduler.take_stops()
    assert len(stops) == count, stops


@when("the executor of the first task is known to run nothing")
def step_executor_gone(context):
    world = context.jobs
    world.lapsed = [
        item for item in world.running if item.executor == world.running[0].executor
    ]
    world.scheduler.unlist_executor(world.lapsed[0].executor)
    world.scheduler.mark_runs_lapsed(world.lapsed[0].executor, world.now_ms)


@then("its tasks start again elsewhere as run 2")
def step_restarted(context):
    world = context.jobs
    starts = world.plan()
    assert {item.task for item in starts} == {item.task for item in world.lapsed}
    assert all(
        item.run == 2 and item.executor != world.lapsed[0].executor for item in starts
    )


@then("a late end of run 1 changes nothing")
def step_late_end(context):
    world = context.jobs
    late = world.lapsed[0]
    accepted = world.scheduler.end(
        late.executor, late.task, 1, Outcome.DONE, "", world.now_ms
    )
    assert not accepted and world.state() is JobState.RUNNING


@when(
    "the first drains, the second is unlisted, the third is unreachable and the fourth "
    "is cordoned"
)
def step_no_new_runs(context):
    world = context.jobs
    first = world.scheduler.executors[world.names[0]]
    world.scheduler.put_executor(attrs.evolve(first.entry, draining=True))
    world.scheduler.unlist_executor(world.names[1])
    world.scheduler.executors[world.names[2]].unreachable = True
    world.scheduler.cordon({world.names[3]})


@then("all tasks run on the fifth executor")
def step_fifth_only(context):
    world = context.jobs
    assert {item.executor for item in world.plan()} == {world.names[4]}


@when("one member of the gang fails")
def step_member_fails(context):
    world = context.jobs
    world.end(world.running[0], Outcome.FAILED)


@then("the other members are stopped before the gang starts again")
def step_gang_again(context):
    world = context.jobs
    assert world.plan() == []
    stops = world.scheduler.take_stops()
    assert {item.task for item in stops} == {item.task for item in world.running}
    world.end_all(Outcome.STOPPED)
    starts = world.plan()
    assert len(starts) == 4 and {item.run for item in starts} == {2}, starts


@then("0 tasks start before its time, 1 at its time and 2 more later")
def step_due(context):
    world = context.jobs
    counts = []
    for now_ms in (0, 499, 500, 1600, 2600):
        world.now_ms = now_ms
        world.scheduler.next_due_ms(world.wall_ms)
        counts.append(len(world.plan()))
    assert counts == [0, 0, 1, 1, 1], counts


@then("the job is completed once all its occurrences are done")
def step_occurrences_done(context):
    world = context.jobs
    assert world.state() is JobState.RUNNING
    world.end_all()
    assert world.state() is JobState.COMPLETED


@then("every task runs on a labelled executor")
def step_labelled(context):
    world = context.jobs
    starts = world.plan()
    assert len(starts) == 4
    for item in starts:
        assert "a" in world.scheduler.executors[item.executor].entry.labels


@then("no executor runs 2 of its tasks")
def step_one_per_executor(context):
    starts = context.jobs.plan()
    assert len({item.executor for item in starts}) == len(starts) == 4


@then("every task runs on rack r2")
def step_rack(context):
    world = context.jobs
    starts = world.plan()
    assert len(starts) == 4
    racks = {world.scheduler.executors[item.executor].entry.rack for item in starts}
    assert racks == {"r2"}, racks


@when("some of its tasks run, one is done and one has failed")
def step_partly_done(context):
    world = context.jobs
    starts = world.plan()
    world.end(starts[0], Outcome.DONE)
    world.end(starts[1], Outcome.FAILED)


@then("a scheduler that restores its record continues its tasks")
def step_restored(context):
    world = context.jobs
    spec = world.scheduler.jobs[world.job].spec
    ((key, value),) = world.scheduler.take_dirty()
    assert key.endswith(world.job)
    restored = SchedulerFixture(len(world.names), world.cores)
    restored.job = world.job
    stored = decode_job(encode(spec))
    assert stored == spec
    restored.scheduler.add_job(stored, decode_progress(value))
    starts = restored.plan()
    assert [item.run for item in starts] == [2], starts
    (left,) = restored.scheduler.jobs[world.job].placed()[-1:]
    assert left.failures in (0, 1)
    for task in restored.scheduler.jobs[world.job].placed():
        restored.scheduler.end(
            task.executor, str(task.id), task.run, Outcome.DONE, "", restored.now_ms
        )
    assert len(restored.plan()) == 2


@then("the pool needs {count:d} VMs")
def step_needs(context, count):
    world = context.jobs
    load = world.scheduler.pool_loads(world.now_ms)["s"]
    assert load.needed_vms == count, load


@when("tasks that take all of two executors run")
def step_fill_two(context):
    world = context.jobs
    world.scheduler.cordon({world.names[2]})
    world.add(Step(8, cores_m=1000))
    assert len(world.plan()) == 8
    world.scheduler.cordon(set())


@when("a lasting step of {tasks:d} tasks with a budget of {budget:d} is added")
def step_lasting_added(context, tasks, budget):
    step = Step(tasks, cores_m=1000, lasting=True, may_miss=budget)
    context.jobs.add(step)


@when("a job of a removed queue, with {attempts:d} attempts, is added")
def step_removed_queue(context, attempts):
    world = context.jobs
    world.scheduler.set_config(attrs.evolve(CONFIG, queues=()))
    world.add(Step(1, cores_m=1000), max_attempts=attempts)


def first_task(context):
    world = context.jobs
    job = world.scheduler.jobs[world.job]
    return next(task for task in job._tasks() if task.id.index == task.id.step == 0)


@when("its executor reports that run 1 of the first task ended {outcome}")
def step_reported_end(context, outcome):
    world, task = context.jobs, first_task(context)
    context.reported = (
        task.executor or context.reported[0],
        str(task.id),
        Outcome(outcome),
    )
    name, task_name, end = context.reported
    world.scheduler.end(name, task_name, 1, end, "", world.now_ms)


@when("another scheduler takes over")
def step_takes_over(context):
    world = context.jobs
    job = world.scheduler.jobs[world.job]
    record = decode_progress(encode(job.record()))
    entries = [item.entry for item in world.scheduler.executors.values()]
    world.scheduler = Scheduler(CONFIG)
    world.scheduler.add_job(job.spec, record, world.now_ms)
    for entry in entries:
        world.scheduler.put_executor(entry)


def plan_first_task_runs(context):
    name = str(first_task(context).id)
    return [item.run for item in context.jobs.plan() if item.task == name]


@then("the first task is done and does not start")
def step_first_done(context):
    assert first_task(context).phase is Phase.DONE
    assert plan_first_task_runs(context) == []


@then("the first task has {count:d} failure{plural} and starts again")
@then("the first task has {count:d} failure and starts again")
def step_first_failed(context, count, plural=""):
    task = first_task(context)
    assert task.failures == count, task
    assert plan_first_task_runs(context) == [2]


@then("reporting it again changes nothing")
def step_reported_again(context):
    world, task = context.jobs, first_task(context)
    before = attrs.astuple(task)
    name, task_name, end = context.reported
    world.scheduler.end(name, task_name, 1, end, "", world.now_ms)
    assert attrs.astuple(task) == before


@when("both executors are unreachable")
def step_both_unreachable(context):
    for executor in context.jobs.scheduler.executors.values():
        executor.unreachable = True


@when("both executors are quarantined")
def step_both_quarantined(context):
    scheduler = context.jobs.scheduler
    scheduler._health = Health(1, QUARANTINE_MIN_MS, QUARANTINE_MIN_MS, 1.0)
    for name in context.jobs.names:
        for job in ("j1", "j2"):
            scheduler._health.failed(name, "s", job, 2, context.jobs.now_ms)
        scheduler._probes.rest(name, context.jobs.now_ms)
    assert all(map(scheduler._health.is_quarantined, context.jobs.names))


@then("the pool is short of VMs")
def step_short(context):
    world = context.jobs
    load = world.scheduler.pool_loads(world.now_ms)["s"]
    assert (load.needed_vms - load.size) > 0, load


@when("the runs of the first executor are marked lapsed and it answers again")
def step_lapsed(context):
    world = context.jobs
    world.scheduler.mark_runs_lapsed(world.names[0], world.now_ms)
    world.scheduler.replan_executor(world.names[0])


@when("run {run:d} of the first task is withdrawn")
def step_withdrawn(context, run):
    name = str(first_task(context).id)
    context.jobs.scheduler.withdraw(context.jobs.names[0], name, run)


@then("run {run:d} of the first task is allocated on the first executor")
def step_allocated(context, run):
    world, task = context.jobs, first_task(context)
    executor = world.scheduler.executors[world.names[0]]
    held = {name: item.run for name, item in executor.allocations.items()}
    assert held == {task.name: run}, held
    assert executor.cores_m == 1000, executor.cores_m
    assert (task.run, task.phase) == (run, Phase.PLACED), task


@when("the queue and its service are removed")
def step_service_removed(context):
    world = context.jobs
    world.scheduler.set_config(attrs.evolve(CONFIG, queues=(), services=()))
    world.plan()


@then("the plan starts 2 tasks, one after the other")
def step_one_by_one(context):
    world = context.jobs
    for _ in range(2):
        assert len(world.plan()) == 1
        world.end_all()


@when("a job of a queue whose service has no executors is added")
def step_empty_service(context):
    world = context.jobs
    context.queue = Queue("q2", "h", "/q2/", "t")
    cfg = attrs.evolve(
        CONFIG,
        queues=(*CONFIG.queues, context.queue),
        services=(*CONFIG.services, Service("t")),
    )
    world.scheduler.set_config(cfg)
    spec = JobSpec("f" * 16, "q2", "t", "text", world.wall_ms, (Step(1, cores_m=500),))
    world.scheduler.add_job(spec, now_ms=world.now_ms)


@when("its queue moves to the service with executors")
def step_queue_moves(context):
    scheduler = context.jobs.scheduler
    moved = attrs.evolve(context.queue, service="s")
    scheduler.set_config(attrs.evolve(scheduler.cfg, queues=(*CONFIG.queues, moved)))


@when("the executor joins the service of that queue")
def step_executor_joins(context):
    world = context.jobs
    (executor,) = world.scheduler.executors.values()
    world.scheduler.put_executor(attrs.evolve(executor.entry, service="t"))


def set_closed(world, state, closed):
    scheduler = world.scheduler
    for executor in scheduler.executors.values():
        if state == "unreachable":
            executor.unreachable = closed
            scheduler.replan_executor(executor.name)
        elif state == "draining":
            scheduler.put_executor(attrs.evolve(executor.entry, draining=closed))
        elif state == "paused" and closed:
            scheduler.pause_executor(executor.name, world.now_ms + 1000)
    if state == "cordoned":
        scheduler.cordon(set(world.names) if closed else set())
    if state == "paused" and not closed:
        world.now_ms += 1000


@when("both executors are {state} and a job is added")
def step_closed(context, state):
    set_closed(context.jobs, state, True)
    context.jobs.add(Step(4, cores_m=1000))


@when("both executors are {state} no more")
def step_open_again(context, state):
    set_closed(context.jobs, state, False)


@when("the first running task is done")
def step_first_running_done(context):
    world = context.jobs
    world.end(world.running[0], Outcome.DONE)


@when("the other running tasks are done")
def step_others_done(context):
    context.jobs.end_all()


@when("the run of one member is withdrawn")
def step_member_withdrawn(context):
    world = context.jobs
    start = world.running.pop(0)
    world.scheduler.withdraw(start.executor, start.task, start.run)


@when("the run of one member is marked lapsed")
def step_member_lapsed(context):
    world = context.jobs
    start = world.running.pop(0)
    world.scheduler.end(
        start.executor, start.task, start.run, Outcome.LAPSED, "", 0, confirmed=False
    )


@when("the run of one member ends {outcome}")
def step_member_ends(context, outcome):
    context.jobs.end(context.jobs.running[0], Outcome(outcome))
