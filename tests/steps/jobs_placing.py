"""Steps for the choice of an executor by its room."""

from behave import given, then, when
from jobs_scheduler import executor_entry

from cardamomgrade.jobs.executors import Executor
from cardamomgrade.jobs.placing import PlacementLimits, room_key_by_load, StepPlacer
from cardamomgrade.jobs.progress import JobProgress
from cardamomgrade.jobs.spec import JobSpec, Step


@given("{count:d} executors of {size:d} cores with runs of {cores} cores")
def step_executors(context, count, size, cores):
    runs = [int(item) for item in cores.replace(" and ", ", ").split(", ")]
    assert len(runs) == count
    context.executors = []
    for number, used in enumerate(runs):
        executor = Executor(executor_entry(str(number), size))
        executor.allocate("running", 1, Step(1, cores_m=used * 1000))
        context.executors.append(executor)


@when("{count:d} tasks of 1 core are placed")
def step_placed(context, count, overloaded=False):
    step = Step(count, cores_m=1000)
    job = JobProgress(JobSpec("00000000000000a1", "q", "s", "", 0, (step,)), 3)
    job.open_due_occurrences(0)
    (state,) = job.ready_steps()
    limits = PlacementLimits(state)
    placer = StepPlacer(
        context.executors,
        step,
        limits,
        limits,
        room_key=room_key_by_load(overloaded),
    )
    context.chosen = []
    for number in range(count):
        executor = placer.choose()
        executor.allocate(f"t{number}", 1, step)
        context.chosen.append(executor.name)


@when("{count:d} tasks of 1 core are placed in an overload")
def step_overloaded(context, count):
    step_placed(context, count, overloaded=True)


@then("they start on executors {names}")
def step_chosen(context, names):
    expected = names.replace(" and ", ", ").split(", ")
    assert context.chosen == expected, context.chosen
