"""Steps for the reports that an executor's agent gets, with a simulated executor."""

import attrs
from behave import given, then, when
from jobs_scheduler import executor_entry
from jobs_vms import SimulatedTimers

from cardamomgrade.jobs.agent import ExecutorAgent
from cardamomgrade.jobs.executors import Executor
from cardamomgrade.jobs.former import Incarnation
from cardamomgrade.jobs.lease import LEASE_MS
from cardamomgrade.jobs.reports import (
    EndedTask,
    LeaseReport,
    OrderAnswer,
    OrderResult,
    Outcome,
    RunningTask,
)
from cardamomgrade.jobs.scheduler import Start
from cardamomgrade.jobs.silence import SilentExecutors
from cardamomgrade.jobs.spec import Step

MAX_LEASE_MS = 10_000
TASK = "00000000000000a1.0.0.0"
OTHER_JOB = "00000000000000d1"


@attrs.define(eq=False)
class SimulatedClient:
    """Records calls; ``renewals`` has (stored_end, on_done) of those not answered.

    Starts are answered with ``start_result``, stops as taken.
    """

    renewals: list = attrs.field(factory=list)
    orders: list = attrs.field(factory=list)
    start_result: OrderResult = OrderResult.TAKEN

    def renew(self, deadline_ms, stored_end, wait_ms, on_done, is_first=False):
        self.renewals.append((stored_end, on_done))

    def start(self, order, deadline_ms, on_done):
        self.orders.append(("start", order.task, order.run))
        on_done(OrderAnswer(self.start_result, 1000))

    def stop(self, order, on_done):
        self.orders.append(("stop", order.task, order.run))
        on_done(OrderAnswer(OrderResult.TAKEN, 1000))

    def ask(self, on_done):
        on_done(LeaseReport(1000, (), ()))

    def close(self):
        pass


@attrs.define(eq=False)
class RecordingDriver:
    """Releases runs that are over, and records what the agent said about them."""

    executor: object
    said: list = attrs.field(factory=list)
    begun: list = attrs.field(factory=list)
    checked: set = attrs.field(factory=set)
    agent: object = None
    lost: object = None

    def may_grant(self):
        return True

    def on_executor_gone(self, name, cause):
        self.lost = self.agent.begun_runs()

    def on_lease_lapsed(self, name):
        self.lost = self.agent.begun_runs()

    def on_runs_ended(self, name, ends):
        for item in ends:
            self._over(item.outcome.value, item.task, item.run)

    def on_run_withdrawn(self, name, task, run):
        self._over("withdrawn", task, run)

    def on_run_missing(self, name, task, run):
        self._over("missing", task, run)

    def _over(self, what, task, run):
        if self.executor.release(task, run):
            self.said.append((what, task, run))

    def on_running(self, name, running):
        return False

    def on_run_begun(self, task, run):
        self.begun.append((task, run))

    def on_start_checked(self, task, run):
        self.checked.add((task, run))

    def on_start_absent(self, task, run):
        self.checked.remove((task, run))

    def on_reachable(self, name):
        pass

    on_unreachable = on_reachable


class AgentFixture:
    """An agent, its simulated executor, and the driver that it reports to."""

    def __init__(self, inherits):
        self.timers = SimulatedTimers()
        self.client = SimulatedClient()
        self.executor = Executor(executor_entry("e1", 4))
        self.executor.allocate(TASK, 1, Step(1, cores_m=1000))
        self.driver = RecordingDriver(self.executor)
        self.agent = self.driver.agent = self.make_agent(inherits)

    def make_agent(self, inherits):
        return ExecutorAgent(
            self.timers,
            self.client,
            self.executor,
            self.driver,
            SilentExecutors(self.timers, None, {}),
            inherits,
            LEASE_MS,
            MAX_LEASE_MS,
            Incarnation(),
        )

    def report(self, running=(), ended=(), **fields):
        """Answer the renewal in flight."""
        self.timers.advance(0.05)
        (_, on_done) = self.client.renewals.pop()
        assert not self.client.renewals
        on_done(LeaseReport(1000, tuple(running), tuple(ended), **fields))


@given("an agent that inherits run 1 of a task")
def step_inheriting(context):
    context.agent = AgentFixture(inherits=True)
    context.agent.agent.renew_if_needed()


