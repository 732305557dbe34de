"""Folds the records of batches: notice, drain, reboot and join of a wave's VMs.

Each public function that folds a record takes the FleetState, the record and its
offset, and returns the next state or a Refusal. The state charts ``vm`` and ``batch``
define the states and triggers of VMs and batches.
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
    """An open batch, identified by the offset of its BatchOpened.

    ``source`` is the pool of its VMs, ``pool`` the pool to which they move, or empty
    if they stay. ``acked`` and ``confirmed`` are names of entries, ``joined`` names
    of VMs.
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
        """Whether the drain of its VMs has started."""
        return self.phase == "draining"


def open_batch(state, record, offset):
    """Fold BatchOpened."""
    refusal = _check_opening(state, record, offset)
    if refusal is not None:
        return refusal
    source = state.vms[record.vms[0]].pool
    refusal = _check_pool_free(state, source, record.pool)
    if refusal is not None:
        return refusal
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
    vms = _advance_vms(state, batch.vms, "batch_opened", batch=offset)
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
        return Refusal(
            Reason.OUTDATED,
            f"builds_on is {record.builds_on}; "
            f"allowed: {state.bundle_offset} to {offset - 1}",
        )
    if not record.vms or len(set(record.vms)) != len(record.vms):
        return Refusal(Reason.BAD_VALUE, "vms is empty or names a VM twice")
    for name in record.vms:
        if name not in state.vms:
            return Refusal(Reason.UNKNOWN, f"no VM {name}")
    source = state.vms[record.vms[0]].pool
    refusal = _check_wave(state, record, source)
    return _check_vms(state, record, source) if refusal is None else refusal


def _check_wave(state, record, source):
    if record.wave == MOVES_WAVE:
        if not record.pool:
            return Refusal(
                Reason.BAD_VALUE, "a batch without a wave needs a target pool"
            )
        return None
    wave = state.bundle.waves.get(record.wave)
    if wave is None or wave.round != record.round:
        return Refusal(Reason.OUTDATED, f"no wave {record.wave} round {record.round}")
    if source not in wave.pools:
        return Refusal(Reason.BAD_VALUE, f"pool {source} is not in wave {record.wave}")
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
            return Refusal(
                Reason.ALREADY_DONE,
                f"{name} was already rebooted in round {record.round}",
            )
    if record.pool == source:
        return Refusal(
            Reason.BAD_VALUE, f"target pool {source} is also the source pool"
        )
    return None


def _check_pool_free(state, source, target):
    wanted = {source, target or source}
    for batch in state.batches.values():
        taken = wanted & {batch.source, batch.pool}
        if taken:
            return Refusal(
                Reason.BATCH_OPEN,
                f"pool {min(taken)} is in the open batch at offset {batch.offset}",
            )
    return None


def _advance_vms(state, names, trigger, **changes):
    """Return the Inventory after a trigger for the named VMs, or a Refusal."""
    changed = []
    for name in names:
        vm = state.vms[name]
        phase = VM_CHART.next(vm.phase, trigger)
        if isinstance(phase, Refusal):
            return attrs.evolve(phase, detail=f"{name}: {phase.detail}")
        changed.append(attrs.evolve(vm, phase=phase, since_ms=state.time_ms, **changes))
    return state.vms.replace(changed)


def _advance_batch(state, record, trigger):
    """Return the Batch that a record names after ``trigger``, or a Refusal."""
    batch = state.batches.get(record.batch)
    if batch is None:
        return Refusal(Reason.UNKNOWN, f"no open batch at offset {record.batch}")
    phase = BATCH_CHART.next(batch.phase, trigger)
    if isinstance(phase, Refusal):
        return phase
    return attrs.evolve(batch, phase=phase)


@attrs.frozen
class _BatchAndVm:
    """A batch and one of its VMs after the same trigger."""

    batch: Batch
    vm: VmState


def _advance_vm(state, record, trigger):
    """Return the _BatchAndVm of a record on one VM after ``trigger``, or a Refusal."""
    batch = _advance_batch(state, record, trigger)
    if isinstance(batch, Refusal):
        return batch
    vm = state.vms.get(record.vm)
    if vm is None or vm.batch != batch.offset:
        return Refusal(
            Reason.UNKNOWN, f"{record.vm} is not in the batch at offset {batch.offset}"
        )
    phase = VM_CHART.next(vm.phase, trigger)
    if isinstance(phase, Refusal):
        return phase
    return _BatchAndVm(batch, attrs.evolve(vm, phase=phase, since_ms=state.time_ms))


def _put_batch(state, batch, **changes):
    """Return the state with a changed batch; a batch in a final state is removed."""
    batches = {**state.batches, batch.offset: batch}
    if not BATCH_CHART.transitions[batch.phase]:
        del batches[batch.offset]
    return attrs.evolve(state, batches=batches, **changes)


