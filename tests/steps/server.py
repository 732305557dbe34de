"""Steps for the HTTP server and client modules."""

import re
import socket

from behave import given, then, when
from hypothesis import given as generated, settings, strategies as st

from cardamomgrade.client import ClientConn
from cardamomgrade.overload import MemoryBudget
from cardamomgrade.server import HttpServer, ServerLimits
from cardamomgrade.wire import HttpRequest, HttpResponse
from harness import Rig

HOST = "127.0.0.1"
PIECE_BYTES = 65536
REPEATED = re.compile(r"\[(.*?)\]\*(\d+)")
FIXED = settings(max_examples=150, derandomize=True, deadline=None, database=None)
FRAGMENTS = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\n",
        b"POST /x HTTP/1.1\r\n",
        b"Host: a\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: 0x3\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"Expect: 100-continue\r\n",
        b"Upgrade: websocket\r\n",
        b"\r\n",
        b"abc",
        b"3\r\nabc\r\n0\r\n\r\n",
        b"\x00\xff",
        b"\n",
    ]
)


def serve(context, on_request, limits=None):
    context.rig = Rig()
    context.server = HttpServer(context.rig.loop, context.rig.net, on_request, limits)
    context.port = context.server.listen(HOST, 0)


def ok(exchange):
    exchange.respond(HttpResponse(200, (), b"fine\n"))


def raw_bytes(text):
    """Return ``text`` as bytes.

    ~ is CRLF, ^ a bare LF, [ab]*N is N times ab, and a final *N is N times x.
    """
    text = REPEATED.sub(lambda match: match[1] * int(match[2]), text)
    text, _, count = text.partition("*")
    data = text.replace("~", "\r\n").replace("^", "\n").encode()
    return data + b"x" * int(count or 0)


class RawCaller:
    """Sends bytes over a connection and records the received bytes."""

    def __init__(self, rig, port, data):
        self.got = b""
        self.closed = False
        self.conn = None
        rig.net.dial(HOST, port, lambda conn: self._opened(conn, data), print)

    def _opened(self, conn, data):
        self.conn = conn
        conn.on_data = self._more
        conn.on_close = self._end
        conn.write(data)

    def _more(self, data):
        self.got += data

    def _end(self):
        self.closed = True


@given("a server that answers every request with 200")
def step_server(context):
    serve(context, ok)


@given("a server that echoes the path after a delay that becomes shorter")
def step_echo_server(context):
    delays = [0.03, 0.02, 0.01]

    def echo(exchange):
        response = HttpResponse(200, (), exchange.req.path.encode())
        context.rig.loop.call_later(delays.pop(0), lambda: exchange.respond(response))

    serve(context, echo)


@given("a server that waits {seconds:g} s for a complete request")
def step_impatient_server(context, seconds):
    serve(context, ok, ServerLimits(message_s=seconds))


@given("a server with at most {count:d} connections")
def step_small_server(context, count):
    serve(context, ok, ServerLimits(connections=count))


@given("a server with at most {count:d} connection that answers after {seconds:g} s")
def step_slow_server(context, count, seconds):
    def answer(exchange):
        context.rig.loop.call_later(seconds, lambda: ok(exchange))

    serve(context, answer, ServerLimits(connections=count))


def serve_within(context, size, on_request):
    serve(context, on_request)
    context.server.budget = MemoryBudget(size)


@given("a server with {size:d} bytes for requests")
def step_budget_server(context, size):
    serve_within(context, size, ok)


@given("a server with {size:d} bytes for requests that answers after {seconds:g} s")
def step_slow_budget_server(context, size, seconds):
    def answer(exchange):
        context.rig.loop.call_later(seconds, lambda: ok(exchange))

    serve_within(context, size, answer)


@when("its client leaves")
def step_leaves(context):
    context.rig.run_until(lambda: context.server.budget.kept_bytes)
    context.caller.conn.abort()
    context.rig.run_for(0.02)


@then("it said when to try again")
def step_retry_after(context):
    assert b"retry-after: 1" in context.caller.got.lower(), context.caller.got


@then("at least {size:d} bytes are counted")
def step_counted(context, size):
    assert context.server.budget.kept_bytes >= size


@then("no memory is counted any more")
def step_nothing_counted(context):
    budget = context.server.budget
    context.rig.run_until(lambda: not (budget.kept_bytes or budget.held_bytes))


@given("a server that answers every request with {size:d} bytes")
def step_large_answers(context, size):
    context.answered = []

    def answer(exchange):
        context.answered.append(exchange)
        exchange.respond(HttpResponse(200, (), b"x" * size))

    context.answer_bytes = size
    serve(context, answer, ServerLimits(socket_bytes=PIECE_BYTES))


