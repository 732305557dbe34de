"""Views of a folded state for operators: status, and the history of one VM."""

import attrs

from .decisions import subject_of
from .refusal import Reason, Refusal

HISTORY_RECORDS = 8


@attrs.frozen
class Trace:
    """A record about a subject; ``outcome`` is "applied" or the text of a refusal."""

    offset: int
    time_ms: int
    record: str
    outcome: str


@attrs.frozen
class BatchView:
    """An open batch of VMs.

    ``acked`` and ``confirmed`` name the entries that have acknowledged the batch and
    confirmed its drain, ``unacked`` and ``unconfirmed`` the other members.
    """

    offset: int
    wave: str
    round: int
    vms: tuple
    pool: str
    acked: tuple
    unacked: tuple
    confirmed: tuple
    unconfirmed: tuple
    drain_offset: int | None


@attrs.frozen
class VmExplanation:
    """State of a VM and the last records about it."""

    vm: str
    pool: str
    phase: str
    failed: bool
    fence: int | None
    batch: BatchView | None
    records: tuple


@attrs.frozen
class BundleView:
    """The bundle in force; it took effect at ``offset`` and ``time_ms`` of the log."""

    version: int
    digest: str
    author: str
    operator: str
    offset: int
    time_ms: int


@attrs.frozen
class ProposalView:
    """A proposed bundle; ``signer`` is empty until it is signed off."""

    digest: str
    parent: str
    author: str
    signer: str
    offset: int


@attrs.frozen
class BundlesView:
    """The bundle in force and the open proposals for the next one."""

    in_force: BundleView | None
    proposals: tuple


@attrs.frozen
class WaveView:
    """Progress of a wave: VMs in total and done in its round, and open batches."""

    wave: str
    round: int
    done: int
    vms: int
    batches: tuple


@attrs.frozen
class FleetView:
    """Summary of a folded state; ``phases`` maps a phase to its number of VMs."""

    offset: int
    time_ms: int
    bundle: BundleView | None
    members: tuple
    phases: dict
    failed: tuple
    batches: tuple


@attrs.frozen
class ControlView:
    """A control's connection to the log, and its views of the fleet and the waves."""

    control: str
    fresh: bool
    log_reachable: bool
    tail: int
    fleet: FleetView
    waves: tuple


class History:
    """The last ``limit`` records about each subject, in offset order."""

    def __init__(self, limit=HISTORY_RECORDS):
        self._limit = limit
        self._traces = {}
        self._batch_vms = {}

    def add(self, folded):
        """Add a FoldedRecord of a Replica."""
        logged, record = folded.logged, folded.logged.record
        outcome = "applied" if folded.refusal is None else str(folded.refusal)
        kind = type(record).__name__
        trace = Trace(logged.offset, logged.time_ms, kind, outcome)
        for subject in self._subjects(logged, folded.refusal):
            known = self._traces.get(subject, ())
            self._traces[subject] = (*known, trace)[-self._limit :]
        batch = getattr(record, "batch", None)
        if batch not in folded.state.batches:
            self._batch_vms.pop(batch, None)

    def _subjects(self, logged, refusal):
        record = logged.record
        if hasattr(record, "vms"):
            if refusal is None:
                self._batch_vms[logged.offset] = record.vms
            return record.vms
        if hasattr(record, "vm"):
            return (record.vm,)
        if hasattr(record, "batch"):
            return self._batch_vms.get(record.batch, ())
        return (subject_of(record),)

    def of(self, subject):
        """Return a tuple of the Traces of a subject."""
        return tuple(self._traces.get(subject, ()))


def batch_view(state, batch):
    """Return a BatchView of an open batch."""
    members = set(state.members)
    return BatchView(
        batch.offset,
        batch.wave,
        batch.round,
        tuple(batch.vms),
        batch.pool,
        tuple(sorted(batch.acked)),
        tuple(sorted(members - batch.acked)),
        tuple(sorted(batch.confirmed)),
        tuple(sorted(members - batch.confirmed)),
        batch.drain_offset,
    )


def explain_vm(state, history, vm):
    """Return a VmExplanation, or a Refusal if the VM is not in the bundle in force."""
    item = state.vms.get(vm)
    if item is None:
        return Refusal(Reason.UNKNOWN, f"no VM {vm!r} in the bundle in force")
    batch = state.batches.get(item.batch)
    view = batch_view(state, batch) if batch else None
    return VmExplanation(
        vm, item.pool, item.phase, item.failed, item.fence, view, history.of(vm)
    )


def fleet_view(state):
    """Return a FleetView of a folded state."""
    phases = {}
    for vm in state.vms.values():
        phases[vm.phase] = phases.get(vm.phase, 0) + 1
    return FleetView(
        state.offset,
        state.time_ms,
        bundle_view(state),
        tuple(state.members[name] for name in sorted(state.members)),
        phases,
        tuple(sorted(name for name, vm in state.vms.items() if vm.failed)),
        tuple(batch_view(state, item) for item in state.batches.values()),
    )


def bundle_view(state):
    """Return a BundleView, or None before a bundle is in force."""
    bundle = state.bundle
    if bundle is None:
        return None
    return BundleView(
        bundle.version,
        bundle.digest.hex(),
        bundle.author,
        state.bundle_operator,
        state.bundle_offset,
        state.bundle_time_ms,
    )


def bundles_view(state):
    """Return a BundlesView of a folded state."""
    proposals = tuple(
        ProposalView(
            item.digest.hex(), item.parent.hex(), item.author, item.signer, item.offset
        )
        for item in state.proposals.values()
    )
    return BundlesView(bundle_view(state), proposals)


def wave_views(state):
    """Return a tuple with a WaveView of each wave of the bundle in force."""
    waves = state.bundle.waves if state.bundle else {}
    return tuple(_wave_view(state, waves[name]) for name in sorted(waves))


def _wave_view(state, wave):
    vms = [vm for pool in wave.pools for vm in state.vms.pool(pool).values()]
    done = sum(vm.round_done(wave.name) >= wave.round for vm in vms)
    batches = tuple(
        batch_view(state, item)
        for item in state.batches.values()
        if item.wave == wave.name
    )
    return WaveView(wave.name, wave.round, done, len(vms), batches)


def control_status(name, follower, waves):
    """Return a ControlView of the control ``name`` and its Follower."""
    return ControlView(
        name,
        follower.fresh(),
        follower.feed.reachable,
        follower.feed.status.tail,
        fleet_view(follower.state),
        waves,
    )
