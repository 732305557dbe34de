"""Measures the fold, the planner and the snapshots at size, and compares waves.

Usage: bench_fleet.py size|waves; prints JSON.
"""

import gc
import json
import math
import sys
import time
import tracemalloc

import attrs
from bench_estates import bundle_of_text, deployments, Estate, Faults, letter_text

from cardamomgrade import records
from cardamomgrade.bundle import diff_sections, Difference, revise_bundle
from cardamomgrade.fleet import FleetState, fold
from cardamomgrade.snapshot import restore, snapshot_records
from cardamomgrade.wave import Planner

SCALES = (1 / 16, 1 / 4, 1)
ENTRIES = tuple(f"e{seat}" for seat in range(7))
STEP_MS = 60_000
REPEATS = 5
FRACTION = 0.25
MS_PER_HOUR = 3_600_000
BUNDLE_RECORDS = ("BundleProposed", "BundleSigned", "BundleRolled")


class Log:
    """Folds records in memory and counts seconds by kind of record."""

    def __init__(self, bundle):
        self.state = FleetState()
        self.time_ms = 0
        self.offset = 0
        self.seconds = {}
        self.roll(bundle)
        for entry in ENTRIES:
            self.append(records.MemberJoined(entry, 1, "z", "127.0.0.1:1"))

    def append(self, record):
        """Fold a record and return its Refusal or None."""
        logged = records.Logged(self.offset, self.time_ms, record)
        self.offset += 1
        begun = time.perf_counter()
        folded = fold(self.state, logged)
        spent = time.perf_counter() - begun
        self.state = folded.state
        name = type(record).__name__
        total, count = self.seconds.get(name, (0.0, 0))
        self.seconds[name] = (total + spent, count + 1)
        return folded.refusal

    def take(self, record):
        """Fold a record that has to be valid."""
        refusal = self.append(record)
        if refusal is not None:
            raise SystemExit(f"{record}: {refusal}")

    def roll(self, bundle):
        """Put a bundle in force."""
        old = self.state.bundle
        difference = diff_sections(old.sections if old else (), bundle.sections)
        self.take(
            records.BundleProposed(
                bundle.version,
                old.digest if old else b"",
                bundle.digest,
                bundle.author,
                difference.changed,
                difference.removed,
            )
        )
        self.take(records.BundleSigned(bundle.digest, "eve"))
        self.take(records.BundleRolled(bundle.digest, "ada"))

    def answer(self):
        """Let every entry acknowledge and confirm what is open."""
        for batch in list(self.state.batches.values()):
            cls = records.DrainConfirmed if batch.draining else records.BatchAcked
            told = batch.confirmed if batch.draining else batch.acked
            for entry in ENTRIES:
                if entry not in told:
                    self.take(cls(entry, 1, batch.offset))

    def join(self):
        """Let every VM that reboots join."""
        for batch in list(self.state.batches.values()):
            for name in batch.vms:
                vm = self.state.vms[name]
                if vm.phase == "rebooting":
                    self.take(records.VmJoined(batch.offset, name, vm.fence, "c1"))


def timed(call, repeats=REPEATS):
    """Return the least seconds of some calls."""
    spans = []
    for _ in range(repeats):
        begun = time.perf_counter()
        call()
        spans.append(time.perf_counter() - begun)
    return min(spans)


def allocated(call):
    """Return (result, bytes that stay allocated, bytes at the peak) of a call."""
    gc.collect()
    tracemalloc.start()
    result = call()
    gc.collect()
    kept, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, kept, peak


def measure_size(scale):
    """Return a dict of figures of the letter's estate times ``scale``."""
    bundle = bundle_of_text(letter_text(scale))
    log = Log(bundle)
    planner = Planner()
    figures = {
        "vms": len(bundle.vms),
        "pools": len(bundle.pools),
        "services": len(bundle.services),
        "bundle_parse_s": timed(lambda: bundle_of_text(letter_text(scale)), 2),
        "plan_first_s": timed(lambda: Planner().plan(log.state, [])),
    }
    run_batches(log, planner, 3)
    failed = log.append(records.VmFailed("v0", "c1"))
    assert failed is None
    begun = time.perf_counter()
    planner.plan(log.state, [])
    figures["plan_after_event_s"] = time.perf_counter() - begun
    figures["plan_again_s"] = timed(lambda: planner.plan(log.state, []))
    figures["bundle_change_s"] = measure_change(log)
    figures["snapshot_s"] = timed(lambda: snapshot_records(log.state), 2)
    parts = snapshot_records(log.state)
    figures["snapshot_bytes"] = sum(len(part.data) for part in parts)
    figures["restore_s"] = timed(lambda: restore(parts), 2)
    figures["fold_s"] = {
        name: total / count for name, (total, count) in sorted(log.seconds.items())
    }
    return {**figures, **measure_memory(scale, parts, log.state)}


def run_batches(log, planner, rounds):
    """Carry the wave some batches on."""
    for _ in range(rounds):
        for _ in range(3):
            for record in planner.plan(log.state, []).records:
                log.take(record)
            log.answer()
        log.time_ms += STEP_MS
        log.join()


def measure_change(log):
    """Return seconds to fold a bundle with one changed service, until in force."""
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
    before = sum(log.seconds[name][0] for name in BUNDLE_RECORDS)
    log.roll(changed)
    return sum(log.seconds[name][0] for name in BUNDLE_RECORDS) - before


