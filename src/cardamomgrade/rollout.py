"""Folds the records that propose, sign off and roll bundles into a FleetState.

``propose``, ``sign`` and ``roll`` take the state, a record and its offset, and return
the next state or a Refusal. A proposal stores only its difference from its parent.
"""

import attrs

from .budget import required_vms
from .bundle import Difference, revise_bundle
from .errors import BundleError
from .inventory import RetiredVm, VmState
from .refusal import Reason, Refusal

PROPOSALS_MAX = 16
DIGEST_SHOWN_BYTES = 6


@attrs.frozen
class Proposal:
    """A proposed bundle; ``signer`` is empty until it is signed off.

    ``digest`` and ``parent`` are the digests of the bundle and of the one that
    ``difference`` applies to, b"" for no parent.
    """

    offset: int
    digest: bytes
    parent: bytes
    author: str
    difference: Difference
    signer: str = ""


def propose(state, record, offset):
    """Fold BundleProposed; beyond PROPOSALS_MAX the oldest proposal is dropped."""
    if record.digest in state.proposals or record.digest == _digest_in_force(state):
        return Refusal(
            Reason.ALREADY_DONE,
            f"bundle {_short_digest(record.digest)} is proposed or in force",
        )
    if (
        record.parent != _digest_in_force(state)
        and record.parent not in state.proposals
    ):
        return _refuse_outdated(state, record.parent)
    difference = Difference(record.sections, record.removed)
    proposal = Proposal(offset, record.digest, record.parent, record.author, difference)
    try:
        parent = bundle_of(state, record.parent)
        bundle = revise_bundle(parent, difference)
    except BundleError as exc:
        return Refusal(Reason.BAD_VALUE, str(exc))
    refusal = _check_proposed(state, record, parent, bundle)
    if refusal is not None:
        return refusal
    proposals = {**state.proposals, record.digest: proposal}
    if len(proposals) > PROPOSALS_MAX:
        del proposals[next(iter(proposals))]
    return attrs.evolve(state, proposals=proposals)


def bundle_of(state, digest):
    """Return the Bundle with ``digest``, proposed or in force.

    Returns None for b"" when no bundle is in force. Raises BundleError when the
    bundle or one of its ancestors was dropped or is unknown.
    """
    chain = []
    while digest != _digest_in_force(state):
        proposal = state.proposals.get(digest)
        if proposal is None:
            raise BundleError(f"bundle {_short_digest(digest)} is not known")
        chain.append(proposal.difference)
        digest = proposal.parent
    bundle = state.bundle
    for difference in reversed(chain):
        bundle = revise_bundle(bundle, difference)
    return bundle


def _digest_in_force(state):
    return state.bundle.digest if state.bundle else b""


def _short_digest(digest):
    return digest[:DIGEST_SHOWN_BYTES].hex() or "nothing"


def _refuse_outdated(state, digest):
    """Return a Refusal (OUTDATED) that names the bundle in force and its operator."""
    if state.bundle is None:
        return Refusal(Reason.OUTDATED, f"bundle {_short_digest(digest)} is not known")
    return Refusal(
        Reason.OUTDATED,
        f"bundle {_short_digest(digest)} is unknown or replaced; in force is version "
        f"{state.bundle.version} {_short_digest(state.bundle.digest)}, rolled at "
        f"offset {state.bundle_offset} by {state.bundle_operator}",
    )


def _check_proposed(state, record, parent, bundle):
    version = parent.version + 1 if parent else 1
    if record.version != version or bundle.version != version:
        return Refusal(Reason.BAD_VALUE, f"version must be {version}")
    if bundle.digest != record.digest or bundle.author != record.author:
        return Refusal(Reason.BAD_VALUE, "digest or author differs from the bundle")
    if parent and set(bundle.seats) != set(parent.seats):
        return Refusal(Reason.BAD_VALUE, "seats cannot change after the first bundle")
    return None


def sign(state, record, offset):
    """Fold BundleSigned; the author cannot sign off their own bundle."""
    proposal = state.proposals.get(record.digest)
    if proposal is None:
        return _refuse_outdated(state, record.digest)
    if proposal.signer:
        return Refusal(Reason.ALREADY_DONE, f"already signed off by {proposal.signer}")
    signer = record.signer.strip()
    if not signer:
        return Refusal(Reason.BAD_VALUE, "signer is empty")
    if signer.casefold() == proposal.author.casefold():
        return Refusal(Reason.SAME_PERSON, f"signer {signer} is also the author")
    signed = attrs.evolve(proposal, signer=signer)
    return attrs.evolve(state, proposals={**state.proposals, record.digest: signed})


