"""Measures fold, planner and snapshots at several sizes, and compares wave planners.

Usage: bench_fleet.py size|waves; prints JSON.
"""

import gc
import json
import math
import sys
import time
import tracemalloc

import attrs
from bench_estates import (
    BudgetChecker,
    deployments,
    FailureSchedule,
    parse_text,
    target_text,
)

from cardamomgrade import records
from cardamomgrade.bundle import diff_sections, Difference, revise_bundle
from cardamomgrade.fleet import FleetState, fold
from cardamomgrade.snapshot import restore, snapshot_records
from cardamomgrade.wave import Planner

SCALES = (1 / 16, 1 / 4, 1)
ENTRIES = tuple(f"e{seat}" for seat in range(7))
STEP_MS = 60_000
REPEATS = 5
ZONE_FRACTION = 0.25
MS_PER_HOUR = 3_600_000
BUNDLE_RECORDS = ("BundleProposed", "BundleSigned", "BundleRolled")


class FleetLog:
    """An in-memory log that folds each appended record into a fleet state.

    ``totals`` maps a record's class name to (seconds spent in fold, number of records).
    """

    def __init__(self, bundle):
        self.state = FleetState()
        self.time_ms = 0
        self.offset = 0
        self.totals = {}
        self.roll(bundle)
        for entry in ENTRIES:
            self.append(records.MemberJoined(entry, 1, "z", "127.0.0.1:1"))

    def append(self, record):
        """Append and fold a record; return its Refusal or None."""
        logged = records.Logged(self.offset, self.time_ms, record)
        self.offset += 1
        started_s = time.perf_counter()
        folded = fold(self.state, logged)
        elapsed_s = time.perf_counter() - started_s
        self.state = folded.state
        name = type(record).__name__
        total, count = self.totals.get(name, (0.0, 0))
        self.totals[name] = (total + elapsed_s, count + 1)
        return folded.refusal

    def append_valid(self, record):
        """Append and fold a record; exit when it is refused."""
        refusal = self.append(record)
        if refusal is not None:
            raise SystemExit(f"{record}: {refusal}")

    def roll(self, bundle):
        """Propose, sign off and roll a bundle."""
        old = self.state.bundle
        difference = diff_sections(old.sections if old else (), bundle.sections)
        self.append_valid(
            records.BundleProposed(
                bundle.version,
                old.digest if old else b"",
                bundle.digest,
                bundle.author,
                difference.changed,
                difference.removed,
            )
        )
        self.append_valid(records.BundleSigned(bundle.digest, "eve"))
        self.append_valid(records.BundleRolled(bundle.digest, "ada"))

    def acknowledge_batches(self):
        """Append the missing BatchAcked or DrainConfirmed of every entry."""
        for batch in list(self.state.batches.values()):
            cls = records.DrainConfirmed if batch.draining else records.BatchAcked
            already_recorded = batch.confirmed if batch.draining else batch.acked
            for entry in ENTRIES:
                if entry not in already_recorded:
                    self.append_valid(cls(entry, 1, batch.offset))

    def rejoin_vms(self):
        """Append a VmJoined for every rebooting VM."""
        for batch in list(self.state.batches.values()):
            for name in batch.vms:
                vm = self.state.vms[name]
                if vm.phase == "rebooting":
                    self.append_valid(
                        records.VmJoined(batch.offset, name, vm.fence, "c1")
                    )


def shortest_s(call, repeats=REPEATS):
    """Return the shortest duration of repeated calls, in seconds."""
    durations_s = []
    for _ in range(repeats):
        started_s = time.perf_counter()
        call()
        durations_s.append(time.perf_counter() - started_s)
    return min(durations_s)


def allocated(call):
    """Return (result, bytes still allocated afterwards, peak bytes) of a call."""
    gc.collect()
    tracemalloc.start()
    result = call()
    gc.collect()
    kept_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, kept_bytes, peak_bytes


