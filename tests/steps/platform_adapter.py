"""Steps for the platform adapter; the expected bytes and texts are literals."""

import json

import attrs
import yaml
from behave import given, then, when

from cardamomgrade.client import Failure
from cardamomgrade.errors import FeedError, RecordError, SettingsError
from cardamomgrade.jobs.queues import Queue
from cardamomgrade.jobs.reports import LeaseReport, OrderResult, Outcome
from cardamomgrade.jobs.spec import Step
from cardamomgrade.jobs.store import AppendFate, Entry
from cardamomgrade.platform import boot, executor, ingress, records, store
from cardamomgrade.wire import HttpRequest, HttpResponse

SETTINGS = """
nodeName: "front-a-1"
zone: "a"
listen: {front: "127.0.0.1:8624", ready: "127.0.0.1:8622"}
platform: {address: "127.0.0.1:8621", recordBytes: 1000, writesPerS: 600}
cloud: {address: "127.0.0.1:8620", dutyPerS: 64.0}
somethingNew: [1, 2]
limits: {cpuShare: 0.537, cores: 2, linkMbps: 1000.0}
bounds:
  stopTimeoutMs: 900
  maxHoldMs: 10000
  leaseMs: 3000
  maintenanceS: 2.5
  status_s: 120
  visible_ms: 3000
  graceS: 6
  noticeMs: 4500
  paceMs: 100
  interferenceMs: 4000
"""


@given("a settings file of the platform")
def step_settings(context):
    context.tree = yaml.safe_load(SETTINGS)


def parse(context):
    return boot.parse_settings("boot.yaml", yaml.safe_dump(context.tree))


@then("its node, addresses, limits and bounds are read")
def step_read(context):
    cfg = parse(context)
    assert (cfg.node, cfg.zone) == ("front-a-1", "a")
    assert (cfg.front, cfg.ready) == ("127.0.0.1:8624", "127.0.0.1:8622")
    assert (cfg.store, cfg.machines) == ("127.0.0.1:8621", "127.0.0.1:8620")
    assert (cfg.grace_ms, cfg.upkeep_ms, cfg.status_ms) == (6000, 2500, 120_000)
    assert (cfg.core_share, cfg.cores, cfg.link_mbps) == (0.537, 2, 1000.0)
    assert (cfg.machine_lease_ms, cfg.max_lease_ms) == (3000, 10_000)
    assert (cfg.max_fds, cfg.memory_mb) == (4096, 300)  # the defaults


@then("unknown fields are ignored")
def step_ignored(context):
    assert "somethingNew" in context.tree and parse(context)


@when("the setting {field} is {value}")
def step_change(context, field, value):
    table = context.tree
    *path, last = field.split(".")
    for key in path:
        table = table[key]
    if value == "missing":
        del table[last]
    else:
        table[last] = yaml.safe_load(value)


@then('it is rejected with an error that names "{field}" and what is allowed')
def step_settings_rejected(context, field):
    try:
        parse(context)
    except SettingsError as exc:
        assert field in str(exc) and "allowed" in str(exc), exc
        return
    raise AssertionError("the settings were accepted")


FRAMES = b"\x00\x00\x00\x04\x01ahi\x00\x00\x00\x03\x02bc"


@then("an append and a read of two records match the expected bytes")
def step_frames(context):
    assert store.encode_items([("a", b"hi"), ("bc", b"")]) == FRAMES
    body = (9).to_bytes(8, "big") + (2).to_bytes(8, "big") + FRAMES
    found = store.decode_read(body, 7)
    assert (found.end, found.next_offset) == (9, 9)
    assert found.entries == (Entry(7, "a", b"hi"), Entry(8, "bc", b""))


@then("a truncated read is rejected")
def step_truncated(context):
    body = bytes(16) + FRAMES
    for size in (3, 18, 21, len(body) - 1):
        try:
            store.decode_read(body[:size], 0)
        except FeedError:
            continue
        raise AssertionError(size)


def result(status, body):
    if status == 0:
        return Failure(body == "sent", "no answer")
    return HttpResponse(status, (), body.encode())


