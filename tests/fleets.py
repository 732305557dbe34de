"""A small fleet for tests: two pools, two entries and at most one batch."""

import attrs

from cardamomgrade.bundle import parse_bundle
from cardamomgrade.records import (
    BatchAcked,
    BatchOpened,
    BundleProposed,
    BundleRolled,
    BundleSigned,
    DrainConfirmed,
    DrainStarted,
    Logged,
    MemberJoined,
    RebootOrdered,
    VmFailed,
)
from cardamomgrade.replica import Replica

ENTRIES = ("e1", "e2")
POOLS = ("a", "b")
VMS_PER_POOL = 4
TIME_MS = 1_000_000


def bundle_text(addresses=None, round_=1, version=1):
    """Return the text of a bundle of two pools.

    ``addresses`` maps VM names to ip:port, ``round_`` is the round of wave w.
    """
    lines = [
        "[bundle]",
        f"version = {version}",
        "author = anna",
        f"seats = {', '.join(ENTRIES)}",
    ]
    for pool in POOLS:
        lines += [f"[pool {pool}]", "slots = 8", "connections = 64"]
        lines += [f"[service {pool}]", f"pool = {pool}", f"path = /{pool}"]
        lines += ["deadline_ms = 1000", "min_serving = 1"]
    for index, vm in enumerate(vm_names()):
        address = (addresses or {}).get(vm, f"127.0.0.1:{40001 + index}")
        lines += [f"[vm {vm}]", f"pool = {vm[0]}", f"zone = z{index % 2}"]
        lines += [f"rack = r{index % VMS_PER_POOL}", f"address = {address}"]
    lines += ["[wave w]", "pools = a", f"round = {round_}"]
    return "\n".join(lines) + "\n"


def vm_names():
    """Return the names of all VMs, such as a1."""
    return [f"{pool}{index + 1}" for pool in POOLS for index in range(VMS_PER_POOL)]


def rollout(bundle):
    """Return the records that put the first bundle in force."""
    sections = bundle.sections
    return [
        BundleProposed(bundle.version, b"", bundle.digest, bundle.author, sections, ()),
        BundleSigned(bundle.digest, "boris"),
        BundleRolled(bundle.digest, "boris"),
    ]


@attrs.frozen
class FleetLog:
    """A list of Logged and the FleetState after them."""

    logged: list
    state: object


def _replay(records):
    logged = [Logged(index, TIME_MS, item) for index, item in enumerate(records)]
    replica = Replica()
    for item in replica.take(logged):
        assert item.refusal is None, (item.logged, item.refusal)
    return FleetLog(logged, replica.state)


def _initial_records():
    records = rollout(parse_bundle(bundle_text()))
    records += [MemberJoined(name, 1, "z0", "127.0.0.1:1") for name in ENTRIES]
    return records


def fleet_log():
    """Return the FleetLog of a fleet in service, with one failed VM and no batch."""
    return _replay([*_initial_records(), VmFailed("b4", "c")])


def rebooting_state(vm):
    """Return the state in which ``vm`` reboots, and the fence of its reboot order."""
    records = _initial_records()
    batch = len(records)
    records.append(BatchOpened("w", 1, (vm,), "", batch - 1, "c"))
    records += [BatchAcked(name, 1, batch) for name in ENTRIES]
    records.append(DrainStarted(batch, "c"))
    records += [DrainConfirmed(name, 1, batch) for name in ENTRIES]
    records.append(RebootOrdered(batch, vm, "c"))
    return _replay(records).state, len(records) - 1
