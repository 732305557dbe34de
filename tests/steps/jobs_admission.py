"""Steps for the admission of jobs and for the load that it rests on."""

import json

import attrs
import cbor2
from behave import given, then, when

from cardamomgrade.jobs.admission import retry_after_s
from cardamomgrade.jobs.calls import CallKind, JobCall
from cardamomgrade.jobs.durations import Durations
from cardamomgrade.jobs.entry import AppendBatcher, JobEntry
from cardamomgrade.jobs.load import expected_wait_ms, LoadPublisher
from cardamomgrade.jobs.pools import PoolLoad
from cardamomgrade.jobs.queues import Queue
from cardamomgrade.jobs.records import (
    decode_load,
    encode,
    KEY_LOAD,
    LoadRecord,
    PREFIX_JOB,
)
from cardamomgrade.jobs.spec import JobSpec, Step
from cardamomgrade.jobs.store import Entry
from cardamomgrade.jobs.view import JobView
from cardamomgrade.metrics import Metrics

NOW_MS = 1_000_000
SERVICE = "letters"
LOAD = PoolLoad(SERVICE, 1, 1, (), 1, False)


def job_call(number=0, **fields):
    steps = (Step(4, 2000, estimate_ms=640), Step(4, 2000, estimate_ms=640, after=(0,)))
    call = JobCall(CallKind.SUBMIT, "q", f"{number:016x}", steps=steps)
    return attrs.evolve(call, **fields)


class AdmissionFixture:
    def __init__(self, stretch, target_ms, wait_ms):
        self.queue = Queue(
            "q", "host", "/", SERVICE, stretch=stretch, target_ms=target_ms
        )
        self.load = LoadRecord(NOW_MS, ((SERVICE, float(wait_ms)),))
        self.share_load = None
        self.durations = Durations()
        self.answers = []

    def arrive(self, call, wall_ms=NOW_MS):
        self.answers.append(
            retry_after_s(
                call, self.queue, self.durations, self.load, self.share_load, wall_ms
            )
        )


@given(
    "a queue with a stretch of {stretch:g} and a target of {target_ms:d} ms, on a "
    "service with a wait of {wait_ms:d} ms"
)
def step_queue(context, stretch, target_ms, wait_ms):
    context.admission = AdmissionFixture(stretch, target_ms, wait_ms)


@when("a job of 2 steps of 640 ms each arrives")
def step_arrives(context):
    context.admission.arrive(job_call())


@when("{count:d} jobs of 2 steps of 640 ms each arrive")
def step_arrive(context, count):
    for number in range(count):
        context.admission.arrive(job_call(number))


@when("a job arrives 2.1 s after the load was published")
def step_old(context):
    context.admission.arrive(job_call(), NOW_MS + 2100)


@when("a job arrives 2.1 s before the load's time")
def step_ahead(context):
    context.admission.arrive(job_call(), NOW_MS - 2100)


@when("a lasting job arrives")
def step_lasting(context):
    context.admission.arrive(job_call(steps=(Step(4, 2000, lasting=True),)))


@when("a scheduled job arrives")
def step_scheduled(context):
    context.admission.arrive(job_call(repeat=3))


@when("a job arrives for a service that has no load")
def step_other(context):
    context.admission.load = LoadRecord(NOW_MS, (("other", 40_000.0),))
    context.admission.arrive(job_call())


@when("its tasks were seen to take {run_ms:d} ms instead of {estimate_ms:d} ms")
def step_learned(context, run_ms, estimate_ms):
    for _ in range(20):
        context.admission.durations.observe("q", estimate_ms, run_ms)


@then("it is accepted")
def step_accepted(context):
    assert context.admission.answers == [0], context.admission.answers


@then("it is refused")
def step_refused(context):
    (answer,) = context.admission.answers
    assert answer > 0


@then(
    "they are told to return after {least:d} s to {most:d} s, "
    "at {times:d} times or more"
)
def step_spread(context, least, most, times):
    answers = context.admission.answers
    assert min(answers) >= least and max(answers) <= most, answers
    assert len(set(answers)) >= times, answers


@then("a repeated request for a job is told the same time")
def step_same(context):
    fixture = context.admission
    first = fixture.answers[0]
    fixture.arrive(job_call(0))
    assert fixture.answers[-1] == first


