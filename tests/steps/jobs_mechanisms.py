"""Steps for mechanisms of scheduling that are switched off."""

from behave import given, then, when
from click.testing import CliRunner
from jobs_admission import job_call, NOW_MS, SERVICE
from jobs_scheduler import CONFIG, SchedulerFixture

from cardamomgrade.jobs.admission import never_refused, retry_after_s
from cardamomgrade.jobs.durations import Durations
from cardamomgrade.jobs.mechanisms import Switches
from cardamomgrade.jobs.queues import Queue
from cardamomgrade.jobs.records import JobState, LoadRecord
from cardamomgrade.jobs.scheduler import Scheduler
from cardamomgrade.jobs.spec import Step
from cardamomgrade.jobsd import main
from turns import Estate, turn

BACKGROUND_RATE = 0.5


@when("cardamom-jobs is started with {options}")
def step_started(context, options):
    context.result = CliRunner().invoke(main, options.split())


@then("it exits with {status:d} and names {names}")
def step_exits(context, status, names):
    assert context.result.exit_code == status, context.result
    for name in names.replace(" and ", ", ").split(", "):
        assert name in context.result.output, context.result.output


@given("a scheduler without {mechanism} and with {executors:d} executors")
def step_scheduler(context, mechanism, executors):
    context.jobs = SchedulerFixture(executors, 8)
    old = context.jobs.scheduler
    context.jobs.scheduler = Scheduler(CONFIG, Switches.parse((mechanism,)))
    for executor in old.executors.values():
        context.jobs.scheduler.put_executor(executor.entry)


@when("{jobs:d} jobs of {tasks:d} tasks are submitted and their tasks end")
def step_submitted(context, jobs, tasks):
    world = context.jobs
    for _ in range(jobs):
        world.add(Step(tasks, cores_m=1000))
    for _ in range(jobs * tasks):
        world.plan()
        world.now_ms += 1000
        world.end_all()


@then("all jobs are completed")
def step_completed(context):
    states = {job.state for job in context.jobs.scheduler.jobs.values()}
    assert states == {JobState.COMPLETED}, states


@given("an estate of {vms:d} VMs with queues a and b without {mechanism}")
def step_estate(context, vms, mechanism):
    context.vms = vms
    context.switches = Switches.parse((mechanism,))


@when(
    "queue a rises to {rate:d} jobs a second from second {begin:d} to {end:d}, and "
    "{seconds:d} s are simulated"
)
def step_rises(context, rate, begin, end, seconds):
    rates = {"a": turn(begin, end, rate), "b": lambda now_s: BACKGROUND_RATE}
    context.estate = Estate(context.vms, rates, switches=context.switches)
    context.estate.run(seconds)
    context.turn = begin, end


@then("at least {percent:d}% of its jobs are in time")
def step_in_time(context, percent):
    found = context.estate.in_time("a", *context.turn)
    assert found * 100 >= percent, found


@then("a job that waits {seconds:d} s is refused with admission and accepted without")
def step_admission(context, seconds):
    queue = Queue("q", "host", "/", SERVICE, stretch=1.6, target_ms=600)
    load = LoadRecord(NOW_MS, ((SERVICE, seconds * 1000.0),))
    rest = job_call(), queue, Durations(), load, None, NOW_MS
    assert retry_after_s(*rest) > 0
    assert never_refused(*rest) == 0
