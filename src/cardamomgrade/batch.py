"""Batches: the steps of a wave, from notice over drain and reboot to join.

Each function takes the FleetState and a record, and returns the state that follows
or a Refusal. The states and triggers of VMs and batches are those of the charts
``vm`` and ``batch``.
"""

import attrs

from .budget import check_budget
from .chart import load_chart
from .inventory import RoundDone, VmState
from .refusal import Reason, Refusal

LEASE_MS = 5000
MARGIN_MS = 1000
MOVES_WAVE = ""
VM_CHART = load_chart("vm")
BATCH_CHART = load_chart("batch")


@attrs.frozen
class Batch:
    """An open batch, named by the offset of its BatchOpened.

    ``source`` is the pool that its VMs leave and ``pool`` the one that they join, or
    empty when they return. ``acked``, ``confirmed`` and ``joined`` are sets of names.
    """

    offset: int
    wave: str
    round: int
    vms: tuple
    source: str
    pool: str
    open_time_ms: int
    phase: str = BATCH_CHART.initial
    acked: frozenset = frozenset()
    confirmed: frozenset = frozenset()
    drain_offset: int | None = None
    drain_time_ms: int | None = None
    joined: frozenset = frozenset()

    @property
    def draining(self):
        """Whether its drain has started."""
        return self.phase == "draining"


def open_batch(state, record, offset):
    """Fold BatchOpened."""
    bad = _check_opening(state, record, offset)
    if bad is not None:
        return bad
    source = state.vms[record.vms[0]].pool
    bad = _check_pool_free(state, source, record.pool)
    if bad is not None:
        return bad
    budget = _check_budget(state, source, record.vms)
    if isinstance(budget, Refusal):
        return budget
    batch = Batch(
        offset,
        record.wave,
        record.round,
        record.vms,
        source,
        record.pool,
        state.time_ms,
    )
    vms = _step_vms(state, batch.vms, "batch_opened", batch=offset)
    if isinstance(vms, Refusal):
        return vms
    return attrs.evolve(state, batches={**state.batches, offset: batch}, vms=vms)


def _check_budget(state, pool, vms):
    required = state.required.get(pool, 0)
    return check_budget(state.bundle, state.vms.pool(pool), required, vms)


def _check_opening(state, record, offset):
    if state.bundle is None:
        return Refusal(Reason.UNKNOWN, "no bundle is in force")
    if not state.bundle_offset <= record.builds_on < offset:
        return Refusal(Reason.OUTDATED, "planned under another bundle")
    if not record.vms or len(set(record.vms)) != len(record.vms):
        return Refusal(Reason.BAD_VALUE, "no VM, or a VM twice")
    for name in record.vms:
        if name not in state.vms:
            return Refusal(Reason.UNKNOWN, f"no VM {name}")
    source = state.vms[record.vms[0]].pool
    bad = _check_wave(state, record, source)
    return _check_vms(state, record, source) if bad is None else bad


def _check_wave(state, record, source):
    if record.wave == MOVES_WAVE:
        if not record.pool:
            return Refusal(Reason.BAD_VALUE, "neither a wave nor a move")
        return None
    wave = state.bundle.waves.get(record.wave)
    if wave is None or wave.round != record.round:
        return Refusal(Reason.OUTDATED, f"no wave {record.wave} round {record.round}")
    if source not in wave.pools:
        return Refusal(Reason.BAD_VALUE, f"pool {source} is not in {record.wave}")
    return None


def _check_vms(state, record, source):
    for name in record.vms:
        vm = state.vms[name]
        assigned = state.bundle.vms[name].pool
        if vm.pool != source:
            return Refusal(Reason.BAD_VALUE, f"{name} is in {vm.pool}, not {source}")
        if vm.failed:
            return Refusal(Reason.NOT_SERVING, f"{name} has failed")
        if assigned != (record.pool or source):
            return Refusal(Reason.OUTDATED, f"{name} is assigned to {assigned}")
        if not record.pool and vm.round_done(record.wave) >= record.round:
            return Refusal(Reason.ALREADY_DONE, f"{name} was rebooted in this round")
    if record.pool == source:
        return Refusal(Reason.BAD_VALUE, f"already in {source}")
    return None


def _check_pool_free(state, source, target):
    wanted = {source, target or source}
    for batch in state.batches.values():
        taken = wanted & {batch.source, batch.pool}
        if taken:
            return Refusal(
                Reason.BATCH_OPEN,
                f"pool {min(taken)} is in the batch at offset {batch.offset}",
            )
    return None


def _step_vms(state, names, trigger, **changes):
    """Return the Inventory after a trigger on the named VMs, or a Refusal."""
    changed = []
    for name in names:
        vm = state.vms[name]
        phase = VM_CHART.next(vm.phase, trigger)
        if isinstance(phase, Refusal):
            return attrs.evolve(phase, detail=f"{name}: {phase.detail}")
        changed.append(attrs.evolve(vm, phase=phase, since_ms=state.time_ms, **changes))
    return state.vms.replace(changed)


def _find(state, record, trigger):
    """Return the Batch of a record after ``trigger``, or a Refusal."""
    batch = state.batches.get(record.batch)
    if batch is None:
        return Refusal(Reason.UNKNOWN, f"no open batch at offset {record.batch}")
    phase = BATCH_CHART.next(batch.phase, trigger)
    if isinstance(phase, Refusal):
        return phase
    return attrs.evolve(batch, phase=phase)


@attrs.frozen
class _Step:
    """A batch and one of its VMs after a trigger on both."""

    batch: Batch
    vm: VmState


