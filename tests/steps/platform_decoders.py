"""Steps that pass generated and malformed input to every decoder of the platform."""

import json

import attrs
from behave import then
from hypothesis import example, given as generated, settings, strategies as st

from cardamomgrade.client import Failure
from cardamomgrade.errors import RecordError
from cardamomgrade.jobs.calls import JobCall
from cardamomgrade.jobs.queues import Queue
from cardamomgrade.jobs.reports import (
    LeaseReport,
    OrderAnswer,
    OrderResult,
    VmOrderResult,
)
from cardamomgrade.jobs.store import (
    Appended,
    AppendFailed,
    Page,
    ReadFailed,
    Records,
    Trimmed,
)
from cardamomgrade.platform import executor, ingress, machines, records, store
from cardamomgrade.refusal import Refusal
from cardamomgrade.wire import HttpRequest, HttpResponse, request_bytes

FIXED = settings(max_examples=400, derandomize=True, deadline=None, database=None)
DEEP = b"[" * 200_000
QUEUE = Queue("r", "h", "/q/", "s")
ROW = ["j.0.0.1", 2, "", 41]
END = [58, "j.0.0.9", 1, "done", ""]
VALID = {
    "registration": {
        "service": "s",
        "address": "127.0.0.1:8000",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 4000, "memMb": 64_000, "gpu": 0},
        "labels": ["a", "r1"],
        "clockMs": 7,
        "remainingMs": 5,
        "born": 1_764_700_000_123,
    },
    "configuration": {
        "version": 1,
        "routes": [
            {"name": "q", "host": "h", "pathPrefix": "/q/", "service": "s"},
        ],
        "services": [{"name": "s"}],
        "limits": {"maxBodyBytes": 5},
        "tenants": [
            {"name": "a", "apiKeys": ["k"], "weight": 2.5, "maxCount": {"cpu": 5}}
        ],
    },
    "wave": {"wave": 1, "machines": ["m"], "durationS": 20.5, "maxCount": 2},
    "order answer": {"clockMs": 5, "reason": "fence", "born": 1_764_700_000_123},
    "lease report": {
        "clockMs": 5,
        "running": [ROW],
        "finished": [END],
        "born": 1_764_700_000_123,
    },
    "VM list": {
        "machines": [{"machine": "m", "pool": "s", "state": "up", "id": None}],
        "nextToken": None,
    },
    "VM order answer": {"reason": "busy"},
    "append answer": {"offset": 4, "first": 2},
    "read answer": {"first": 4},
    "newest answer": {
        "items": [{"offset": 1, "key": "k", "value": "aGk="}],
        "morePages": False,
        "end": 2,
    },
    "request": {"spec": "t", "steps": [{"count": 1}], "repeatCount": 0},
    "key": {},
}
NUMBERS = st.one_of(
    st.integers(),
    st.floats(),
    st.sampled_from([2**63, -1, 10**400, float("inf"), float("nan"), True]),
)
TEXTS = st.one_of(
    st.text(st.characters(exclude_categories=()), max_size=8),
    st.sampled_from(["\ud800", "x" * 300, "9" * 5000, "a\r\nb", "1.2.3.4:5"]),
)
ANY = st.recursive(
    st.one_of(st.none(), NUMBERS, TEXTS),
    lambda items: st.one_of(
        st.lists(items, max_size=4),
        st.dictionaries(st.sampled_from(["name", "cpu", "id", "x"]), items, max_size=3),
    ),
    max_leaves=8,
)


def mutated(valid, value, draw):
    """Return a JSON value of which one part, at any depth, is ``value``."""
    if isinstance(valid, dict) and valid and draw(st.booleans()):
        key = draw(st.sampled_from(sorted(valid)))
        return {**valid, key: mutated(valid[key], value, draw)}
    if isinstance(valid, list) and valid and draw(st.booleans()):
        index = draw(st.integers(0, len(valid) - 1))
        part = mutated(valid[index], value, draw)
        return [*valid[:index], part, *valid[index + 1 :]]
    return value


@st.composite
def bodies(draw, name):
    return json.dumps(mutated(VALID[name], draw(ANY), draw)).encode()


def pairs_of(name):
    status = st.sampled_from([200, 400, 409, 410, 412, 421, 429, 500, 503])
    data = st.one_of(st.binary(max_size=60), bodies(name), bodies(name))
    return st.tuples(status, data)


def answer(status, body):
    return HttpResponse(status, (), body)


def decode_request(status, body):
    headers = ((b"x-deadline-ms", b"9" * 5000 if status == 500 else body[:9]),)
    req = HttpRequest("POST", "/q/00000000000000aa", headers, body)
    return ingress.decode_call(req, QUEUE)


def decode_key(status, body):
    headers = ((b"authorization", body), (b"x", b"y"))
    return ingress.decode_key(HttpRequest("GET", "/", headers))


def decode_read(status, body):
    return store._read_result(answer(status, bytes(16) + body), 3)


def list_vms(status, body):
    """Return what a list of VMs gives whose first page has this answer."""
    found, requests = [], []

    class Requests:
        def request(self, req, on_done, timeout):
            request_bytes(req)
            requests.append(req)
            on_done(answer(status, body) if len(requests) == 1 else Failure(True, ""))

    client = machines.MachinesClient(None, None, "127.0.0.1:1", "n", 1)
    client._lists = Requests()
    client.list_vms(found.append)
    return found[0]