def measure_size(scale):
    """Return a dict of figures for the target size times ``scale``."""
    bundle = parse_text(target_text(scale))
    log = FleetLog(bundle)
    planner = Planner()
    figures = {
        "vms": len(bundle.vms),
        "pools": len(bundle.pools),
        "services": len(bundle.services),
        "bundle_parse_s": shortest_s(lambda: parse_text(target_text(scale)), 2),
        "plan_first_s": shortest_s(lambda: Planner().plan(log.state, [])),
    }
    run_batches(log, planner, 3)
    refusal = log.append(records.VmFailed("v0", "c1"))
    assert refusal is None
    started_s = time.perf_counter()
    planner.plan(log.state, [])
    figures["plan_after_event_s"] = time.perf_counter() - started_s
    figures["plan_again_s"] = shortest_s(lambda: planner.plan(log.state, []))
    figures["bundle_change_s"] = measure_change(log)
    figures["snapshot_s"] = shortest_s(lambda: snapshot_records(log.state), 2)
    parts = snapshot_records(log.state)
    figures["snapshot_bytes"] = sum(len(part.data) for part in parts)
    figures["restore_s"] = shortest_s(lambda: restore(parts), 2)
    figures["fold_s"] = {
        name: total / count for name, (total, count) in sorted(log.totals.items())
    }
    return {**figures, **measure_memory(scale, parts, log.state)}


def run_batches(log, planner, rounds):
    """Advance the wave by a number of rounds, one step of time each."""
    for _ in range(rounds):
        for _ in range(3):
            for record in planner.plan(log.state, []).records:
                log.append_valid(record)
            log.acknowledge_batches()
        log.time_ms += STEP_MS
        log.rejoin_vms()


def measure_change(log):
    """Return the seconds of folding all records that roll a change of one service."""
    bundle = log.state.bundle
    section = next(item for item in bundle.sections if item.name == "service s0")
    options = tuple(
        (key, "1999" if key == "deadline_ms" else text) for key, text in section.options
    )
    header = next(item for item in bundle.sections if item.name == "bundle")
    version = tuple(
        (key, "2" if key == "version" else text) for key, text in header.options
    )
    new = [records.Section("bundle", version), records.Section("service s0", options)]
    changed = revise_bundle(bundle, bundle_difference(new))
    before = sum(log.totals[name][0] for name in BUNDLE_RECORDS)
    log.roll(changed)
    return sum(log.totals[name][0] for name in BUNDLE_RECORDS) - before


def bundle_difference(sections):
    """Return the Difference with changed sections and no removed ones."""
    return Difference(tuple(sections), ())


def measure_memory(scale, parts, state):
    """Return bytes taken by a state, a snapshot, one folded record and a planner."""
    _, state_bytes, restore_peak = allocated(lambda: restore(parts))
    _, _, snapshot_peak = allocated(lambda: snapshot_records(state))
    record = records.Logged(state.offset, state.time_ms, records.VmRecovered("v0", ""))
    _, record_bytes, _ = allocated(lambda: fold(state, record))
    planner = Planner()
    _, plan_bytes, plan_peak = allocated(lambda: planner.plan(state, []))
    return {
        "state_bytes": state_bytes,
        "state_bytes_per_vm": state_bytes / len(state.vms),
        "restore_peak_bytes": restore_peak,
        "snapshot_peak_bytes": snapshot_peak,
        "record_bytes": record_bytes,
        "planner_bytes": plan_bytes,
        "plan_peak_bytes": plan_peak,
    }


def growth_exponent(figures, key):
    """Return the exponent with which a figure grows from the first to the last size."""
    first, last = figures[0], figures[-1]
    return math.log(last[key] / first[key]) / math.log(last["vms"] / first["vms"])


def size():
    """Return the figures at each scale and their growth exponents."""
    figures = [measure_size(scale) for scale in SCALES]
    keys = [key for key, value in figures[0].items() if isinstance(value, float | int)]
    exponents = {
        key: round(growth_exponent(figures, key), 2)
        for key in keys
        if figures[0][key] > 0
    }
    return {"sizes": figures, "growth_exponents": exponents}


@attrs.define
class WaveCost:
    """The cost of one wave; a breach is one pool below its budget in one step."""

    estate: str
    planner: str
    vms: int
    steps: int = 0
    reboots: int = 0
    moves: int = 0
    peak_out: int = 0
    out_vm_hours: float = 0.0
    buffer_vm_hours: float = 0.0
    breaches: int = 0
    rack_breaches: int = 0
    planning_s: float = 0.0

    def count_step(self, checker, out, failed):
        """Add one step; ``out`` are the VMs that reboot, ``failed`` the failed ones."""
        self.steps += 1
        self.reboots += len(out)
        self.peak_out = max(self.peak_out, len(out))
        self.out_vm_hours += len(out) * STEP_MS / MS_PER_HOUR
        self.buffer_vm_hours = self.peak_out * self.steps * STEP_MS / MS_PER_HOUR
        self.breaches += checker.breaches(out, failed)
        self.rack_breaches += checker.rack_breaches(out, failed)


