"""Steps for a driver whose executor starts again, with a simulated platform."""

import json
import time

import attrs
from behave import given, then, when
from jobs_node import CONFIG, SETTINGS
from jobs_vms import SimulatedTimers

from cardamomgrade.jobs import incarnations
from cardamomgrade.jobs.driver import Driver
from cardamomgrade.jobs.records import encode, ProgressRecord, TermRecord
from cardamomgrade.jobs.reports import (
    EndedTask,
    LeaseReport,
    OrderAnswer,
    OrderResult,
    Outcome,
    RunningTask,
    VmOrderResult,
)
from cardamomgrade.jobs.spec import JobSpec, Step
from cardamomgrade.jobs.store import Appended, AppendFailed, AppendFate, Entry, Page
from cardamomgrade.jobs.view import JobView
from cardamomgrade.metrics import Metrics
from cardamomgrade.platform import records

NAME = "i-0"
JOB = "00000000000000a1"
SECOND_JOB = "00000000000000a2"
TASK = f"{JOB}.0.0.0"
SOON_S = 0.06  # a plan and what follows from it
OTHER_JOB = "00000000000000d1"


class SimulatedExecutor:
    """Client of an executor; keeps the calls, which the test answers."""

    def __init__(self, entry, token):
        self.entry = entry
        self.token = token
        self.closed = False
        self.reaches_same_process = False
        self.keeps_connections = True
        self.starts = []
        self.stops = []
        self.asks = []
        self.renewals = []
        self.waiting = None

    @property
    def port(self):
        return int(self.entry.address.rpartition(":")[2])

    def close(self):
        self.closed = True

    def start(self, order, deadline_ms, on_done):
        self.starts.append((order, on_done))

    def stop(self, order, on_done):
        self.stops.append((order, on_done))

    def renew(self, deadline_ms, stored_end, wait_ms, on_done, is_first=False):
        assert self.waiting is None
        self.renewals.append((deadline_ms, stored_end))
        self.waiting = on_done

    def ask(self, on_done):
        self.asks.append(on_done)

    def answer_asks(self, report):
        """Answer the requests for a report that are not renewals; return how many."""
        asks, self.asks = self.asks, []
        for on_done in asks:
            on_done(report)
        return len(asks)

    def answer(self, report):
        on_done, self.waiting = self.waiting, None
        assert not self.closed
        if isinstance(report, LeaseReport):
            self.reaches_same_process = self.keeps_connections
        on_done(report)


class DriverWorld:
    """A driver; also stands in for the platform and the store, which may be slow."""

    decode_executor = staticmethod(records.decode_executor)

    def __init__(self):
        self.loop = SimulatedTimers()
        self.clients = []
        self.appends = []
        self.store_is_slow = False
        self.store_is_down = False
        self.view = JobView(self.loop.now)
        self.driver = None

    def start(self, epoch=1):
        queue_cfg = records.decode_config(json.dumps(CONFIG).encode())
        cfg = attrs.evolve(SETTINGS, max_lease_ms=10_000)
        term = TermRecord(epoch, "n1", "life-1", 1, False)
        self.driver = Driver(
            self.loop, cfg, self, term, self.view, queue_cfg, None, Metrics()
        )
        self.loop.advance(SOON_S)

    # The platform

    def jobs_topic(self):
        return self

    executors_topic = status_topic = jobs_topic

    def machines(self, epoch):
        return self

    def list_vms(self, on_done):
        pass

    def executor(self, entry, token):
        self.clients.append(SimulatedExecutor(entry, token))
        return self.clients[-1]

    def newest(self, after, on_done, timeout):
        on_done(Page((), False, 0))

    def read(self, start, wait_ms, on_done, timeout):
        pass

    def append(self, items, on_done, timeout, at=None, writer=None):
        if self.store_is_down:
            failed = AppendFailed(AppendFate.NOT_DONE, "down")
            self.loop.call_later(0.1, lambda: on_done(failed))
        elif self.store_is_slow:
            self.appends.append((dict(items), on_done))
        else:
            on_done(Appended(0))

    # What happens

    def add_job(self, name=JOB):
        spec = JobSpec(
            name, "r-q", "s", "text", time.time() * 1000, (Step(1, cores_m=1000),)
        )
        self.view.fold(Entry(0, f"job/{name}", encode(spec)))

    def register(self, born, port, name=NAME, **changes):
        fields = {
            "service": "s",
            "address": f"127.0.0.1:{port}",
            "zone": "z",
            "state": "ready",
            "capacity": {"cpu": 4000, "memMb": 64_000, "gpu": 0},
            "labels": ["a", "r1"],
            "clockMs": 1000,
            **({"born": born} if born else {}),
            **changes,
        }
        self.read_entry(json.dumps(fields).encode(), name)

    def read_entry(self, value, name=NAME):
        self.driver._on_executor(Entry(0, name, value))
        self.loop.advance(SOON_S)

    @property
    def client(self):
        return self.clients[-1]

    def report(self, born, running=(), ended=()):
        """Answer the renewal at the newest address."""
        running = tuple(RunningTask(TASK, run, "", 50, 0) for run in running)
        report = LeaseReport(1000, running, tuple(ended), born=born)
        self.client.answer(report)
        self.loop.advance(SOON_S)
        self.answer_checks(born, running)

    def answer_checks(self, born, running=()):
        """Answer the check before a repeated start, if there is one."""
        if self.client.answer_asks(LeaseReport(1000, running, (), born=born)):
            self.loop.advance(SOON_S)

    def task(self):
        (task,) = self.driver._scheduler.jobs[JOB]._tasks()
        return task

    def is_placed(self, run):
        task = self.task()
        executor = self.driver._scheduler.executors.get(NAME)
        runs = executor.allocations if executor is not None else {}
        is_allocated = TASK in runs and runs[TASK].run == run
        assert is_allocated == (task.run == run and task.phase == 1), (task, runs)
        return is_allocated


