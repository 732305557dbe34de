"""Steps that run simulated sessions and compare their decisions with approved logs."""

import os
import random
import re
from contextlib import nullcontext, suppress
from pathlib import Path

import attrs
from approvaltests import Options, verify
from approvaltests.approval_exception import ApprovalException
from approvaltests.namer.cli_namer import CliNamer
from approvaltests.reporters.python_native_reporter import PythonNativeReporter
from approvaltests.reporters.reporter_that_automatically_approves import (
    ReporterThatAutomaticallyApproves,
)
from behave import then, when
from fleetlog import FleetLog

from cardamomgrade import records
from cardamomgrade.bundle import parse_bundle
from cardamomgrade.member import records_to_append, Seat
from cardamomgrade.wave import Planner

ROOT = Path(__file__).resolve().parents[2]
GOLDEN = ROOT / "tests" / "golden"
RENEW = "CARDAMOM_RENEW_GOLDEN"
NO_DOWNLOADS = "APPROVALTESTS_DISABLE_SCRIPT_DOWNLOADS"
ROUND_MS = 1000
ROUNDS_MAX = 400
FAILURE_ROUND, RECOVERY_ROUND = 4, 16
FREEZE_ROUND, RESUME_ROUND = 20, 60
WAVE_ROUND = re.compile(r"^round = 0$", re.MULTILINE)
HIDDEN_FIELDS = {"control", "entry", "incarnation", "builds_on", "digest", "parent"}
ITEMS_SHOWN_MAX = 4


@attrs.frozen
class Listed:
    """A VM as the platform's list shows it."""

    vm: str
    state: str