def roll(state, record, offset):
    """Fold BundleRolled, which puts a signed-off bundle in force."""
    proposal = state.proposals.get(record.digest)
    if record.digest == _digest_in_force(state):
        return Refusal(
            Reason.ALREADY_DONE, f"already rolled by {state.bundle_operator}"
        )
    if proposal is None or proposal.parent != _digest_in_force(state):
        return _refuse_outdated(state, record.digest)
    if not proposal.signer:
        return Refusal(
            Reason.NOT_SIGNED,
            f"bundle {_short_digest(record.digest)} is not signed off",
        )
    try:
        bundle = bundle_of(state, record.digest)
    except BundleError as exc:
        return Refusal(Reason.BAD_VALUE, str(exc))
    return _put_in_force(state, record, offset, bundle)


def _put_in_force(state, record, offset, bundle):
    vms, changed = _assign_vms(state, bundle)
    required = required_vms(bundle)
    if state.bundle is not None:
        checks = (
            _check_batches(state, bundle, changed),
            _check_addresses(state, bundle),
            _check_pools(bundle, vms),
            _check_budgets(state, vms, required),
        )
        for refusal in checks:
            if refusal is not None:
                return refusal
    return attrs.evolve(
        state,
        bundle=bundle,
        bundle_offset=offset,
        bundle_operator=record.operator,
        bundle_time_ms=state.time_ms,
        proposals=_descendants(state.proposals, record.digest),
        vms=vms,
        retired=_retired_vms(state, bundle),
        required=required,
        deadline_peak_ms=max(state.deadline_peak_ms, bundle.longest_deadline_ms),
    )


def _assign_vms(state, bundle):
    """Return the Inventory under ``bundle``, and the VMs removed or relocated.

    A VM that an earlier bundle removed is added again in the pool that it was in,
    and a batch moves it to its new pool: an entry that has read neither BundleRolled
    still routes requests of the old pool to it.
    """
    old = state.bundle.vms if state.bundle else {}
    removed = [name for name in old if name not in bundle.vms]
    added = [
        VmState(vm.name, _initial_pool(state, vm), "serving", state.time_ms)
        for vm in bundle.vms.values()
        if vm.name not in old
    ]
    changed = [
        name
        for name, vm in old.items()
        if name in bundle.vms and _relocated(vm, bundle.vms[name])
    ]
    vms = state.vms.replace(added, removed) if added or removed else state.vms
    return vms, [*removed, *changed]


def _initial_pool(state, vm):
    """Return the pool in which a VM that the bundle adds starts."""
    retired = state.retired.get(vm.name)
    return retired.pool if retired else vm.pool


def _retired_vms(state, bundle):
    """Return {name: RetiredVm} of the VMs removed so far that are not in ``bundle``."""
    old = state.bundle.vms if state.bundle else {}
    removed = {
        name: RetiredVm(name, state.vms[name].pool, vm.address)
        for name, vm in old.items()
        if name not in bundle.vms
    }
    known = {**state.retired, **removed}
    return {name: vm for name, vm in known.items() if name not in bundle.vms}


def _check_addresses(state, bundle):
    """Refuse a VM at an address that entries may still take for another VM's."""
    names_by_address = {vm.address: vm.name for vm in state.bundle.vms.values()}
    names_by_address.update({vm.address: vm.name for vm in state.retired.values()})
    for vm in bundle.vms.values():
        former_vm = names_by_address.get(vm.address, vm.name)
        if former_vm != vm.name:
            return Refusal(
                Reason.WRONG_STATE,
                f"{vm.address} of VM {vm.name} was that of {former_vm}",
            )
    return None


def _relocated(old, new):
    if old is new:
        return False
    return (old.zone, old.rack, old.address) != (new.zone, new.rack, new.address)


def _check_batches(state, bundle, changed):
    for name in changed:
        if state.vms[name].batch is not None:
            return Refusal(Reason.BATCH_OPEN, f"VM {name} is in an open batch")
    for batch in state.batches.values():
        if batch.pool and batch.pool not in bundle.pools:
            return Refusal(
                Reason.BATCH_OPEN, f"pool {batch.pool} is the target of an open batch"
            )
    return None


def _check_pools(bundle, vms):
    for pool in vms.pools():
        if pool not in bundle.pools:
            return Refusal(Reason.WRONG_STATE, f"pool {pool} still holds VMs")
    return None


def _check_budgets(state, vms, required):
    """Refuse a bundle that would itself bring a pool below its required VMs.

    A pool that is already below them does not block a bundle that neither removes
    active VMs from it nor raises its requirement.
    """
    for pool, needed in required.items():
        active = _active_count(vms, pool)
        lowered = active < _active_count(state.vms, pool)
        raised = needed > state.required.get(pool, 0)
        if active < needed and (lowered or raised):
            return Refusal(
                Reason.BUDGET, f"pool {pool}: {active} would serve, {needed} must"
            )
    return None


def _active_count(vms, pool):
    return sum(vm.active for vm in vms.pool(pool).values())


def _descendants(proposals, digest):
    """Return the proposals that descend from ``digest``, in order of their offsets."""
    kept, known = {}, {digest}
    for proposal in proposals.values():
        if proposal.parent in known:
            kept[proposal.digest] = proposal
            known.add(proposal.digest)
    return kept
