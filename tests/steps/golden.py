"""Steps that play whole sessions and compare their decision logs."""

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
from cardamomgrade.member import owed_records, Seat
from cardamomgrade.wave import Planner

ROOT = Path(__file__).resolve().parents[2]
GOLDEN = ROOT / "tests" / "golden"
RENEW = "CARDAMOM_RENEW_GOLDEN"
NO_DOWNLOADS = "APPROVALTESTS_DISABLE_SCRIPT_DOWNLOADS"
ROUND_MS = 1000
ROUNDS_MAX = 400
FAILURE_ROUND, RECOVERY_ROUND = 4, 16
FREEZE_ROUND, THAW_ROUND = 20, 60
WAVE_ROUND = re.compile(r"^round = 0$", re.MULTILINE)
QUIET_FIELDS = {"control", "entry", "incarnation", "builds_on", "digest", "parent"}
SECTIONS_SHOWN = 4


@attrs.frozen
class Listed:
    """A VM as the platform's list shows it."""

    vm: str
    state: str


class Session:
    """One deployment from its first bundle to the end of a wave, as readable lines.

    The seed chooses the VM that is moved, the VMs that fail and the entry that
    freezes. Each round takes a second of the log's time.
    """

    def __init__(self, deployment, seed):
        text = (ROOT / "examples" / deployment / "bundle.ini").read_text()
        self.rng = random.Random(seed)
        self.log = FleetLog()
        self.planner = Planner()
        self.lines = []
        self.told = {}
        self.failing = []
        self.frozen = None
        self.lowest = {}
        first = parse_bundle(text)
        self.seats = [Seat(name, "", f"{name}:1", 1) for name in first.seats]
        self._roll(first)
        for seat in self.seats:
            self._append(self._owed(seat)[0])
        self._roll(parse_bundle(self._revised(text, first)))

    def play(self):
        """Play rounds until the wave is done and return the text."""
        for number in range(ROUNDS_MAX):
            self.log.time_ms += ROUND_MS
            self._happen(number)
            if not self._plan() and number > THAW_ROUND:
                break
            self._answer()
            self._reboot()
            self._measure()
        self._close()
        return "\n".join(self.lines) + "\n"

    def _revised(self, text, bundle):
        """Return the bundle's second version: a wave and one VM in another pool."""
        pools = list(bundle.pools)
        vm = self.rng.choice([vm for vm in bundle.vms.values() if vm.pool == pools[0]])
        old = f"[vm {vm.name}]\npool = {vm.pool}"
        new = f"[vm {vm.name}]\npool = {pools[-1]}"
        text = text.replace(old, new).replace("version = 1", "version = 2", 1)
        return WAVE_ROUND.sub("round = 1", text)

    def _say(self, text):
        self.lines.append(f"{self.log.time_ms / 1000:6.1f} s  {text}")

    def _append(self, record):
        offset = self.log.state.offset
        refusal = self.log.append(record)
        fields = [
            f"{field.name}={_shown(getattr(record, field.name))}"
            for field in attrs.fields(type(record))
            if field.name not in QUIET_FIELDS
        ]
        entry = getattr(record, "entry", "")
        verdict = f"  refused, {refusal}" if refusal is not None else ""
        parts = [f"#{offset}", type(record).__name__, entry, *fields]
        self._say(" ".join(part for part in parts if part) + verdict)

    def _roll(self, bundle):
        self._append(self.log.proposal(bundle))
        self._append(records.BundleSigned(bundle.digest, "second-operator"))
        self._append(records.BundleRolled(bundle.digest, "first-operator"))

    def _owed(self, seat):
        return owed_records(self.log.state, seat, lambda vm: 0)

    def _answer(self):
        """Append what the entries owe; one line tells all of one kind and batch."""
        told = {}
        for seat in self.seats:
            if seat.name == self.frozen:
                continue
            for record in self._owed(seat):
                refusal = self.log.append(record)
                key = (type(record).__name__, record.batch, refusal)
                told.setdefault(key, []).append(seat.name)
        for (kind, batch, refusal), names in told.items():
            verdict = f"  refused, {refusal}" if refusal is not None else ""
            self._say(f"{kind} batch={batch} by {', '.join(names)}{verdict}")

    def _happen(self, number):
        vms = sorted(self.log.state.vms)
        if number == FAILURE_ROUND:
            self.failing = sorted(self.rng.sample(vms, 2))
            for vm in self.failing:
                self._append(records.VmFailed(vm, "control-1"))
        if number == RECOVERY_ROUND:
            for vm in self.failing:
                self._append(records.VmRecovered(vm, "control-1"))
            self.failing = []
        if number == FREEZE_ROUND:
            self.frozen = self.rng.choice(self.seats).name
            self._say(f"{self.frozen} freezes")
        if number == THAW_ROUND:
            self._say(f"{self.frozen} goes on")
            self.frozen = None

    def _plan(self):
        """Append what the planner wants; return whether work is left."""
        state = self.log.state
        listed = [
            Listed(vm, "failed" if vm in self.failing else "live") for vm in state.vms
        ]
        result = self.planner.plan(state, listed)
        for item in result.explanations:
            text = str(item)
            if self.told.get(item.wave) != text:
                self.told[item.wave] = text
                self._say(f"wave {item.wave}: {text}")
        for record in result.records:
            self._append(attrs.evolve(record, control="control-1"))
        return bool(result.records or self.log.state.batches)

    def _reboot(self):
        for vm in sorted(self.log.state.vms):
            item = self.log.state.vms[vm]
            if item.phase == "rebooting" and vm not in self.failing:
                self._append(records.VmJoined(item.batch, vm, item.fence, "control-1"))

    def _measure(self):
        state = self.log.state
        for pool in state.vms.pools():
            active = sum(vm.active for vm in state.vms.pool(pool).values())
            self.lowest[pool] = min(active, self.lowest.get(pool, active))

    def _close(self):
        state = self.log.state
        for pool in sorted(self.lowest):
            vms = sorted(state.vms.pool(pool))
            self._say(
                f"pool {pool}: {len(vms)} VMs, {self.lowest[pool]} served at least, "
                f"{state.required[pool]} must"
            )
        rebooted = sum(vm.fence >= 0 for vm in state.vms.values())
        self._say(f"{rebooted} of {len(state.vms)} VMs rebooted")


def _shown(value):
    if isinstance(value, tuple) and len(value) > SECTIONS_SHOWN:
        return f"{len(value)} of them"
    if isinstance(value, tuple):
        return ",".join(getattr(item, "name", item) for item in value) or "none"
    return value or '""'


@when('the session of "{deployment}" is played with seed {seed:d}')
def step_play(context, deployment, seed):
    context.deployment = deployment
    context.decisions = Session(deployment, seed).play()


@then("its decision log is the approved one")
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
