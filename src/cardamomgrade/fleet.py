"""The state of the fleet, built by folding the records of the ``fleet`` stream.

Folding applies one record after the other and is deterministic: processes that have
folded the same records have equal states. A record that is invalid at its offset
changes only ``offset`` and ``time_ms``.
"""

import attrs

from . import records, rollout
from .batch import (
    abort_batch,
    ack_batch,
    confirm_drain,
    join_vm,
    LEASE_MS,
    MARGIN_MS,
    open_batch,
    order_reboot,
    start_drain,
)
from .bundle import Bundle
from .inventory import Inventory
from .refusal import Reason, Refusal

__all__ = ["LEASE_MS", "MARGIN_MS", "FleetState", "fold", "may_send"]


@attrs.frozen
class Member:
    """An entry (a process that routes requests) that holds the seat of its name.

    ``offset`` is that of its MemberJoined.
    """

    entry: str
    incarnation: int
    zone: str
    address: str
    offset: int


@attrs.frozen
class FleetState:
    """The state of the fleet after all records with offsets below ``offset``.

    ``time_ms`` is the latest log time folded. Until the log time ``quiet_after_ms``
    endpoints may run requests of former members, so confirmations of the current
    members alone do not permit a reboot. ``deadline_peak_ms`` is the longest
    deadline of all bundles that have been in force, since a member may have sent
    requests under any of them. ``retired`` holds the VMs that bundles removed, as
    {name: RetiredVm}: an entry that has not read the BundleRolled may still send
    requests to them.
    """

    offset: int = 0
    time_ms: int = 0
    bundle: Bundle | None = None
    bundle_offset: int = -1
    bundle_operator: str = ""
    bundle_time_ms: int = 0
    proposals: dict = attrs.field(factory=dict)
    members: dict = attrs.field(factory=dict)
    vms: Inventory = attrs.field(factory=Inventory)
    batches: dict = attrs.field(factory=dict)
    required: dict = attrs.field(factory=dict)
    retired: dict = attrs.field(factory=dict)
    quiet_after_ms: int = 0
    deadline_peak_ms: int = 0


@attrs.frozen
class FoldResult:
    """The state after a record, and the Refusal of that record or None."""

    state: FleetState
    refusal: Refusal | None = None


def fold(state, logged):
    """Return the FoldResult of the Logged that follows ``state``.

    A record that was folded before is refused (ALREADY_DONE).
    """
    if logged.offset < state.offset:
        return FoldResult(
            state, Refusal(Reason.ALREADY_DONE, "offset is already folded")
        )
    time_ms = max(state.time_ms, logged.time_ms)
    next_state = attrs.evolve(state, offset=logged.offset + 1, time_ms=time_ms)
    handle = _HANDLERS.get(type(logged.record))
    if handle is None:
        return FoldResult(next_state)
    result = handle(next_state, logged.record, logged.offset)
    if isinstance(result, Refusal):
        return FoldResult(next_state, result)
    return FoldResult(result)


def fold_all(state, batch):
    """Return the state after a list of Logged, whether refused or not."""
    for logged in batch:
        state = fold(state, logged).state
    return state


def _join_member(state, record, offset):
    old = state.members.get(record.entry)
    if old is not None and record.incarnation <= old.incarnation:
        return Refusal(
            Reason.OUTDATED, f"{record.entry} already has incarnation {old.incarnation}"
        )
    if old is not None and record.address != old.address:
        return Refusal(
            Reason.WRONG_STATE,
            f"{record.entry} is a member at {old.address}, whose process may still run",
        )
    member = Member(
        record.entry, record.incarnation, record.zone, record.address, offset
    )
    if old is not None:
        state = _drop_member(state, record.entry)
    return attrs.evolve(state, members={**state.members, record.entry: member})


def _leave_member(state, record, offset):
    """Fold MemberLeft, which an entry appends once none of its requests runs.

    ``quiet_after_ms`` therefore stays as it is.
    """
    if not is_member(state, record.entry, record.incarnation):
        return _refuse_non_member(record)
    quiet_after_ms = state.quiet_after_ms
    state = _drop_member(state, record.entry)
    return attrs.evolve(state, quiet_after_ms=quiet_after_ms)