def ack_batch(state, record, offset):
    """Fold BatchAcked: a member acknowledges the batch."""
    batch = _advance_batch(state, record, "batch_acked")
    if isinstance(batch, Refusal):
        return batch
    if record.entry in batch.acked:
        return Refusal(Reason.ALREADY_DONE, f"{record.entry} has already acknowledged")
    return _put_batch(state, attrs.evolve(batch, acked=batch.acked | {record.entry}))


def start_drain(state, record, offset):
    """Fold DrainStarted, which needs the budget and all members' acknowledgements."""
    batch = _advance_batch(state, record, "drain_started")
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
    vms = _advance_vms(state, batch.vms, "drain_started")
    if isinstance(vms, Refusal):
        return vms
    return _put_batch(state, batch, vms=vms)


def missing_acks(state, batch):
    """Return the members that have not acknowledged a batch, sorted."""
    return sorted(state.members.keys() - batch.acked)


def missing_confirms(state, batch):
    """Return the members that have not confirmed a drain, sorted."""
    return sorted(state.members.keys() - batch.confirmed)


def confirm_drain(state, record, offset):
    """Fold DrainConfirmed: a member has no more requests on the batch's VMs."""
    batch = _advance_batch(state, record, "drain_confirmed")
    if isinstance(batch, Refusal):
        return batch
    if record.entry in batch.confirmed:
        return Refusal(Reason.ALREADY_DONE, f"{record.entry} has already confirmed")
    return _put_batch(
        state, attrs.evolve(batch, confirmed=batch.confirmed | {record.entry})
    )


def reboot_after_ms(state, batch):
    """Return the log time in ms from which a draining batch's VMs may be rebooted.

    Unless there are members and all have confirmed, this is the drain timeout. It
    allows for an entry that has not read the drain: it may send requests until its
    lease ends, and these run for at most the longest deadline. With all confirmations
    the time is ``state.quiet_after_ms`` if that is earlier.
    """
    timeout_ms = batch.drain_time_ms + LEASE_MS + state.deadline_peak_ms + MARGIN_MS
    if state.members and not missing_confirms(state, batch):
        return min(timeout_ms, state.quiet_after_ms)
    return timeout_ms


def order_reboot(state, record, offset):
    """Fold RebootOrdered; its offset becomes the fence of the VM."""
    found = _advance_vm(state, record, "reboot_ordered")
    if isinstance(found, Refusal):
        return found
    batch, vm = found.batch, found.vm
    valid_ms = reboot_after_ms(state, batch)
    if state.time_ms < valid_ms:
        missing = ", ".join(missing_confirms(state, batch)) or "former members"
        return Refusal(
            Reason.NOT_CONFIRMED,
            f"{missing} may hold requests for {valid_ms - state.time_ms} ms more",
        )
    vm = attrs.evolve(vm, fence=offset)
    return attrs.evolve(state, vms=state.vms.replace([vm]))


def join_vm(state, record, offset):
    """Fold VmJoined: the VM serves in its pool again or in the target pool.

    The last VM to join closes the batch.
    """
    found = _advance_vm(state, record, "vm_joined")
    if isinstance(found, Refusal):
        return found
    batch, vm = found.batch, found.vm
    if record.fence != vm.fence:
        return Refusal(
            Reason.OUTDATED,
            f"fence is {record.fence}; the last reboot order has {vm.fence}",
        )
    vm = attrs.evolve(
        vm,
        pool=batch.pool or vm.pool,
        batch=None,
        failed=False,
        rounds=_rounds_done(state, vm, batch),
    )
    joined = batch.joined | {vm.name}
    phase = batch.phase
    if len(joined) == len(batch.vms):
        phase = BATCH_CHART.next(phase, "last_vm_joined")
    batch = attrs.evolve(batch, joined=joined, phase=phase)
    return _put_batch(state, batch, vms=state.vms.replace([vm]))


def _rounds_done(state, vm, batch):
    """Return the RoundDone of a VM after a batch, for waves still in the bundle."""
    kept = [
        item
        for item in vm.rounds
        if item.wave in state.bundle.waves and item.wave != batch.wave
    ]
    if batch.wave != MOVES_WAVE:
        kept.append(RoundDone(batch.wave, max(batch.round, vm.round_done(batch.wave))))
    return tuple(kept)


def abort_batch(state, record, offset):
    """Fold BatchAborted: the VMs of a batch without a drain go on serving."""
    batch = _advance_batch(state, record, "batch_aborted")
    if isinstance(batch, Refusal):
        return batch
    vms = _advance_vms(state, batch.vms, "batch_aborted", batch=None)
    if isinstance(vms, Refusal):
        return vms
    return _put_batch(state, batch, vms=vms)
