"""Steps for speculative copies."""

from itertools import pairwise

import attrs
from behave import given, then, when
from hypothesis import given as generated, settings, strategies as st
from jobs_scheduler import CONFIG, executor_entry, WALL_MS

from cardamomgrade.jobs import scheduler as scheduler_module
from cardamomgrade.jobs.records import decode_progress, JobState, Phase
from cardamomgrade.jobs.reports import Outcome
from cardamomgrade.jobs.scheduler import Scheduler
from cardamomgrade.jobs.scheduler_events import CopyStarted
from cardamomgrade.jobs.spec import JobSpec, parse_task, Step
from cardamomgrade.jobs.speculation import CHECK_MS, COPY_FACTOR, MARGIN_MS, RESTOP_MS
from stragglers import StragglerPool

TASKS = 8
TASK_MS = 100
LIMIT_MS = max(TASK_MS * COPY_FACTOR, TASK_MS + MARGIN_MS)
ROUND_MS = 20
SIZE = {"cores_m": 1000, "memory_mb": 100}
KINDS = {"speculative", "gang", "lasting"}


def advance(world, ms):
    """Plan every ROUND_MS; return the Start orders."""
    starts = []
    for _ in range(int(ms / ROUND_MS)):
        world.now_ms += ROUND_MS
        starts.extend(world.plan())
    return starts


def run_all_but(context, late, *steps, **fields):
    world = context.jobs
    world.add(Step(TASKS, **SIZE, **fields), *steps)
    world.now_ms += ROUND_MS  # 0 is the start time of an inherited run
    starts = [item for item in world.plan() if parse_task(item.task).step == 0]
    assert len(starts) == TASKS
    world.now_ms += TASK_MS
    for start in starts[late:]:
        world.end(start, Outcome.DONE)
    context.late = starts[0]
    context.copy = None


def late_task(context):
    task_id = parse_task(context.late.task)
    step = context.jobs.scheduler.jobs[task_id.job].step_state(task_id)
    return step.tasks[task_id.index]


def allocated(world):
    """Return the (executor, task, run) of all allocations."""
    return {
        (executor.name, task, item.run)
        for executor in world.scheduler.executors.values()
        for task, item in executor.allocations.items()
    }


def key(start):
    return start.executor, start.task, start.run


def run_of(context, which):
    return context.late if which == "earlier" else context.copy


@when("all tasks but one of a speculative step are done in 100 ms")
def step_all_but_one(context):
    run_all_but(context, 1, speculative=True)


@when("a queue's tasks have taken 100 ms and a step that is {kind} starts")
def step_kind(context, kind):
    world = context.jobs
    run_all_but(context, 0)
    world.add(Step(TASKS, **SIZE, **dict.fromkeys(KINDS & set(kind.split()), True)))
    assert len(world.plan()) == TASKS


@then("no copy starts while it may be as slow as its siblings")
def step_no_copy_yet(context):
    world = context.jobs
    assert advance(world, LIMIT_MS - TASK_MS - 1) == []


@then("then 1 copy starts as run 2, on an executor of another rack")
def step_copy(context):
    world = context.jobs
    events = []
    log, scheduler_module.log_event = scheduler_module.log_event, events.append
    try:
        (copy,) = advance(world, CHECK_MS + 2 * ROUND_MS)
    finally:
        scheduler_module.log_event = log
    racks = [
        world.scheduler.executors[item.executor].entry.rack
        for item in (copy, context.late)
    ]
    assert copy.run == 2 and copy.task == context.late.task and len(set(racks)) == 2
    context.copy = copy
    (event,) = [item for item in events if isinstance(item, CopyStarted)]
    assert (event.task, event.run, event.executor) == (copy.task, 2, copy.executor)
    assert event.expected_ms == TASK_MS
    assert LIMIT_MS <= event.age_ms < LIMIT_MS + CHECK_MS + 2 * ROUND_MS


