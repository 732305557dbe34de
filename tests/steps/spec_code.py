"""Steps that check the code against the models of the protocols.

Runs of the barrier model are replayed on the records and folds of the code.
"""

from itertools import pairwise

from behave import then
from bundle import bundle_options, bundle_text
from fleetlog import FleetLog
from spec_traces import search
from specs import barrier, moves
from specs.checker import can_step

from cardamomgrade import records
from cardamomgrade.batch import VM_CHART
from cardamomgrade.bundle import parse_bundle
from cardamomgrade.claim import ClaimState
from cardamomgrade.fleet import LEASE_MS, may_send
from cardamomgrade.member import records_to_append, Seat

TICK_MS = LEASE_MS // barrier.LEASE_TICKS
DEADLINE_MS = barrier.DEADLINE_TICKS * TICK_MS
MEMORY_MS = 1000
VM = "a0"
SEATS = [Seat(name, "z", "127.0.0.1:1", 1) for name in ("e1", "e2")]


class Replay:
    """Replays actions of the barrier model on a fleet log and the views of two entries.

    Ages are in ticks. ``refused`` lists the names of the actions that the code refuses.
    """

    def __init__(self):
        options = bundle_options(service_s={"deadline_ms": DEADLINE_MS})
        self.log = FleetLog()
        self.log.start(parse_bundle(bundle_text(options)))
        self.views = [self.log.state] * 2
        self.reads = [self.log.state] * 2
        self.ages = [0, 0]
        self.read_ages = [0, 0]
        self.acks = [None, None]
        self.confirms = [None, None]
        self.running = [0, 0]
        self.refused = []

    def replay(self, names):
        """Replay the named actions in order and return the replay."""
        for name in names:
            action, _, entry = name.rpartition(" ")
            if action:
                allowed = getattr(self, f"_{action.replace(' ', '_').lower()}")(
                    int(entry)
                )
            else:
                allowed = self._common(name)
            if allowed is False:
                self.refused.append(name)
        return self

    def _append(self, record):
        return record is not None and self.log.append(record) is None

    def _common(self, name):
        if name == "tick":
            self.log.time_ms += TICK_MS
            self.ages = [age + 1 for age in self.ages]
            self.read_ages = [age + 1 for age in self.read_ages]
            return True
        batch, fence = self.log.last_batch, self.log.state.vms[VM].fence
        offset = self.log.state.offset
        return self._append(
            {
                "BatchOpened": records.BatchOpened("w", 1, (VM,), "", offset - 1, "c"),
                "BatchAborted": records.BatchAborted(batch, "", "c"),
                "DrainStarted": records.DrainStarted(batch, "c"),
                "RebootOrdered": records.RebootOrdered(batch, VM, "c"),
                "VmJoined": records.VmJoined(batch, VM, fence, "c"),
            }[name]
        )

    def _read(self, e):
        self.reads[e], self.read_ages[e] = self.log.state, 0

    def _forward_to(self, e):
        self.reads[e], self.read_ages[e] = self.views[1 - e], self.ages[1 - e]

    def _fold(self, e):
        if self.reads[e].offset >= self.views[e].offset:
            self.views[e] = self.reads[e]
        self.ages[e] = min(self.ages[e], self.read_ages[e])

    def _record_to_append(self, e, kind):
        held = {VM: self.running[e]}
        pending = records_to_append(self.views[e], SEATS[e], lambda vm: held.get(vm, 0))
        return next((item for item in pending if isinstance(item, kind)), None)

    def _acknowledge(self, e):
        self.acks[e] = self._record_to_append(e, records.BatchAcked) or self.acks[e]

    def _confirm(self, e):
        self.confirms[e] = self._record_to_append(e, records.DrainConfirmed)
        return self.confirms[e] is not None

    def _batchacked(self, e):
        return self._append(self.acks[e])

    def _drainconfirmed(self, e):
        return self._append(self.confirms[e])

    def _ack_answered(self, e):
        return True

    def _check(self, e):
        return bool(may_send(self.views[e], VM, self.ages[e] < barrier.LEASE_TICKS))

    def _send(self, e):
        self.running[e] = 1

    def _answer(self, e):
        self.running[e] = 0


@then('the code refuses "{step}" in the unsafe run of {depth:d} steps without "{rule}"')
def step_refused(context, step, depth, rule):
    trace = search("barrier", rule, depth)
    assert trace is not None, f"no unsafe run found without the rule {rule}"
    refused = Replay().replay(trace).refused
    assert step in [name.rpartition(" ")[0] or name for name in refused], (
        trace,
        refused,
    )


@then('the code accepts every action of "{names}"')
def step_accepted(context, names):
    replay = Replay().replay(names.split(", "))
    assert not replay.refused, replay.refused
    assert replay.log.state.vms[VM].phase == "serving"
    assert not replay.log.state.batches


