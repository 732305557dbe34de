"""Steps for calls to former incarnations that arrive before the next one is known."""

import time

from behave import given, then, when
from jobs_former_calls import be_silent, FormerCallsWorld
from jobs_incarnations import begin, DriverWorld, JOB, NAME, SOON_S

from cardamomgrade.jobs.records import encode, ProgressRecord
from cardamomgrade.jobs.reports import OrderAnswer, OrderResult
from cardamomgrade.jobs.store import Entry

LATEST_REGISTRATION_S = 0.5


class UnnoticedWorld(FormerCallsWorld):
    """Executors that register late, and are cut off before or soon after.

    An executor that is cut off reaches the store only once the cut is over.
    """

    cut_after_s = (0.0, 1.0)
    suppressed = False

    def register(self, process):
        if not self.suppressed:
            super().register(process)

    def begin_later(self, name, born, port, registered_at):
        self.suppressed = True
        process = self.begin(name, born, port)
        self.suppressed = False

        def register():
            if not process.alive:
                return
            if self.is_cut(name):
                self.loop.call_later(0.05, register)
            else:
                self.register(process)

        self.loop.call_later(registered_at, register)

    def registration_delay_s(self):
        return self.random.uniform(0.0, LATEST_REGISTRATION_S)


@when("unnoticed restarts with seeds {first:d} to {last:d} are replayed")
def step_replay(context, first, last):
    context.broken = []
    for seed in range(first, last + 1):
        world = UnnoticedWorld(seed)
        try:
            world.play()
        except AssertionError as exc:
            context.broken.append((seed, str(exc)))


@then("no task runs twice after an unnoticed restart")
def step_no_twice(context):
    assert not context.broken, context.broken


@given("a scheduler and an executor born at {born:d} that is about to take run 1")
def step_begin(context, born):
    begin(context, born)


@when("its next incarnation takes the start of run 1, and is then cut off for 6 s")
def step_taken_by_next(context):
    world = context.lives
    world.report(1000)
    world.loop.advance(0.2)
    world.on_started(OrderAnswer(OrderResult.TAKEN, 1))
    be_silent(world, 6)


@given("a next scheduler that inherits run 1 on an executor that is not registered")
def step_inherits_unregistered(context):
    world = context.lives = DriverWorld()
    world.add_job()
    row = (0, 0, 0, 1, 1, "i-9", 0, "")
    world.view.fold(Entry(1, f"progress/{JOB}", encode(ProgressRecord(1, (row,)))))
    world.start(epoch=2)
    world.driver._executors.loaded = True
    world.register(int((time.time() - 60) * 1000), 1)


@given("a next scheduler that inherits run 1 on an executor registered without born")
def step_inherits_bornless(context):
    world = context.lives = DriverWorld()
    world.add_job()
    row = (0, 0, 0, 1, 1, NAME, 0, "")
    world.view.fold(Entry(1, f"progress/{JOB}", encode(ProgressRecord(1, (row,)))))
    world.start(epoch=2)
    world.register(0, 1)


@when("the executor reports run 1 as born {seconds:d} s ago")
def step_reports_young(context, seconds):
    world = context.lives
    world.report(int((time.time() - seconds) * 1000), [1])


@when("{seconds:d} s pass after its start")
def step_pass(context, seconds):
    world = context.lives
    for _ in range(seconds * 10):
        if world.client.waiting and not world.client.closed:
            world.report(world.client.entry.born)
        world.loop.advance(0.1)


@then("run 2 is started on the executor that is left")
def step_started_elsewhere(context):
    world = context.lives
    starts = [item.run for client in world.clients for item, _ in client.starts]
    assert starts == [2], starts


@when("its agent is replaced, and reports run 1 three times")
def step_replaced(context):
    world = context.lives
    world.register(1000, 2)
    for _ in range(3):
        world.report(1000, [1])
    world.loop.advance(SOON_S)


@when("born {born:d} registers at port {port:d}, and no call has an answer yet")
def step_registers(context, born, port):
    context.lives.register(born, port)


@then("no run is started at port {port:d}")
def step_none_started(context, port):
    world = context.lives
    assert world.client.port == port
    assert not world.client.starts, [item.run for item, _ in world.client.starts]
