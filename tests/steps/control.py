"""Steps for the parts of the control that run without a process, and the follower."""

import subprocess
import sys
import tempfile
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

import attrs
from behave import given as given_step, then, when
from hypothesis import given, settings, strategies as st

from cardamomgrade import follower as follower_module
from cardamomgrade.estate import ListedVm, RebootAccepted
from cardamomgrade.follower import Follower, PAUSE_CHECK_INTERVAL_S, PAUSE_MIN_S
from cardamomgrade.intent import IntentSchedule, rank
from cardamomgrade.loop import Loop
from cardamomgrade.net import Net
from cardamomgrade.reboots import CALL_RETRY_S, RebootCaller
from cardamomgrade.records import DrainStarted, Logged, RebootOrdered, VmFailed
from cardamomgrade.refusal import Reason, Refusal
from cardamomgrade.replica import FoldedRecord, Replica, Restored
from cardamomgrade.retention import RANK_DELAY_S, Retention
from cardamomgrade.server import HttpServer
from cardamomgrade.snapshot import snapshot_records
from cardamomgrade.standlog import LogStandin
from cardamomgrade.watch import MEMBER_GONE_AFTER_S, REBOOT_REORDER_AFTER_S, VmWatch
from fleets import fleet_log, rebooting_state

ROOT = Path(__file__).resolve().parents[2]
FIXED = settings(max_examples=100, derandomize=True, deadline=None, database=None)
NAMES = st.lists(st.text(min_size=1, max_size=4), min_size=1, max_size=7, unique=True)
WAIT_S = 5.0


@then("generated names get distinct ranks, whose order a new name does not change")
def step_ranks(context):
    @FIXED
    @given(st.text(max_size=5), NAMES, st.text(min_size=5, max_size=5))
    def check(shard, names, new_name):
        ranks = {name: rank(shard, name, names) for name in names}
        assert sorted(ranks.values()) == list(range(len(names)))
        grown = [*names, new_name]
        order = sorted(names, key=ranks.get)
        kept = sorted(grown, key=lambda name: rank(shard, name, grown))
        kept.remove(new_name)
        assert kept == order

    check()


@then("the intents of generated plans are appended once, after the delay by rank")
def step_intents(context):
    plans = st.lists(st.frozensets(st.integers(0, 3)), min_size=1, max_size=30)

    @FIXED
    @given(plans, st.integers(0, 3))
    def check(ticks, delay):
        schedule, planned_for, appended = IntentSchedule(), {}, set()
        for tick, plan in enumerate(ticks):
            planned_for = {item: planned_for.get(item, tick) for item in plan}
            records = [DrainStarted(item, "c") for item in plan]
            due = {item.batch for item in schedule.due(records, tick, lambda _: delay)}
            not_due = {
                item for item, since in planned_for.items() if tick - since < delay
            }
            assert due == plan - not_due - appended
            appended |= due
            for item in due:
                schedule.mark_started(DrainStarted(item, "another"))

    check()


def _listed(vm="a1", state="live", fence=-1, kind="endpoint"):
    return ListedVm(vm, kind, "z", "r", "127.0.0.1:1", state, fence)


def _records(watch, state, now, *items):
    watch.update({item.vm: item for item in items}, now)
    return [type(record).__name__ for record in watch.records(state, now)]


@then("a failure is recorded after two lists show it and a recovery after two more")
def step_failures(context):
    state = SimpleNamespace(vms=fleet_log().state.vms, members={})
    only = SimpleNamespace(vms={"a1": state.vms["a1"]}, members={})
    watch = VmWatch("c")
    failed = _listed(state="failed")
    assert _records(watch, only, 0.0, failed) == []
    assert _records(watch, only, 1.0, failed) == ["VmFailed"]
    only.vms = {"a1": attrs.evolve(state.vms["a1"], failed=True)}
    assert _records(watch, only, 2.0, _listed(state="leaving")) == []
    assert _records(watch, only, 3.0, _listed()) == ["VmRecovered"]
    assert _records(watch, only, 4.0) == []


@then("a VM joins only when it is live with the fence of its last reboot order")
def step_joins(context):
    state, fence = rebooting_state("a1")
    watch = VmWatch("c")
    for item in (_listed(fence=fence - 1), _listed(state="rebooting", fence=fence)):
        assert "VmJoined" not in _records(watch, state, 0.0, item)
    assert "VmJoined" in _records(watch, state, 1.0, _listed(fence=fence))


@then("a reboot order without effect is repeated only after ten seconds")
def step_reorder(context):
    state, fence = rebooting_state("a1")
    watch = VmWatch("c")
    item = _listed(fence=fence - 1)
    assert "RebootOrdered" not in _records(watch, state, 0.0, item)
    assert "RebootOrdered" not in _records(
        watch, state, REBOOT_REORDER_AFTER_S - 1, item
    )
    begun = _listed(state="rebooting", fence=fence)
    assert "RebootOrdered" not in _records(watch, state, REBOOT_REORDER_AFTER_S, begun)
    assert "RebootOrdered" in _records(watch, state, REBOOT_REORDER_AFTER_S, item)


