"""Steps for the appends of callers' records; the client of the store is a fake."""

import io
import json

from behave import given, then, when
from jobs_node import CONFIG, NodeWorld

from cardamomgrade import journal
from cardamomgrade.client import Requester
from cardamomgrade.jobs.calls import CallKind, JobCall
from cardamomgrade.jobs.entry import AppendBatcher, JobEntry
from cardamomgrade.jobs.queues import Queue
from cardamomgrade.jobs.records import (
    AppendRecord,
    CancelRecord,
    decode_append,
    encode,
    PREFIX_APPEND,
    PREFIX_CANCEL,
    PREFIX_JOB,
)
from cardamomgrade.jobs.spec import JobSpec, Step
from cardamomgrade.jobs.store import Appended, AppendFailed, AppendFate, Entry
from cardamomgrade.jobs.view import JobView
from cardamomgrade.metrics import Metrics
from cardamomgrade.wire import HttpRequest

NODE = "n1"
INCARNATION = "life-1"
OWN_KEY = PREFIX_APPEND + NODE


class FakeLoop:
    """A clock that stands still."""

    def now(self):
        return 0.0


class FakeClient:
    """Records appends as (items, on_done), and how many were dropped."""

    def __init__(self):
        self.appends = []
        self.dropped = 0

    def append(self, items, on_done, timeout):
        self.appends.append((items, on_done))

    def cancel_append(self):
        self.dropped += 1


class BatcherFixture:
    """An AppendBatcher beside the view of its node; ``answers`` has (key, result)."""

    def __init__(self):
        self.client = FakeClient()
        self.metrics = Metrics()
        self.answers = []
        self.offset = 0
        self.view = JobView()
        self.batcher = AppendBatcher(
            FakeLoop(), self.client, self.metrics, NODE, INCARNATION
        )
        self.view.on_stored = self.batcher.on_key_read
        self.view.on_append = self.batcher.on_append_read

    def store(self, key):
        self.batcher.store(
            key, value_of(key), lambda result: self.answers.append((key, result))
        )

    def begin(self, *keys):
        """Store ``keys`` by append 2, which is then in flight.

        They wait together while append 1, which stores another job, is in flight.
        """
        self.store(PREFIX_JOB + "a0")
        for key in keys:
            self.store(key)
        self.client.appends[0][1](Appended(0))
        self.answers.clear()

    def read(self, key, value):
        self.view.fold(Entry(self.offset, key, value))
        self.offset += 1

    def answered(self, key):
        return [result for name, result in self.answers if name == key]


def value_of(key):
    if key.startswith(PREFIX_CANCEL):
        return encode(CancelRecord(0))
    name = key.removeprefix(PREFIX_JOB)
    return encode(JobSpec(name, "q", "s", "text", 0, (Step(1),)))


@given("a node whose append of jobs {first:w} and {second:w} is in flight")
def step_in_flight(context, first, second):
    context.batch = BatcherFixture()
    context.batch.begin(PREFIX_JOB + first, PREFIX_JOB + second)


@given("a node whose append of cancellations of {first:w} and {second:w} is in flight")
def step_cancels_in_flight(context, first, second):
    context.batch = BatcherFixture()
    context.batch.begin(PREFIX_CANCEL + first, PREFIX_CANCEL + second)


@given("a node that knows job {job:w}")
def step_known(context, job):
    context.batch = BatcherFixture()
    context.batch.read(PREFIX_JOB + job, value_of(PREFIX_JOB + job))


@given("the node's append of jobs {first:w} and {second:w} is in flight")
def step_then_in_flight(context, first, second):
    context.batch.begin(PREFIX_JOB + first, PREFIX_JOB + second)


@given("job {job:w} waits for the next append")
def step_waits(context, job):
    context.batch.store(PREFIX_JOB + job)


@when("another node's record of {key} is read")
def step_other_read(context, key):
    context.batch.read(key, value_of(key))


@when("the deletion of {key} is read")
def step_deletion_read(context, key):
    context.batch.read(key, b"")


@when("the append record {key} with {incarnation} and {number:d} is read")
def step_append_read(context, key, incarnation, number):
    context.batch.read(key, encode(AppendRecord(incarnation, number)))


@when("a malformed record of {key} is read")
def step_malformed_read(context, key):
    context.batch.read(key, b"not CBOR")


@when("the records of append {number:d} are read")
def step_own_read(context, number):
    items, _ = context.batch.client.appends[number - 1]
    for key, value in items:
        context.batch.read(key, value)


@when("the store's answer to append {number:d} is lost")
def step_lost(context, number):
    _, on_done = context.batch.client.appends[number - 1]
    on_done(AppendFailed(AppendFate.UNKNOWN, "timed out"))


@when("the store answers append {number:d}")
def step_answers(context, number):
    _, on_done = context.batch.client.appends[number - 1]
    on_done(Appended(7))


