"""Steps for the client of the platform's VM interface."""

import json

from behave import given as given_step, then
from hypothesis import given, settings, strategies as st

from cardamomgrade.errors import PlatformError
from cardamomgrade.estate import (
    KINDS,
    parse_list,
    PlatformClient,
    RebootAccepted,
    STATES,
)
from cardamomgrade.loop import Loop
from cardamomgrade.net import Net
from cardamomgrade.refusal import Reason
from cardamomgrade.server import HttpServer, plain_response
from loops import await_result

FIXED = settings(max_examples=300, derandomize=True, deadline=None, database=None)
SCALARS = st.one_of(st.none(), st.booleans(), st.integers(0, 9), st.text(max_size=3))
NAMES = ("vm", "zone", "rack", "address")
ITEMS = st.fixed_dictionaries(
    {name: st.text(max_size=3) | SCALARS for name in NAMES}
    | {"kind": st.sampled_from([*KINDS, "other"])}
    | {"state": st.sampled_from([*STATES, "odd"]), "fence": SCALARS}
)


@then("generated JSON is parsed as a VM list or raises PlatformError")
def step_parse(context):
    @FIXED
    @given(st.lists(ITEMS | SCALARS, max_size=3) | SCALARS)
    def check(value):
        try:
            listed = parse_list(json.dumps(value).encode())
        except PlatformError:
            return
        assert len(listed) == len(value)
        for item in value:
            found = listed[item["vm"]]
            assert (found.state, found.fence) == (item["state"], item["fence"])
            assert found.kind in KINDS and found.state in STATES

    check()


@given_step("a platform that responds with 200, 409, 503 and then not at all")
def step_platform(context):
    context.loop = Loop()
    context.net = Net(context.loop)
    statuses = iter((200, 409, 503))
    context.fences = []

    def answer(exchange):
        context.fences.append(json.loads(exchange.req.body)["fence"])
        status = next(statuses, None)
        if status is not None:
            exchange.respond(plain_response(status, "{}"))

    server = HttpServer(context.loop, context.net, answer)
    context.address = f"127.0.0.1:{server.listen('127.0.0.1', 0)}"


@then("reboots are accepted, outdated, unavailable and unknown in turn")
def step_reboots(context):
    client = PlatformClient(context.loop, context.net, context.address)
    results = [
        await_result(
            context.loop, lambda done, fence=fence: client.reboot("a1", fence, done)
        )
        for fence in (1, 2, 3, 4)
    ]
    assert results[0] == RebootAccepted("a1", 1)
    reasons = [result.reason for result in results[1:]]
    assert reasons == [Reason.OUTDATED, Reason.UNAVAILABLE, Reason.UNKNOWN], reasons
    assert context.fences == [1, 2, 3, 4], "a call was repeated or not sent"


@then("a reboot is unavailable when the platform cannot be reached")
def step_gone(context):
    context.net.close_listeners()
    client = PlatformClient(context.loop, context.net, context.address)
    result = await_result(context.loop, lambda done: client.reboot("a1", 5, done))
    assert result.reason is Reason.UNAVAILABLE
