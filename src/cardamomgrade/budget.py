"""The availability budget of a pool: how many of its VMs may be out of service at once.

The VMs that remain in service must reach the highest ``min_serving`` of the pool's
services even if the rack with most of them fails as well. A pool that could not lose
one VM and one rack with all its VMs healthy could never be maintained under this
rule, so only ``min_serving`` applies to it. Refusing the bundles of such pools would
exclude small fleets, and ignoring racks everywhere would give up the rack tolerance
of larger pools.
"""

import attrs

from .refusal import Reason, Refusal


@attrs.frozen
class Budget:
    """The VMs of a pool that serve while those of a batch are out of service.

    ``serving`` and ``required`` are numbers of VMs. ``rack`` is the rack with most
    of the serving VMs, ``rack_vms`` their number in it. ``rack_loss_counted`` is
    whether the loss of that rack counts against the budget.
    """

    serving: int
    required: int
    rack: str
    rack_vms: int
    rack_loss_counted: bool

    @property
    def spare(self):
        """The number of VMs above the requirement; the budget is broken below 0."""
        rack_loss = self.rack_vms if self.rack_loss_counted else 0
        return self.serving - rack_loss - self.required

    def __str__(self):
        rule = (
            f"rack {self.rack} may fail with {self.rack_vms}"
            if self.rack_loss_counted
            else "too small to also lose a rack"
        )
        return f"{self.serving} would serve, {self.required} must; {rule}"


def required_vms(bundle):
    """Return {pool: number of VMs}, the highest ``min_serving`` of its services."""
    required = {}
    for service in bundle.services.values():
        needed = max(required.get(service.pool, 0), service.min_serving)
        required[service.pool] = needed
    return required


def compute_budget(bundle, vms, required, batch=()):
    """Return the Budget of a pool while the VMs named in ``batch`` are out of service.

    ``vms`` is {name: VmState} of the whole pool and ``required`` the number that must
    serve. Takes time linear in the number of VMs.
    """
    excluded = frozenset(batch)
    racks, active_by_rack = {}, {}
    for name, vm in vms.items():
        rack = bundle.vms[name].rack
        racks[rack] = racks.get(rack, 0) + 1
        if vm.active and name not in excluded:
            active_by_rack[rack] = active_by_rack.get(rack, 0) + 1
    rack = max(
        active_by_rack, key=lambda item: (active_by_rack[item], item), default=""
    )
    return Budget(
        serving=sum(active_by_rack.values()),
        required=required,
        rack=rack,
        rack_vms=active_by_rack.get(rack, 0),
        rack_loss_counted=_tolerates_rack_loss(racks, required),
    )


def _tolerates_rack_loss(racks, required):
    """Return whether a pool with all VMs healthy can lose any VM and any rack.

    ``racks`` is {rack: number of VMs}.
    """
    total = sum(racks.values())
    if len(racks) < 2:
        return required == 0
    return total - 1 - max(racks.values()) >= required


def check_budget(bundle, vms, required, batch):
    """Return the Budget while ``batch`` is out of service, or a Refusal (BUDGET)."""
    budget = compute_budget(bundle, vms, required, batch)
    if budget.spare < 0:
        return Refusal(Reason.BUDGET, str(budget))
    return budget
