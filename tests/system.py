"""The whole system under load: stand-ins, three entries and three controls.

All of them run as processes of their own; the load runs in the test's process.
"""

import signal
from pathlib import Path

from cardamomgrade.bundle import diff_sections, parse_bundle
from cardamomgrade.client import Requester
from cardamomgrade.feed import append_request, log_request, parse_read
from cardamomgrade.load import LoadPlan, LoadRun, report, RunCounts
from cardamomgrade.records import (
    BundleProposed,
    BundleRolled,
    BundleSigned,
    decode_record,
    DrainStarted,
    VmJoined,
)
from cardamomgrade.wire import HttpResponse
from fleets import bundle_text, vm_names
from harness import free_address, http, listening, Rig, start

SEATS = ("e1", "e2", "e3")
KEY = "a-shared-key-for-tests"
RATE_PER_S = 40.0
LOAD_S = 14.0
WORK_MS = 30.0
WAVE_AFTER_S = 1.0
WAVE_LIMIT_S = 60.0
CALL_LIMIT_S = 5.0
VMS_PER_POOL = 4


class WholeSystem:
    """The processes of one scenario; the endpoints of a rack share one process."""

    def __init__(self, folder):
        self.rig = Rig()
        self.folder = Path(folder)
        self.platform = free_address()
        self.vms = {vm: free_address() for vm in vm_names()}
        self.callers = {seat: free_address() for seat in SEATS}
        self.mesh = {seat: free_address() for seat in SEATS}
        self.processes = {}
        self.bundle = None
        self.report = None

    def begin(self):
        """Start every process, roll a first bundle and wait until the entries serve."""
        self._start_platform()
        for rack in range(1, VMS_PER_POOL + 1):
            self.start_rack(rack)
        for seat in SEATS:
            self.start_entry(seat)
            self.start_control(seat)
        addresses = [self.platform, *self.vms.values(), *self.callers.values()]
        self.rig.run_until(lambda: all(listening(item) for item in addresses))
        self.roll(1, 0)
        self.rig.run_until(self._serving)

    def _serving(self):
        return all(
            http(address, "/a/x", b"", {"Load-Id": "warm"}, "PUT")[0] == 200
            for address in self.callers.values()
        )

    def _write(self, name, text):
        path = self.folder / f"{name}.ini"
        path.write_text(text)
        return str(path)

    def _start(self, name, module, text):
        with open(self.folder / f"{name}.log", "ab") as log:
            path = self._write(name, text)
            self.processes[name] = start(module, path, log=log)

    def _start_platform(self):
        lines = ["[standin]", f"listen = {self.platform}", "[vms]"]
        lines += [f"{seat} = entry z0 r0 {x}" for seat, x in self.callers.items()]
        lines += [f"{vm} = endpoint z0 r{vm[1]} {x}" for vm, x in self.vms.items()]
        self._start("platform", "standin", "\n".join(lines) + "\n")
        self.rig.run_until(lambda: listening(self.platform))
        self.faults(lag_ms=300, reboot_ms=300)

    def start_rack(self, rack):
        """Start the process of one rack's endpoints."""
        names = [vm for vm in self.vms if vm.endswith(str(rack))]
        lines = ["[endpoints]", *(f"{vm} = {self.vms[vm]}" for vm in names)]
        self._start(f"rack-{rack}", "standin", "\n".join(lines) + "\n")

    def start_entry(self, seat):
        """Start the entry of a seat, or a replacement for one that has ended."""
        peers = "".join(f"{name} = {x}\n" for name, x in self.mesh.items())
        self._start(
            f"entry-{seat}",
            "entry",
            f"[node]\nname = {seat}\nzone = z0\n"
            f"[callers]\nlisten = {self.callers[seat]}\n"
            f"[platform]\nlog = {self.platform}\nvms = {self.platform}\n"
            f"[ops]\nlisten = {free_address()}\nkey = {KEY}\n"
            f"[mesh]\nlisten = {self.mesh[seat]}\nkey = {KEY}\n[peers]\n{peers}",
        )

    def start_control(self, seat):
        """Start the control on the node of a seat."""
        self._start(
            f"control-{seat}",
            "control",
            f"[node]\nname = {seat}\nzone = z0\n"
            f"[platform]\nlog = {self.platform}\nvms = {self.platform}\n"
            f"[ops]\nlisten = {free_address()}\nkey = {KEY}\n[wave]\ntick_ms = 50\n",
        )

    def faults(self, **values):
        """Set faults to inject in the platform stand-in."""
        http(self.platform, "/faults", values)

    def signal(self, name, signo):
        """Send a signal to a process; after SIGKILL, wait for its end."""
        self.processes[name].send_signal(signo)
        if signo == signal.SIGKILL:
            self.processes[name].wait()

    def later(self, seconds, callback):
        """Run ``callback`` in ``seconds``."""
        self.rig.loop.call_later(seconds, callback)

    def _call(self, req):
        results = []
        requester = Requester(self.rig.loop, self.rig.net, self.platform)
        requester.request(req, results.append, CALL_LIMIT_S)
        self.rig.run_until(lambda: results)
        requester.close()
        assert isinstance(results[0], HttpResponse), results
        return results[0]

    def roll(self, version, round_):
        """Propose, sign off and roll a bundle whose wave has the given round."""
        records = self._roll_records(version, round_)
        self._call(append_request("fleet", records))

    def _roll_records(self, version, round_):
        text = bundle_text(self.vms, round_, version)
        text = text.replace("seats = e1, e2", f"seats = {', '.join(SEATS)}")
        text = text.replace("min_serving = 1", "min_serving = 2")
        bundle = parse_bundle(text, "whole")
        old, self.bundle = self.bundle, bundle
        difference = diff_sections(old.sections if old else (), bundle.sections)
        parent = old.digest if old else b""
        proposal = BundleProposed(
            version, parent, bundle.digest, bundle.author, *_parts(difference)
        )
        return [
            proposal,
            BundleSigned(bundle.digest, "boris"),
            BundleRolled(bundle.digest, "boris"),
        ]

    def run_load(self):
        """Send the load, start a wave during it and set ``report`` from the outcomes.

        The wave starts when the bundle with the next round is rolled.
        """
        done = []
        plan = LoadPlan(
            tuple(self.callers.values()),
            ("/a", "/b"),
            tuple(self.vms.values()),
            RATE_PER_S,
            LOAD_S,
            7,
            WORK_MS,
        )
        run = LoadRun(self.rig.loop, self.rig.net, plan, lambda: done.append(True))
        self.rig.run_for(WAVE_AFTER_S)
        self.roll(2, 1)
        self.rig.run_until(lambda: done, LOAD_S + 30)
        done.clear()
        counts = RunCounts(
            self.rig.loop, self.rig.net, plan.endpoints, lambda: done.append(True)
        )
        self.rig.run_until(lambda: done)
        self.report = report(run.requests, counts)

    def records(self):
        """Return the current records of the fleet stream."""
        response = self._call(log_request("fleet", 0))
        return [decode_record(data) for _, _, data in parse_read(response)[1]]

    def wave_done(self):
        """Return whether every VM of the wave's pool has rejoined."""
        joined = {item.vm for item in self.records() if isinstance(item, VmJoined)}
        return joined == {vm for vm in self.vms if vm.startswith("a")}

    def drained(self):
        """Return whether any drain has started."""
        return any(isinstance(item, DrainStarted) for item in self.records())


def _parts(difference):
    return difference.changed, difference.removed
