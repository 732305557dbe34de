"""Measures real processes on loopback: memory, processor time and added latency.

For each number of VMs an entry and a control follow the log, first idle and then with
bundle changes at a steady rate. Then requests are sent through the entry, directly to
the endpoint and to a bare web server.

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

from bench_estates import estate_text, TARGET_POOLS, TARGET_VMS  # noqa: E402

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
SIZES = (40, 412, 1650, TARGET_VMS)
ZONES = tuple(f"z{zone}" for zone in range(17))
IDLE_S = 10.0
CHANGES = 40
CHANGE_GAP_S = 0.1
CALLERS = (1, 4, 16)
REQUESTS = 3000
SETTLE_S = 3.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
APPEND_TIMEOUT_S = 20.0


@attrs.frozen
class ProcessUsage:
    """Processor seconds, current and peak resident MB of a process."""

    cpu_s: float
    resident_mb: float
    peak_mb: float


def process_usage(process):
    """Return the ProcessUsage of a Popen from /proc."""
    stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    fields = {}
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        fields[name] = value.split()
    return ProcessUsage(
        (int(stat[11]) + int(stat[12])) / TICKS_PER_S,
        round(int(fields["VmRSS"][0]) / 1024, 1),
        round(int(fields["VmHWM"][0]) / 1024, 1),
    )


class Deployment:
    """A platform stand-in, an endpoint, an entry and a control as processes."""

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

    def start_processes(self):
        """Start all processes and wait until they listen."""
        for name in ("standin", "endpoint", "entry", "control"):
            module = "standin" if name == "endpoint" else name
            with open(self.folder / f"{name}.log", "ab") as log:
                path = str(self.folder / f"{name}.ini")
                self.processes[name] = harness.start(module, path, log=log)
        for address in (self.platform, self.endpoint, self.entry_address):
            harness.wait_for(lambda address=address: harness.listening(address))

    def append(self, *records):
        """Append records to the fleet stream and wait for the response."""
        results = []
        requester = Requester(
            self.rig.loop, self.rig.net, self.platform, BODY_LIMIT_BYTES
        )
        requester.request(
            append_request("fleet", records), results.append, APPEND_TIMEOUT_S
        )
        self.rig.run_until(lambda: results)
        requester.close()
        assert isinstance(results[0], HttpResponse), results

    def roll(self, text):
        """Propose, sign off and roll a bundle; return the proposal's size in bytes."""
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

    def usages(self):
        """Return the ProcessUsage of the entry and the control by name."""
        return {
            name: process_usage(self.processes[name]) for name in ("entry", "control")
        }

    def in_force_delays_ms(self):
        """Return, for each bundle, the ms from its roll until the control uses it."""
        lines = (self.folder / "control.log").read_text().splitlines()
        return [json.loads(x)["delay_ms"] for x in lines if '"BundleInForce"' in x]


def bundle_text(vms, version, endpoint, deadline_ms=2000):
    """Return INI text of a bundle whose first VM has the address ``endpoint``."""
    pools = max(1, round(TARGET_POOLS * vms / TARGET_VMS))
    text = estate_text(vms, pools, pools, ZONES, version=version, spare=vms)
    text = text.replace("round = 1", "round = 0").replace("slots = 8", "slots = 448")
    text = text.replace("connections = 64", "connections = 448")
    text = text.replace("deadline_ms = 2000", f"deadline_ms = {deadline_ms}", 1)
    return text.replace("address = 127.1.0.0:1", f"address = {endpoint}")


def core_shares(before, after, seconds):
    """Return the fraction of a core that each process used between two usages()."""
    return {
        name: round((after[name].cpu_s - before[name].cpu_s) / seconds, 4)
        for name in after
    }


def measure_size(vms):
    """Return a dict of figures with ``vms`` VMs, idle and during bundle changes."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder)
        deployment.start_processes()
        time.sleep(SETTLE_S)
        empty = deployment.usages()
        size = deployment.roll(bundle_text(vms, 1, deployment.endpoint))
        time.sleep(SETTLE_S)
        first = deployment.usages()
        time.sleep(IDLE_S)
        rested = deployment.usages()
        started = time.monotonic()
        sizes = []
        for version in range(2, 2 + CHANGES):
            sizes.append(
                deployment.roll(
                    bundle_text(vms, version, deployment.endpoint, 2000 + version)
                )
            )
            time.sleep(CHANGE_GAP_S)
        time.sleep(1.0)
        elapsed_s = time.monotonic() - started
        changed = deployment.usages()
        in_force_delays_ms = deployment.in_force_delays_ms()
        harness.end_processes()
    idle_shares = core_shares(first, rested, IDLE_S)
    changing_shares = core_shares(rested, changed, elapsed_s)
    per_change = {
        name: round(
            1000 * (changing_shares[name] - idle_shares[name]) * elapsed_s / CHANGES, 2
        )
        for name in changing_shares
    }
    return {
        "vms": vms,
        "first_bundle_bytes": size,
        "change_bytes": sum(sizes) // len(sizes),
        "resident_mb_empty": {k: v.resident_mb for k, v in empty.items()},
        "resident_mb": {k: v.resident_mb for k, v in rested.items()},
        "resident_mb_after_changes": {k: v.resident_mb for k, v in changed.items()},
        "peak_mb": {k: v.peak_mb for k, v in changed.items()},
        "rest_core_share": idle_shares,
        "ms_per_change": per_change,
        "in_force_ms_first": in_force_delays_ms[0] if in_force_delays_ms else None,
        "in_force_ms_max_of_changes": max(in_force_delays_ms[1:], default=None),
    }


def closed_loop(rig, address, path, callers, count):
    """Send ``count`` requests; return their sorted durations in seconds.

    Each of ``callers`` connections sends its next request after a response.
    """
    durations_s, unsent = [], [count]

    def run(conn):
        client = ClientConn(conn)

        def send_next(result=None):
            if result is not None:
                assert result.status == 200, result
                durations_s.append(rig.loop.now() - sent_s[client])
            if unsent[0] <= 0:
                return
            unsent[0] -= 1
            sent_s[client] = rig.loop.now()
            req = HttpRequest("GET", path, ((b"host", b"x"), (b"work-ms", b"0")))
            client.send(req, send_next)

        send_next()

    sent_s = {}
    host, port = parse_address(address)
    for _ in range(callers):
        rig.net.dial(host, port, run, print)
    rig.run_until(lambda: len(durations_s) >= count, 120)
    return sorted(durations_s)


def measure_requests():
    """Return latency and throughput of each server by number of callers."""
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder)
        deployment.start_processes()
        time.sleep(SETTLE_S)
        deployment.roll(bundle_text(1, 1, deployment.endpoint))
        bare_address = harness.free_address()
        harness.start_script("bare_web.py", bare_address)
        time.sleep(SETTLE_S)
        for callers in CALLERS:
            row = {"callers": callers}
            for name, address, path in (
                ("straight", deployment.endpoint, "/s0/x"),
                ("entry", deployment.entry_address, "/s0/x"),
                ("bare_web", bare_address, "/"),
            ):
                before = process_usage(deployment.processes["entry"])
                started = time.monotonic()
                durations_s = closed_loop(
                    deployment.rig, address, path, callers, REQUESTS
                )
                seconds = time.monotonic() - started
                after = process_usage(deployment.processes["entry"])
                row[name] = {
                    "requests_per_s": round(REQUESTS / seconds),
                    "p50_ms": round(1000 * durations_s[len(durations_s) // 2], 3),
                    "p99_ms": round(
                        1000 * durations_s[len(durations_s) * 99 // 100], 3
                    ),
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
