"""The VMs of the fleet by pool: an immutable map that is cheap to change."""

from collections.abc import Mapping
from types import MappingProxyType

import attrs

NO_FENCE = -1
_EMPTY = MappingProxyType({})


@attrs.frozen
class RoundDone:
    """The last round of a wave in which a VM was rebooted."""

    wave: str
    round: int


@attrs.frozen
class RetiredVm:
    """A VM that a bundle removed, with its pool and its address at that time."""

    name: str
    pool: str
    address: str


@attrs.frozen
class VmState:
    """A VM as folded from the log.

    ``phase`` is a state of the vm chart, entered at the log time ``since_ms``.
    ``batch`` is the offset of its open batch or None, ``fence`` the offset of its
    last reboot order or NO_FENCE, ``failed`` what the platform last showed.
    """

    name: str
    pool: str
    phase: str
    since_ms: int = 0
    batch: int | None = None
    fence: int = NO_FENCE
    failed: bool = False
    rounds: tuple = ()

    @property
    def active(self):
        """Whether it takes requests and is not known to have failed."""
        return not self.failed and self.phase in ("serving", "noticed")

    def round_done(self, wave):
        """Return the last round of ``wave`` in which it was rebooted, or 0."""
        for item in self.rounds:
            if item.wave == wave:
                return item.round
        return 0


@attrs.frozen(eq=False)
class Inventory(Mapping):
    """VmState by name; a change copies the maps of its pools only.

    A VM's pool is one field, so that a VM is in one pool at any moment.
    """

    _pools: dict = attrs.field(factory=dict, alias="pools")
    _where: dict = attrs.field(factory=dict, alias="where")

    def __getitem__(self, vm):
        return self._pools[self._where[vm]][vm]

    def __contains__(self, vm):
        return vm in self._where

    def __iter__(self):
        return iter(self._where)

    def __len__(self):
        return len(self._where)

    def __eq__(self, other):
        return isinstance(other, Inventory) and self._pools == other._pools

    __hash__ = None

    def pools(self):
        """Return the names of the pools that have VMs."""
        return self._pools.keys()

    def pool(self, name):
        """Return the VMs of a pool, {vm: VmState}; the same object until it changes."""
        return self._pools.get(name, _EMPTY)

    def replace(self, states, removed=()):
        """Return an Inventory with the given VmStates put and VM names removed."""
        pools, where, owned = dict(self._pools), self._where, set()

        def own(pool):
            if pool not in owned:
                pools[pool] = dict(pools.get(pool, _EMPTY))
                owned.add(pool)
            return pools[pool]

        moved = {vm.name: vm.pool for vm in states if where.get(vm.name) != vm.pool}
        for name in [*removed, *moved]:
            if name in where:
                del own(where[name])[name]
        for vm in states:
            own(vm.pool)[vm.name] = vm
        for pool in owned:
            if not pools[pool]:
                del pools[pool]
        if moved or removed:
            where = {**where, **moved}
            for name in removed:
                del where[name]
        return Inventory(pools, where)
