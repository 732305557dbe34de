"""Steps that replay executors which take calls that were meant for their former life.

An executor that starts again under its id takes calls to its former incarnation, also
late ones, and shortens their deadlines, which are far ahead of its new clock.
"""

import time
from contextlib import contextmanager
from types import SimpleNamespace

import jobs_chaos
from behave import given, then, when
from jobs_chaos import ChaosWorld, Client, Connection, play_seeds, STEP_S
from jobs_incarnations import begin, DriverWorld, JOB, NAME, SOON_S, TASK

from cardamomgrade.client import Failure
from cardamomgrade.emulator.server import FIRST_CLOCK_MS, MAX_LEASE_MS
from cardamomgrade.jobs import driver as driver_module, incarnations
from cardamomgrade.jobs.records import encode, ExecutorRecord, Phase, ProgressRecord
from cardamomgrade.jobs.reports import (
    LeaseReport,
    OrderAnswer,
    OrderResult,
    RunningTask,
)
from cardamomgrade.jobs.store import Entry

AGED_CLOCK_MS = 400_000
TROUBLE_S = 60.0
QUIET_S = 400.0  # tasks of 12 s that run alone after losses take turns
LATEST_CALL_S = 12.0
GIVEN_UP_SHARE = 0.5  # of the calls that the client gave up and that are taken late
WALL_S = 1_764_700_000.0  # Unix time at which the simulated time is 0
CONTACT_S = 0.3  # a call that was given up reaches no incarnation that is younger


class FormerCallsClient(Client):
    """Client whose calls the next incarnation takes if theirs is over.

    A process that went dark closes no connection.
    """

    @property
    def reaches_same_process(self):
        conn = self.connection
        if conn is None or not conn.answered:
            return False
        return conn.process.alive or conn.process in self.world.dark

    def renew(self, deadline_ms, stored_end, wait_ms, on_done, is_first=False):
        conn, dark = self.connection, self.world.dark
        if conn is not None and not conn.process.alive and conn.process in dark:
            # Keeps Client.renew from noticing that the process is over.
            self.connection = Connection(conn.process, conn.answered)
            process, process.alive = conn.process, True
            super().renew(deadline_ms, stored_end, wait_ms, on_done, is_first)
            process.alive = False
        else:
            super().renew(deadline_ms, stored_end, wait_ms, on_done, is_first)

    def _send(self, conn, path, fields, decode, on_done, timeout, wait_ms=0):
        world, loop = self.world, self.world.loop
        finished = []

        def finish(res):
            if not finished and not self.closed:
                finished.append(res)
                on_done(decode(res))

        if conn.process is None:
            if world.is_dark(self.entry.executor):
                conn.process = world.last[self.entry.executor]
            else:
                loop.call_later(STEP_S, lambda: finish(Failure(False, "refused")))
                return
        loop.call_later(
            timeout + wait_ms / 1000, lambda: finish(Failure(True, "no answer"))
        )
        expires = loop.now() + LATEST_CALL_S

        def arrive():
            name = conn.process.name
            if loop.now() > expires or world.is_cut(name):
                return
            process = world.last[name]
            if not process.alive:
                loop.call_later(0.02, arrive)
                return
            if process is not conn.process and (finished or self.closed):
                if world.random.random() > GIVEN_UP_SHARE:
                    return
                age_s = loop.now() - world.begun_at[process]
                if age_s < world.contact_s:
                    loop.call_later(world.contact_s - age_s, arrive)
                    return
            res = world.serve(process, path, {**fields, "epoch": self.epoch})
            if world.random.random() > world.loss and not world.is_cut(name):
                delay = world.delay_s() + (wait_ms / 4000)
                loop.call_later(delay, lambda: world.is_cut(name) or finish(res))

        loop.call_later(world.delay_s(), arrive)


