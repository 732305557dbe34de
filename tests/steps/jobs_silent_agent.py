"""Steps for an agent whose executor falls silent, with a simulated clock and store."""

from behave import given, then, when
from jobs_scheduler import executor_entry
from jobs_vms import SimulatedTimers

from cardamomgrade.jobs.agent import ExecutorAgent, RENEW_RETRY_S
from cardamomgrade.jobs.executors import Executor
from cardamomgrade.jobs.former import Incarnation
from cardamomgrade.jobs.records import decode_silent, encode, SilentRecord, TermRecord
from cardamomgrade.jobs.reports import (
    LeaseReport,
    OrderAnswer,
    OrderResult,
    RunningTask,
)
from cardamomgrade.jobs.scheduler import Start
from cardamomgrade.jobs.silence import SilentExecutors
from cardamomgrade.jobs.spec import Step
from cardamomgrade.jobs.store import Appended, Entry
from cardamomgrade.jobs.view import JobView
from cardamomgrade.jobs.writer import Writer
from cardamomgrade.metrics import Metrics
from cardamomgrade.platform.executor import ANSWER_SLACK_S, FIRST_ANSWER_SLACK_S

NAME = "e1"
KEY = "silent/e1"
TASK = "00000000000000a1.0.0.0"
SECOND_TASK = "00000000000000a1.0.0.1"
FAILED_AFTER_S = 0.85
LEASE_MS = 4000
MAX_LEASE_MS = 10_000
START_S = SimulatedTimers().now()
MS = 1000


class SilentFixture:
    """An agent; ``renewals`` and ``starts`` have [deadline, on_done] of its requests.

    Also stands in for the executor's client, the driver and the store. The store takes
    beats at once, all other appends when ``take`` is called.
    """

    def __init__(self):
        self.loop = SimulatedTimers()
        self.renewals = []
        self.waits = []
        self.starts = []
        self.appends = []
        self.withdrawn = []
        self.lapsed = False
        self.takes_appends = True
        self.view = JobView(self.loop.now)
        term = TermRecord(1, "n1", "life-1", 1, False)
        self.writer = Writer(self.loop, self, term, None, Metrics())
        self.executor = Executor(executor_entry(NAME, 4))
        self.executor.allocate(TASK, 1, Step(1))

    def make_agent(self, inherited):
        silences = SilentExecutors(self.loop, self.writer, self.view.silent)
        self.agent = ExecutorAgent(
            self.loop,
            self,
            self.executor,
            self,
            silences,
            inherited,
            LEASE_MS,
            MAX_LEASE_MS,
            Incarnation(),
        )
        self.agent.renew_if_needed()

    def fail_renewal(self):
        self.loop.advance(FAILED_AFTER_S)
        self.renewals[-1][1](OrderAnswer(OrderResult.NO_ANSWER))

    def answer_renewal(self):
        running = (RunningTask(TASK, 1, "", 0, 0),)
        self.renewals[-1][1](LeaseReport(1, running, ()))

    def may_grant(self):
        return self.takes_appends or self.writer.holds_term()

    # The client

    def renew(self, deadline, stored_end, wait_ms, on_done, is_first=False):
        self.renewals.append((deadline, on_done))
        slack_s = FIRST_ANSWER_SLACK_S if is_first else ANSWER_SLACK_S
        self.waits.append((wait_ms, wait_ms / 1000 + slack_s))

    def start(self, order, deadline, on_done):
        self.starts.append((deadline, on_done))

    def ask(self, on_done):
        on_done(LeaseReport(1, (RunningTask(TASK, 1, "", 0, 0),), ()))

    # The driver

    def on_start_checked(self, task, run):
        pass

    def on_reachable(self, name):
        pass

    on_unreachable = on_reachable

    def on_running(self, name, running):
        return False

    def on_run_begun(self, task, run):
        pass

    def on_run_withdrawn(self, name, task, run):
        self.withdrawn.append((name, task, run))

    def on_lease_lapsed(self, name):
        self.lapsed = True

    # The store

    def append(self, items, on_answer, timeout, writer):
        if not self.takes_appends:
            self.appends.append((dict(items), on_answer))
        elif len(items) == 1:
            on_answer(Appended(0))
        else:
            self.appends.append((dict(items), on_answer))

    def take(self):
        items, on_answer = self.appends.pop()
        on_answer(Appended(0))
        return items


@given("an agent of an executor with a run")
def step_agent(context):
    context.silent = SilentFixture()
    context.silent.make_agent(False)
    context.granted = 1


@when("the store takes no append for {seconds:g} s")
def step_no_append(context, seconds):
    fixture = context.silent
    if fixture.takes_appends:
        fixture.writer.store([], lambda: None)
        fixture.takes_appends = False
    fixture.loop.advance(seconds)


@when("the store takes appends again")
def step_appends_again(context):
    fixture = context.silent
    fixture.takes_appends = True
    fixture.take()


@when("the scheduler's machine is suspended for {seconds:g} s")
def step_suspended(context, seconds):
    context.silent.writer.store([], lambda: None)
    context.silent.loop.suspended_s = seconds


@then("the scheduler still holds its term")
def step_holds(context):
    assert context.silent.writer.holds_term()


