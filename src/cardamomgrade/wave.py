"""Plans the next records of all maintenance waves and explains what each wave does.

A wave maintains its pools in parallel. Each pool has at most one open batch and is
maintained zone by zone, the rack with most of the VMs first. A VM that the bundle
assigns to another pool is moved by the first wave, in order of names, that includes
its present pool, or by the unnamed wave ``MOVES_WAVE`` if there is none. The fold
validates every planned record again, so several planners may run at the same time.
"""

import attrs

from .batch import missing_acks, missing_confirms, MOVES_WAVE, reboot_after_ms
from .budget import check_budget
from .records import BatchAborted, BatchOpened, DrainStarted, RebootOrdered
from .refusal import Reason, Refusal
from .sizing import batch_size, open_batches_max, order_vms

BATCH_VMS_MAX = 100
NAMES_SHOWN_MAX = 5
STATE_LIVE = "live"
ACTION_ABORT = "abort"
ACTION_WAIT = "wait"
ACTION_DRAIN = "drain"
ACTION_REBOOT = "reboot"
ACTION_OPEN = "open"
ACTION_DONE = "done"
_ACTIONS_BY_PRECEDENCE = (
    ACTION_ABORT,
    ACTION_WAIT,
    ACTION_DRAIN,
    ACTION_REBOOT,
    ACTION_OPEN,
    ACTION_DONE,
)


@attrs.frozen
class Explanation:
    """What a wave does in a pool or why it waits.

    ``reason`` is None unless the wave waits or aborts a batch. ``pool`` is empty if
    the wave is done.
    """

    wave: str
    pool: str
    action: str
    reason: Reason | None
    detail: str

    def __str__(self):
        reason = f" ({self.reason.value})" if self.reason else ""
        prefix = f"pool {self.pool}: " if self.pool else ""
        return f"{prefix}{self.action}{reason}: {self.detail}"


@attrs.frozen
class Plan:
    """The records to append now, and Explanations.

    ``explanations`` has one for each wave, ``pool_explanations`` one for each open
    batch and one for each wave and pool that opens a batch or waits to open one.
    """

    records: tuple
    explanations: tuple
    pool_explanations: tuple = ()


@attrs.frozen
class _PendingVms:
    """The VMs of one pool that a wave has not completed, by name.

    ``to_move`` is {target pool: VM names}. ``failed`` VMs wait until they recover.
    """

    to_reboot: tuple
    to_move: dict
    failed: tuple


def plan(state, vm_list):
    """Return the Plan of a state and the platform's VM list (ListedVm objects).

    ``state.time_ms`` must be the present log time.
    """
    return Planner().plan(state, vm_list)


class Planner:
    """Plans waves, and caches results for pools that have not changed since."""

    def __init__(self):
        self._bundle = None
        self._move_waves = {}
        self._pending_cache = {}
        self._budget_cache = {}

    def plan(self, state, vm_list):
        """Return the Plan of a state, as the function ``plan`` does."""
        if state.bundle is None:
            return Plan((), ())
        if state.bundle is not self._bundle:
            self._bundle = state.bundle
            self._move_waves = _find_move_waves(state.bundle)
            self._pending_cache = {}
            self._budget_cache = {}
        return _PlanRun(self, state, _not_live(vm_list)).result()

    def wave_pools(self, state):
        """Yield each (wave, pool) in which there may be VMs to reboot or move."""
        for pool in state.vms.pools():
            if pool not in self._move_waves:
                yield MOVES_WAVE, pool
        for wave in self._bundle.waves.values():
            for pool in wave.pools:
                yield wave.name, pool

    def pending(self, state, wave, pool):
        """Return the _PendingVms of a wave in a pool."""
        vms = state.vms.pool(pool)
        cached = self._pending_cache.get((wave, pool))
        if cached is not None and cached[0] is vms:
            return cached[1]
        move_wave = self._move_waves.get(pool, MOVES_WAVE)
        pending = _find_pending(state.bundle, wave, vms, moves=move_wave == wave)
        self._pending_cache[wave, pool] = (vms, pending)
        return pending

    def budget(self, state, pool, out):
        """Return the Budget of a pool without ``out``, or a Refusal (BUDGET)."""
        vms = state.vms.pool(pool)
        cached = self._budget_cache.get(pool)
        if cached is not None and cached[0] is vms and cached[1] == out:
            return cached[2]
        required = state.required.get(pool, 0)
        budget = check_budget(state.bundle, vms, required, out)
        self._budget_cache[pool] = (vms, out, budget)
        return budget


def _find_move_waves(bundle):
    """Return {pool: name of the wave that moves VMs out of this pool}."""
    move_waves = {}
    for name in sorted(bundle.waves):
        for pool in bundle.waves[name].pools:
            move_waves.setdefault(pool, name)
    return move_waves