@then("its record is stored with both runs, that of the copy last")
def step_stored(context):
    ((_, value),) = context.jobs.scheduler.take_dirty()
    rows = [row for row in decode_progress(value).tasks if row.phase == Phase.PLACED]
    found = [(row.run, row.executor) for row in rows]
    assert found == [(1, context.late.executor), (2, context.copy.executor)], found


@then("both runs of the late task are allocated")
def step_both_allocated(context):
    assert allocated(context.jobs) == {key(context.late), key(context.copy)}


@then("no further copy starts in 5 s")
def step_no_more(context):
    assert advance(context.jobs, 5000) == []


@when("a queue's tasks have taken 100 ms and a speculative task starts")
def step_learned(context):
    run_all_but(context, 0)
    context.jobs.add(Step(1, **SIZE, speculative=True))
    (context.late,) = context.jobs.plan()


@then("1 copy starts within {ms:d} ms")
def step_one_copy(context, ms):
    (context.copy,) = advance(context.jobs, ms)
    assert context.copy.task == context.late.task and context.copy.run > 1


@when("a task as large as an executor waits")
def step_large_waits(context):
    context.jobs.add(Step(5, cores_m=4000))
    context.jobs.plan()


@when("a task that no executor could run waits")
def step_impossible_waits(context):
    context.jobs.add(Step(1, cores_m=5000))


@when("a hopeless task as large as an executor waits")
def step_hopeless_waits(context):
    world = context.jobs
    spec = JobSpec("e" * 16, "q", "s", "", WALL_MS - 600_000, (Step(5, cores_m=4000),))
    world.scheduler.cordon(set(world.names))
    world.scheduler.add_job(spec)
    world.plan()
    # One executor is left to the copy, and the hopeless tasks fill the others.
    free = [name for name in world.names if name != context.late.executor][0]
    world.scheduler.cordon({free})
    world.plan()
    executor = world.scheduler.executors[free]
    executor.cordoned = False


@when("a large task with label b waits")
def step_label_waits(context):
    context.jobs.add(Step(3, cores_m=4000, label="b"))
    context.jobs.plan()


@then("the copy runs on an executor with label a")
def step_copy_label(context):
    executor = context.jobs.scheduler.executors[context.copy.executor]
    assert executor.entry.labels == ("a",)


@then("{count:d} copies start in 1 s")
def step_copies(context, count):
    starts = [item for item in advance(context.jobs, 1000) if item.run > 1]
    assert len(starts) == count, starts


@when("the job has become hopeless")
def step_hopeless(context):
    context.jobs.now_ms += 60_000


@when("all tasks but two of a speculative step with at most 4 per executor are done")
def step_limited(context):
    world = context.jobs
    world.add(Step(TASKS, **SIZE, speculative=True, per_executor=4))
    world.now_ms = ROUND_MS
    starts = world.plan()
    world.now_ms += TASK_MS
    first = [item for item in starts if item.executor == world.names[0]]
    second = [item for item in starts if item.executor == world.names[1]]
    for start in (first[0], second[0]):
        world.end(start, Outcome.DONE)
    context.most = 0
    for _ in range(100):
        advance(world, ROUND_MS)
        context.most = max(
            context.most,
            *(len(item.allocations) for item in world.scheduler.executors.values()),
        )


@then("no executor has more than 4 active runs of the step")
def step_within_limit(context):
    assert context.most == 4, context.most
    assert len(allocated(context.jobs)) == TASKS


@when("the late task of a speculative step has a copy")
def step_has_copy(context):
    run_all_but(context, 1, speculative=True)
    (context.copy,) = advance(context.jobs, 400)
    context.jobs.scheduler.take_stops()
    assert context.copy.executor != context.late.executor


@when("the late task of a speculative step has a copy, and a second step waits")
def step_has_copy_and_step(context):
    run_all_but(context, 1, Step(2, **SIZE, after=(0,)), speculative=True)
    (context.copy,) = advance(context.jobs, 400)


@then("only its copied run is stopped and the second step starts")
def step_second_starts(context):
    world, copy = context.jobs, context.copy
    (stop,) = world.scheduler.take_stops()
    assert (stop.executor, stop.task, stop.run) == key(copy)
    assert len(world.plan()) == 2