@then("the scheduler does not hold its term")
def step_holds_not(context):
    assert not context.silent.writer.holds_term()


@given("an append in flight")
def step_in_flight(context):
    context.silent.writer.store([("progress/x", b"x")])


@when("{count:d} renewal fails")
@when("{count:d} renewals fail")
def step_fails(context, count):
    for _ in range(count):
        if context.silent.loop.pending and context.silent.executor.unreachable:
            context.silent.loop.advance(RENEW_RETRY_S)
        context.silent.fail_renewal()


@when("the executor answers {count:d} renewals")
def step_answers(context, count):
    for _ in range(count):
        context.silent.loop.advance(RENEW_RETRY_S)
        context.silent.answer_renewal()


@then("no record is stored")
def step_no_record(context):
    fixture = context.silent
    while fixture.appends:
        assert KEY not in fixture.take()


@then("the record says that the lease was granted {seconds:g} s ago")
def step_record(context, seconds):
    ((items, _),) = context.silent.appends
    assert abs(decode_silent(items[KEY]).age_ms - seconds * MS) <= 1, items


@when("the store takes the record")
def step_takes_record(context):
    assert context.silent.take()[KEY]


@when("the store takes the deletion")
def step_takes_deletion(context):
    assert context.silent.take()[KEY] == b""


@then("no renewal grants the lease")
def step_no_grant(context):
    deadlines = [deadline for deadline, _ in context.silent.renewals[context.granted :]]
    assert deadlines and not any(deadlines), deadlines


@then("the next renewal grants the lease")
def step_next_grants(context):
    fixture = context.silent
    fixture.loop.advance(0)
    if fixture.renewals[-1][0] is None:
        fixture.answer_renewal()
    assert fixture.renewals[-1][0] is not None


@then("the executor counts as unreachable")
def step_unreachable(context):
    assert context.silent.executor.unreachable


@then("the executor does not count as unreachable")
def step_reachable(context):
    assert not context.silent.executor.unreachable


@when("a start order arrives")
def step_start(context):
    context.order = Start(NAME, SECOND_TASK, 3, "text", "")
    context.silent.agent.start(context.order)


@then("the start was withdrawn and not sent")
def step_withdrawn(context):
    assert context.silent.withdrawn == [(NAME, SECOND_TASK, 3)]
    assert not context.silent.starts


@when("the executor answers that the start came too late")
def step_late(context):
    context.silent.starts[-1][1](OrderAnswer(OrderResult.LATE, 1))


@then("the start is not sent again for {seconds:g} s")
def step_not_sent(context, seconds):
    for _ in range(int(seconds / 0.1)):
        context.silent.loop.advance(0.1)
    assert len(context.silent.starts) == 1


@given(
    "a record that was read {read_s:g} s ago and was {age_s:g} s old when it was made"
)
def step_record_read(context, read_s, age_s):
    fixture = context.silent = SilentFixture()
    record = SilentRecord(int(age_s * MS))
    fixture.view.fold(Entry(0, KEY, encode(record)))
    fixture.loop.advance(read_s)


@when("an agent takes the executor over")
def step_takes_over(context):
    context.silent.make_agent(True)
    context.granted = 0


@then("its runs count as lapsed after {after_s:g} s, but not after {before_s:g} s")
def step_lapsed(context, after_s, before_s):
    fixture = context.silent
    fixture.loop.advance(before_s)
    fixture.renewals[-1][1](OrderAnswer(OrderResult.NO_ANSWER))
    assert not fixture.lapsed
    fixture.loop.advance(after_s - before_s)
    fixture.renewals[-1][1](OrderAnswer(OrderResult.NO_ANSWER))
    assert fixture.lapsed


@then("its runs count as lapsed within {seconds:g} s of the last grant")
def step_lapsed_within(context, seconds):
    fixture = context.silent
    assert not fixture.lapsed
    fixture.loop.advance(RENEW_RETRY_S)
    fixture.loop.advance(START_S + seconds - fixture.loop.now())
    assert fixture.lapsed


@then("its runs do not count as lapsed")
def step_not_lapsed(context):
    assert not context.silent.lapsed


@then("its runs count as lapsed {seconds:g} s later without an answer")
def step_lapsed_later(context, seconds):
    context.silent.loop.advance(seconds)
    assert context.silent.lapsed


@then("its runs do not count as lapsed {seconds:g} s later")
def step_not_lapsed_later(context, seconds):
    context.silent.loop.advance(seconds)
    assert not context.silent.lapsed


@when("these values of the record are read")
def step_values(context):
    view = context.silent.view
    for offset, row in enumerate(context.table, 1):
        view.fold(Entry(offset, KEY, bytes.fromhex(row["value"])))
        assert (NAME in view.silent) == (row["silent"] == "yes"), row


@then("a renewal is sent that is given up within {seconds:g} s")
def step_given_up(context, seconds):
    wait_ms, given_up_s = context.silent.waits[-1]
    assert wait_ms > 0 and given_up_s <= seconds, (wait_ms, given_up_s)


@then("a renewal is sent that waits for nothing")
def step_no_wait(context):
    assert context.silent.waits[-1][0] == 0, context.silent.waits
