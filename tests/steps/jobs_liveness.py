"""Steps for checks that an executor answers before a run is started on it."""

from behave import given, then, when
from jobs_agent_reports import AgentFixture, OTHER_JOB, SimulatedClient, TASK
from jobs_incarnations import DriverWorld, JOB, NAME, pass_without
from jobs_node import step_fields

from cardamomgrade.jobs.records import encode, ProgressRecord
from cardamomgrade.jobs.reports import LeaseReport, OrderAnswer, OrderResult
from cardamomgrade.jobs.scheduler import Start
from cardamomgrade.jobs.spec import Step
from cardamomgrade.jobs.store import Entry

WARM_UP_JOB = "00000000000000b1"
OTHER_TASK = f"{OTHER_JOB}.0.0.0"
LONG_TASK_MS = 2000
FULL_CPU = 4000  # of an executor of the emulated platform
NOTICE_S = 0.5


@given("each of them has run a task")
def step_warm_up(context):
    world = context.nodes
    count = len(world.platform.instances)
    steps = [step_fields(count, cpu=FULL_CPU)]
    assert world.submit(steps, job=WARM_UP_JOB).status == 200
    world.wait_state("completed", job=WARM_UP_JOB)
    used = {name for kind, name, _, _ in world.platform.trace if kind == "start"}
    assert len(used) == count, used
    world.rig.run_for(NOTICE_S)


@when(
    "all lose power for {seconds:d} s, one of them while it runs a task, and have "
    "other ids then"
)
def step_lose_power(context, seconds):
    world, platform = context.nodes, context.nodes.platform
    world.task_ms = LONG_TASK_MS
    platform.trace.clear()
    assert world.submit([step_fields(1)]).status == 200
    world.rig.run_until(lambda: platform.trace)
    world.rig.run_for(NOTICE_S)
    names = list(platform.instances)
    for name in names:
        platform.lose_power(name)
    world.rig.run_for(seconds)
    for name in names:
        platform.restore_power(name, f"{name}-next")


@then("that job is not failed, and {count:d} executor was lost under its task")
def step_not_failed(context, count):
    world = context.nodes
    started = len(world.platform.trace)
    while len(world.platform.trace) == started and world.state() != "failed":
        world.rig.run_for(0.02)
    assert world.state() != "failed"
    job = world.nodes[0]._driver._scheduler.jobs[world.job]
    (task,) = job.placed()
    assert task.losses == count, task


@then("its tasks are done in the end")
def step_done(context):
    context.nodes.wait_state("completed")


@when("{count:d} of them are idle for {seconds:d} s and lose power")
def step_idle_down(context, count, seconds):
    world = context.nodes
    world.rig.run_for(seconds)
    for name in list(world.platform.instances)[:count]:
        world.platform.lose_power(name)


@then("a job that comes then is completed within {seconds:d} s")
def step_soon(context, seconds):
    world = context.nodes
    start = world.rig.loop.now()
    assert world.submit([step_fields(1)]).status == 200
    world.wait_state("completed")
    assert world.rig.loop.now() - start < seconds


@given("idle executors on its rack and on another one")
def step_idle(context):
    world = context.lives
    first = world.client
    world.register(0, 11, "i-mate", labels=["a", "r1"])
    context.mate = world.client
    world.register(0, 12, "i-other", labels=["a", "r2"])
    context.other = world.client
    world.clients.remove(first)
    world.clients.append(first)  # the one that the steps answer
    assert not context.mate.asks and not context.other.asks


SILENCES = {
    "does not answer": OrderResult.NO_ANSWER,
    "is answered for by another id": OrderResult.WRONG_LIFE,
}


@when("the executor {does} for {seconds:d} s")
def step_does(context, does, seconds):
    pass_without(context, SILENCES[does], seconds)


@then("the idle executor on its rack was asked for a report, and the other was not")
def step_mate_asked(context):
    assert len(context.mate.asks) >= 1 and not context.other.asks


class CheckedClient(SimulatedClient):
    """Keeps the requests for reports, which the test answers."""

    def __init__(self):
        super().__init__()
        self.asks = []

    def ask(self, on_done):
        self.asks.append(on_done)

    def start(self, order, deadline_ms, on_done):
        if self.start_result is not None:
            super().start(order, deadline_ms, on_done)

    def answer(self, answer):
        self.asks.pop(0)(answer)


def started(context, task=TASK):
    return ("start", task, 2) in context.agent.client.orders