@then("the vm chart has exactly the states and transitions of the specifications")
def step_chart(context):
    names = ("NOTICED", "DRAINING", "REBOOTING", "SERVING")
    assert {name.lower() for name in names} == set(VM_CHART.transitions)
    assert _transitions(barrier, names) == {
        (state, next_name)
        for state, table in VM_CHART.transitions.items()
        for next_name in table.values()
        if state != next_name
    }
    without_notice = _transitions(moves, names[1:])
    assert without_notice == {
        ("serving", "draining"),
        ("draining", "rebooting"),
        ("rebooting", "serving"),
    }


def _transitions(spec, names):
    """Return the (phase, next phase) pairs that an action of a model leads to."""
    model = getattr(spec, spec.__name__.rpartition(".")[2])()
    found = set()
    for name in names:
        for next_name in names:
            if name != next_name and _has_step(model, spec, name, next_name):
                found.add((name.lower(), next_name.lower()))
    return found


def _has_step(model, spec, name, next_name):
    """Return whether an action of the model leads from one phase to another."""
    return can_step(
        model,
        lambda s: s.phase == getattr(spec, name),
        lambda s: s.phase == getattr(spec, next_name),
    )


@then("a join of the seat at another address keeps the former process in the barrier")
def step_replaced_alive(context):
    log = FleetLog()
    log.start(parse_bundle(bundle_text(bundle_options())))
    former = log.state
    log.append(records.MemberJoined("e1", 2, "z", "127.0.0.1:2"))
    log.append(records.BatchOpened("w", 1, (VM,), "", log.state.offset - 1, "c"))
    batch = log.last_batch
    members = {(item.entry, item.incarnation) for item in log.state.members.values()}
    members.discard(("e1", 1))
    for who in members:
        log.append(records.BatchAcked(*who, batch))
    log.append(records.DrainStarted(batch, "c"))
    for who in members:
        log.append(records.DrainConfirmed(*who, batch))
    late_ms = 10 * log.state.deadline_peak_ms
    refusal = log.append(records.RebootOrdered(batch, VM, "c"), late_ms)
    assert refusal is not None or not may_send(former, VM, False)


@then("a VM removed and added to another pool is moved by a batch only")
def step_added_again(context):
    log = FleetLog()
    options = bundle_options()
    log.start(parse_bundle(bundle_text(options)))
    former = log.state
    moved = {**options[f"vm {VM}"], "pool": "b"}
    for version, vms in ((2, {}), (3, {f"vm {VM}": moved})):
        text = {**options, "bundle": {**options["bundle"], "version": version}, **vms}
        if not vms:
            del text[f"vm {VM}"]
        log.roll(parse_bundle(bundle_text(text)))
    pools = {former.vms[VM].pool, log.state.vms[VM].pool}
    assert len(pools) == 1 or not may_send(former, VM, False), pools


def _claim(key, request):
    return records.KeyClaimed(key, "e1", 1, request, MEMORY_MS)


def _run_times_ms(log, cut_from, cut_to):
    """Return the times in ms of the claims of b"key" that win.

    One reader reads the whole log; the other one misses the offsets from ``cut_from``
    up to but without ``cut_to``. The second reader decides about the claims that it
    reads while it knows all claims within the memory, the first one about the others.
    """
    whole, cut, run_times_ms = ClaimState(), ClaimState(), []
    for offset, (time_ms, record) in enumerate(log):
        logged = records.Logged(offset, time_ms, record)
        won = whole.fold(logged)
        if offset == cut_to:
            cut.restart_at(cut_to)
        if not cut_from <= offset < cut_to:
            known = cut.complete(time_ms, MEMORY_MS)
            won_in_cut = cut.fold(logged)
            won = won_in_cut if known else won
        if won is True and record.key == b"key" and _is_claim(record):
            run_times_ms.append(time_ms)
    return run_times_ms


def _is_claim(record):
    return isinstance(record, records.KeyClaimed)


def _check_gaps(run_times_ms):
    gaps = [later - earlier for earlier, later in pairwise(run_times_ms)]
    assert all(gap >= MEMORY_MS for gap in gaps), (
        f"runs at {run_times_ms} ms, some less than {MEMORY_MS} ms apart"
    )


@then("a reader of the truncated stream dispatches no request that ran elsewhere")
def step_truncated(context):
    times = enumerate((0, 900, 1100, 1950))
    log = [(time_ms, _claim(b"key", f"r{number}")) for number, time_ms in times]
    _check_gaps(_run_times_ms(log, 0, 1))


@then("a reader that missed a release dispatches no request that ran elsewhere")
def step_missed_release(context):
    release = records.KeyReleased(b"key", "r0")
    log = [
        (0, _claim(b"key", "r0")),
        (100, release),
        (150, _claim(b"other", "r1")),
        (200, _claim(b"key", "r2")),
        (250, release),
        (1160, _claim(b"key", "r3")),
    ]
    _check_gaps(_run_times_ms(log, 1, 2)[1:])
