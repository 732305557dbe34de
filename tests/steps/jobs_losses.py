"""Steps for runs that are lost with their executor."""

from behave import given, then, when

from cardamomgrade.jobs.losses import CRASHES_MAX, Loss
from cardamomgrade.jobs.progress import JobProgress
from cardamomgrade.jobs.records import decode_progress, encode, JobState
from cardamomgrade.jobs.reports import Outcome
from cardamomgrade.jobs.spec import JobSpec, Step
from crashes import CrashWorld, LAPSE_MS

STARTS_AFTER_CRASHES = 3  # a task must not start so often again
CRASHES_ALLOWED = 3  # after so many executors have crashed under it
STEPS = {
    "whose runs may have copies": {"speculative": True},
    "of a lasting step": {"lasting": True},
    "of a gang": {"gang": True},
    "alone": {"tasks": 1},
    "alone in a lasting step": {"tasks": 1, "lasting": True},
}


@given("{count:d} executors that crash under some tasks and are back after {ms:d} ms")
def step_world(context, count, ms):
    context.world = CrashWorld(count, ms)


@when(
    "{count:d} jobs come each second for {seconds:d} s, "
    "every {nth:d}th with such a task"
)
def step_jobs(context, count, seconds, nth):
    context.world.add_each(1000 / count, seconds * 1000, deadly_nth=nth)


@when("{count:d} jobs come each second for {seconds:d} s, none with such a task")
def step_sound_jobs(context, count, seconds):
    context.world.add_each(1000 / count, seconds * 1000)


@when("a job has such a task {kind}")
def step_kind(context, kind):
    step = Step(**{"tasks": 4, "cores_m": 900, "memory_mb": 100, **STEPS[kind]})
    context.world.at(500, lambda: context.world.add(step, deadly=True))


@when("these tasks cut their executors off instead")
def step_cut(context):
    context.world.silent = True


@when("an executor crashes every {seconds:d} s, for {total:d} s")
def step_crashes(context, seconds, total):
    for number in range(1, total // seconds + 1):
        context.world.at(number * seconds * 1000, context.world.crash_one)


@when("another scheduler takes over every {seconds:d} s, for {total:d} s")
def step_take_over(context, seconds, total):
    for number in range(1, total // seconds + 1):
        context.world.at(number * seconds * 1000, context.world.take_over)


@given("executors that are back {ms:d} ms after a crash")
def step_back(context, ms):
    context.world.back_ms = ms


@when("the executor of a job's only task is cut off for {cut_ms:d} ms, {count:d} times")
def step_cut_off(context, cut_ms, count):
    world = context.world
    context.task = f"{world.add(Step(1, cores_m=900, lasting=True))}.0.0.0"
    for _ in range(count):
        world.run_for(500)
        world.cut(world.executor_of(context.task), cut_ms)
        world.run_for(cut_ms + 4500)


@when(
    "the executors of a job's only task are lost for good one after the other, "
    "{count:d} times"
)
def step_lost_for_good(context, count):
    world = context.world
    task = f"{world.add(Step(1, cores_m=900, lasting=True))}.0.0.0"
    for _ in range(count):
        world.run_for(500)
        world.cut(world.executor_of(task), 10**9)
        world.run_for(LAPSE_MS + 500)


@when(
    "three executors crash under the only lasting task of a job with a step that is "
    "done"
)
def step_mixed(context):
    steps = (Step(1), Step(1, lasting=True, after=(0,)))
    spec = JobSpec("00000000000000a1", "q", "s", "text", 0, steps, max_attempts=3)
    job = context.progress = JobProgress(spec, 3)
    job.open_due_occurrences(0)
    ((first,),) = [state.tasks for state in job.ready_steps()]
    job.place(first, "e1")
    job.end(first, Outcome.DONE)
    ((task,),) = [state.tasks for state in job.ready_steps()]
    for _ in range(CRASHES_MAX):
        job.place(task, "e1")
        job.end(task, Outcome.LAPSED, loss=Loss(True, alone=True, settled=False))


@then("that job has failed")
def step_job_failed(context):
    assert context.progress.state is JobState.FAILED


@then("no task is suspected of a crash")
def step_unsuspected(context):
    jobs = context.world.scheduler.jobs.values()
    assert not [item for job in jobs for item in job.suspected()]


@when("{seconds:d} s pass")
def step_pass(context, seconds):
    context.world.run_for(seconds * 1000)


@then("none of these tasks starts three times more after three crashes")
def step_bounded(context):
    world = context.world
    limit = CRASHES_ALLOWED + STARTS_AFTER_CRASHES
    starts = {task: world.starts.get(task, 0) for task in world.deadly}
    assert starts and all(0 < count < limit for count in starts.values()), starts


@then("the jobs with such a task have failed")
def step_failed(context):
    world = context.world
    assert world.states(world.deadly_jobs()) == {JobState.FAILED}


@then("the job with such a task runs its {count:d} other tasks, and is not failed")
def step_goes_on(context, count):
    world = context.world
    (name,) = world.deadly_jobs()
    job = world.scheduler.jobs[name]
    assert job.state is JobState.RUNNING, job.state
    running = {task.name for task in job.placed()}
    assert len(running - world.deadly) == count and not running & world.deadly, running


@then("the other jobs are completed")
def step_others(context):
    world = context.world
    others = set(world.specs) - world.deadly_jobs()
    states = [world.scheduler.state_of(job) for job in others]
    completed = states.count(JobState.COMPLETED)
    assert states and completed == len(states), (completed, len(states))


@then("no job has failed")
def step_none_failed(context):
    world = context.world
    assert JobState.FAILED not in world.states(world.specs)


@when("a lasting task is lost, runs again for {seconds:d} s, and is lost again")
def step_settled(context, seconds):
    world = context.world
    context.job = world.add(Step(1, cores_m=900, lasting=True))
    context.lost = []
    for run_s in (1, seconds):
        world.run_for(run_s * 1000)
        (task,) = world.scheduler.jobs[context.job].placed()
        context.lost.append(task.executor)
        world.scheduler.mark_runs_lapsed(task.executor, world.now_ms)


@when("the first of its executors answers after all")
def step_answers(context):
    world, task = context.world, f"{context.job}.0.0.0"
    now_ms = world.now_ms
    world.scheduler.end(context.lost[0], task, 1, Outcome.LAPSED, "", now_ms)


@then("its stored record can be read and counts {count:d} losses")
def step_readable(context, count):
    record = context.world.scheduler.jobs[context.job].record()
    (item,) = decode_progress(encode(record)).tasks
    assert item.losses == count, item


@then("never more than half of the executors that take runs are held")
def step_held(context):
    assert 0 < context.world.most_held <= 0.5, context.world.most_held