@given("an agent that is told to start run 2 of a task")
def step_told(context):
    world = context.agent = AgentFixture(inherits=False)
    world.executor.release(TASK, 1)
    world.executor.allocate(TASK, 2, Step(1, cores_m=1000))
    world.client = CheckedClient()
    world.agent = world.driver.agent = world.make_agent(inherits=False)
    world.agent.start(Start("e1", TASK, 2, "text", ""))


@given("an agent that was heard of {seconds:d} s ago")
def step_heard(context, seconds):
    world = context.agent = AgentFixture(inherits=False)
    world.client = CheckedClient()
    world.agent = world.driver.agent = world.make_agent(inherits=False)
    world.agent.renew_if_needed()
    world.report()
    world.timers.advance(seconds)


@when("it is told to start run 1 of a task")
def step_told_first(context):
    context.agent.agent.start(Start("e1", TASK, 1, "text", ""))


@then("the executor was asked {count:d} times for a report before that")
def step_asked(context, count):
    world = context.agent
    assert len(world.client.asks) == count
    assert world.client.orders == ([] if count else [("start", TASK, 1)])
    if count:
        step_answers(context)
    assert world.client.orders == [("start", TASK, 1)]


@given("it is told to start run 2 of another task")
def step_told_other(context):
    world = context.agent
    world.executor.allocate(OTHER_TASK, 2, Step(1, cores_m=1000))
    world.agent.start(Start("e1", OTHER_TASK, 2, "text", ""))


@when("the executor answers the check")
def step_answers(context):
    context.agent.client.answer(LeaseReport(1000, (), ()))


@when("the executor answers the check, but not the order to start run 2")
def step_order_unanswered(context):
    context.agent.client.start_result = OrderResult.NO_ANSWER
    step_answers(context)
    context.agent.client.start_result = None


@when("the executor does not answer a check")
def step_no_answer(context):
    context.agent.client.answer(OrderAnswer(OrderResult.NO_ANSWER))


@when("the executor answers as another incarnation a check")
def step_other_incarnation(context):
    context.agent.client.answer(OrderAnswer(OrderResult.WRONG_LIFE))


@when(
    "the machine is suspended for {seconds:d} s before the answer to the check is read"
)
def step_suspended(context, seconds):
    context.agent.timers.suspended_s += seconds
    step_answers(context)


@then("the executor was not told to start run 2")
def step_not_started(context):
    assert not started(context)


@then("the executor was told to start run 2, which counts as begun")
def step_started(context):
    assert started(context)
    assert context.agent.driver.begun == [(TASK, 2)]


@then("the executor was told to start run 2 of both tasks")
def step_both_started(context):
    assert started(context) and started(context, OTHER_TASK)


@then("the executor was asked once for a report")
def step_asked_once(context):
    assert len(context.agent.client.asks) == 1


@then("run 2 was withdrawn")
def step_withdrawn(context):
    assert context.agent.driver.said == [("withdrawn", TASK, 2)]
    assert context.agent.executor.unreachable


@then("the executor is over, and run 2 was never there")
def step_never_there(context):
    assert context.agent.driver.lost == set()


@then("run 2 counts as begun")
def step_begun(context):
    assert context.agent.driver.checked == {(TASK, 2)}


@then("run 2 does not count as begun")
def step_not_begun(context):
    assert context.agent.driver.checked == set()


ROWS = {
    "which is not known to begin": (0, 0, 0, 2, 1, NAME, 0, "", 1),
    "which has begun": (0, 0, 0, 2, 1, NAME, 0, "", 1, 2),
}


@given("a scheduler that inherits run 2 of a task, {begun}")
def step_inherits(context, begun):
    world = context.lives = DriverWorld()
    world.add_job()
    record = ProgressRecord(1, (ROWS[begun],))
    world.view.fold(Entry(1, f"progress/{JOB}", encode(record)))
    world.start()
    world.register(1000, 1)
    assert world.is_placed(2)


@when("born {born:d} answers that it has no run")
def step_has_none(context, born):
    world = context.lives
    for _ in range(4):
        if world.client.waiting is not None:
            world.report(born)
        while world.client.stops:
            world.client.stops.pop()[1](OrderAnswer(OrderResult.TAKEN, 1000, born))
        world.loop.advance(1.0)


@then("run 2 is over, and {count:d} executors were lost under its task")
def step_losses(context, count):
    task = context.lives.task()
    assert task.run != 2 or task.phase != 1, task
    assert task.losses == count, task