def bundle_difference(sections):
    """Return the Difference of changed sections."""
    return Difference(tuple(sections), ())


def measure_memory(scale, parts, state):
    """Return bytes of a state, a snapshot being made, and an ordinary record."""
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


def growth(figures, key):
    """Return the exponent of a figure's growth from the first to the last size."""
    first, last = figures[0], figures[-1]
    return math.log(last[key] / first[key]) / math.log(last["vms"] / first["vms"])


def size():
    """Return the figures at each scale and the growth of each."""
    figures = [measure_size(scale) for scale in SCALES]
    keys = [key for key, value in figures[0].items() if isinstance(value, float | int)]
    exponents = {
        key: round(growth(figures, key), 2) for key in keys if figures[0][key] > 0
    }
    return {"sizes": figures, "growth_exponents": exponents}


@attrs.define
class Tally:
    """What a wave cost; a breach is a pool below its budget in a step."""

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

    def count_step(self, fleet, out, failed):
        """Count one step with the VMs that are out and those that have failed."""
        self.steps += 1
        self.reboots += len(out)
        self.peak_out = max(self.peak_out, len(out))
        self.out_vm_hours += len(out) * STEP_MS / MS_PER_HOUR
        self.buffer_vm_hours = self.peak_out * self.steps * STEP_MS / MS_PER_HOUR
        self.breaches += fleet.breaches(out, failed)
        self.rack_breaches += fleet.rack_breaches(out, failed)


def one_at_a_time(bundle, due):
    """Take the next VM."""
    return due[:1]


def one_a_pool(bundle, due):
    """Take the next VM of every pool."""
    return list({bundle.vms[name].pool: name for name in reversed(due)}.values())


def fraction_of_zone(bundle, due):
    """Take a quarter of a zone's VMs."""
    zone = min(bundle.vms[name].zone for name in due)
    size = sum(vm.zone == zone for vm in bundle.vms.values())
    names = [name for name in due if bundle.vms[name].zone == zone]
    return names[: max(1, int(size * FRACTION))]


def run_plain(name, first, second, choose):
    """Return the Tally of a planner that knows no budgets."""
    state = Log(first).state
    tally = Tally(name, choose.__name__, len(second.vms))
    fleet = Estate(second, state.required)
    fleet.pool_of = {vm.name: vm.pool for vm in first.vms.values()}
    faults, due = Faults(second), sorted(second.vms)
    while due:
        begun = time.perf_counter()
        out = set(choose(second, due))
        tally.planning_s += time.perf_counter() - begun
        tally.count_step(fleet, out, faults.at(tally.steps))
        tally.moves += sum(fleet.pool_of[n] != second.vms[n].pool for n in out)
        fleet.pool_of.update((n, second.vms[n].pool) for n in out)
        due = [item for item in due if item not in out]
    return tally


def run_planned(name, first, second):
    """Return the Tally of the product's planner, which sees failures a step late."""
    log, planner = Log(first), Planner()
    log.roll(second)
    tally = Tally(name, "cardamomgrade", len(second.vms))
    fleet, faults = Estate(second, log.state.required), Faults(second)
    failed = set()
    while True:
        now = faults.at(tally.steps - 1)
        note_failures(log, failed, now)
        failed = now
        before = {vm.name: vm.pool for vm in log.state.vms.values()}
        for _ in range(3):
            begun = time.perf_counter()
            planned = planner.plan(log.state, [])
            tally.planning_s += time.perf_counter() - begun
            for record in planned.records:
                log.take(record)
            log.answer()
        if not log.state.batches and planned.explanations[0].action == "done":
            return tally
        vms = log.state.vms.values()
        out = {vm.name for vm in vms if vm.phase in ("draining", "rebooting")}
        fleet.pool_of = before
        log.time_ms += STEP_MS
        tally.count_step(fleet, out, faults.at(tally.steps))
        log.join()
        failed -= out
        tally.moves += sum(log.state.vms[n].pool != before[n] for n in out)


def note_failures(log, old, new):
    """Fold what the platform shows to have failed and to have recovered."""
    for name in sorted(new - old):
        log.take(records.VmFailed(name, "c1"))
    for name in sorted(old - new):
        log.take(records.VmRecovered(name, "c1"))


def waves():
    """Return the Tally of every planner over both deployments and the letter."""
    texts = {**deployments(), "letter": letter_text(1)}
    moved = {
        **deployments(version=2, moved=2),
        "letter": letter_text(1, version=2, moved=50),
    }
    tallies = []
    for name, text in texts.items():
        first, second = bundle_of_text(text), bundle_of_text(moved[name])
        for choose in (one_at_a_time, one_a_pool, fraction_of_zone):
            if name != "letter" or choose is not one_at_a_time:
                tallies.append(run_plain(name, first, second, choose))
        tallies.append(run_planned(name, first, second))
    return [attrs.asdict(tally) for tally in tallies]


def main():
    """Run the named measurement and print JSON."""
    measurements = {"size": size, "waves": waves}
    if len(sys.argv) != 2 or sys.argv[1] not in measurements:
        raise SystemExit("usage: bench_fleet.py size|waves")
    print(json.dumps(measurements[sys.argv[1]](), indent=1))


if __name__ == "__main__":
    main()