class FormerCallsWorld(ChaosWorld):
    """Executors that restart dark, take former calls and are cut off soon after."""

    client_class = FormerCallsClient
    cut_after_s = (0.5, 3.0)

    def __init__(self, seed, contact_s=CONTACT_S):
        self.contact_s = contact_s
        self.last = {}
        self.dark = set()
        self.begun_at = {}
        self.cut_until = {}
        self.shortened = 0
        super().__init__(seed)

    def wall(self):
        return WALL_S + self.loop.now()

    def delay_s(self):
        rare = self.random.random() < self.late
        return self.random.uniform(1.0, 12.0) if rare else self.random.uniform(0, 0.02)

    def begin(self, name, born, port):
        born = int(self.wall() * 1000)
        process = super().begin(name, born, port)
        if name not in self.last:
            process.clock_offset_ms += AGED_CLOCK_MS - FIRST_CLOCK_MS
        self.last[name] = process
        self.begun_at[process] = self.loop.now()
        return process

    def plan(self, task):
        return self.random.choice((60, 400, 1500, 12_000, 12_000)), "done"

    def serve(self, process, path, fields):
        deadline_ms = fields.get("deadlineMs")
        if deadline_ms is not None:
            longest_ms = self.clock_ms(process) + MAX_LEASE_MS
            self.shortened += deadline_ms > longest_ms
            fields = {**fields, "deadlineMs": min(deadline_ms, longest_ms)}
        return super().serve(process, path, fields)

    def is_dark(self, name):
        return name in self.last and self.last[name] in self.dark

    def is_cut(self, name):
        return self.cut_until.get(name, 0.0) > self.loop.now()

    def executor(self, entry, epoch):
        return self.client_class(self, entry, epoch)

    def restart(self):
        """Start an executor again at its port, dark meanwhile; then cut it off."""
        alive = [item for item in self.processes if item.alive]
        process = self.random.choice(alive)
        name, port = process.name, process.port
        if self.is_cut(name):
            return
        process.alive = False
        self.dark.add(process)
        process.state.shut_down()
        self.processes.remove(process)
        del self.ports[port, name]
        dark_s = self.random.uniform(0.1, 0.8)
        registered_at = self.registration_delay_s()

        def back():
            self.dark.discard(process)
            self.begin_later(name, 0, port, registered_at)

        def cut():
            self.cut_until[name] = self.loop.now() + self.random.uniform(3.0, 11.0)

        self.loop.call_later(dark_s, back)
        if self.random.random() < 0.7:
            cut_at = dark_s + self.random.uniform(*self.cut_after_s)
            self.loop.call_later(cut_at, cut)
            if self.random.random() < 0.4:
                self.loop.call_later(
                    self.random.uniform(dark_s, cut_at), self.kill_scheduler
                )

    def registration_delay_s(self):
        return self.random.choice((0.0, 0.05, 0.3))

    def kill_scheduler(self):
        if self.driver is not None:
            self.change_scheduler()

    def play(self):
        with simulated_wall(self):
            end = self.loop.now() + TROUBLE_S
            while self.loop.now() < end:
                self.step()
                if self.random.random() < STEP_S * 1.2:
                    self.submit()
                if self.random.random() < STEP_S * 0.35 and self.processes:
                    self.restart()
            self.loss = self.late = 0.0
            end = self.loop.now() + QUIET_S
            while self.loop.now() < end and not self.is_done():
                self.step()


@contextmanager
def simulated_wall(world):
    """Let drivers read the wall clock of a world."""
    modules = (driver_module, incarnations, jobs_chaos)
    saved = [(module, module.time) for module in modules]
    for module in modules:
        module.time = SimpleNamespace(time=world.wall)
    try:
        yield
    finally:
        for module, value in saved:
            module.time = value


def report_run(world, born, run):
    running = (RunningTask(TASK, run, "", 50, 0),)
    world.client.answer(LeaseReport(1000, running, (), born=born))
    world.loop.advance(SOON_S)


def be_silent(world, seconds):
    end = world.loop.now() + seconds
    while world.loop.now() < end:
        if world.client.waiting and not world.client.closed:
            world.client.answer(OrderAnswer(OrderResult.NO_ANSWER))
        world.loop.advance(0.1)


@when("born {born:d} accepts run 2 and reports it")
def step_accepts_next(context, born):
    world = context.lives
    ((_, on_started),) = world.client.starts
    on_started(OrderAnswer(OrderResult.TAKEN, 1000))
    world.loop.advance(SOON_S)
    report_run(world, born, 2)
    report_run(world, born, 2)
    assert world.is_placed(2)


def inherit(context, seconds, how):
    """Begin a term whose predecessor started run 1 on an executor of that age."""
    context.born = int((time.time() - seconds) * 1000)
    record = {
        "again": ExecutorRecord(context.born, True),
        "which its predecessor had not read": ExecutorRecord(
            context.born - 9000, False
        ),
        "for the first time": ExecutorRecord(context.born, False),
    }[how]
    world = context.lives = DriverWorld()
    world.add_job()
    row = (0, 0, 0, 1, 1, NAME, 0, "")
    world.view.fold(Entry(1, f"progress/{JOB}", encode(ProgressRecord(1, (row,)))))
    world.view.fold(Entry(2, f"executor/{NAME}", encode(record)))
    world.start(epoch=2)
    return world


