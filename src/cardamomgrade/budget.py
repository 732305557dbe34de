"""The availability budget of a pool: how many of its VMs may be out at once.

The VMs left must reach the highest ``min_serving`` of the pool's services, also when
one more rack fails: the rack with most of the VMs left. A pool that could not spare
both one VM and one rack with all its VMs healthy would never be maintained under
this rule; for such a pool only ``min_serving`` is demanded. The alternative, to
refuse such bundles, would lock out small estates, and to ignore racks everywhere
would give up what larger pools can keep.
"""

import attrs

from .refusal import Reason, Refusal


@attrs.frozen
class Budget:
    """What is left of a pool without a batch, in VMs.

    ``rack`` holds most of the VMs left, ``rack_vms`` of them. ``guarded`` tells
    whether the loss of that rack is counted.
    """

    serving: int
    required: int
    rack: str
    rack_vms: int
    guarded: bool

    @property
    def spare(self):
        """VMs beyond what is demanded; below 0 the budget is broken."""
        lost = self.rack_vms if self.guarded else 0
        return self.serving - lost - self.required

    def __str__(self):
        rule = (
            f"rack {self.rack} may fail with {self.rack_vms}"
            if self.guarded
            else "too small to also lose a rack"
        )
        return f"{self.serving} would serve, {self.required} must; {rule}"


def required_vms(bundle):
    """Return {pool: VMs that must serve}, the highest min_serving of its services."""
    required = {}
    for service in bundle.services.values():
        wanted = max(required.get(service.pool, 0), service.min_serving)
        required[service.pool] = wanted
    return required


def measure_budget(bundle, vms, required, batch=()):
    """Return the Budget of a pool's ``vms`` {vm: VmState} without those in ``batch``.

    Takes time linear in the VMs of the pool.
    """
    out = frozenset(batch)
    racks, left = {}, {}
    for name, vm in vms.items():
        rack = bundle.vms[name].rack
        racks[rack] = racks.get(rack, 0) + 1
        if vm.active and name not in out:
            left[rack] = left.get(rack, 0) + 1
    rack = max(left, key=lambda item: (left[item], item), default="")
    return Budget(
        serving=sum(left.values()),
        required=required,
        rack=rack,
        rack_vms=left.get(rack, 0),
        guarded=_can_spare_rack(racks, required),
    )


def _can_spare_rack(racks, required):
    """Return whether any one VM and then any rack can go when all are healthy."""
    total = sum(racks.values())
    if len(racks) < 2:
        return required == 0
    return total - 1 - max(racks.values()) >= required


def check_budget(bundle, vms, required, batch):
    """Return the Budget without ``batch``, or a Refusal (BUDGET)."""
    budget = measure_budget(bundle, vms, required, batch)
    if budget.spare < 0:
        return Refusal(Reason.BUDGET, str(budget))
    return budget