def one_at_a_time(bundle, due):
    """Return the next VM that is due."""
    return due[:1]


def one_a_pool(bundle, due):
    """Return the next due VM of every pool."""
    return list({bundle.vms[name].pool: name for name in reversed(due)}.values())


def fraction_of_zone(bundle, due):
    """Return due VMs of one zone, at most ZONE_FRACTION of all its VMs."""
    zone = min(bundle.vms[name].zone for name in due)
    size = sum(vm.zone == zone for vm in bundle.vms.values())
    names = [name for name in due if bundle.vms[name].zone == zone]
    return names[: max(1, int(size * ZONE_FRACTION))]


def run_baseline(name, first, second, choose):
    """Return the WaveCost of a baseline planner, which ignores budgets.

    ``choose(bundle, due)`` returns the VM names to reboot in a step.
    """
    state = FleetLog(first).state
    cost = WaveCost(name, choose.__name__, len(second.vms))
    checker = BudgetChecker(second, state.required)
    checker.pool_of = {vm.name: vm.pool for vm in first.vms.values()}
    faults, due = FailureSchedule(second), sorted(second.vms)
    while due:
        started_s = time.perf_counter()
        out = set(choose(second, due))
        cost.planning_s += time.perf_counter() - started_s
        cost.count_step(checker, out, faults.failed_vms(cost.steps))
        cost.moves += sum(checker.pool_of[n] != second.vms[n].pool for n in out)
        checker.pool_of.update((n, second.vms[n].pool) for n in out)
        due = [item for item in due if item not in out]
    return cost


def run_planner(name, first, second):
    """Return the WaveCost of this project's planner.

    It sees failures one step after they start.
    """
    log, planner = FleetLog(first), Planner()
    log.roll(second)
    cost = WaveCost(name, "cardamomgrade", len(second.vms))
    checker, faults = BudgetChecker(second, log.state.required), FailureSchedule(second)
    failed = set()
    while True:
        failing = faults.failed_vms(cost.steps - 1)
        append_failures(log, failed, failing)
        failed = failing
        before = {vm.name: vm.pool for vm in log.state.vms.values()}
        for _ in range(3):
            started_s = time.perf_counter()
            planned = planner.plan(log.state, [])
            cost.planning_s += time.perf_counter() - started_s
            for record in planned.records:
                log.append_valid(record)
            log.acknowledge_batches()
        if not log.state.batches and planned.explanations[0].action == "done":
            return cost
        vms = log.state.vms.values()
        out = {vm.name for vm in vms if vm.phase in ("draining", "rebooting")}
        checker.pool_of = before
        log.time_ms += STEP_MS
        cost.count_step(checker, out, faults.failed_vms(cost.steps))
        log.rejoin_vms()
        failed -= out
        cost.moves += sum(log.state.vms[n].pool != before[n] for n in out)


def append_failures(log, old, new):
    """Append VmFailed and VmRecovered for the differences of two sets of failed VMs."""
    for name in sorted(new - old):
        log.append_valid(records.VmFailed(name, "c1"))
    for name in sorted(old - new):
        log.append_valid(records.VmRecovered(name, "c1"))


def waves():
    """Return the WaveCost, as a dict, of each planner on each bundle."""
    texts = {**deployments(), "letter": target_text(1)}
    moved = {
        **deployments(version=2, moved=2),
        "letter": target_text(1, version=2, moved=50),
    }
    costs = []
    for name, text in texts.items():
        first, second = parse_text(text), parse_text(moved[name])
        for choose in (one_at_a_time, one_a_pool, fraction_of_zone):
            if name != "letter" or choose is not one_at_a_time:
                costs.append(run_baseline(name, first, second, choose))
        costs.append(run_planner(name, first, second))
    return [attrs.asdict(cost) for cost in costs]


def main():
    """Run the named measurement and print JSON."""
    measurements = {"size": size, "waves": waves}
    if len(sys.argv) != 2 or sys.argv[1] not in measurements:
        raise SystemExit("usage: bench_fleet.py size|waves")
    print(json.dumps(measurements[sys.argv[1]](), indent=1))


if __name__ == "__main__":
    main()