@given(
    "a scheduler that inherits run 1 on an executor that started {seconds:d} s ago, "
    "{how}"
)
def step_inherits_young(context, seconds, how):
    world = inherit(context, seconds, how)
    world.register(context.born, 1)
    assert world.is_placed(1)


@given(
    "a scheduler that inherits run 1 on an unregistered executor, which started "
    "{seconds:d} s ago, {how}"
)
def step_inherits_unregistered(context, seconds, how):
    inherit(context, seconds, how).driver._executors.loaded = True


@then("run 1 lapses only {seconds:d} s after the start of the term or later")
def step_lapses_late(context, seconds):
    world = context.lives
    for _ in range(seconds * 10 - 2):
        world.loop.advance(0.1)
    assert world.task().phase == Phase.PLACED, world.task()


@then("run 1 lapses within {seconds:d} s")
def step_lapses(context, seconds):
    world = context.lives
    for _ in range(seconds * 10):
        world.loop.advance(0.1)
    assert world.task().phase != Phase.PLACED, world.task()


@when("the executor is silent for {seconds:d} s")
@when("it is silent for {seconds:d} s")
def step_silent(context, seconds):
    be_silent(context.lives, seconds)


@when("the executor reports run 1")
def step_reports(context):
    report_run(context.lives, context.born, 1)


@given(
    "a scheduler and an executor born at {born:d} that took the second attempt of run "
    "1, while the first had no answer"
)
def step_second_attempt(context, born):
    world = begin(context, born)
    world.on_started(OrderAnswer(OrderResult.NO_ANSWER))
    world.loop.advance(0.2)
    world.client.starts[-1][1](OrderAnswer(OrderResult.TAKEN, 1000))
    world.report(born, [1])
    world.report(born, [1])


@given(
    "a scheduler and an executor born at {born:d} that reports run 1, two attempts of "
    "which had no answer"
)
def step_two_attempts(context, born):
    world = begin(context, born)
    world.on_started(OrderAnswer(OrderResult.NO_ANSWER))
    world.loop.advance(0.2)
    world.report(born, [1])
    world.client.starts[-1][1](OrderAnswer(OrderResult.NO_ANSWER))
    world.report(born, [1])
    world.report(born, [1])


@when("born {born:d} reports run 1 for {seconds:d} s")
def step_reports_for(context, born, seconds):
    world = context.lives
    end = world.loop.now() + seconds
    while world.loop.now() < end:
        world.report(born, [1])


@then("run 1 is over and starts again once born {born:d} has reported")
def step_starts_again(context, born):
    world = context.lives
    assert not world.is_placed(1) and not world.client.starts
    world.report(born)
    assert world.is_placed(2) and len(world.client.starts) == 1


@then("run 2 is not over")
def step_not_over(context):
    assert context.lives.is_placed(2)


@then("run 2 is over")
def step_over(context):
    assert not context.lives.is_placed(2)


@then("the fencing token of born 2000 is above that of born 1000, and of the same term")
def step_tokens(context):
    first, second = (client.token for client in context.lives.clients)
    next_term = DriverWorld()
    next_term.start(epoch=2)
    next_term.register(1000, 1)
    assert first < second < next_term.client.token


@then("born 2000 is asked for a report")
def step_asked(context):
    world = context.lives
    assert world.client.waiting and world.client.entry.born == 2000


@then("no lease was shortened")
def step_not_shortened(context):
    assert not context.nodes.platform.shortened_leases


@when("former calls with seeds {first:d} to {last:d} are replayed")
def step_replay(context, first, last):
    replay(context, first, last, CONTACT_S)


@when(
    "former calls with seeds {first:d} to {last:d} are replayed, late ones at any time"
)
def step_replay_any(context, first, last):
    replay(context, first, last, 0.0)


def replay(context, first, last, contact_s):
    seeds = range(first, last + 1)
    context.former = play_seeds(lambda seed: FormerCallsWorld(seed, contact_s), seeds)


@then("no task runs twice at a time after a restart, and all jobs are completed")
def step_no_twice(context):
    for seed, world in context.former:
        assert world.jobs and world.is_done(), seed
    assert sum(world.shortened for _, world in context.former)