DECODERS = {
    # name: (function of a status and a body, types of its results, documented error)
    "configuration": (
        lambda _, body: records.decode_config(body),
        records.QueueConfig,
        RecordError,
    ),
    "registration": (
        lambda _, body: records.decode_executor("i-0", body),
        records.ExecutorEntry,
        RecordError,
    ),
    "wave": (
        lambda _, body: records.decode_wave(body),
        records.WaveRequest,
        RecordError,
    ),
    "order answer": (
        lambda status, body: executor._order_answer(answer(status, body)),
        OrderAnswer,
        (),
    ),
    "lease report": (
        lambda status, body: executor._lease_report(answer(status, body)),
        (LeaseReport, OrderAnswer),
        (),
    ),
    "VM list": (list_vms, (tuple, Refusal), ()),
    "VM order answer": (
        lambda status, body: machines._order_result(answer(status, body)),
        VmOrderResult,
        (),
    ),
    "append answer": (
        lambda status, body: store._append_result(answer(status, body)),
        (Appended, AppendFailed),
        (),
    ),
    "read answer": (decode_read, (Records, Trimmed, ReadFailed), ()),
    "newest answer": (
        lambda status, body: store._page_result(answer(status, body)),
        (Page, ReadFailed),
        (),
    ),
    "request": (decode_request, JobCall, RecordError),
    "key": (decode_key, str, ()),
}


@then("generated input to the {name} decoder is decoded or rejected")
def step_generated(context, name):
    decode, types, error = DECODERS[name]

    @FIXED
    @example((200, DEEP))
    @example((409, DEEP))
    @example((200, b"\xff\xfe"))
    @generated(pairs_of(name))
    def check(pair):
        try:
            found = decode(*pair)
        except error:
            return
        assert isinstance(found, types), found
        assert is_encodable(found), found

    check()


def is_encodable(found):
    """Return whether all texts in a result can be sent and stored as UTF-8."""
    if isinstance(found, str):
        return not any("\ud800" <= char <= "\udfff" for char in found)
    if attrs.has(type(found)):
        found = [getattr(found, field.name) for field in attrs.fields(type(found))]
    if isinstance(found, dict):
        found = [*found, *found.values()]
    is_group = isinstance(found, list | tuple)
    return not is_group or all(map(is_encodable, found))


def body_of(decoder, value):
    """Return (status, body, executor id) of a described malformed input."""
    fields = dict(VALID[decoder])
    fixed = {
        "deep nesting": DEEP,
        "undecodable bytes": b"\xff\xfe{}",
        "a conflict whose reason is a list": b'{"reason":[]}',
        "a row whose task has 5000 digits": json.dumps(
            {**fields, "running": [["j.0.0." + "9" * 5000, 1, "", 0]]}
        ).encode(),
    }
    if value in fixed:
        return (409 if "conflict" in value else 200), fixed[value], "i-0"
    if value.startswith("an object under the id "):
        name = value.removeprefix("an object under the id ")
        name = "x" * 240 if "characters" in name else name.replace("\\n", "\n")
        return 200, json.dumps(fields).encode(), name
    change = value.removeprefix("an object with ")
    if change.startswith("a huge "):
        fields[change.removeprefix("a huge ")] = 10**400
        return 200, json.dumps(fields).encode(), "i-0"
    key, _, text = change.partition("=")
    fields.pop(key, None)
    body = json.dumps(fields)[:-1] + f', "{key}": {text}}}'
    return 200, body.encode(), "i-0"


@then("the {decoder} decoder rejects {value}")
def step_rejects(context, decoder, value):
    status, body, name = body_of(decoder, value.replace("\\\\", "\\"))
    decode, _, error = DECODERS[decoder]
    if decoder == "registration":
        decode = lambda _, data: records.decode_executor(name, data)  # noqa: E731
    try:
        found = decode(status, body)
    except error:
        return
    if isinstance(found, OrderAnswer):
        wanted = (OrderResult.REJECTED, OrderResult.TAKEN)
        assert found.result in wanted[: 1 + (decoder == "order answer")], found
    else:
        assert isinstance(found, (Refusal, ReadFailed)), found


@then("a VM order answered 409 with a list as the reason was REJECTED")
def step_vm_order(context):
    found = machines._order_result(answer(409, b'{"reason":[]}'))
    assert found is VmOrderResult.REJECTED, found


@then("a request whose deadline has {digits:d} digits has no deadline")
def step_deadline(context, digits):
    headers = ((b"x-deadline-ms", b"9" * digits),)
    body = json.dumps(VALID["request"]).encode()
    req = HttpRequest("POST", "/q/00000000000000aa", headers, body)
    assert ingress.decode_call(req, QUEUE).deadline_ms == 0


@then('the token "{token}" of a page of VMs makes a valid request')
def step_token(context, token):
    token = token.replace("\\r", "\r").replace("\\n", "\n")
    body = json.dumps({**VALID["VM list"], "nextToken": token}).encode()
    assert isinstance(list_vms(200, body), Refusal)


@then("a VM list whose token repeats is refused")
def step_endless(context):
    found = []
    body = json.dumps({**VALID["VM list"], "nextToken": "again"}).encode()

    class Requests:
        def request(self, req, on_done, timeout):
            on_done(answer(200, body))

    client = machines.MachinesClient(None, None, "127.0.0.1:1", "n", 1)
    client._lists = Requests()
    client.list_vms(found.append)
    assert isinstance(found[0], Refusal), found


@then("born is read from registrations, reports and order answers as follows")
def step_born(context):
    for row in context.table:
        texts = {}
        for name in ("registration", "lease report", "order answer"):
            fields = {key: item for key, item in VALID[name].items() if key != "born"}
            if row["value"] != "missing":
                fields["born"] = json.loads(row["value"])
            texts[name] = json.dumps(fields).encode()
        wanted = int(row["born"])
        entry = records.decode_executor("i-0", texts["registration"])
        report = executor._lease_report(answer(200, texts["lease report"]))
        order = executor._order_answer(answer(409, texts["order answer"]))
        assert (entry.born, report.born, order.born) == (wanted,) * 3, row