def fail_twice_and_copy(context, *steps):
    run_all_but(context, 1, *steps, speculative=True)
    world = context.jobs
    for _ in range(2):
        world.end(context.late, Outcome.FAILED)
        (context.late,) = world.plan()
    (context.copy,) = advance(world, 400)


@when("the late task of a speculative step has failed twice and has a copy")
def step_failed_twice(context):
    fail_twice_and_copy(context)


@when("the late task has failed twice and has a copy, and a plain task of its job runs")
def step_failed_beside(context):
    fail_twice_and_copy(context, Step(1, **SIZE))


@when("its {which} run ends {outcome}")
def step_run_ends(context, which, outcome):
    context.jobs.end(run_of(context, which), Outcome(outcome))


@when("its {which} run is missing")
def step_run_missing(context, which):
    context.jobs.end(run_of(context, which), Outcome.LAPSED)


@when("its {which} run is withdrawn")
def step_run_withdrawn(context, which):
    world, start = context.jobs, run_of(context, which)
    world.running.remove(start)
    world.scheduler.withdraw(start.executor, start.task, start.run)


@when("its {which} run is lost with its executor")
def step_run_lost(context, which):
    world, start = context.jobs, run_of(context, which)
    world.running.remove(start)
    world.scheduler.unlist_executor(start.executor)
    world.scheduler.record_begun(start.task, start.run)
    world.scheduler.mark_runs_lapsed(start.executor, world.now_ms)


@when("its {which} run is reported as done after all")
def step_done_after_all(context, which):
    assert context.jobs.end(run_of(context, which), Outcome.DONE)


@then("the late task is done and only its {which} run is stopped")
def step_done_and_stopped(context, which):
    world, other = context.jobs, run_of(context, which)
    assert late_task(context).phase is Phase.DONE
    stops = world.scheduler.take_stops()
    assert [(item.executor, item.task, item.run) for item in stops] == [key(other)]
    assert allocated(world) == {key(other)}
    assert advance(world, 1000) == []


@then("the job is {state}, nothing is allocated and it can be forgotten")
def step_job_over(context, state):
    world = context.jobs
    assert world.state() is JobState[state.upper()], world.state()
    assert allocated(world) == set()
    assert advance(world, 1000) == []
    assert world.scheduler.forget_job(world.job)
    assert not world.scheduler._speculation._steps


@then("the job is running")
def step_job_running(context):
    assert context.jobs.state() is JobState.RUNNING


@then("the late task has {count:d} failures and only its {which} run goes on")
def step_other_goes_on(context, count, which):
    world, other = context.jobs, run_of(context, which)
    task = late_task(context)
    assert (task.failures, task.phase) == (count, Phase.PLACED), task
    assert (task.run, task.executor, task.others) == (other.run, other.executor, ())
    assert allocated(world) == {key(other)}
    assert world.scheduler.take_stops() == []
    assert not world.scheduler.forget_job(world.job)


@then("the late task starts again as run {run:d}")
def step_starts_again(context, run):
    starts = context.jobs.plan()
    found = [(item.task, item.run) for item in starts]
    assert found == [(context.late.task, run)], found


@then("both runs of the late task are stopped")
def step_both_stopped(context):
    world = context.jobs
    stops = world.scheduler.take_stops()
    found = {(item.executor, item.task, item.run) for item in stops}
    assert found == {key(context.late), key(context.copy)}
    assert not world.scheduler.forget_job(world.job)
    world.end_all(Outcome.STOPPED)
    assert allocated(world) == set() and world.scheduler.forget_job(world.job)


@then("the start of the copy is not valid, and once withdrawn nothing is allocated")
def step_start_invalid(context):
    world, copy = context.jobs, context.copy
    assert not world.scheduler.is_valid_start(copy)
    world.scheduler.withdraw(*key(copy))
    assert allocated(world) == set() and late_task(context).phase is Phase.DONE
    assert world.state() is JobState.COMPLETED