@then("an append answered {status:d} with {body} failed as {fate}")
def step_fate(context, status, body, fate):
    found = store._append_result(result(status, body))
    assert found.fate is AppendFate[fate], found


@then("an order answered {status:d} with {body} was {name}")
def step_order(context, status, body, name):
    found = executor._order_answer(result(status, body))
    assert found.result is OrderResult[name], found


# An empty cell of an outline leaves no text between the words around it.
@then("an append answered {status:d} with  failed as {fate}")
def step_fate_empty(context, status, fate):
    step_fate(context, status, "", fate)


@then("an order answered {status:d} with  was {name}")
def step_order_empty(context, status, name):
    step_order(context, status, "", name)


@then("a report of two runs and one end is decoded")
def step_report(context):
    body = (
        '{"clockMs":7,"running":[["j.0.0.1",2,"cp",41],["j.0.0.2",1,"",100,33]],'
        '"finished":[[58,"j.0.0.9",1,"done",""]]}'
    )
    report = executor._lease_report(result(200, body))
    assert isinstance(report, LeaseReport) and report.clock_ms == 7
    first, second = report.running
    assert (first.task, first.run, first.checkpoint) == ("j.0.0.1", 2, "cp")
    assert (first.percent, first.load, second.load) == (41, 0, 33)
    assert report.ended[0].number == 58 and report.ended[0].outcome is Outcome.DONE


@then("a report with an unknown outcome is rejected")
def step_bad_report(context):
    body = '{"clockMs":7,"running":[],"finished":[[58,"j.0.0.9",1,"odd",""]]}'
    found = executor._lease_report(result(200, body))
    assert found.result is OrderResult.REJECTED


@then("only a report of 500 ends tells that there may be more")
def step_more_ends(context):
    for count, more in ((0, False), (499, False), (500, True)):
        ends = [[number, "j.0.0.9", 1, "done", ""] for number in range(1, count + 1)]
        body = json.dumps({"clockMs": 7, "running": [], "finished": ends})
        report = executor._lease_report(result(200, body))
        assert (len(report.ended), report.more_ends) == (count, more)


@then("a step with every field set is decoded")
def step_step(context):
    body = (
        b'{"spec":"t","steps":[{"count":3},{"count":4,"cpu":500,"memMb":256,"gpu":1,'
        b'"estimateMs":900,"after":[0],"requirements":"a","affinity":"r1",'
        b'"antiAffinity":2,"gangScheduled":true,"rackLocal":true,"speculative":true,'
        b'"longRunning":true,"checkpointing":true,"fills":true,"image":"i",'
        b'"targetMs":50,"mayMiss":1}],"repeatCount":2,"startAtMs":5,"intervalMs":7}'
    )
    headers = ((b"x-deadline-ms", b"3000"),)
    req = HttpRequest("POST", "/q/00000000000000aa", headers, body)
    call = ingress.decode_call(req, Queue("r", "h", "/q/", "s"))
    assert (call.repeat, call.start_at_ms, call.interval_ms) == (2, 5, 7)
    assert (call.job, call.deadline_ms) == ("00000000000000aa", 3000)
    wanted = (4, 500, 256, 1, 900, (0,), "a", "r1", 2, *[True] * 6, "i", 50, 1)
    assert attrs.astuple(call.steps[1]) == wanted
    assert call.steps[0] == Step(3)


@then("the {kind} record {value} is rejected")
def step_record_rejected(context, kind, value):
    decode = {"config": records.decode_config, "wave": records.decode_wave}[kind]
    try:
        decode(value.encode())
    except RecordError:
        return
    raise AssertionError("the record was accepted")


@then('the error of the config record with {tenants} contains no "{key}"')
def step_no_key_in_error(context, tenants, key):
    text = f'{{"version":1,"routes":[],"services":[],"tenants":{tenants}}}'
    try:
        records.decode_config(text.encode())
    except RecordError as exc:
        assert key not in str(exc), exc
        return
    raise AssertionError("the record was accepted")