@when("a client sends {count:d} requests and reads nothing")
def step_reads_nothing(context, count):
    context.count = count
    request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    caller = context.caller = RawCaller(context.rig, context.port, b"")
    context.rig.run_until(lambda: caller.conn)
    caller.conn.pause_reads(True)
    caller.conn.write(request * count)
    context.rig.run_for(0.3)


@then("the server has not answered them all and holds at most one answer")
def step_few_answers(context):
    assert 0 < len(context.answered) < context.count / 2, len(context.answered)
    (session,) = context.server.sessions
    assert session._conn.pending < 2 * context.answer_bytes, session._conn.pending


@then("the client gets all answers when it reads")
def step_all_answers(context):
    caller, wanted = context.caller, context.count * context.answer_bytes
    caller.conn.pause_reads(False)
    context.rig.run_until(lambda: caller.got.count(b"x") >= wanted or caller.closed)
    assert not caller.closed


@then("{count:d} answers arrive and the loop has at most {limit:d} timers")
def step_timers(context, count, limit):
    context.rig.run_until(lambda: context.caller.got.count(b"fine") == count)
    found = len(context.rig.loop._heap)
    assert found <= limit, found


@when("{count:d} silent clients connect")
def step_silent_clients(context, count):
    context.rig.run_for(0.02)
    context.silent = [RawCaller(context.rig, context.port, b"") for _ in range(count)]
    context.rig.run_for(0.02)


@then("another client gets an answer")
def step_other_client(context):
    request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    caller = RawCaller(context.rig, context.port, request)
    context.rig.run_until(lambda: b"fine" in caller.got)


@given("a server that answers {method} with {status:d}")
def step_status_server(context, method, status):
    serve(
        context, lambda exchange: exchange.respond(HttpResponse(status, (), b"12345"))
    )


@when('the raw request "{text}" arrives')
def step_raw_request(context, text):
    context.caller = RawCaller(context.rig, context.port, raw_bytes(text))


@when('a client sends "{text}" and {size:d} bytes more before it reads')
def step_sends_on(context, text, size):
    context.sock = socket.create_connection((HOST, context.port))
    context.add_cleanup(context.sock.close)
    context.sock.sendall(raw_bytes(text))
    context.rig.run_for(0.02)
    context.sock.setblocking(False)
    context.unsent = size

    def send():
        piece = min(context.unsent, PIECE_BYTES)
        try:
            context.unsent -= context.sock.send(b"x" * piece)
        except BlockingIOError:
            return False
        except OSError as exc:
            context.failure = exc
            return True
        return context.unsent == 0

    context.rig.run_until(send)


@then("it can send all of them and reads status {status:d}")
def step_reads_status(context, status):
    assert context.unsent == 0, context.failure
    context.rig.run_for(0.02)
    got = context.sock.recv(PIECE_BYTES)
    assert got.startswith(b"HTTP/1.1 %d " % status), got
    assert context.sock.recv(PIECE_BYTES) == b""


@then("it cannot send all of them")
def step_cut_off(context):
    assert context.unsent, "all was sent"


@when("a client sends {method}")
def step_client_sends(context, method):
    context.results = []

    def opened(conn):
        req = HttpRequest(method, "/", ((b"host", b"a"),))
        ClientConn(conn).send(req, context.results.append)

    context.rig.net.dial(HOST, context.port, opened, context.results.append)
    context.rig.run_until(lambda: context.results)


@then("the server answers {status:d} and closes")
def step_answers_and_closes(context, status):
    context.rig.run_until(lambda: context.caller.closed)
    assert context.caller.got.startswith(f"HTTP/1.1 {status} ".encode()), (
        context.caller.got
    )


@then("the server answers {status:d} and stays open")
def step_answers_and_stays(context, status):
    context.rig.run_until(lambda: context.caller.got)
    assert context.caller.got.startswith(f"HTTP/1.1 {status} ".encode())
    assert not context.caller.closed


@then('the bodies arrive in the order "{paths}"')
def step_bodies_in_order(context, paths):
    context.rig.run_until(lambda: context.caller.closed)
    found = [context.caller.got.index(path.encode()) for path in paths.split()]
    assert found == sorted(found), context.caller.got


@then("the client gets {status:d} with a body of {size:d} bytes")
def step_client_gets(context, status, size):
    result = context.results[0]
    assert result.status == status, result
    assert len(result.body) == size, result


@then("generated raw requests are answered or closed and the server keeps working")
def step_generated_requests(context):
    rig = context.rig

    @FIXED
    @generated(st.lists(FRAGMENTS, min_size=1, max_size=8))
    def check(pieces):
        caller = RawCaller(rig, context.port, b"".join(pieces))
        rig.run_for(0.003)
        if caller.conn is not None:
            caller.conn.abort()
        good = RawCaller(rig, context.port, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        rig.run_until(lambda: b"fine" in good.got)
        good.conn.abort()

    check()