@then("reports that its {which} run was done, or failed, change nothing")
def step_again(context, which):
    world, before = context.jobs, attrs.astuple(late_task(context))
    for outcome in (Outcome.DONE, Outcome.FAILED):
        assert not world.end(run_of(context, which), outcome)
    assert attrs.astuple(late_task(context)) == before


@when("the run of a plain task was lost and replaced")
def step_plain_replaced(context):
    run_all_but(context, 1)
    context.execute_steps("when its earlier run is lost with its executor")
    (context.copy,) = context.jobs.plan()
    assert context.copy.run == 2


@then("a report that the lost run is {outcome} changes nothing")
def step_plain_late(context, outcome):
    world, before = context.jobs, attrs.asdict(late_task(context))
    assert [item["run"] for item in before["suspicions"]] == [context.late.run]
    assert not world.end(context.late, Outcome(outcome))
    # The executor did not crash, as it answers.
    expected = before | {"suspicions": ()}
    assert attrs.asdict(late_task(context)) == expected
    assert allocated(world) == {key(context.copy)}


@when("the stop is lost")
def step_stops_lost(context):
    assert context.jobs.scheduler.take_stops()
    advance(context.jobs, RESTOP_MS + 2 * CHECK_MS)


@then("its earlier run is stopped again")
def step_stopped_again(context):
    stops = context.jobs.scheduler.take_stops()
    found = [(item.executor, item.task, item.run) for item in stops]
    assert found == [key(context.late)], found


@when("a queue's tasks have taken 100 ms and {steps:d} speculative steps take longer")
def step_wrong_time(context, steps):
    world = context.jobs
    run_all_but(context, 0)
    context.tasks = steps * TASKS
    for _ in range(steps):
        world.add(Step(TASKS, **SIZE, speculative=True))
    assert len(world.plan()) == context.tasks


@then("at most {most:d} copies start in one plan, and all tasks have one in the end")
def step_few_at_once(context, most):
    counts = [len(advance(context.jobs, ROUND_MS)) for _ in range(150)]
    assert max(counts) == most and sum(counts) == context.tasks, counts


@when("plain and speculative steps have run")
def step_both_kinds(context):
    world, context.sizes = context.jobs, []
    for speculative in (False, True):
        world.add(Step(TASKS, **SIZE, speculative=speculative))
        world.plan()
        context.sizes.append(len(world.scheduler._speculation._steps))
        world.end_all()
        advance(world, 200)
    context.sizes.append(len(world.scheduler._speculation._steps))


@then(
    "the check looks at the speculative step while it has runs, at most every {ms:d} ms"
)
def step_check_cost(context, ms):
    assert context.sizes == [0, 1, 0], context.sizes
    world = context.jobs
    world.add(Step(1, **SIZE, speculative=True))
    world.plan()
    checks = set()
    for _ in range(50):
        advance(world, ROUND_MS)
        checks.add(world.scheduler._speculation._checked_ms)
    gaps = [second - first for first, second in pairwise(sorted(checks))]
    assert len(checks) > 5 and all(gap >= ms for gap in gaps), checks


OUTCOMES = (Outcome.DONE, Outcome.FAILED, Outcome.LAPSED, Outcome.STOPPED)
LATE_OUTCOMES = (Outcome.DONE, Outcome.FAILED, Outcome.LAPSED)
PICK = st.integers(0, 40)
OPERATIONS = st.one_of(
    st.tuples(st.just("plan"), st.sampled_from((20, 100, 400, 2000))),
    st.tuples(st.just("plan"), st.sampled_from((20, 100, 400, 2000))),
    st.tuples(st.just("end"), PICK, st.sampled_from(OUTCOMES)),
    st.tuples(st.just("end"), PICK, st.just(Outcome.DONE)),
    st.tuples(st.just("withdraw"), PICK),
    st.tuples(st.just("lapse"), st.integers(0, 2)),
    st.tuples(st.just("late_end"), PICK, st.sampled_from(LATE_OUTCOMES)),
    st.tuples(st.just("hand_over"), st.booleans(), st.booleans()),
    st.tuples(st.just("cancel")),
)
EXECUTORS = ("e1", "e2", "e3")
SPECULATIVE = "5" * 16
PLAIN = "6" * 16
REPEATED = "7" * 16


