"""The state of the fleet as a pure fold of the ``fleet`` stream.

Every process that has folded the same records holds the same state. An intent that
is not valid at its offset changes nothing but ``offset`` and ``time_ms``.
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
    """An entry in its seat; ``offset`` is that of its MemberJoined."""

    entry: str
    incarnation: int
    zone: str
    address: str
    offset: int


@attrs.frozen
class FleetState:
    """What the fleet is, after the records before ``offset``.

    ``time_ms`` is the latest log time folded. No reboot is ordered on confirmations
    alone before ``quiet_after_ms``: until then the endpoints may run requests of
    members that have left. ``deadline_peak_ms`` is the longest deadline of any
    bundle that was in force; a member may have sent requests under any of them.
    ``retired`` are the VMs that bundles removed: an entry that has not read the roll
    may still send to them.
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
class Folded:
    """A state, and the Refusal of the record that led to it or None."""

    state: FleetState
    refusal: Refusal | None = None


def fold(state, logged):
    """Return the Folded of one more record; a record known already is refused."""
    if logged.offset < state.offset:
        return Folded(state, Refusal(Reason.ALREADY_DONE, "offset was folded"))
    time_ms = max(state.time_ms, logged.time_ms)
    advanced = attrs.evolve(state, offset=logged.offset + 1, time_ms=time_ms)
    handle = _HANDLERS.get(type(logged.record))
    if handle is None:
        return Folded(advanced)
    result = handle(advanced, logged.record, logged.offset)
    if isinstance(result, Refusal):
        return Folded(advanced, result)
    return Folded(result)


def fold_all(state, batch):
    """Return the state after a list of Logged."""
    for logged in batch:
        state = fold(state, logged).state
    return state


def _join_member(state, record, offset):
    old = state.members.get(record.entry)
    if old is not None and record.incarnation <= old.incarnation:
        return Refusal(
            Reason.OUTDATED, f"{record.entry} has incarnation {old.incarnation}"
        )
    if old is not None and record.address != old.address:
        return Refusal(
            Reason.WRONG_STATE,
            f"{record.entry} is held at {old.address}, whose process may live",
        )
    member = Member(
        record.entry, record.incarnation, record.zone, record.address, offset
    )
    if old is not None:
        state = _drop_member(state, record.entry)
    return attrs.evolve(state, members={**state.members, record.entry: member})


def _leave_member(state, record, offset):
    """Fold MemberLeft: who leaves by its own word has no request running."""
    if not is_member(state, record.entry, record.incarnation):
        return _no_member(record)
    quiet_after_ms = state.quiet_after_ms
    state = _drop_member(state, record.entry)
    return attrs.evolve(state, quiet_after_ms=quiet_after_ms)


def _lose_member(state, record, offset):
    """Fold MemberGone."""
    if not is_member(state, record.entry, record.incarnation):
        return _no_member(record)
    return _drop_member(state, record.entry)


def _drop_member(state, entry):
    """Return the state without a member, whose requests may still run."""
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


def _no_member(record):
    return Refusal(
        Reason.UNKNOWN, f"{record.entry} incarnation {record.incarnation}: no member"
    )


def _by_member(handle):
    """Return ``handle`` refusing records of a former or unknown incarnation."""

    def checked(state, record, offset):
        if not is_member(state, record.entry, record.incarnation):
            return _no_member(record)
        return handle(state, record, offset)

    return checked


def _set_failed(failed):
    def handle(state, record, offset):
        vm = state.vms.get(record.vm)
        if vm is None:
            return Refusal(Reason.UNKNOWN, f"no VM {record.vm}")
        if vm.failed == failed:
            return Refusal(Reason.ALREADY_DONE, f"{record.vm} is known as such")
        vms = state.vms.replace([attrs.evolve(vm, failed=failed)])
        return attrs.evolve(state, vms=vms)

    return handle


_HANDLERS = {
    records.BundleProposed: rollout.propose,
    records.BundleSigned: rollout.sign,
    records.BundleRolled: rollout.roll,
    records.MemberJoined: _join_member,
    records.MemberLeft: _leave_member,
    records.MemberGone: _lose_member,
    records.BatchOpened: open_batch,
    records.BatchAcked: _by_member(ack_batch),
    records.DrainStarted: start_drain,
    records.DrainConfirmed: _by_member(confirm_drain),
    records.RebootOrdered: order_reboot,
    records.VmJoined: join_vm,
    records.BatchAborted: abort_batch,
    records.VmFailed: _set_failed(True),
    records.VmRecovered: _set_failed(False),
}


def is_member(state, entry, incarnation):
    """Return whether an entry holds its seat with this incarnation."""
    member = state.members.get(entry)
    return member is not None and member.incarnation == incarnation


def may_send(state, vm, fresh):
    """Return True, or the Refusal (NOT_SERVING) to send a request to a VM.

    ``fresh`` tells whether the last read of the tail is younger than LEASE_MS.
    """
    known = state.vms.get(vm)
    if known is None:
        return Refusal(Reason.UNKNOWN, f"no VM {vm}")
    if known.phase == "serving" or (known.phase == "noticed" and fresh):
        return True
    detail = "not fresh" if known.phase == "noticed" else known.phase
    return Refusal(Reason.NOT_SERVING, f"{vm}: {detail}")


def batches_to_ack(state, entry, incarnation):
    """Return the offsets of open batches that the member has to acknowledge."""
    if not is_member(state, entry, incarnation):
        return []
    return [
        batch.offset
        for batch in state.batches.values()
        if not batch.draining and entry not in batch.acked
    ]


def drains_to_confirm(state, entry, incarnation):
    """Return the offsets of draining batches that the member has not confirmed."""
    if not is_member(state, entry, incarnation):
        return []
    return [
        batch.offset
        for batch in state.batches.values()
        if batch.draining and entry not in batch.confirmed
    ]


def vms_to_clear(state, offset):
    """Return the VMs of a batch that have not joined again.

    A drain is confirmed by who holds no request on these.
    """
    batch = state.batches.get(offset)
    if batch is None:
        return []
    return [name for name in batch.vms if name not in batch.joined]


def longest_deadline_ms(state):
    """Return the longest deadline that a request still running may have."""
    return state.deadline_peak_ms
