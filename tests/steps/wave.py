"""Steps for the planner of waves, with a log and simulated entries and platform."""

import attrs
from behave import given as given_step, then, when
from bundle import bundle_options, bundle_text
from fleetlog import check_state, FleetLog
from hypothesis import given, settings, strategies as st

from cardamomgrade import records
from cardamomgrade.batch import missing_acks, missing_confirms
from cardamomgrade.bundle import parse_bundle
from cardamomgrade.sizing import batch_size
from cardamomgrade.wave import plan, Planner

EXAMPLES_MAX = 40
FIXED = settings(
    max_examples=EXAMPLES_MAX, derandomize=True, deadline=None, database=None
)
FAULT_LISTS = st.lists(
    st.tuples(st.sampled_from([27, 28, 10, 11, 0, 0, 0, 0]), st.integers(0, 99)),
    max_size=40,
)
ROUNDS_MAX = 400


@attrs.frozen
class Listed:
    vm: str
    state: str


def wave_log(a_vms, budget, **changes):
    log = FleetLog()
    changes.setdefault("service_s", {"min_serving": budget})
    options = bundle_options(a_vms=a_vms, b_vms=4, **changes)
    log.start(parse_bundle(bundle_text(options)))
    return log


def append(log, record, after_ms=100):
    """Append a record, check the invariants of the state and return the refusal."""
    before = log.state
    refusal = log.append(record, after_ms)
    check_state(before, log.state, record, refusal)
    return refusal


def answer_entries(log, silent=""):
    for batch in list(log.state.batches.values()):
        missing, cls = missing_acks(log.state, batch), records.BatchAcked
        if batch.draining:
            missing, cls = missing_confirms(log.state, batch), records.DrainConfirmed
        for entry in missing:
            if entry != silent:
                member = log.state.members[entry]
                append(log, cls(entry, member.incarnation, batch.offset))


def join_rebooted_vms(log):
    for vm in list(log.state.vms.values()):
        if vm.phase == "rebooting":
            append(log, records.VmJoined(vm.batch, vm.name, vm.fence, "c1"))


def run_round(log, planner, silent=""):
    planned = planner.plan(log.state, [])
    uncached = plan(log.state, [])
    assert (planned.records, planned.explanations) == (
        uncached.records,
        uncached.explanations,
    )
    for record in planned.records:
        assert append(log, attrs.evolve(record, control="c1")) is None, record
    answer_entries(log, silent)
    join_rebooted_vms(log)
    return planned


def inject_fault(log, record_number, pick):
    vm = list(log.state.vms)[pick % len(log.state.vms)]
    entry = ("e1", "e2")[pick % 2]
    member = log.state.members.get(entry)
    incarnation = member.incarnation if member else 1
    faults = {
        27: lambda: records.VmFailed(vm, "c1"),
        28: lambda: records.VmRecovered(vm, "c1"),
        10: lambda: records.MemberJoined(entry, incarnation + 1, "z", "127.0.0.1:1"),
        11: lambda: records.MemberLeft(entry, incarnation),
    }
    if record_number:
        append(log, faults[record_number]())


@then("generated waves with failures keep every budget and complete")
def step_waves(context):
    @FIXED
    @given(
        FAULT_LISTS,
        st.integers(6, 12),
        st.integers(0, 4),
        st.sampled_from(["", "a0", "b1"]),
    )
    def check(faults, a_vms, budget, moved):
        log = wave_log(a_vms, budget)
        if moved:
            options = bundle_options(version=2, a_vms=a_vms, b_vms=4)
            options[f"vm {moved}"]["pool"] = "b" if moved[0] == "a" else "a"
            assert log.roll(parse_bundle(bundle_text(options))) is None
        planner = Planner()
        for record_number, pick in faults:
            inject_fault(log, record_number, pick)
            run_round(log, planner)
        for entry in ("e1", "e2"):
            append(log, records.MemberJoined(entry, 99, "z", "127.0.0.1:1"))
        for vm in log.state.vms:
            append(log, records.VmRecovered(vm, "c1"))
        for _ in range(ROUNDS_MAX):
            append(log, records.VmRecovered("a0", "c1"), 500)
            planned = run_round(log, planner)
            if planned.explanations[0].action == "done":
                break
        assert not log.state.batches
        for vm in log.state.vms.values():
            assert vm.round_done("w") == 1, planned
            assert vm.pool == log.state.bundle.vms[vm.name].pool, planned

    check()


@given_step("a wave on pools of {a_vms:d} and 4 VMs that keep {budget:d} serving")
def step_wave(context, a_vms, budget):
    context.log = wave_log(a_vms, budget, wave_w={"pools": "a", "round": 1})


@when('the platform shows {failed} failed and "{entry}" does not answer')
def step_failed(context, failed, entry):
    for vm in failed.split(","):
        context.log.append(records.VmFailed(vm, "c1"))
    planner = Planner()
    for _ in range(9):
        run_round(context.log, planner, silent=entry)
    context.explanation = planner.plan(context.log.state, []).explanations[0]


@then('the wave waits with reason "{reason}" and a detail with "{text}"')
def step_waits(context, reason, text):
    item = context.explanation
    assert item.action == "wait" and item.reason.value == reason, item
    assert text in item.detail, item


@when(
    'the wave is planned without answers of "{entry}" and then a1, a3, a5 and a7 fail'
)
def step_late_failures(context, entry):
    run_round(context.log, Planner(), silent=entry)
    for vm in ("a1", "a3", "a5", "a7"):
        append(context.log, records.VmFailed(vm, "c1"))


@when('the wave is planned without answers of "{entry}" and then a new round is rolled')
def step_new_round(context, entry):
    run_round(context.log, Planner(), silent=entry)
    wave = {"pools": "a", "round": 2}
    options = bundle_options(version=2, a_vms=8, b_vms=4, wave_w=wave)
    assert context.log.roll(parse_bundle(bundle_text(options))) is None


@then('the batch of pool "{pool}" is aborted with reason "{reason}"')
def step_aborted(context, pool, reason):
    planned = plan(context.log.state, [])
    aborted = [item for item in planned.records if hasattr(item, "reason")]
    assert len(aborted) == 1 and aborted[0].reason.startswith(reason), planned
    assert planned.explanations[0].pool == pool
    assert append(context.log, aborted[0]) is None
    assert all(vm.phase == "serving" for vm in context.log.state.vms.values())


@then(
    "of {due:d} VMs, {most:d} at most, "
    "the weights {rollout:g} and {buffer:g} take {size:d}"
)
def step_size(context, due, most, rollout, buffer, size):
    assert batch_size(due, most, rollout, buffer) == size


@then('with zone "z1" first, the first batch of pool "{pool}" is in one rack of "z1"')
def step_first_batch(context, pool):
    wave = {"pools": pool, "round": 2, "zones": "z1, z0"}
    options = bundle_options(version=2, a_vms=16, b_vms=4, wave_w=wave)
    assert context.log.roll(parse_bundle(bundle_text(options))) is None
    listed = [Listed("a1", "leaving")]
    opened = plan(context.log.state, listed).records[0]
    vms = [context.log.state.bundle.vms[name] for name in opened.vms]
    assert len(vms) > 1 and "a1" not in opened.vms, opened
    assert {vm.zone for vm in vms} == {"z1"}
    assert len({vm.rack for vm in vms}) == 1
