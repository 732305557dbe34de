"""The states of the fleet's VMs, in an immutable mapping with cheap updates."""

from collections.abc import Mapping
from types import MappingProxyType

import attrs

NO_FENCE = -1
_EMPTY = MappingProxyType({})


@attrs.frozen
class RoundDone:
    """The last round of a maintenance wave in which a VM was rebooted."""

    wave: str
    round: int


@attrs.frozen
class RetiredVm:
    """A VM that a bundle removed, with its last pool and address (ip:port)."""

    name: str
    pool: str
    address: str


@attrs.frozen
class VmState:
    """The state of a VM as folded from the log.

    ``phase`` is a state of the state chart ``vm``, entered at the log time
    ``since_ms``. ``batch`` is the offset of its open batch or None. ``fence`` is the
    offset of its last RebootOrdered or NO_FENCE; the platform rejects reboots whose
    fence is not newer. ``failed`` is whether the platform last listed it as failed.
    ``rounds`` is a tuple of RoundDone.
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
        """Whether the VM accepts requests and is not known to have failed."""
        return not self.failed and self.phase in ("serving", "noticed")

    def round_done(self, wave):
        """Return the last round of ``wave`` in which the VM was rebooted, or 0."""
        for item in self.rounds:
            if item.wave == wave:
                return item.round
        return 0


@attrs.frozen(eq=False)
class Inventory(Mapping):
    """Immutable mapping {name: VmState}; an update copies only the pools it changes.

    The pool is a single field of VmState, so a VM is always in exactly one pool.
    """

    _pools: dict = attrs.field(factory=dict, alias="pools")
    _pool_by_vm: dict = attrs.field(factory=dict, alias="pool_by_vm")

    def __getitem__(self, vm):
        return self._pools[self._pool_by_vm[vm]][vm]

    def __contains__(self, vm):
        return vm in self._pool_by_vm

    def __iter__(self):
        return iter(self._pool_by_vm)

    def __len__(self):
        return len(self._pool_by_vm)

    def __eq__(self, other):
        return isinstance(other, Inventory) and self._pools == other._pools

    __hash__ = None

    def pools(self):
        """Return the names of the pools that have VMs."""
        return self._pools.keys()

    def pool(self, name):
        """Return {name: VmState} of a pool, the same object until the pool changes."""
        return self._pools.get(name, _EMPTY)

    def replace(self, states, removed=()):
        """Return an Inventory with ``states`` set and the names in ``removed`` gone."""
        pools, pool_by_vm, copied = dict(self._pools), self._pool_by_vm, set()

        def writable(pool):
            if pool not in copied:
                pools[pool] = dict(pools.get(pool, _EMPTY))
                copied.add(pool)
            return pools[pool]

        moved = {
            vm.name: vm.pool for vm in states if pool_by_vm.get(vm.name) != vm.pool
        }
        for name in [*removed, *moved]:
            if name in pool_by_vm:
                del writable(pool_by_vm[name])[name]
        for vm in states:
            writable(vm.pool)[vm.name] = vm
        for pool in copied:
            if not pools[pool]:
                del pools[pool]
        if moved or removed:
            pool_by_vm = {**pool_by_vm, **moved}
            for name in removed:
                del pool_by_vm[name]
        return Inventory(pools, pool_by_vm)