@then(
    "an entry is recorded as gone if its VM was missing for ten seconds, not if failed"
)
def step_gone(context):
    full = fleet_log().state
    state = SimpleNamespace(vms={}, members=full.members)
    watch = VmWatch("c")
    assert _records(watch, state, 0.0) == [], "never listed"
    assert _records(watch, state, 1.0, _listed("e1", kind="entry")) == []
    assert _records(watch, state, 2.0) == []
    assert _records(watch, state, 1.0 + MEMBER_GONE_AFTER_S) == []
    assert _records(watch, state, 2.0 + MEMBER_GONE_AFTER_S) == ["MemberGone"]
    back = _listed("e1", kind="entry")
    assert _records(watch, state, 20.0, back) == []
    frozen = _listed("e1", state="failed", kind="entry")
    assert _records(watch, state, 21.0, frozen) == []
    assert _records(watch, state, 22.0 + MEMBER_GONE_AFTER_S, frozen) == [], (
        "it may be frozen"
    )
    assert _records(watch, state, 23.0 + MEMBER_GONE_AFTER_S) == []
    assert _records(watch, state, 23.0 + 2 * MEMBER_GONE_AFTER_S) == ["MemberGone"]


class _FakePlatform:
    """Records reboot calls and returns the given answers, then accepts all."""

    def __init__(self, *answers):
        self.calls = []
        self._answers = list(answers)

    def reboot(self, vm, fence, on_done):
        self.calls.append(fence)
        on_done(self._answers.pop(0) if self._answers else RebootAccepted(vm, fence))


@then("a reboot is called once, and not after a newer order or a join")
def step_reboot_once(context):
    state, fence = rebooting_state("a1")
    order = RebootOrdered(0, "a1", "c")
    newer = attrs.evolve(order, control="another")
    vm = state.vms["a1"]

    def changed(**changes):
        return SimpleNamespace(vms={"a1": attrs.evolve(vm, **changes)})

    for superseded, seen, calls in (
        (False, state, [fence]),
        (True, state, []),
        (False, changed(phase="serving"), []),
        (False, changed(fence=fence + 1), []),
        (False, SimpleNamespace(vms={}), []),
    ):
        platform = _FakePlatform()
        reboots = RebootCaller("c", platform, lambda: 100.0)
        reboots.add_order(order, fence)
        if superseded:
            reboots.add_order(newer, fence + 1)
        reboots.call_due(seen)
        reboots.call_due(seen)
        assert platform.calls == calls, (superseded, platform.calls)


@then("a reboot call that did not reach the platform is repeated")
def step_call_again(context):
    state, fence = rebooting_state("a1")
    clock = iter((0.0, CALL_RETRY_S / 2, CALL_RETRY_S, 2 * CALL_RETRY_S, 9.0))
    down = Refusal(Reason.UNAVAILABLE)
    platform = _FakePlatform(down, Refusal(Reason.UNKNOWN))
    reboots = RebootCaller("c", platform, lambda: next(clock))
    reboots.add_order(RebootOrdered(0, "a1", "c"), fence)
    counts = [reboots.call_due(state) for _ in range(5)]
    assert counts == [1, 0, 1, 0, 0], counts


@then("the control with rank 0 writes a snapshot and the others wait for it")
def step_retention(context):
    state = SimpleNamespace(offset=50)
    status = SimpleNamespace(earliest=0, tail=50)
    kept = SimpleNamespace(earliest=40, tail=50)

    def replica(since, offset=0):
        return SimpleNamespace(
            state=state,
            records_since_snapshot=since,
            snapshot_offset=offset,
            awaiting_snapshot=False,
        )

    cases = (
        (replica(9), status, 0, 1.0, False),
        (replica(10), status, 0, 1.0, True),
        (replica(10), status, 1, 1.0, False),
        (replica(1), status, 0, 60.0, True),
        (replica(1, 44), kept, 0, 1.0, True),
        (replica(1, 46), kept, 0, 1.0, False),
    )
    for seen, log, own_rank, now, expected in cases:
        retention = Retention(interval_s=60, records=10)
        retention.due(replica(0, seen.snapshot_offset), status, own_rank, 0.0)
        assert retention.due(seen, log, own_rank, now) == expected, (
            seen,
            log,
            own_rank,
        )
        assert not retention.due(seen, log, own_rank, now + 0.1), "written twice"
    retention = Retention(interval_s=60, records=10)
    assert not retention.due(replica(10), status, 1, 0.0)
    assert retention.due(replica(10), status, 1, RANK_DELAY_S)


@then("a generated log gives the same state from a snapshot as from its start")
def step_snapshot_start(context):
    logged = fleet_log().logged

    @FIXED
    @given(st.integers(1, len(logged)), st.integers(0, 3))
    def check(cut, kept):
        original, restored = Replica(), Replica()
        original.take(logged[:cut])
        parts = snapshot_records(original.state)
        tail = [
            Logged(cut + index, logged[cut - 1].time_ms, part)
            for index, part in enumerate(parts)
        ]
        rest = [
            attrs.evolve(item, offset=item.offset + len(parts))
            for item in logged[cut:]
            if not hasattr(item.record, "batch")
        ]
        earliest = max(0, cut - kept)
        restored.lost(earliest)
        original.take([*tail, *rest])
        results = restored.take([*logged[earliest:cut], *tail, *rest])
        assert isinstance(results[0], Restored)
        assert restored.state == original.state

    check()


