"""Estates for the measurements: the two deployments and the letter's size."""

import random

from cardamomgrade.bundle import parse_bundle

ZONES_AGENCE = ("agdal", "hay-riad", "souissi", "temara")
ZONES_HEIDAVOLLUR = ("hella", "selfoss", "hvolsvollur")
LETTER_VMS = 6600
LETTER_POOLS = 319
LETTER_SERVICES = 350
LETTER_ZONES = 17
RACK_VMS = 4
SEED = 7
RACK_FAILS_AT_STEP = 2
RACK_FAILS_STEPS = 3
VMS_PER_FAILURE = 300
FAILURE_STEPS = 10


def estate_text(vms, pools, services, zones, **options):
    """Return a bundle's INI text with VMs dealt to pools and zones in turn.

    ``spare`` VMs of each pool may be out; ``moved`` VMs are assigned to the next pool.
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


def letter_text(scale, **options):
    """Return the INI text of the letter's estate times ``scale``."""
    zones = [f"z{zone}" for zone in range(LETTER_ZONES)]
    counts = (LETTER_VMS, LETTER_POOLS, LETTER_SERVICES)
    sizes = [max(1, round(count * scale)) for count in counts]
    return estate_text(*sizes, zones, **{"spare": 4, **options})


def deployments(**options):
    """Return {name: INI text} of both deployments of the brief.

    The tight one can't lose a rack besides a VM.
    """
    agence = {"weight_moves": 3, "weight_rollout": 3, "weight_buffer": 1}
    farm = {"weight_moves": 1, "weight_rollout": 1, "weight_buffer": 3}
    return {
        "agence": estate_text(
            40, 5, 5, ZONES_AGENCE, spare=4, weights=agence, **options
        ),
        "agence-tight": estate_text(
            40, 5, 5, ZONES_AGENCE, spare=2, weights=agence, **options
        ),
        "heidavollur": estate_text(
            30, 5, 5, ZONES_HEIDAVOLLUR, spare=3, weights=farm, **options
        ),
    }


def bundle_of_text(text):
    """Return the Bundle of INI text."""
    return parse_bundle(text, "bench")


class Faults:
    """Failures by step, the same for every planner: single VMs, and one rack."""

    def __init__(self, bundle):
        self._vms = sorted(bundle.vms.values(), key=lambda vm: vm.name)
        self._racks = sorted({vm.rack for vm in self._vms})

    def at(self, step):
        """Return the names of the VMs that are failed in a step."""
        begun = range(step - FAILURE_STEPS + 1, step + 1)
        failed = set().union(*map(self._begin, begun))
        if RACK_FAILS_AT_STEP <= step < RACK_FAILS_AT_STEP + RACK_FAILS_STEPS:
            rack = random.Random(SEED).choice(self._racks)
            failed |= {vm.name for vm in self._vms if vm.rack == rack}
        return failed

    def _begin(self, step):
        """Return the names of the VMs that fail as a step begins."""
        rng = random.Random(f"{SEED} {step}")
        return {vm.name for vm in self._vms if rng.random() < 1 / VMS_PER_FAILURE}


class Estate:
    """Pools of a bundle, to count breaches that maintenance brings about."""

    def __init__(self, bundle, required):
        self._required = required
        self._vms = bundle.vms
        self.pool_of = {}

    def breaches(self, out, failed):
        """Count pools that would keep their budget but for the VMs that are out."""
        return sum(
            self._below(pool, out | failed) and not self._below(pool, failed)
            for pool in {self.pool_of[name] for name in out}
        )

    def rack_breaches(self, out, failed):
        """Count pools that one more rack would bring below, but for those out."""
        return sum(
            self._below_by_rack(pool, out | failed)
            and not self._below_by_rack(pool, failed)
            for pool in {self.pool_of[name] for name in out}
        )

    def _left(self, pool, gone):
        return [n for n, p in self.pool_of.items() if p == pool and n not in gone]

    def _below(self, pool, gone):
        return len(self._left(pool, gone)) < self._required.get(pool, 0)

    def _below_by_rack(self, pool, gone):
        left, racks = self._left(pool, gone), {}
        for name in left:
            rack = self._vms[name].rack
            racks[rack] = racks.get(rack, 0) + 1
        worst = max(racks.values(), default=0)
        return len(left) - worst < self._required.get(pool, 0)