@then(
    "{work:d} core-seconds on {vms:d} VMs of {cores:d} cores, {lasting:d} of them "
    "lasting, take {seconds:g} s"
)
def step_wait(context, work, vms, cores, lasting, seconds):
    load = attrs.evolve(
        LOAD,
        backlog_core_ms=work * 1000.0,
        lasting_cores_m=lasting * 1000,
        usable_vm_cores_m=int(cores * 1000 / 1.3),
    )
    assert abs(expected_wait_ms(load, vms) / 1000 - seconds) < 0.1


@given("a publisher of loads")
def step_publisher(context):
    context.stored = []
    context.now = 0.0
    context.publisher = LoadPublisher(context)
    context.store = context.stored.extend


@when(
    "it is called {times:d} times in {seconds:d} s with {work:d} core-seconds waiting"
)
def step_publish(context, times, seconds, work):
    context.stored.clear()
    loads = {SERVICE: attrs.evolve(LOAD, backlog_core_ms=work * 1000.0)}
    started = context.now
    for number in range(times):
        context.publisher.publish(loads, {}, started + number * seconds / times)
    context.now = started + seconds


@then("{count:d} records are stored")
def step_stored(context, count):
    assert len(context.stored) == count, context.stored
    assert all(key == KEY_LOAD for key, _ in context.stored)


@then("{count:d} records are stored, without waits")
def step_stored_empty(context, count):
    assert [decode_load(value).waits for _, value in context.stored] == [()] * count


class EntryFixture:
    """A JobEntry; stands in for its loop, its follower and the store's client."""

    loaded = True
    failing = False

    def __init__(self, wait_ms):
        self.view = JobView()
        self.queue = Queue("q", "host", "/", SERVICE, stretch=1.6, target_ms=600)
        self.syncs = []
        self.appends = []
        self.answers = []
        self.overload(wait_ms)
        batcher = AppendBatcher(self, self, Metrics(), "n1", "life-1")
        self.entry = JobEntry(
            self,
            self.view,
            self,
            batcher,
            self.syncs.append,
            Metrics(),
            lambda: NOW_MS,
        )

    def overload(self, wait_ms):
        self.view.load = LoadRecord(NOW_MS, ((SERVICE, float(wait_ms)),))

    def now(self):
        return 0.0

    def age(self):
        return 0.0

    def append(self, items, on_done, timeout):
        self.appends.append(items)

    def submit(self):
        self.entry.serve(job_call(), self.queue, self.answers.append)


@given("an entry of an overloaded service")
def step_overloaded(context):
    context.entry = EntryFixture(40_000)


@given("an entry of a service without load")
def step_not_loaded(context):
    context.entry = EntryFixture(0)


@when("the service gets overloaded")
def step_gets_overloaded(context):
    context.entry.overload(40_000)


@when("a caller submits a job")
def step_submit(context):
    context.entry.submit()


@when("the store is read to its end")
def step_synced(context):
    context.entry.syncs.pop()(True)


@when("the store is read to its end and has the job")
def step_synced_job(context):
    call = job_call()
    spec = JobSpec(call.job, "q", SERVICE, "", 0, call.steps)
    context.entry.view.fold(Entry(0, PREFIX_JOB + call.job, encode(spec)))
    context.entry.syncs.pop()(True)


@when("the store does not answer")
def step_not_synced(context):
    context.entry.syncs.pop()(False)


@then("the caller is answered {kind:w}")
def step_answered(context, kind):
    (answer,) = context.entry.answers
    assert answer.kind.value == kind, answer
    assert (answer.retry_after_s > 0) == (kind != "done"), answer


@then("no caller is answered yet")
def step_none_answered(context):
    assert context.entry.answers == []


@then("{count:d} appends of the entry were sent")
def step_appends(context, count):
    assert len(context.entry.appends) == count, context.entry.appends


@when("a load of {value} is read from the store")
def step_load_read(context, value):
    context.load = context.entry.view.load
    record = cbor2.dumps(json.loads(value))
    context.entry.view.fold(Entry(0, KEY_LOAD, record))


@then("the entry still knows the load before it")
def step_load_kept(context):
    assert context.entry.view.load is context.load
