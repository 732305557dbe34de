"""Steps for the operators' HTTP server, its authentication and metrics."""

from behave import given as given_step, then, when
from hypothesis import given, settings, strategies as st

from cardamomgrade.auth import authorization, NonceBook
from cardamomgrade.loop import Loop
from cardamomgrade.metrics import Metrics
from cardamomgrade.net import Net
from cardamomgrade.ops import OpsClient, OpsServer
from cardamomgrade.refusal import Reason, Refusal
from loops import await_result

FIXED = settings(max_examples=200, derandomize=True, deadline=None, database=None)
KEY = "operators-key-1234"
CASES = st.tuples(
    st.text(min_size=1, max_size=8), st.sampled_from(["GET", "HEAD"]), st.text()
)


@then("generated credentials are accepted only for their own key, request and nonce")
def step_credentials(context):
    @FIXED
    @given(CASES, CASES)
    def check(own, other):
        book = NonceBook()
        nonce = book.issue(0.0)
        header = authorization(own[0], nonce, own[1], own[2])
        admitted = book.admits(other[0], header, other[1], other[2], 1.0)
        assert admitted == (own == other)
        assert not book.admits(own[0], header, own[1], own[2], 1.0), "used twice"
        forged = authorization(own[0], "0" * 32, own[1], own[2])
        assert not book.admits(own[0], forged, own[1], own[2], 1.0)

    check()


@then("expired and discarded nonces are refused")
def step_old_nonces(context):
    book = NonceBook(limit=2, lifetime_s=5.0)
    displaced, old, late = (book.issue(float(now)) for now in (0, 1, 3))
    assert not book.use(displaced, 3.0)
    assert not book.use(old, 6.0)
    assert book.use(late, 7.9)


@then("generated timings lie within the bounds that the metrics view reports")
def step_timings(context):
    @FIXED
    @given(st.lists(st.floats(0, 4000), min_size=1, max_size=30))
    def check(seconds):
        metrics = Metrics()
        for value in seconds:
            metrics.time("wait", value)
            metrics.count("waits")
        view = metrics.view()
        timing = view.timings["wait"]
        assert view.counters["waits"] == timing.count == len(seconds)
        assert timing.p50_us <= timing.p90_us <= timing.p99_us <= timing.max_us
        longest = max(1, min(max(seconds), 3600) * 1e6)
        assert abs(timing.max_us - longest) <= 1 + longest / 100

    check()


@given_step("an operators' server")
def step_server(context):
    context.loop = Loop()
    context.net = Net(context.loop)
    views = {
        "/echo": lambda query: {"id": query.get("id")},
        "/ready": lambda query: Refusal(Reason.UNAVAILABLE, "not yet"),
    }
    server = OpsServer(context.loop, "127.0.0.1:0", KEY, views, context.net)
    context.address = f"127.0.0.1:{server.port}"


@when('a client with the key "{key}" requests "{target}"')
def step_ask(context, key, target):
    client = OpsClient(context.loop, context.net, context.address, key)
    context.answer = await_result(
        context.loop, lambda done: client.get(target, done, 5.0)
    )


@then('the operators\' server responds with {status:d} and "{text}"')
def step_answer(context, status, text):
    assert context.answer.status == status, context.answer
    assert text in context.answer.body.decode(), context.answer.body