class HistoryModel:
    """A scheduler and what it must believe: its active runs, and the stored records.

    ``active`` are the runs that the scheduler placed or restored and knows no end of;
    ``strays`` other runs that go on, ``lost`` runs given up, as (executor, task, run).
    """

    def __init__(self):
        self.now_ms = 1000.0
        step = Step(3, **SIZE, speculative=True)
        self.specs = [
            JobSpec(SPECULATIVE, "q", "s", "", WALL_MS, (step, step), max_attempts=3),
            JobSpec(PLAIN, "q", "s", "", WALL_MS, (Step(2, **SIZE),), max_attempts=3),
            JobSpec(
                REPEATED, "q", "s", "", WALL_MS, (step,), repeat=2, interval_ms=500
            ),
        ]
        self.stored = {}
        self.active, self.strays, self.lost = set(), set(), set()
        self.done, self.numbers = set(), {}
        self.copies = 0
        self.scheduler = self.new_scheduler(True)

    def new_scheduler(self, executors_first):
        scheduler = Scheduler(CONFIG)
        if executors_first:
            self.register(scheduler)
        for spec in self.specs:
            value = self.stored.get(f"progress/{spec.job}")
            record = decode_progress(value) if value is not None else None
            scheduler.add_job(spec, record, self.now_ms)
        if not executors_first:
            self.register(scheduler)
        return scheduler

    def register(self, scheduler):
        for number, name in enumerate(EXECUTORS):
            scheduler.put_executor(executor_entry(name, 6, f"r{number % 2}"))

    def store(self):
        self.stored.update(self.scheduler.take_dirty())
        for name, value in self.stored.items():
            job = name.partition("/")[2]
            for row in decode_progress(value).tasks:
                if row.phase == Phase.DONE:
                    self.done.add(f"{job}.{row.occurrence}.{row.step}.{row.index}")

    def pick(self, runs, number):
        return sorted(runs)[number % len(runs)] if runs else None

    def plan(self, ms):
        self.now_ms += ms
        wall_ms = WALL_MS + self.now_ms
        self.scheduler.next_due_ms(wall_ms)
        starts = self.scheduler.plan(self.now_ms, wall_ms)
        for start in starts:
            assert start.task not in self.done, f"{start.task} starts after its end"
            assert start.run > self.numbers.get(start.task, 0), start
            self.numbers[start.task] = start.run
            runs = [run for run in self.active if run[1] == start.task]
            assert len(runs) < (1 if start.task.startswith(PLAIN) else 2), runs
            assert start.executor not in {run[0] for run in runs}
            self.copies += bool(runs)
            self.active.add(key(start))
        for stop in self.scheduler.take_stops():
            if (stop.executor, stop.task, stop.run) in self.active:
                job = self.scheduler.state_of(stop.task.partition(".")[0])
                assert stop.task in self.done or job.final, stop
        self.store()

    def end(self, number, outcome):
        run = self.pick(self.active | self.strays, number)
        if run is not None:
            executor, task, count = run
            counts = self.scheduler.end(executor, task, count, outcome, "", self.now_ms)
            if counts and outcome is Outcome.DONE:
                self.done.add(task)
            self.active.discard(run)
            self.strays.discard(run)

    def withdraw(self, number):
        run = self.pick(self.active, number)
        if run is not None:
            self.scheduler.withdraw(*run)
            self.active.discard(run)

    def lapse(self, number):
        name = EXECUTORS[number]
        self.scheduler.mark_runs_lapsed(name, self.now_ms)
        gone = {run for run in self.active | self.strays if run[0] == name}
        self.active -= gone
        self.strays -= gone
        self.lost |= gone

    def late_end(self, number, outcome):
        run = self.pick(self.lost, number)
        if run is not None:
            executor, task, count = run
            counts = self.scheduler.end(executor, task, count, outcome, "", self.now_ms)
            if counts and outcome is Outcome.DONE:
                assert task not in self.done
                self.done.add(task)
            self.lost.discard(run)

    def hand_over(self, stored, executors_first):
        """Let a new scheduler begin, maybe before the last ends are stored."""
        if stored:
            self.store()
        else:
            self.done.clear()
            self.store_done_only()
        before = self.active | self.strays
        self.scheduler = self.new_scheduler(executors_first)
        self.active = {
            (executor, task.name, run)
            for job in self.scheduler.jobs.values()
            for task in job.placed()
            for run, executor in task.active_runs()
        }
        self.strays = before - self.active
        self.lost -= self.active

    def store_done_only(self):
        scheduler, self.scheduler = self.scheduler, Scheduler(CONFIG)
        self.store()
        self.scheduler = scheduler

    def cancel(self):
        self.scheduler.cancel(REPEATED)

    def check(self):
        found = {
            (name, task, item.run)
            for name, executor in self.scheduler.executors.items()
            for task, item in executor.allocations.items()
        }
        assert found == self.active, (found, self.active)
        for executor in self.scheduler.executors.values():
            held = sum(item.cores_m for item in executor.allocations.values())
            assert held == executor.cores_m <= executor.entry.cores_m
        for job in self.scheduler.jobs.values():
            for task in job._tasks():
                runs = {run for run in self.active if run[1] == task.name}
                known = {
                    (executor, task.name, run) for run, executor in task.active_runs()
                }
                assert known == runs, (known, runs)
                assert not (task.phase is Phase.WAITING and runs)

    def finish(self):
        """Let all jobs end; fail if one does not."""
        for _ in range(40):
            self.plan(600)
            for run in sorted(self.active):
                self.end(sorted(self.active | self.strays).index(run), Outcome.DONE)
                self.check()
        for name in (SPECULATIVE, PLAIN, REPEATED):
            assert self.scheduler.state_of(name).final
            assert self.scheduler.forget_job(name)