def _step_vm(state, record, trigger):
    """Return the _Step of a record on one VM, or a Refusal."""
    batch = _find(state, record, trigger)
    if isinstance(batch, Refusal):
        return batch
    vm = state.vms.get(record.vm)
    if vm is None or vm.batch != batch.offset:
        return Refusal(Reason.UNKNOWN, f"{record.vm} is not in the batch")
    phase = VM_CHART.next(vm.phase, trigger)
    if isinstance(phase, Refusal):
        return phase
    return _Step(batch, attrs.evolve(vm, phase=phase, since_ms=state.time_ms))


def _put(state, batch, **changes):
    """Return the state with a batch, which is dropped in a final state."""
    batches = {**state.batches, batch.offset: batch}
    if not BATCH_CHART.transitions[batch.phase]:
        del batches[batch.offset]
    return attrs.evolve(state, batches=batches, **changes)


def ack_batch(state, record, offset):
    """Fold BatchAcked of a member."""
    batch = _find(state, record, "batch_acked")
    if isinstance(batch, Refusal):
        return batch
    if record.entry in batch.acked:
        return Refusal(Reason.ALREADY_DONE, f"{record.entry} has acknowledged")
    return _put(state, attrs.evolve(batch, acked=batch.acked | {record.entry}))


def start_drain(state, record, offset):
    """Fold DrainStarted: needs every member's acknowledgement and the budget."""
    batch = _find(state, record, "drain_started")
    if isinstance(batch, Refusal):
        return batch
    missing = missing_acks(state, batch)
    if missing or not state.members:
        return Refusal(
            Reason.NOT_ACKNOWLEDGED, ", ".join(missing) or "no entry is a member"
        )
    budget = _check_budget(state, batch.source, batch.vms)
    if isinstance(budget, Refusal):
        return budget
    batch = attrs.evolve(batch, drain_offset=offset, drain_time_ms=state.time_ms)
    vms = _step_vms(state, batch.vms, "drain_started")
    if isinstance(vms, Refusal):
        return vms
    return _put(state, batch, vms=vms)


def missing_acks(state, batch):
    """Return the members that have not acknowledged a batch, sorted."""
    return sorted(state.members.keys() - batch.acked)


def missing_confirms(state, batch):
    """Return the members that have not confirmed a drain, sorted."""
    return sorted(state.members.keys() - batch.confirmed)


def confirm_drain(state, record, offset):
    """Fold DrainConfirmed of a member."""
    batch = _find(state, record, "drain_confirmed")
    if isinstance(batch, Refusal):
        return batch
    if record.entry in batch.confirmed:
        return Refusal(Reason.ALREADY_DONE, f"{record.entry} has confirmed")
    return _put(state, attrs.evolve(batch, confirmed=batch.confirmed | {record.entry}))


def reboot_after_ms(state, batch):
    """Return the log time from which reboots of a draining batch are valid.

    Until the wait-out has passed it depends on the confirmations so far.
    """
    waited = batch.drain_time_ms + LEASE_MS + state.deadline_peak_ms + MARGIN_MS
    if state.members and not missing_confirms(state, batch):
        return min(waited, state.quiet_after_ms)
    return waited


def order_reboot(state, record, offset):
    """Fold RebootOrdered; the offset becomes the fence of the VM."""
    step = _step_vm(state, record, "reboot_ordered")
    if isinstance(step, Refusal):
        return step
    batch, vm = step.batch, step.vm
    valid_ms = reboot_after_ms(state, batch)
    if state.time_ms < valid_ms:
        missing = ", ".join(missing_confirms(state, batch)) or "former members"
        return Refusal(
            Reason.NOT_CONFIRMED, f"{missing}; wait {valid_ms - state.time_ms} ms"
        )
    vm = attrs.evolve(vm, fence=offset)
    return attrs.evolve(state, vms=state.vms.replace([vm]))


def join_vm(state, record, offset):
    """Fold VmJoined: the VM serves in its pool; the last one closes the batch."""
    step = _step_vm(state, record, "vm_joined")
    if isinstance(step, Refusal):
        return step
    batch, vm = step.batch, step.vm
    if record.fence != vm.fence:
        return Refusal(Reason.OUTDATED, f"the last order is at offset {vm.fence}")
    vm = attrs.evolve(
        vm,
        pool=batch.pool or vm.pool,
        batch=None,
        failed=False,
        rounds=_rounds(state, vm, batch),
    )
    joined = batch.joined | {vm.name}
    phase = batch.phase
    if len(joined) == len(batch.vms):
        phase = BATCH_CHART.next(phase, "last_vm_joined")
    batch = attrs.evolve(batch, joined=joined, phase=phase)
    return _put(state, batch, vms=state.vms.replace([vm]))


def _rounds(state, vm, batch):
    """Return the rounds done by a VM, without waves that the bundle has dropped."""
    kept = [
        item
        for item in vm.rounds
        if item.wave in state.bundle.waves and item.wave != batch.wave
    ]
    if batch.wave != MOVES_WAVE:
        kept.append(RoundDone(batch.wave, max(batch.round, vm.round_done(batch.wave))))
    return tuple(kept)


def abort_batch(state, record, offset):
    """Fold BatchAborted: the VMs of a batch that has not drained serve on."""
    batch = _find(state, record, "batch_aborted")
    if isinstance(batch, Refusal):
        return batch
    vms = _step_vms(state, batch.vms, "batch_aborted", batch=None)
    if isinstance(vms, Refusal):
        return vms
    return _put(state, batch, vms=vms)
