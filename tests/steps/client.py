"""Steps for a Requester; its server answers each request when the test says so."""

import re
import time

from behave import given, then, when

from cardamomgrade.client import Requester, RequesterPool
from cardamomgrade.server import HttpServer
from cardamomgrade.wire import HttpRequest, HttpResponse
from harness import Rig

HOST = "127.0.0.1"
TIMEOUT_S = 0.3
SETTLE_S = 0.1  # for connections and answers on loopback
PIECE = b"x" * 100


class RequesterFixture:
    """A server, a Requester, and the (path, result) of each request that ended."""

    def __init__(self):
        self.rig = Rig()
        self.exchanges = {}
        self.results = []
        self.server = HttpServer(self.rig.loop, self.rig.net, self.on_request)
        port = self.server.listen(HOST, 0)
        self.address = f"{HOST}:{port}"
        self.requester = Requester(self.rig.loop, self.rig.net, self.address)

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


@given("a server that sends an answer in {pieces:d} pieces, {gap_s:g} s apart")
def step_slow_server(context, pieces, gap_s):
    """Answers one request with 200; with 0 pieces it sends nothing."""
    context.rig = Rig()
    context.pieces = pieces

    def on_conn(conn):
        def send(left):
            if left and not conn.closed:
                conn.write(PIECE)
                context.rig.loop.call_later(gap_s, lambda: send(left - 1))

        def answer(data):
            conn.on_data = lambda data: None
            if pieces:
                length = pieces * len(PIECE)
                head = f"HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n"
                conn.write(head.encode())
                send(pieces)

        conn.on_data = answer
        conn.on_close = lambda: None

    context.port = context.rig.net.listen(HOST, 0, on_conn)


@when("a request with a timeout of {timeout:g} s and a limit of {limit:g} s is sent")
def step_limited_request(context, timeout, limit):
    rig, context.results = context.rig, []
    requester = Requester(rig.loop, rig.net, f"{HOST}:{context.port}")
    req = HttpRequest("GET", "/a", ((b"host", b"a"),))
    began = rig.loop.now()
    requester.request(req, context.results.append, timeout, limit)
    rig.run_until(lambda: context.results)
    context.took_s = rig.loop.now() - began


@then("its answer has {pieces:d} pieces")
def step_pieces(context, pieces):
    (result,) = context.results
    assert result and result.body == PIECE * pieces, result


@then("it is given up after {seconds:g} s")
def step_given_up(context, seconds):
    (result,) = context.results
    assert not result and result.detail == "timed out", result
    assert seconds <= context.took_s, context.took_s


@when("a request with a timeout of {timeout:g} s is sent for {path}")
def step_sent_timeout(context, timeout, path):
    context.client.send(path, timeout)


@when("the process is delayed for {seconds:g} s after the server answered {path}")
def step_answer_delayed(context, seconds, path):
    context.client.exchanges[path].respond(HttpResponse(200, (), path.encode()))
    time.sleep(seconds)
    context.client.rig.run_for(SETTLE_S)


@given("a pool of {count:d} connections to it")
def step_pool(context, count):
    rig = context.client.rig
    context.client.requester = RequesterPool(
        rig.loop, rig.net, context.client.address, count
    )


@when(
    "a request for {first} times out after {first_s:g} s, and one for {second} that "
    "waits for it after {second_s:g} s"
)
def step_two_time_out(context, first, first_s, second, second_s):
    world = context.client
    world.results.clear()
    world.request(first, first_s)
    world.request(second, second_s)
    world.rig.run_until(lambda: len(world.results) == 2)


def sending(context, path):
    """Return (ms until it was sent, which connection) of a request that failed."""
    text = dict(context.client.results)[path].sending
    ms, conn = re.fullmatch(r"sent after (\d+) ms over (.*) connection", text).groups()
    return int(ms), conn


@then("the request for {path} was sent over an answered connection")
def step_sent_answered(context, path):
    assert sending(context, path)[1] == "an answered"


@then(
    "the request for {path} was sent {seconds:g} s later or more over a new connection"
)
def step_sent_new(context, path, seconds):
    queued_ms, conn = sending(context, path)
    assert conn == "a new" and queued_ms >= seconds * 1000, (queued_ms, conn)