@then("snapshots that are damaged, incomplete or older than the state are skipped")
def step_bad_snapshots(context):
    logged = fleet_log().logged
    original = Replica()
    original.take(logged)
    part = snapshot_records(original.state)[0]
    end = len(logged)
    for bad in (
        attrs.evolve(part, data=part.data[:-1]),
        attrs.evolve(part, digest=b"x" * 32),
        attrs.evolve(part, parts=part.parts + 1),
        attrs.evolve(part, through=part.through + 1),
    ):
        restored = Replica()
        restored.lost(end)
        assert restored.take([Logged(end, 0, bad)]) == []
        assert restored.awaiting_snapshot, "restored a bad snapshot"
    stale = Replica()
    stale.take([*logged, Logged(end, 0, VmFailed("a1", "c"))])
    stale.lost(end + 5)
    assert stale.take([Logged(end + 5, 0, part)]) == []
    assert stale.awaiting_snapshot, "restored an older state"


@given_step("a follower of a log in this process")
def step_follower(context):
    context.loop = Loop()
    net = Net(context.loop)
    context.log = LogStandin(context.loop)
    context.dropped = 0

    def handle(exchange):
        if exchange.req.method == "POST" and context.dropped:
            context.dropped -= 1
            exchange.drop()
        else:
            context.log.handle(exchange)

    port = HttpServer(context.loop, net, handle).listen("127.0.0.1", 0)
    address = f"127.0.0.1:{port}"
    context.follower = Follower(context.loop, net, address, lambda results: None)
    context.follower.start()
    assert context.loop.run_until(context.follower.fresh, WAIT_S)


def _submit(context):
    context.record = VmFailed("a1", "c")
    context.outcomes = []
    context.follower.submit(context.record, context.outcomes.append)
    with mock.patch.object(follower_module, "READ_BACK_TIMEOUT_S", 0.2):
        context.loop.run_until(lambda: bool(context.outcomes), WAIT_S)
        context.loop.run_until(lambda: False, 0.3)


@when("the log loses the answer to an append")
def step_lose(context):
    context.log.faults.lose_answers = 1
    _submit(context)


@when("the log drops an append")
def step_drop(context):
    context.dropped = 1
    _submit(context)


@when("the log is down for an append")
def step_down(context):
    context.log.faults.log = "down"
    _submit(context)


@then("the outcome of the append is the record read from the log")
def step_outcome_record(context):
    (outcome,) = context.outcomes
    assert isinstance(outcome, FoldedRecord) and outcome.logged.record == context.record
    assert context.log.appends == 1, "appended again"


@then("the outcome of the append is {reason}")
def step_outcome(context, reason):
    (outcome,) = context.outcomes
    assert outcome.reason is Reason(reason), outcome


@when("the process is suspended while the log is down")
def step_suspend(context):
    assert not context.follower.paused()
    context.log.faults.log = "down"
    now = context.loop.now
    context.loop.now = lambda: now() + 2 * PAUSE_MIN_S


@then("the follower is paused until the log is back")
def step_paused(context):
    loop, follower = context.loop, context.follower
    assert follower.paused(), "before the first callback"
    loop.run_until(lambda: False, 3 * PAUSE_CHECK_INTERVAL_S)
    assert follower.paused(), "not paused before a read of the tail"
    assert not follower.fresh(), "fresh before a read of the tail"
    context.log.faults.log = "up"
    assert loop.run_until(follower.fresh, WAIT_S), "never fresh"
    assert not follower.paused(), "still paused"


def _control(*args):
    return subprocess.run(
        [sys.executable, "-m", "cardamomgrade.control", *args],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=60,
    )


@then("every example control prints its settings without the key")
def step_examples(context):
    paths = sorted(ROOT.glob("examples/*/control-*.ini"))
    assert len(paths) == 13, paths
    for path in paths:
        result = _control(str(path), "--check-settings")
        assert result.returncode == 0, result.stderr
        assert "key = (hidden)" in result.stdout and "tick_ms" in result.stdout


@then("a bad control setting ends with status 2 and an error that names it")
def step_bad_setting(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / "bad.ini"
    text = (ROOT / "examples/agence/control-1.ini").read_text()
    for old, new, named in (
        ("tick_ms = 200", "tick_ms = 5", "[wave] tick_ms = '5'"),
        ("tick_ms", "tic_ms", "unknown key [wave] tic_ms"),
        ("key = replace", "key = short\nzz = replace", "(hidden)"),
    ):
        path.write_text(text.replace(old, new))
        result = _control(str(path))
        assert result.returncode == 2, result
        assert named in result.stderr and "allowed" in result.stderr, result.stderr
