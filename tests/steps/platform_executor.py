"""Steps for the client of an executor, whose server answers on loopback."""

import json

from behave import given, then, when

from cardamomgrade.jobs.reports import ExecutorEntry, LeaseReport, OrderResult
from cardamomgrade.jobs.scheduler import Start
from cardamomgrade.peer import REPLACED_MIN_S
from cardamomgrade.platform.executor import (
    ExecutorClient,
    ORDER_CONNECTIONS,
    ORDER_TIMEOUT_S,
)
from cardamomgrade.server import HttpServer
from cardamomgrade.wire import HttpResponse
from harness import Rig

HOST = "127.0.0.1"
NAME = "i-0"
CLOCK_MS = 5000
DEADLINE_MS = 9000
START = "/api/run-start"
REPORT = "/api/hold"
CLOSE = ((b"connection", b"close"),)


class ClientWorld:
    """An executor's server, its client, and the answers that the client reports.

    ``calls`` has (born, path) of each call that was answered.
    """

    def __init__(self, born):
        self.rig = Rig()
        self.born = born
        self.tells_born = True
        self.is_silent = False
        self.headers = ()
        self.calls = []
        self.received = 0
        self.answers = []
        self.runs = 0
        self.server = HttpServer(self.rig.loop, self.rig.net, self.on_call)
        address = f"{HOST}:{self.server.listen(HOST, 0)}"
        room = (4000, 64_000, 0, (), "r1")
        entry = ExecutorEntry(NAME, "s", address, "z", False, *room, CLOCK_MS, -1, born)
        self.client = ExecutorClient(self.rig.loop, self.rig.net, entry, 1)

    def on_call(self, exchange):
        self.received += 1
        if self.is_silent:
            return
        path = exchange.req.path
        self.calls.append((self.born, path))
        fields = {"clockMs": CLOCK_MS}
        if path == REPORT:
            fields.update(running=[], finished=[])
            if self.tells_born:
                fields["born"] = self.born
        body = json.dumps(fields).encode()
        exchange.respond(HttpResponse(200, self.headers, body))

    def restart(self, born):
        """Start the next incarnation at the same port; all connections are closed.

        That takes at least REPLACED_MIN_S.
        """
        self.rig.run_for(2 * REPLACED_MIN_S)
        self.born = born
        self.is_silent = False
        self.server.close_all_except(None)

    def ask(self):
        reports = []
        self.client.ask(reports.append)
        self.rig.run_until(lambda: reports)
        assert isinstance(reports[0], LeaseReport), reports

    def start(self):
        self.runs += 1
        order = Start(NAME, f"00000000000000a1.0.0.{self.runs}", 1, "text", "")
        self.client.start(order, DEADLINE_MS, self.answers.append)

    def wait_answers(self, count):
        self.rig.run_until(lambda: len(self.answers) == count)

    def called(self, path):
        return [born for born, called in self.calls if called == path]


@given("an executor born at {born:d} that has not been called")
def step_executor(context, born):
    context.calls = ClientWorld(born)


@given("an executor born at {born:d} that has answered its client")
def step_answered(context, born):
    context.calls = ClientWorld(born)
    context.calls.ask()


@given("it closes each connection")
def step_closes(context):
    context.calls.headers = CLOSE


@given("it tells no born")
def step_tells_none(context):
    context.calls.tells_born = False


@when("a start has no answer, and the executor starts again with born {born:d}")
def step_no_answer(context, born):
    world = context.calls
    world.is_silent = True
    received = world.received
    world.start()
    world.rig.run_until(lambda: world.received > received)
    world.restart(born)
    world.wait_answers(1)
    assert world.answers.pop().result is OrderResult.NO_ANSWER


@when("the client is told to start the run again")
def step_again(context):
    context.calls.start()
    context.calls.wait_answers(1)


@when(
    "it answers nothing, and a start waits behind calls until it starts again with "
    "born {born:d}"
)
def step_waits(context, born):
    world = context.calls
    world.is_silent = True
    ignored = []
    for _ in range(ORDER_CONNECTIONS):
        world.client.ask(ignored.append)
    world.start()
    world.rig.run_for(ORDER_TIMEOUT_S / 5)
    world.restart(born)
    world.wait_answers(1)


@then("the start was not carried out, and born {born:d} was known by its answer")
def step_not_carried_out(context, born):
    world = context.calls
    assert not world.called(START), world.calls
    (answer,) = world.answers
    assert answer.result is OrderResult.NOT_DONE and answer.born == born, answer


@when("the client starts {count:d} runs one after another")
def step_starts(context, count):
    world = context.calls
    for number in range(count):
        world.start()
        world.wait_answers(number + 1)


@then("all were carried out")
def step_carried_out(context):
    world = context.calls
    assert len(world.called(START)) == world.runs, world.calls
    assert {item.result for item in world.answers} == {OrderResult.TAKEN}


@then("all were carried out, and the executor was asked {count:d} time for a report")
def step_asked(context, count):
    step_carried_out(context)
    world = context.calls
    assert len(world.called(REPORT)) == count, world.calls


@when("it answers nothing, and the client is told to start a run")
def step_silent_start(context):
    context.calls.is_silent = True
    context.calls.start()
    context.calls.wait_answers(1)


@then("the start was not sent")
def step_not_sent(context):
    (answer,) = context.calls.answers
    assert answer.result is OrderResult.NOT_SENT, answer