def begin(context, born):
    world = context.lives = DriverWorld()
    world.start()
    world.register(born, 1)
    world.add_job()
    world.loop.advance(SOON_S)
    world.answer_checks(born)
    ((world.order, world.on_started),) = world.client.starts
    world.agent = world.driver._agents[NAME]
    assert world.is_placed(1)
    return world


@given("a scheduler and an executor born at {born:d} that reports run 1 of a task")
def step_running(context, born):
    world = begin(context, born)
    world.on_started(OrderAnswer(OrderResult.TAKEN, 1000))
    world.report(born, [1])
    world.report(born, [1])


@given(
    "a scheduler and an executor born at {born:d} with a start of run 1 without an "
    "answer"
)
def step_unanswered(context, born):
    begin(context, born)


@given(
    "a scheduler that inherits run 1 on an executor that registers with born {born:d}"
)
def step_inherits(context, born):
    world = context.lives = DriverWorld()
    world.add_job()
    row = (0, 0, 0, 1, 1, NAME, 0, "")
    world.view.fold(Entry(1, f"progress/{JOB}", encode(ProgressRecord(1, (row,)))))
    world.start()
    world.register(born, 1)
    world.agent = world.driver._agents[NAME]
    assert world.is_placed(1)


@when("the executor registers with born {born:d} and port {port:d}")
def step_registers(context, born, port):
    context.lives.register(born, port)


@when("the executor answers a renewal as born {born:d}, without runs")
def step_answers_empty(context, born):
    context.lives.report(born)


@when("the executor answers a renewal as born {born:d}, with run 1")
def step_answers_run(context, born):
    context.lives.report(born, [1])


@when("born {born:d} reports its runs")
def step_reports(context, born):
    context.lives.report(born)


@when("born {born:d} reports its runs: run 1")
def step_reports_run(context, born):
    context.lives.report(born, [1])


@when("born {born:d} answers, and reports its runs")
def step_answers_and_reports(context, born):
    world = context.lives
    world.report(born)
    if len(world.clients) > 1:
        world.report(born)


@when("born {born:d} answers, and reports its runs: run 1")
def step_answers_and_reports_run(context, born):
    world = context.lives
    world.report(born, [1])
    if len(world.clients) > 1:
        world.report(born, [1])


@when("born {born:d} reports that run 1 ended as done")
@when("run 1 ends as done")
def step_done(context, born=0):
    context.lives.report(born, ended=[EndedTask(1, TASK, 1, Outcome.DONE, "")])


@when("born {born:d} reports ends up to {number:d}")
def step_ends(context, born, number):
    ends = [
        EndedTask(item, f"{OTHER_JOB}.0.0.{item}", 1, Outcome.DONE, "")
        for item in range(1, number + 1)
    ]
    runs = [1] if context.lives.is_placed(1) else []
    context.lives.report(born, runs, ends)


@when("run 1 ends as done, and the executor is unlisted and forgotten")
def step_forgotten(context):
    world = context.lives
    step_done(context)
    world.read_entry(b"")
    for _ in range(6):
        if world.client.waiting and not world.client.closed:
            world.report(0)
        world.loop.advance(0.1)
    assert not world.driver._scheduler.executors
    context.lives.agent = None


@when("the start of run 1 is accepted without born")
def step_accepted(context):
    step_accepted_as(context, 0)


@when("the start of run 1 is accepted as born {born:d}")
def step_accepted_as(context, born):
    world = context.lives
    world.on_started(OrderAnswer(OrderResult.TAKEN, 1000, born))
    world.loop.advance(SOON_S)


