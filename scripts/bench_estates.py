"""Bundles for the benches: both example deployments and the users' target size."""

import random

from cardamomgrade.bundle import parse_bundle

ZONES_AGENCE = ("agdal", "hay-riad", "souissi", "temara")
ZONES_HEIDAVOLLUR = ("hella", "selfoss", "hvolsvollur")
TARGET_VMS = 6600
TARGET_POOLS = 319
TARGET_SERVICES = 350
TARGET_ZONES = 17
RACK_VMS = 4
SEED = 7
# Each VM fails once in VMS_PER_FAILURE steps on average, for FAILURE_STEPS steps.
RACK_FAILS_AT_STEP = 2
RACK_FAILS_STEPS = 3
VMS_PER_FAILURE = 300
FAILURE_STEPS = 10


def estate_text(vms, pools, services, zones, **options):
    """Return a bundle's INI text that assigns VMs to pools and zones in rotation.

    Options: ``spare`` is the number of VMs of each pool that its services' budgets can
    do without; the first ``moved`` VMs belong to the next pool instead; ``version`` is
    the bundle's; ``weights`` are more options of its header.
    """
    version, spare = options.get("version", 1), options["spare"]
    weights = options.get("weights", {})
    lines = ["[bundle]", f"version = {version}", "author = ada"]
    lines += ["seats = " + ", ".join(f"e{seat}" for seat in range(7))]
    lines += [f"{key} = {value}" for key, value in weights.items()]
    for pool in range(pools):
        lines += [f"[pool p{pool}]", "slots = 8", "connections = 64"]
    names = ", ".join(f"p{pool}" for pool in range(pools))
    lines += ["[wave w]", f"pools = {names}", "round = 1"]
    for service in range(services):
        pool = service % pools
        size = len(range(pool, vms, pools))
        lines += [f"[service s{service}]", f"pool = p{pool}", f"path = /s{service}"]
        lines += [f"min_serving = {max(0, size - spare)}", "deadline_ms = 2000"]
    return "\n".join(lines + _vm_lines(vms, pools, zones, options.get("moved", 0)))


def _vm_lines(vms, pools, zones, moved):
    lines, counts = [], {}
    for vm in range(vms):
        zone = zones[vm // pools % len(zones)]
        rack = counts.get(zone, 0) // RACK_VMS
        counts[zone] = counts.get(zone, 0) + 1
        pool = (vm + (vm < moved)) % pools
        lines += [f"[vm v{vm}]", f"pool = p{pool}", f"zone = {zone}"]
        lines += [f"rack = {zone}-{rack}"]
        lines += [f"address = 127.{vm // 60000 + 1}.{vm // 240 % 250}.{vm % 240}:1"]
    return lines


def target_text(scale, **options):
    """Return the INI text of a bundle of the target size times ``scale``."""
    zones = [f"z{zone}" for zone in range(TARGET_ZONES)]
    counts = (TARGET_VMS, TARGET_POOLS, TARGET_SERVICES)
    sizes = [max(1, round(count * scale)) for count in counts]
    return estate_text(*sizes, zones, **{"spare": 4, **options})


def deployments(**options):
    """Return {name: INI text} of both example deployments.

    ``agence-tight`` has too few spare VMs to lose a rack in addition to a VM.
    """
    agence = {"weight_moves": 3, "weight_rollout": 3, "weight_buffer": 1}
    heidavollur = {"weight_moves": 1, "weight_rollout": 1, "weight_buffer": 3}
    return {
        "agence": estate_text(
            40, 5, 5, ZONES_AGENCE, spare=4, weights=agence, **options
        ),
        "agence-tight": estate_text(
            40, 5, 5, ZONES_AGENCE, spare=2, weights=agence, **options
        ),
        "heidavollur": estate_text(
            30, 5, 5, ZONES_HEIDAVOLLUR, spare=3, weights=heidavollur, **options
        ),
    }


def parse_text(text):
    """Return the Bundle in INI text."""
    return parse_bundle(text, "bench")


class FailureSchedule:
    """Failures of single VMs and of one rack by step, the same for every planner."""

    def __init__(self, bundle):
        self._vms = sorted(bundle.vms.values(), key=lambda vm: vm.name)
        self._racks = sorted({vm.rack for vm in self._vms})

    def failed_vms(self, step):
        """Return the set of VM names that are failed in a step."""
        recent_steps = range(step - FAILURE_STEPS + 1, step + 1)
        failed = set().union(*map(self._new_failures, recent_steps))
        if RACK_FAILS_AT_STEP <= step < RACK_FAILS_AT_STEP + RACK_FAILS_STEPS:
            rack = random.Random(SEED).choice(self._racks)
            failed |= {vm.name for vm in self._vms if vm.rack == rack}
        return failed

    def _new_failures(self, step):
        """Return the set of VM names whose failure starts in a step."""
        rng = random.Random(f"{SEED} {step}")
        return {vm.name for vm in self._vms if rng.random() < 1 / VMS_PER_FAILURE}


class BudgetChecker:
    """Counts breaches of availability budgets that maintenance causes.

    ``required`` is the number of VMs that each pool needs; ``pool_of`` maps VM names to
    pools and is set by the caller.
    """

    def __init__(self, bundle, required):
        self._required = required
        self._vms = bundle.vms
        self.pool_of = {}

    def breaches(self, out, failed):
        """Count pools below budget that would keep it if the VMs in ``out`` served."""
        return sum(
            self._is_below_budget(pool, out | failed)
            and not self._is_below_budget(pool, failed)
            for pool in {self.pool_of[name] for name in out}
        )

    def rack_breaches(self, out, failed):
        """Count pools that, only due to ``out``, can't lose one more rack."""
        return sum(
            self._is_below_without_rack(pool, out | failed)
            and not self._is_below_without_rack(pool, failed)
            for pool in {self.pool_of[name] for name in out}
        )

    def _remaining(self, pool, absent):
        return [n for n, p in self.pool_of.items() if p == pool and n not in absent]

    def _is_below_budget(self, pool, absent):
        return len(self._remaining(pool, absent)) < self._required.get(pool, 0)

    def _is_below_without_rack(self, pool, absent):
        remaining, racks = self._remaining(pool, absent), {}
        for name in remaining:
            rack = self._vms[name].rack
            racks[rack] = racks.get(rack, 0) + 1
        largest_rack = max(racks.values(), default=0)
        return len(remaining) - largest_rack < self._required.get(pool, 0)
