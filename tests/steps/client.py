"""Steps for a Requester; its server answers each request when the test says so."""

from behave import given, then, when

from cardamomgrade.client import Requester
from cardamomgrade.server import HttpServer
from cardamomgrade.wire import HttpRequest, HttpResponse
from harness import Rig

HOST = "127.0.0.1"
TIMEOUT_S = 0.3
SETTLE_S = 0.1  # for connections and answers on loopback


class RequesterFixture:
    """A server, a Requester, and the (path, result) of each request that ended."""

    def __init__(self):
        self.rig = Rig()
        self.exchanges = {}
        self.results = []
        self.server = HttpServer(self.rig.loop, self.rig.net, self.on_request)
        port = self.server.listen(HOST, 0)
        self.requester = Requester(self.rig.loop, self.rig.net, f"{HOST}:{port}")

    def on_request(self, exchange):
        self.exchanges[exchange.req.path] = exchange

    def request(self, path, timeout=TIMEOUT_S):
        req = HttpRequest("GET", path, ((b"host", b"a"),))
        self.requester.request(
            req, lambda result: self.results.append((path, result)), timeout
        )

    def send(self, path, timeout=TIMEOUT_S):
        self.request(path, timeout)
        self.rig.run_until(lambda: path in self.exchanges)


@given("a server that answers when the test says so")
def step_server(context):
    context.client = RequesterFixture()


@when("a request for {path} is sent and then cancelled")
def step_cancelled(context, path):
    context.client.send(path)
    context.client.requester.cancel()


@when("a request for {path} is sent and then timed out")
def step_timed_out(context, path):
    world = context.client
    world.send(path)
    world.rig.run_until(lambda: world.results)
    world.results.clear()


@when("a request for {path} is sent")
def step_sent(context, path):
    context.client.send(path, 5.0)


@when("a request for {first} is sent and a request for {second} waits")
def step_waits(context, first, second):
    context.client.send(first)
    context.client.request(second)


@when("a request for {path} is cancelled while it connects")
def step_cancel_connecting(context, path):
    context.client.request(path)
    context.client.requester.cancel()


@when("a request for {path} is made and the client is closed while it connects")
def step_close_connecting(context, path):
    context.client.request(path)
    context.client.requester.close()


@when("the client is closed")
def step_close(context):
    context.client.requester.close()


@when("the server answers {path}")
def step_answer(context, path):
    response = HttpResponse(200, (), path.encode())
    context.client.exchanges[path].respond(response)
    context.client.rig.run_for(SETTLE_S)


@then("no answer arrives")
def step_no_answer(context):
    context.client.rig.run_for(TIMEOUT_S + SETTLE_S)
    assert context.client.results == [], context.client.results


@then("the request for {path} gets its own answer")
def step_own_answer(context, path):
    ((name, result),) = context.client.results
    assert name == path and result.body == path.encode(), context.client.results


@then("the server receives no request and has no open connection")
def step_nothing(context):
    world = context.client
    world.rig.run_for(SETTLE_S)
    assert not world.exchanges and not world.server.sessions, world.exchanges


@then("the server receives only {path}")
def step_only(context, path):
    context.client.rig.run_for(SETTLE_S)
    assert list(context.client.exchanges) == [path], context.client.exchanges


@then("the server has {count:d} open connections")
def step_connections(context, count):
    world = context.client
    world.rig.run_for(SETTLE_S)
    assert len(world.server.sessions) == count, world.server.sessions