def _not_live(vm_list):
    return frozenset(item.vm for item in vm_list if item.state != STATE_LIVE)


def _find_pending(bundle, wave, vms, moves):
    wave_round = bundle.waves[wave].round if wave != MOVES_WAVE else 0
    to_reboot, to_move, failed = [], {}, []
    for name, vm in vms.items():
        target = bundle.vms[name].pool
        if target == vm.pool and vm.round_done(wave) >= wave_round:
            continue
        if target != vm.pool and not moves:
            continue
        if vm.failed:
            failed.append(name)
        elif target != vm.pool:
            to_move.setdefault(target, []).append(name)
        else:
            to_reboot.append(name)
    return _PendingVms(tuple(to_reboot), to_move, tuple(failed))


class _PlanRun:
    """One run of a Planner on one state.

    ``_busy_pools`` is {pool: wave of its open batch}.
    """

    def __init__(self, planner, state, not_live):
        self._planner = planner
        self._state = state
        self._not_live = not_live
        self._records = []
        self._explanations = []
        self._batches_left = open_batches_max(len(state.members)) - len(state.batches)
        self._busy_pools = {}
        for batch in state.batches.values():
            self._busy_pools[batch.source] = batch.wave
            if batch.pool:
                self._busy_pools[batch.pool] = batch.wave

    def result(self):
        """Return the Plan."""
        for batch in self._state.batches.values():
            self._advance(batch)
        for wave, pool in self._planner.wave_pools(self._state):
            self._plan_batch(wave, pool)
        return Plan(
            tuple(self._records), self._wave_explanations(), tuple(self._explanations)
        )

    def _explain(self, wave, pool, action, detail, reason=None):
        self._explanations.append(Explanation(wave, pool, action, reason, detail))

    def _advance(self, batch):
        """Plan the next step of an open batch."""
        if batch.draining:
            self._reboot(batch)
            return
        outdated = _why_outdated(self._state.bundle, batch)
        if outdated:
            self._abort(batch, Reason.OUTDATED, outdated)
            return
        budget = self._budget(batch.source, batch.vms, count_not_live=False)
        if isinstance(budget, Refusal):
            self._abort(batch, Reason.BUDGET, budget.detail)
            return
        self._drain(batch)

    def _abort(self, batch, reason, detail):
        text = f"{reason.value}: {detail}"
        self._records.append(BatchAborted(batch.offset, text, ""))
        self._explain(batch.wave, batch.source, ACTION_ABORT, detail, reason)

    def _drain(self, batch):
        missing = missing_acks(self._state, batch)
        budget = self._budget(batch.source, batch.vms)
        if missing or not self._state.members:
            detail = "no acknowledgement of " + (_format_names(missing) or "any entry")
            reason = Reason.NOT_ACKNOWLEDGED
        elif isinstance(budget, Refusal):
            detail, reason = budget.detail, Reason.BUDGET
        else:
            self._records.append(DrainStarted(batch.offset, ""))
            self._explain(
                batch.wave, batch.source, ACTION_DRAIN, _format_names(batch.vms)
            )
            return
        self._explain(batch.wave, batch.source, ACTION_WAIT, detail, reason)

    def _reboot(self, batch):
        to_reboot = [
            name
            for name in batch.vms
            if self._state.vms[name].phase == "draining"
            and self._state.vms[name].batch == batch.offset
        ]
        valid_ms = reboot_after_ms(self._state, batch)
        if to_reboot and self._state.time_ms < valid_ms:
            missing = missing_confirms(self._state, batch)
            holders = _format_names(missing) or "former members"
            detail = f"{holders} may hold requests; no longer at log time {valid_ms} ms"
            self._explain(
                batch.wave, batch.source, ACTION_WAIT, detail, Reason.NOT_CONFIRMED
            )
            return
        self._records += [RebootOrdered(batch.offset, vm, "") for vm in to_reboot]
        not_joined = [name for name in batch.vms if name not in batch.joined]
        self._explain(
            batch.wave, batch.source, ACTION_REBOOT, _format_names(not_joined)
        )

    def _plan_batch(self, wave, pool):
        """Plan the next batch of a wave in a pool that has no open batch."""
        pending = self._planner.pending(self._state, wave, pool)
        if pool in self._busy_pools:
            if self._busy_pools[pool] != wave and (
                pending.to_reboot or pending.to_move
            ):
                detail = f"wave {self._busy_pools[pool]} has an open batch in the pool"
                self._explain(wave, pool, ACTION_WAIT, detail, Reason.BATCH_OPEN)
            return
        moves = sorted(pending.to_move.items())
        free_moves = [move for move in moves if move[0] not in self._busy_pools]
        if free_moves:
            target, names = free_moves[0]
            self._open_batch(wave, pool, target, names)
        elif pending.to_reboot:
            self._open_batch(wave, pool, "", pending.to_reboot)
        elif moves:
            detail = f"pool {moves[0][0]} has an open batch"
            self._explain(wave, pool, ACTION_WAIT, detail, Reason.BATCH_OPEN)
        elif pending.failed:
            detail = f"failed VMs: {_format_names(pending.failed)}"
            self._explain(wave, pool, ACTION_WAIT, detail, Reason.NOT_SERVING)

    def _open_batch(self, wave, pool, target, names):
        if self._batches_left <= 0:
            detail = "the maximum number of batches is open"
            self._explain(wave, pool, ACTION_WAIT, detail, Reason.OVERLOADED)
            return
        live = [name for name in names if name not in self._not_live]
        if not live:
            detail = f"the platform lists as not live: {_format_names(names)}"
            self._explain(wave, pool, ACTION_WAIT, detail, Reason.NOT_SERVING)
            return
        vms = self._choose(wave, pool, live)
        if isinstance(vms, Refusal):
            self._explain(wave, pool, ACTION_WAIT, vms.detail, vms.reason)
            return
        self._batches_left -= 1
        self._busy_pools.update((name, wave) for name in (pool, target) if name)
        self._records.append(
            BatchOpened(
                wave,
                self._round(wave),
                tuple(vms),
                target,
                self._state.offset - 1,
                "",
            )
        )
        destination = f" to pool {target}" if target else ""
        self._explain(wave, pool, ACTION_OPEN, _format_names(vms) + destination)

    def _round(self, wave):
        return self._state.bundle.waves[wave].round if wave != MOVES_WAVE else 0

    def _choose(self, wave, pool, names):
        """Return the VMs of the next batch, or a Refusal (BUDGET)."""
        ordered = order_vms(self._state.bundle, wave, names)
        size_max = self._size_max(pool, ordered)
        if isinstance(size_max, Refusal):
            return size_max
        bundle = self._state.bundle
        size = batch_size(
            len(ordered), size_max, bundle.weight_rollout, bundle.weight_buffer
        )
        return ordered[:size]

    def _size_max(self, pool, ordered):
        """Return how many of the first ``ordered`` VMs may be out at once.

        Returns a Refusal (BUDGET) if none may.
        """
        budget = self._budget(pool, ordered[:1])
        if isinstance(budget, Refusal):
            return budget
        if not budget.rack_loss_counted:
            return 1
        low, high = 1, min(len(ordered), BATCH_VMS_MAX)
        while low < high:
            middle = (low + high + 1) // 2
            if isinstance(self._budget(pool, ordered[:middle]), Refusal):
                high = middle - 1
            else:
                low = middle
        return low

    def _budget(self, pool, out, count_not_live=True):
        """Return the Budget of a pool without ``out``, or a Refusal (BUDGET).

        ``count_not_live`` also counts VMs that the platform lists as not live as out,
        before the log has a record of their failure.
        """
        out = frozenset(out)
        if count_not_live and self._not_live:
            vms = self._state.vms.pool(pool)
            out = out.union(name for name in vms if name in self._not_live)
        return self._planner.budget(self._state, pool, out)

    def _wave_explanations(self):
        """Return one Explanation for each wave, that of the first action in order."""
        chosen = {}
        for item in self._explanations:
            known = chosen.get(item.wave)
            if known is None or _precedence(item) < _precedence(known):
                chosen[item.wave] = item
        for wave in self._state.bundle.waves.values():
            done = Explanation(wave.name, "", ACTION_DONE, None, f"round {wave.round}")
            chosen.setdefault(wave.name, done)
        return tuple(chosen.values())


def _precedence(item):
    return _ACTIONS_BY_PRECEDENCE.index(item.action)


def _why_outdated(bundle, batch):
    """Return why a batch does not fit the bundle in force, or an empty text."""
    for name in batch.vms:
        assigned = bundle.vms[name].pool
        if assigned != (batch.pool or batch.source):
            return f"{name} is assigned to {assigned}"
    if batch.wave == MOVES_WAVE:
        return ""
    wave = bundle.waves.get(batch.wave)
    if wave is None or wave.round != batch.round:
        return f"round {batch.round} was replaced"
    return ""


def _format_names(names):
    names = sorted(names)
    more = len(names) - NAMES_SHOWN_MAX
    text = ", ".join(names[:NAMES_SHOWN_MAX])
    return f"{text} and {more} more" if more > 0 else text