@when("the start of run 1 gets no answer")
def step_no_answer(context):
    context.lives.on_started(OrderAnswer(OrderResult.NO_ANSWER))


@when("born {born:d} accepts the stop")
def step_stop_accepted(context, born):
    world = context.lives
    world.client.stops[-1][1](OrderAnswer(OrderResult.TAKEN, 1000, born))
    world.loop.advance(SOON_S)


@when("born {born:d} is silent for {seconds:d} s")
def step_silent(context, born, seconds):
    pass_without(context, OrderResult.NO_ANSWER, seconds)


@when("another id answers at its address")
def step_other_id(context):
    context.lives.client.answer(OrderAnswer(OrderResult.WRONG_LIFE))
    context.lives.loop.advance(SOON_S)


@when("another id answers at its address for {seconds:d} s")
def step_other_id_for(context, seconds):
    pass_without(context, OrderResult.WRONG_LIFE, seconds)


def pass_without(context, result, seconds):
    world = context.lives
    end = world.loop.now() + seconds
    while world.loop.now() < end:
        if world.client.waiting and not world.client.closed:
            world.client.answer(OrderAnswer(result))
        world.loop.advance(0.1)


@when("born {born:d} is silent until a record of it is stored")
def step_recorded(context, born):
    world = context.lives
    pass_without(context, OrderResult.NO_ANSWER, 1)
    assert world.driver._silences.granted_at(NAME) is not None


@given("the store is slow")
@when("the store is slow")
def step_slow(context):
    context.lives.store_is_slow = True


@when("the store has stored all")
def step_stored(context):
    world = context.lives
    world.loop.advance(SOON_S)
    while world.appends:
        world.appends.pop(0)[1](Appended(0))
    world.store_is_slow = False
    world.loop.advance(SOON_S)
    while world.appends:
        world.appends.pop(0)[1](Appended(0))
    world.loop.advance(0.3)
    if world.client.waiting and not world.driver._scheduler.executors[NAME].allocations:
        world.report(world.client.entry.born)
    world.answer_checks(world.client.entry.born)


@when("the store takes nothing for {seconds:d} s")
def step_store_down(context, seconds):
    world = context.lives
    world.store_is_down = True
    for _ in range(seconds * 10):
        world.loop.advance(0.1)


@when("the executor closes its connections")
def step_closes(context):
    context.lives.client.reaches_same_process = False


@given("the executor closes each connection after its answer")
def step_closes_each(context):
    context.lives.client.keeps_connections = False


@when(
    "born {born:d} reports ends up to {number:d} in answer to a renewal of {ms:d} ms "
    "before"
)
def step_late_ends(context, born, number, ms):
    world = context.lives
    world.report(born, [1])
    world.loop.advance(ms / 1000)
    ends = [
        EndedTask(end, f"{OTHER_JOB}.0.0.{end}", 1, Outcome.DONE, "")
        for end in range(1, number + 1)
    ]
    running = (RunningTask(TASK, 1, "", 50, 0),)
    world.client.answer(LeaseReport(1000, running, tuple(ends), born=born))


@when("it starts again before these are stored")
@when("its connection is closed before these are stored")
def step_closed(context):
    world = context.lives
    world.client.reaches_same_process = False
    for _ in range(4):
        world.loop.advance(SOON_S / 4)


@when("it is quarantined and paused")
def step_quarantined(context):
    world = context.lives
    scheduler = world.driver._scheduler
    now_ms = world.loop.now() * 1000
    for job in ("x", "y"):
        scheduler._health.failed(NAME, "s", job, 1, now_ms)
    scheduler._probes.rest(NAME, now_ms + 60_000)
    scheduler.pause_executor(NAME, now_ms + 60_000)
    assert scheduler._health.is_quarantined(NAME)


@then("run 1 is over, and run 2 is started at port {port:d}")
def step_started_again(context, port):
    world = context.lives
    assert world.is_placed(2), world.task()
    assert world.client.port == port
    assert [(item.task, item.run) for item, _ in world.client.starts] == [(TASK, 2)]


@then("run 2 is started at port {port:d}")
def step_run_2(context, port):
    step_started_again(context, port)


@then("run 1 is over, and no run is started")
def step_over(context):
    world = context.lives
    assert world.task().run == 1 and not world.is_placed(1), world.task()
    starts = [item.run for client in world.clients for item, _ in client.starts]
    assert starts in ([], [1]), starts


@then("run 1 is not over")
def step_not_over(context):
    assert context.lives.is_placed(1)


@then("run 1 is not over, and is to be stopped at port {port:d}")
def step_barred(context, port):
    world = context.lives
    assert world.is_placed(1) and world.client.port == port
    assert [(item.task, item.run) for item, _ in world.client.stops] == [(TASK, 1)]