@given("an agent that has started run 1 of a task")
def step_started(context):
    world = context.agent = AgentFixture(inherits=False)
    world.agent.start(Start("e1", TASK, 1, "text", ""))
    world.report()
    assert world.driver.said == []


START_RESULTS = {
    "got no answer": OrderResult.NO_ANSWER,
    "came too late": OrderResult.LATE,
    "reached another incarnation": OrderResult.WRONG_LIFE,
}


@given("an agent whose order to start run 1 of a task {result}")
def step_unanswered(context, result):
    world = context.agent = AgentFixture(inherits=False)
    world.client.start_result = START_RESULTS[result]
    world.agent.start(Start("e1", TASK, 1, "text", ""))


@when("the executor shrinks below what runs on it")
def step_shrunk(context):
    executor = context.agent.executor
    executor.entry = attrs.evolve(executor.entry, cores_m=500)


@then("the executor was told only once to start run 1")
def step_started_once(context):
    orders = context.agent.client.orders
    assert orders.count(("start", TASK, 1)) == 1, orders


@given("an agent that has not been told to start run 1 of a task")
def step_not_started(context):
    context.agent = AgentFixture(inherits=False)


@when("the executor reports ends 1 to 500 of other runs, and that there are more")
def step_first_page(context):
    ends = [
        EndedTask(number, f"{OTHER_JOB}.0.0.{number}", 1, Outcome.DONE, "")
        for number in range(1, 501)
    ]
    context.agent.report(ended=ends, more_ends=True)


@then("the agent has not given run 1 up")
def step_kept(context):
    assert context.agent.driver.said == [], context.agent.driver.said


@when("ends up to 500 are stored")
def step_stored(context):
    context.agent.agent.acknowledge_ends(500)


@then("the next renewal is sent at once and acknowledges end 500")
def step_next_renewal(context):
    assert [stored for stored, _ in context.agent.client.renewals] == [500]


@when("the executor reports that end 501 is that of run 1, which is done")
def step_last_end(context):
    context.agent.report(ended=[EndedTask(501, TASK, 1, Outcome.DONE, "")])


@when("the executor reports neither runs nor ends")
def step_empty_report(context):
    context.agent.report()


@then("run 1 ended as done")
def step_done(context):
    assert context.agent.driver.said == [("done", TASK, 1)], context.agent.driver.said


@then("the agent gave run 1 up as {what}")
def step_over(context, what):
    assert context.agent.driver.said == [(what, TASK, 1)], context.agent.driver.said


@when("the executor reports that run 1 is running")
def step_run_reported(context):
    context.agent.report(running=[RunningTask(TASK, 1, "", 50, 0)])
    assert context.agent.driver.said == []


@when("another agent replaces it")
def step_replaced(context):
    world = context.agent
    old = world.agent
    old.close()
    world.client.orders.clear()
    world.client.renewals.clear()
    world.agent = world.make_agent(inherits=True)
    world.agent.replace(old)


@when("the executor reports neither runs nor ends for {seconds:d} s")
def step_empty_reports(context, seconds):
    world = context.agent
    end = world.timers.now() + seconds
    while world.timers.now() < end and world.client.renewals:
        world.report()


@when("run 1 is to be stopped")
def step_to_stop(context):
    context.agent.agent.stop(TASK, 1)


@then("the executor is told again to stop run 1")
def step_told_again(context):
    assert context.agent.client.orders == [("stop", TASK, 1)]


@when("another incarnation answers at the address of the executor")
def step_other_incarnation(context):
    (_, on_done) = context.agent.client.renewals.pop()
    on_done(OrderAnswer(OrderResult.WRONG_LIFE))


@when("the executor is silent until its lease has lapsed")
def step_silent(context):
    world = context.agent
    for _ in range(2):
        (_, on_done) = world.client.renewals.pop()
        on_done(OrderAnswer(OrderResult.NO_ANSWER))
    for _ in range(int(2 * LEASE_MS / 100)):
        world.timers.advance(0.1)


@then("run 1 was lost with the executor")
def step_run_lost(context):
    assert context.agent.driver.lost == {(TASK, 1)}


@then("run 1 was not lost with the executor")
def step_run_not_lost(context):
    assert context.agent.driver.lost == set()


@when("the agent asks for a report")
def step_asks(context):
    context.agent.agent.renew_if_needed()