class Session:
    """A simulation of a deployment from its first bundle to the end of a wave.

    The seed chooses the VM that is moved, the VMs that fail and the entry that
    freezes. Each round takes a second of log time. ``lines`` is the decision log.
    """

    def __init__(self, deployment, seed):
        text = (ROOT / "examples" / deployment / "bundle.ini").read_text()
        self.rng = random.Random(seed)
        self.log = FleetLog()
        self.planner = Planner()
        self.lines = []
        self.explained = {}
        self.failed_vms = []
        self.frozen_entry = None
        self.min_serving = {}
        first = parse_bundle(text)
        self.seats = [Seat(name, "", f"{name}:1", 1) for name in first.seats]
        self._roll(first)
        for seat in self.seats:
            self._append(self._records_to_append(seat)[0])
        self._roll(parse_bundle(self._second_version(text, first)))

    def run(self):
        """Run rounds until the wave is done and return the decision log."""
        for number in range(ROUNDS_MAX):
            self.log.time_ms += ROUND_MS
            self._inject_faults(number)
            if not self._plan() and number > RESUME_ROUND:
                break
            self._answer_entries()
            self._join_rebooted_vms()
            self._measure_serving()
        self._write_summary()
        return "\n".join(self.lines) + "\n"

    def _second_version(self, text, bundle):
        """Return the bundle's second version: a wave and one VM in another pool."""
        pools = list(bundle.pools)
        vm = self.rng.choice([vm for vm in bundle.vms.values() if vm.pool == pools[0]])
        old = f"[vm {vm.name}]\npool = {vm.pool}"
        new = f"[vm {vm.name}]\npool = {pools[-1]}"
        text = text.replace(old, new).replace("version = 1", "version = 2", 1)
        return WAVE_ROUND.sub("round = 1", text)

    def _write(self, text):
        self.lines.append(f"{self.log.time_ms / 1000:6.1f} s  {text}")

    def _append(self, record):
        offset = self.log.state.offset
        refusal = self.log.append(record)
        fields = [
            f"{field.name}={_format_value(getattr(record, field.name))}"
            for field in attrs.fields(type(record))
            if field.name not in HIDDEN_FIELDS
        ]
        entry = getattr(record, "entry", "")
        suffix = f"  refused, {refusal}" if refusal is not None else ""
        parts = [f"#{offset}", type(record).__name__, entry, *fields]
        self._write(" ".join(part for part in parts if part) + suffix)

    def _roll(self, bundle):
        self._append(self.log.proposal(bundle))
        self._append(records.BundleSigned(bundle.digest, "second-operator"))
        self._append(records.BundleRolled(bundle.digest, "first-operator"))

    def _records_to_append(self, seat):
        return records_to_append(self.log.state, seat, lambda vm: 0)

    def _answer_entries(self):
        """Append the records due from entries; write a line for each type and batch."""
        answers = {}
        for seat in self.seats:
            if seat.name == self.frozen_entry:
                continue
            for record in self._records_to_append(seat):
                refusal = self.log.append(record)
                key = (type(record).__name__, record.batch, refusal)
                answers.setdefault(key, []).append(seat.name)
        for (record_type, batch, refusal), names in answers.items():
            suffix = f"  refused, {refusal}" if refusal is not None else ""
            self._write(f"{record_type} batch={batch} by {', '.join(names)}{suffix}")

    def _inject_faults(self, number):
        vms = sorted(self.log.state.vms)
        if number == FAILURE_ROUND:
            self.failed_vms = sorted(self.rng.sample(vms, 2))
            for vm in self.failed_vms:
                self._append(records.VmFailed(vm, "control-1"))
        if number == RECOVERY_ROUND:
            for vm in self.failed_vms:
                self._append(records.VmRecovered(vm, "control-1"))
            self.failed_vms = []
        if number == FREEZE_ROUND:
            self.frozen_entry = self.rng.choice(self.seats).name
            self._write(f"{self.frozen_entry} freezes")
        if number == RESUME_ROUND:
            self._write(f"{self.frozen_entry} goes on")
            self.frozen_entry = None

    def _plan(self):
        """Append the planned records; return whether the wave goes on."""
        state = self.log.state
        listed = [
            Listed(vm, "failed" if vm in self.failed_vms else "live")
            for vm in state.vms
        ]
        result = self.planner.plan(state, listed)
        for item in result.explanations:
            text = str(item)
            if self.explained.get(item.wave) != text:
                self.explained[item.wave] = text
                self._write(f"wave {item.wave}: {text}")
        for record in result.records:
            self._append(attrs.evolve(record, control="control-1"))
        return bool(result.records or self.log.state.batches)

    def _join_rebooted_vms(self):
        for vm in sorted(self.log.state.vms):
            item = self.log.state.vms[vm]
            if item.phase == "rebooting" and vm not in self.failed_vms:
                self._append(records.VmJoined(item.batch, vm, item.fence, "control-1"))

    def _measure_serving(self):
        state = self.log.state
        for pool in state.vms.pools():
            active = sum(vm.active for vm in state.vms.pool(pool).values())
            self.min_serving[pool] = min(active, self.min_serving.get(pool, active))

    def _write_summary(self):
        state = self.log.state
        for pool in sorted(self.min_serving):
            vms = sorted(state.vms.pool(pool))
            self._write(
                f"pool {pool}: {len(vms)} VMs, "
                f"{self.min_serving[pool]} served at least, "
                f"{state.required[pool]} must"
            )
        rebooted = sum(vm.fence >= 0 for vm in state.vms.values())
        self._write(f"{rebooted} of {len(state.vms)} VMs rebooted")


def _format_value(value):
    if isinstance(value, tuple) and len(value) > ITEMS_SHOWN_MAX:
        return f"{len(value)} of them"
    if isinstance(value, tuple):
        return ",".join(getattr(item, "name", item) for item in value) or "none"
    return value or '""'


@when('the session of "{deployment}" runs with seed {seed:d}')
def step_run_session(context, deployment, seed):
    context.deployment = deployment
    context.decisions = Session(deployment, seed).run()


@then("its decision log equals the approved one")
def step_approved(context):
    renew = os.environ.get(RENEW) == "1"
    reporter = ReporterThatAutomaticallyApproves() if renew else PythonNativeReporter()
    os.environ.setdefault(NO_DOWNLOADS, "1")
    namer = CliNamer(str(GOLDEN / context.deployment))
    options = Options().with_namer(namer).with_reporter(reporter)
    with suppress(ApprovalException) if renew else nullcontext():
        verify(context.decisions, options=options)
    if renew:
        print(f"renewed {Path(namer.get_approved_filename()).relative_to(ROOT)}")