def _remove_gone_member(state, record, offset):
    """Fold MemberGone, which a control appends when the entry's VM is gone."""
    if not is_member(state, record.entry, record.incarnation):
        return _refuse_non_member(record)
    return _drop_member(state, record.entry)


def _drop_member(state, entry):
    """Return the state without a member whose requests may still run."""
    members = dict(state.members)
    del members[entry]
    batches = {
        offset: attrs.evolve(
            batch, acked=batch.acked - {entry}, confirmed=batch.confirmed - {entry}
        )
        for offset, batch in state.batches.items()
    }
    quiet = max(state.quiet_after_ms, state.time_ms + state.deadline_peak_ms)
    return attrs.evolve(state, members=members, batches=batches, quiet_after_ms=quiet)


def _refuse_non_member(record):
    return Refusal(
        Reason.UNKNOWN,
        f"{record.entry} incarnation {record.incarnation} is not a member",
    )


def _members_only(handle):
    """Wrap ``handle`` to refuse records of former or unknown members (UNKNOWN)."""

    def checked(state, record, offset):
        if not is_member(state, record.entry, record.incarnation):
            return _refuse_non_member(record)
        return handle(state, record, offset)

    return checked


def _failed_handler(failed):
    def handle(state, record, offset):
        vm = state.vms.get(record.vm)
        if vm is None:
            return Refusal(Reason.UNKNOWN, f"no VM {record.vm}")
        if vm.failed == failed:
            return Refusal(
                Reason.ALREADY_DONE, f"failure of VM {record.vm} is unchanged"
            )
        vms = state.vms.replace([attrs.evolve(vm, failed=failed)])
        return attrs.evolve(state, vms=vms)

    return handle


_HANDLERS = {
    records.BundleProposed: rollout.propose,
    records.BundleSigned: rollout.sign,
    records.BundleRolled: rollout.roll,
    records.MemberJoined: _join_member,
    records.MemberLeft: _leave_member,
    records.MemberGone: _remove_gone_member,
    records.BatchOpened: open_batch,
    records.BatchAcked: _members_only(ack_batch),
    records.DrainStarted: start_drain,
    records.DrainConfirmed: _members_only(confirm_drain),
    records.RebootOrdered: order_reboot,
    records.VmJoined: join_vm,
    records.BatchAborted: abort_batch,
    records.VmFailed: _failed_handler(True),
    records.VmRecovered: _failed_handler(False),
}


def is_member(state, entry, incarnation):
    """Return whether the entry is a member with this incarnation."""
    member = state.members.get(entry)
    return member is not None and member.incarnation == incarnation


def may_send(state, vm, fresh):
    """Return True when requests may be sent to a VM, else a Refusal.

    The reason is UNKNOWN or NOT_SERVING. ``fresh`` is whether the end of the log was
    last read less than LEASE_MS ago.
    """
    known = state.vms.get(vm)
    if known is None:
        return Refusal(Reason.UNKNOWN, f"no VM {vm}")
    if known.phase == "serving" or (known.phase == "noticed" and fresh):
        return True
    detail = "noticed, log read too old" if known.phase == "noticed" else known.phase
    return Refusal(Reason.NOT_SERVING, f"{vm}: {detail}")


def batches_to_ack(state, entry, incarnation):
    """Return the offsets of open batches that the member has yet to acknowledge."""
    if not is_member(state, entry, incarnation):
        return []
    return [
        batch.offset
        for batch in state.batches.values()
        if not batch.draining and entry not in batch.acked
    ]


def drains_to_confirm(state, entry, incarnation):
    """Return the offsets of draining batches that the member has yet to confirm."""
    if not is_member(state, entry, incarnation):
        return []
    return [
        batch.offset
        for batch in state.batches.values()
        if batch.draining and entry not in batch.confirmed
    ]


def vms_to_drain(state, offset):
    """Return the names of a batch's VMs that have not rejoined after their reboot.

    A member confirms the drain when it has no running request on any of them.
    """
    batch = state.batches.get(offset)
    if batch is None:
        return []
    return [name for name in batch.vms if name not in batch.joined]


def longest_deadline_ms(state):
    """Return the longest deadline that a running request can have."""
    return state.deadline_peak_ms