@then("in generated histories with copies, allocations are the runs believed active")
def step_histories(context):
    seen = []

    @settings(max_examples=400, derandomize=True, deadline=None, database=None)
    @generated(st.lists(OPERATIONS, max_size=40))
    def check(operations):
        model = HistoryModel()
        model.plan(0)
        for name, *args in operations:
            getattr(model, name)(*args)
            model.check()
        model.finish()
        seen.append(model.copies)

    check()
    assert sum(map(bool, seen)) > len(seen) / 10, "hardly any history has copies"


@given(
    "{executors:d} executors of which {slow:d} are slow, and {rate:d} jobs a second of "
    "which half are speculative"
)
def step_slow_pool(context, executors, slow, rate):
    context.slow_pool = executors, slow, rate


@when("their load is simulated for {seconds:d} s with copies and without")
def step_simulate(context, seconds):
    context.pools = [
        StragglerPool(*context.slow_pool, speculative=copies).play(seconds)
        for copies in (True, False)
    ]


@then("{percent:d}% more of the speculative jobs are in time with copies")
def step_more_in_time(context, percent):
    found = [pool.in_time("speculative") for pool in context.pools]
    assert found[0] >= found[1] + percent / 100, found


@then("the tail of their times is {factor:g} times shorter")
def step_tail(context, factor):
    found = [pool.percentile("speculative", 0.95) for pool in context.pools]
    assert found[0] * factor <= found[1], found


@then("copies take at most {percent:d}% more core time in total")
def step_core_time(context, percent):
    found = [pool.core_s for pool in context.pools]
    assert found[0] <= found[1] * (1 + percent / 100), found


@then("no plain task ever has 2 runs")
def step_plain_runs(context):
    assert [pool.most_runs["plain"] for pool in context.pools] == [1, 1]
    assert context.pools[0].most_runs["speculative"] == 2