@then("only the caller of {key} is answered, with done")
def step_only(context, key):
    assert [name for name, _ in context.batch.answers] == [key], context.batch.answers
    step_done(context, key)


@then("the caller of {key} is answered done")
def step_done(context, key):
    (result,) = context.batch.answered(key)
    assert isinstance(result, Appended), result


@then("the callers of {first} and {second} are answered done")
def step_both_done(context, first, second):
    step_done(context, first)
    step_done(context, second)


@then("both callers of {key} are answered done")
def step_twice_done(context, key):
    results = context.batch.answered(key)
    assert len(results) == 2 and all(results), results


@then("the caller of {key} is answered unknown")
def step_unknown(context, key):
    (result,) = context.batch.answered(key)
    assert result.fate is AppendFate.UNKNOWN, result


@then("the caller of {key} is not answered")
def step_unanswered(context, key):
    assert context.batch.answered(key) == [], context.batch.answers


@then("no caller is answered")
def step_none(context):
    assert context.batch.answers == [], context.batch.answers


@then("the append in flight is not dropped")
def step_kept(context):
    assert context.batch.client.dropped == 0


@then("{count:d} appends were sent")
def step_sent(context, count):
    assert len(context.batch.client.appends) == count, context.batch.client.appends


@then("append {number:d} holds {key} and its append record")
def step_holds(context, number, key):
    items, _ = context.batch.client.appends[number - 1]
    assert [name for name, _ in items] == [key, OWN_KEY], items
    assert decode_append(items[-1][1]) == AppendRecord(INCARNATION, number)


@then('{read:d} appends were acknowledged by "read" and {answer:d} by "answer"')
def step_acknowledged(context, read, answer):
    counters = context.batch.metrics.counters()

    def count(how):
        return counters.get(("append_acks", (("by", "entry"), ("how", how))), 0)

    assert (count("read"), count("answer")) == (read, answer), counters


class FreshFollower:
    """A follower whose copy is never too old."""

    loaded = True
    failing = False

    def age(self):
        return 0.0


@given("an entry that answers calls of {count:d} customers, and {public:d} of nobody")
def step_entry(context, count, public):
    context.metrics = Metrics()
    entry = JobEntry(
        FakeLoop(), JobView(), FreshFollower(), None, None, context.metrics
    )
    queue = Queue("q", "h", "/q/", "s")
    for name in [f"c{number}" for number in range(count)] + [""] * public:
        call = JobCall(CallKind.COUNT, "q", "", customer=name)
        entry.serve(call, queue, lambda answer: None)


def customer_counts(context):
    """Return the counts of answers by customer; all of them are done."""
    return {
        dict(labels)["customer"]: value
        for (name, labels), value in context.metrics.counters().items()
        if name == "customer_answers" and dict(labels)["answer"] == "done"
    }


@then("the first {count:d} customers have a count of 1 each")
def step_first(context, count):
    found = customer_counts(context)
    assert len(found) == count + 1, found
    assert all(found[f"c{number}"] == 1 for number in range(count)), found


@then('the other {count:d} customers are counted as "{label}"')
def step_other(context, count, label):
    assert customer_counts(context)[label] == count


@then("no count has an empty customer")
def step_no_empty(context):
    assert "" not in customer_counts(context)


@given("{nodes:d} nodes with customers on an emulated platform")
def step_customer_nodes(context, nodes):
    context.log = io.StringIO()
    journal.start_logging("jobs", "n0", context.log)
    context.add_cleanup(journal.stop_logging)
    world = context.nodes = NodeWorld(nodes, 1)
    tenants = [{"name": "c", "apiKeys": ["k-known"], "weight": 1}]
    config = {**CONFIG, "version": 4, "tenants": tenants}
    world.platform.put("keyed.op", "config", config)
    world.rig.run_until(lambda: '"version": 4' in context.log.getvalue())


@when('a caller submits job {job} with the key "{key}"')
def step_submit_key(context, job, key):
    world = context.nodes
    caller = Requester(world.rig.loop, world.rig.net, world.cfgs[0].front)
    headers = (
        (b"host", b"jobs.example"),
        (b"authorization", f"Bearer {key}".encode()),
    )
    answers = []
    caller.request(
        HttpRequest("POST", f"/q/{job}", headers, b"{}"), answers.append, 5.0
    )
    world.rig.run_until(lambda: answers)
    context.answer = answers[0]


@then("this call gets status {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer


@then("a line CallRefused names job {job}, its queue and {answer}")
def step_refused_line(context, job, answer):
    lines = [json.loads(line) for line in context.log.getvalue().splitlines()]
    (line,) = [item for item in lines if item["event_name"] == "CallRefused"]
    assert (line["job"], line["queue"], line["answer"]) == (job, "r-q", answer), line


@then('no line contains "{key}"')
def step_no_key_logged(context, key):
    assert key not in context.log.getvalue()
