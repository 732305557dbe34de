"""Measures real processes on loopback: memory, processor time and added latency.

An entry and a control follow a log with estates of four sizes; then bundles change at
a steady rate; then requests run through the entry and straight to the endpoint.

Usage: bench_process.py; prints JSON.
"""

import json
import os
import sys
import tempfile
import time
from pathlib import Path

import attrs

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "scripts")]

from bench_estates import estate_text, LETTER_POOLS, LETTER_VMS  # noqa: E402

import harness  # noqa: E402
from cardamomgrade.bundle import diff_sections, parse_bundle  # noqa: E402
from cardamomgrade.client import ClientConn, Requester  # noqa: E402
from cardamomgrade.feed import append_request, BODY_LIMIT_BYTES  # noqa: E402
from cardamomgrade.net import parse_address  # noqa: E402
from cardamomgrade.records import (  # noqa: E402
    BundleProposed,
    BundleRolled,
    BundleSigned,
    encode_record,
)
from cardamomgrade.wire import HttpRequest, HttpResponse  # noqa: E402

KEY = "a-shared-key-for-the-bench"
SIZES = (40, 412, 1650, LETTER_VMS)
ZONES = tuple(f"z{zone}" for zone in range(17))
REST_S = 10.0
CHANGES = 40
CHANGE_GAP_S = 0.1
CALLERS = (1, 4, 16)
REQUESTS = 3000
SETTLE_S = 3.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
APPEND_LIMIT_S = 20.0


@attrs.frozen
class Cost:
    """What a process has used: processor seconds, resident MB now and at most."""

    cpu_s: float
    resident_mb: float
    peak_mb: float


def cost(process):
    """Return the Cost of a process from /proc."""
    stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    fields = {}
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        fields[name] = value.split()
    return Cost(
        (int(stat[11]) + int(stat[12])) / TICKS_PER_S,
        round(int(fields["VmRSS"][0]) / 1024, 1),
        round(int(fields["VmHWM"][0]) / 1024, 1),
    )


class Site:
    """A platform, an endpoint, an entry and a control as processes."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.rig = harness.Rig()
        self.platform = harness.free_address()
        self.endpoint = harness.free_address()
        self.entry_address = harness.free_address()
        self._write(
            "standin",
            f"[standin]\nlisten = {self.platform}\n[vms]\n"
            f"e0 = entry z0 r0 {self.entry_address}\n"
            f"v0 = endpoint z0 r0 {self.endpoint}\n",
        )
        self._write("endpoint", f"[endpoints]\nv0 = {self.endpoint}\n")
        common = f"[node]\nname = e0\nzone = z0\n[platform]\nlog = {self.platform}\n"
        ops = f"[ops]\nlisten = {harness.free_address()}\nkey = {KEY}\n"
        self._write("entry", f"{common}{ops}[callers]\nlisten = {self.entry_address}\n")
        ops = f"[ops]\nlisten = {harness.free_address()}\nkey = {KEY}\n"
        self._write("control", f"{common}vms = {self.platform}\n{ops}")
        self.processes = {}
        self.bundle = None

    def _write(self, name, text):
        (self.folder / f"{name}.ini").write_text(text)

    def begin(self):
        """Start the processes."""
        for name in ("standin", "endpoint", "entry", "control"):
            module = "standin" if name == "endpoint" else name
            with open(self.folder / f"{name}.log", "ab") as log:
                path = str(self.folder / f"{name}.ini")
                self.processes[name] = harness.start(module, path, log=log)
        for address in (self.platform, self.endpoint, self.entry_address):
            harness.wait_for(lambda address=address: harness.listening(address))

    def append(self, *records):
        """Append records to the fleet stream."""
        results = []
        requester = Requester(
            self.rig.loop, self.rig.net, self.platform, BODY_LIMIT_BYTES
        )
        requester.request(
            append_request("fleet", records), results.append, APPEND_LIMIT_S
        )
        self.rig.run_until(lambda: results)
        requester.close()
        assert isinstance(results[0], HttpResponse), results

    def roll(self, text):
        """Propose, sign off and roll a bundle; return the proposal's bytes."""
        bundle = parse_bundle(text, "bench")
        old = self.bundle.sections if self.bundle else ()
        difference = diff_sections(old, bundle.sections)
        proposal = BundleProposed(
            bundle.version,
            self.bundle.digest if self.bundle else b"",
            bundle.digest,
            bundle.author,
            difference.changed,
            difference.removed,
        )
        self.append(
            proposal,
            BundleSigned(bundle.digest, "eve"),
            BundleRolled(bundle.digest, "eve"),
        )
        self.bundle = bundle
        return len(encode_record(proposal))

    def costs(self):
        """Return the Cost of the entry and the control."""
        return {name: cost(self.processes[name]) for name in ("entry", "control")}

    def delays(self):
        """Return the ms from each roll to in force at the control."""
        lines = (self.folder / "control.log").read_text().splitlines()
        return [json.loads(x)["delay_ms"] for x in lines if '"BundleInForce"' in x]


