"""Proposals of bundles, their sign-off and their roll into a FleetState.

Each function takes the state and a record, and returns the state that follows or a
Refusal. A proposal keeps the difference from its parent only.
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
    """A bundle that may be rolled; ``signer`` is empty until it is signed off."""

    offset: int
    digest: bytes
    parent: bytes
    author: str
    difference: Difference
    signer: str = ""


def propose(state, record, offset):
    """Fold BundleProposed: the oldest of too many proposals is dropped."""
    if record.digest in state.proposals or record.digest == _in_force(state):
        return Refusal(Reason.ALREADY_DONE, f"{_short(record.digest)} is known")
    if record.parent != _in_force(state) and record.parent not in state.proposals:
        return _outdated(state, record.parent)
    difference = Difference(record.sections, record.removed)
    proposal = Proposal(offset, record.digest, record.parent, record.author, difference)
    try:
        parent = bundle_of(state, record.parent)
        bundle = revise_bundle(parent, difference)
    except BundleError as exc:
        return Refusal(Reason.BAD_VALUE, str(exc))
    bad = _check_proposed(state, record, parent, bundle)
    if bad is not None:
        return bad
    proposals = {**state.proposals, record.digest: proposal}
    if len(proposals) > PROPOSALS_MAX:
        del proposals[next(iter(proposals))]
    return attrs.evolve(state, proposals=proposals)


def bundle_of(state, digest):
    """Return the Bundle in force or proposed with ``digest``, None for no digest.

    Raises BundleError when an ancestor is no longer known.
    """
    chain = []
    while digest != _in_force(state):
        proposal = state.proposals.get(digest)
        if proposal is None:
            raise BundleError(f"{_short(digest)} is not known")
        chain.append(proposal.difference)
        digest = proposal.parent
    bundle = state.bundle
    for difference in reversed(chain):
        bundle = revise_bundle(bundle, difference)
    return bundle


def _in_force(state):
    return state.bundle.digest if state.bundle else b""


def _short(digest):
    return digest[:DIGEST_SHOWN_BYTES].hex() or "nothing"


def _outdated(state, digest):
    """Return the Refusal that tells an operator what won."""
    if state.bundle is None:
        return Refusal(Reason.OUTDATED, f"{_short(digest)} is not known")
    return Refusal(
        Reason.OUTDATED,
        f"{_short(digest)} is not known or was replaced; in force is version "
        f"{state.bundle.version} {_short(state.bundle.digest)}, rolled at offset "
        f"{state.bundle_offset} by {state.bundle_operator}",
    )


def _check_proposed(state, record, parent, bundle):
    version = parent.version + 1 if parent else 1
    if record.version != version or bundle.version != version:
        return Refusal(Reason.BAD_VALUE, f"version is not {version}")
    if bundle.digest != record.digest or bundle.author != record.author:
        return Refusal(Reason.BAD_VALUE, "digest or author is not the bundle's")
    if parent and set(bundle.seats) != set(parent.seats):
        return Refusal(Reason.BAD_VALUE, "seats can't change once in force")
    return None


def sign(state, record, offset):
    """Fold BundleSigned."""
    proposal = state.proposals.get(record.digest)
    if proposal is None:
        return _outdated(state, record.digest)
    if proposal.signer:
        return Refusal(Reason.ALREADY_DONE, f"signed off by {proposal.signer}")
    signer = record.signer.strip()
    if not signer:
        return Refusal(Reason.BAD_VALUE, "signer is empty")
    if signer.casefold() == proposal.author.casefold():
        return Refusal(Reason.SAME_PERSON, f"{signer} is the author")
    signed = attrs.evolve(proposal, signer=signer)
    return attrs.evolve(state, proposals={**state.proposals, record.digest: signed})


def roll(state, record, offset):
    """Fold BundleRolled: the bundle is in force from here on."""
    proposal = state.proposals.get(record.digest)
    if record.digest == _in_force(state):
        return Refusal(Reason.ALREADY_DONE, f"rolled by {state.bundle_operator}")
    if proposal is None or proposal.parent != _in_force(state):
        return _outdated(state, record.digest)
    if not proposal.signer:
        return Refusal(Reason.NOT_SIGNED, f"{_short(record.digest)} is not signed off")
    try:
        bundle = bundle_of(state, record.digest)
    except BundleError as exc:
        return Refusal(Reason.BAD_VALUE, str(exc))
    return _enforce(state, record, offset, bundle)


def _enforce(state, record, offset, bundle):
    vms, changed = _assign(state, bundle)
    required = required_vms(bundle)
    if state.bundle is not None:
        checks = (
            _check_batches(state, bundle, changed),
            _check_addresses(state, bundle),
            _check_pools(bundle, vms),
            _check_services(state, vms, required),
        )
        for bad in checks:
            if bad is not None:
                return bad
    return attrs.evolve(
        state,
        bundle=bundle,
        bundle_offset=offset,
        bundle_operator=record.operator,
        bundle_time_ms=state.time_ms,
        proposals=_descendants(state.proposals, record.digest),
        vms=vms,
        retired=_retire(state, bundle),
        required=required,
        deadline_peak_ms=max(state.deadline_peak_ms, bundle.longest_deadline_ms),
    )


def _assign(state, bundle):
    """Return the Inventory under ``bundle`` and the VMs removed or changed in place.

    A VM that was removed before comes back in the pool that it left, from where a
    batch moves it: an entry that has read neither roll still knows it there.
    """
    old = state.bundle.vms if state.bundle else {}
    removed = [name for name in old if name not in bundle.vms]
    added = [
        VmState(vm.name, _entry_pool(state, vm), "serving", state.time_ms)
        for vm in bundle.vms.values()
        if vm.name not in old
    ]
    changed = [
        name
        for name, vm in old.items()
        if name in bundle.vms and _moved_in_place(vm, bundle.vms[name])
    ]
    vms = state.vms.replace(added, removed) if added or removed else state.vms
    return vms, [*removed, *changed]


def _entry_pool(state, vm):
    """Return the pool in which a VM that is new to the bundle begins."""
    retired = state.retired.get(vm.name)
    return retired.pool if retired else vm.pool


def _retire(state, bundle):
    """Return the retired VMs under ``bundle``, {name: RetiredVm}."""
    old = state.bundle.vms if state.bundle else {}
    removed = {
        name: RetiredVm(name, state.vms[name].pool, vm.address)
        for name, vm in old.items()
        if name not in bundle.vms
    }
    known = {**state.retired, **removed}
    return {name: vm for name, vm in known.items() if name not in bundle.vms}


def _check_addresses(state, bundle):
    """Refuse a VM at an address at which entries may know another VM."""
    holders = {vm.address: vm.name for vm in state.bundle.vms.values()}
    holders.update({vm.address: vm.name for vm in state.retired.values()})
    for vm in bundle.vms.values():
        holder = holders.get(vm.address, vm.name)
        if holder != vm.name:
            return Refusal(
                Reason.WRONG_STATE, f"{vm.address} of VM {vm.name} was that of {holder}"
            )
    return None


def _moved_in_place(old, new):
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


def _check_services(state, vms, required):
    """Refuse a bundle whose roll alone would leave a pool below its budget."""
    for pool, wanted in required.items():
        active = _active(vms, pool)
        lowered = active < _active(state.vms, pool)
        raised = wanted > state.required.get(pool, 0)
        if active < wanted and (lowered or raised):
            return Refusal(
                Reason.BUDGET, f"pool {pool}: {active} would serve, {wanted} must"
            )
    return None


def _active(vms, pool):
    return sum(vm.active for vm in vms.pool(pool).values())


def _descendants(proposals, digest):
    """Return the proposals that build on ``digest``, by offset."""
    kept, known = {}, {digest}
    for proposal in proposals.values():
        if proposal.parent in known:
            kept[proposal.digest] = proposal
            known.add(proposal.digest)
    return kept