@then("run 1 goes on at port {port:d}, and nothing was stopped or started there")
def step_goes_on(context, port):
    world = context.lives
    assert world.is_placed(1) and world.client.port == port
    assert not world.client.stops and not world.client.starts


@then("run 1 goes on at port {port:d}, asked by the same agent")
def step_same_agent(context, port):
    world = context.lives
    world.loop.advance(0.3)
    assert world.is_placed(1)
    assert world.driver._agents[NAME] is world.agent
    assert world.client.port == port and len(world.clients) == 1
    asked = len(world.client.renewals)
    world.report(world.client.entry.born, [1])
    assert world.is_placed(1) and len(world.client.renewals) > asked
    assert not world.client.closed


@then("the client of port {port:d} is closed")
def step_closed(context, port):
    assert [client.closed for client in context.lives.clients] == [True, False]


@then("the executor has had {count:d} clients")
def step_clients(context, count):
    assert len(context.lives.clients) == count


@then("nothing acknowledges an end or grants a lease before born 2000 has answered")
def step_asks_only(context):
    assert context.lives.client.renewals == [(None, 0)]


@then("its next renewal grants the lease")
def step_grants(context):
    assert context.lives.client.renewals[-1][0], context.lives.client.renewals


@then("no renewal at port {port:d} grants the lease")
def step_no_grant(context, port):
    world = context.lives
    assert world.client.port == port and world.client.renewals
    assert not any(deadline for deadline, _ in world.client.renewals)
    assert not world.client.starts


@then("no renewal at port {port:d} acknowledges an end")
def step_no_ack(context, port):
    world = context.lives
    assert world.client.port == port and world.client.renewals
    renewals = world.client.renewals
    since = next((i for i, item in enumerate(renewals) if item[1]), None)
    assert since is None, renewals


@then("a renewal at port {port:d} acknowledges end {number:d}")
def step_ack(context, port, number):
    world = context.lives
    assert world.client.port == port
    assert number in [item[1] for item in world.client.renewals], world.client.renewals


@then("the job is completed")
def step_completed(context):
    state = context.lives.driver._scheduler.jobs[JOB].state
    assert state.name == "COMPLETED", state


@then("the scheduler knows no executor")
def step_none(context):
    assert not context.lives.driver._scheduler.executors


@then("run 1 is not sent again within {seconds:d} s")
def step_not_again(context, seconds):
    world = context.lives
    for _ in range(seconds * 10):
        world.loop.advance(0.1)
    assert len(world.client.starts) == 1, world.client.starts


def set_born(context, born):
    for executor in context.vms.scheduler.executors.values():
        executor.entry = attrs.evolve(executor.entry, born=born)


@given("their executors were born at {born:d}")
def step_vm_born(context, born):
    set_born(context, born)


@when("the executor of m0 starts again under its id")
def step_vm_restarts(context):
    set_born(context, 2000)


@when("that order is answered as done")
def step_vm_done(context):
    context.vms.platform.answer("m0", VmOrderResult.DONE)


@then("the scheduler still knows the executor of m0")
def step_vm_known(context):
    assert "i-m0" not in context.vms.gone, context.vms.gone


# Foreign records


@when("the registration becomes {value}")
def step_becomes(context, value):
    world = context.lives
    if value.startswith("an entry with "):
        key, _, text = value.removeprefix("an entry with ").partition(" ")
        world.register(1000, 1, **{key: json.loads(text)})
        return
    deep = value == "deep nesting"
    world.read_entry(b"[" * 200_000 if deep else value.encode())


@when("another task waits")
def step_waits(context):
    world = context.lives
    world.add_job(SECOND_JOB)
    world.loop.advance(SOON_S)


@then("the waiting task is not started")
def step_not_started(context):
    starts = [item.task for item, _ in context.lives.client.starts]
    assert starts == [TASK], starts


@then("the waiting task is started")
def step_is_started(context):
    starts = [item.task for item, _ in context.lives.client.starts]
    assert starts == [TASK, f"{SECOND_JOB}.0.0.0"], starts


@when("{count:d} malformed registrations are read")
def step_malformed(context, count):
    world = context.lives
    context.lines = []
    log_event = incarnations.log_event
    incarnations.log_event = context.lines.append
    context.add_cleanup(setattr, incarnations, "log_event", log_event)
    for number in range(count):
        entry = Entry(0, f"x-{number}", b"{")
        world.driver._on_executor(entry)


@then("{count:d} line about them is logged")
def step_lines(context, count):
    assert len(context.lines) == count, context.lines


@when("{seconds:d} s later one more is read")
def step_one_more(context, seconds):
    world = context.lives
    world.loop.time_s += seconds
    world.driver._on_executor(Entry(0, "x", b"{"))


@then("a line says that {count:d} others were not logged")
def step_others(context, count):
    assert context.lines[-1].others == count, context.lines