def bundle_text(vms, version, endpoint, deadline_ms=2000):
    """Return a bundle of ``vms`` VMs whose first VM is the real endpoint."""
    pools = max(1, round(LETTER_POOLS * vms / LETTER_VMS))
    text = estate_text(vms, pools, pools, ZONES, version=version, spare=vms)
    text = text.replace("round = 1", "round = 0").replace("slots = 8", "slots = 448")
    text = text.replace("connections = 64", "connections = 448")
    text = text.replace("deadline_ms = 2000", f"deadline_ms = {deadline_ms}", 1)
    return text.replace("address = 127.1.0.0:1", f"address = {endpoint}")


def used(before, after, seconds):
    """Return the share of a core used between two Costs, by process."""
    return {
        name: round((after[name].cpu_s - before[name].cpu_s) / seconds, 4)
        for name in after
    }


def measure_size(vms):
    """Return memory, rest and change figures of an estate of ``vms`` VMs."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder)
        site.begin()
        time.sleep(SETTLE_S)
        empty = site.costs()
        size = site.roll(bundle_text(vms, 1, site.endpoint))
        time.sleep(SETTLE_S)
        first = site.costs()
        time.sleep(REST_S)
        rested = site.costs()
        started = time.monotonic()
        sizes = []
        for version in range(2, 2 + CHANGES):
            sizes.append(
                site.roll(bundle_text(vms, version, site.endpoint, 2000 + version))
            )
            time.sleep(CHANGE_GAP_S)
        time.sleep(1.0)
        took = time.monotonic() - started
        changed = site.costs()
        delays = site.delays()
        harness.end_processes()
    rest = used(first, rested, REST_S)
    busy = used(rested, changed, took)
    per_change = {
        name: round(1000 * (busy[name] - rest[name]) * took / CHANGES, 2)
        for name in busy
    }
    return {
        "vms": vms,
        "first_bundle_bytes": size,
        "change_bytes": sum(sizes) // len(sizes),
        "resident_mb_empty": {k: v.resident_mb for k, v in empty.items()},
        "resident_mb": {k: v.resident_mb for k, v in rested.items()},
        "resident_mb_after_changes": {k: v.resident_mb for k, v in changed.items()},
        "peak_mb": {k: v.peak_mb for k, v in changed.items()},
        "rest_core_share": rest,
        "ms_per_change": per_change,
        "in_force_ms_first": delays[0] if delays else None,
        "in_force_ms_max_of_changes": max(delays[1:], default=None),
    }


def closed_loop(rig, address, path, callers, count):
    """Send ``count`` requests from ``callers`` in turn; return sorted seconds."""
    took, left = [], [count]

    def run(conn):
        client = ClientConn(conn)

        def again(result=None):
            if result is not None:
                assert result.status == 200, result
                took.append(rig.loop.now() - began[client])
            if left[0] <= 0:
                return
            left[0] -= 1
            began[client] = rig.loop.now()
            req = HttpRequest("GET", path, ((b"host", b"x"), (b"work-ms", b"0")))
            client.send(req, again)

        again()

    began = {}
    host, port = parse_address(address)
    for _ in range(callers):
        rig.net.dial(host, port, run, print)
    rig.run_until(lambda: len(took) >= count, 120)
    return sorted(took)


def measure_requests():
    """Return latency and throughput through the entry and straight, by callers."""
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder)
        site.begin()
        time.sleep(SETTLE_S)
        site.roll(bundle_text(1, 1, site.endpoint))
        bare = harness.free_address()
        harness.start_script("bare_web.py", bare)
        time.sleep(SETTLE_S)
        for callers in CALLERS:
            row = {"callers": callers}
            for name, address, path in (
                ("straight", site.endpoint, "/s0/x"),
                ("entry", site.entry_address, "/s0/x"),
                ("bare_web", bare, "/"),
            ):
                before = cost(site.processes["entry"])
                started = time.monotonic()
                took = closed_loop(site.rig, address, path, callers, REQUESTS)
                seconds = time.monotonic() - started
                after = cost(site.processes["entry"])
                row[name] = {
                    "requests_per_s": round(REQUESTS / seconds),
                    "p50_ms": round(1000 * took[len(took) // 2], 3),
                    "p99_ms": round(1000 * took[len(took) * 99 // 100], 3),
                    "entry_cpu_ms_per_request": round(
                        1000 * (after.cpu_s - before.cpu_s) / REQUESTS, 3
                    ),
                }
            for name in ("straight", "bare_web"):
                row[f"ratio_to_{name}"] = round(
                    row["entry"]["requests_per_s"] / row[name]["requests_per_s"], 3
                )
            rows.append(row)
        harness.end_processes()
    return rows


def main():
    """Run every measurement and print JSON."""
    try:
        report = {
            "sizes": [measure_size(vms) for vms in SIZES],
            "requests": measure_requests(),
        }
    finally:
        harness.end_processes()
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
