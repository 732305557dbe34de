"""Plans the next steps of all waves: what to append now, and why others wait.

A wave works through its pools side by side, each pool with one batch at a time, zone
by zone. A batch fills from one rack first. VMs that the bundle assigns to another
pool are moved by the first wave of their pool, or by the nameless wave
``MOVES_WAVE``. The fold checks every intent again, so that several planners at once
do no harm.
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
_ACTIONS = (
    ACTION_ABORT,
    ACTION_WAIT,
    ACTION_DRAIN,
    ACTION_REBOOT,
    ACTION_OPEN,
    ACTION_DONE,
)


@attrs.frozen
class Explanation:
    """What a wave does in a pool, or why it waits; ``reason`` is None if it acts."""

    wave: str
    pool: str
    action: str
    reason: Reason | None
    detail: str

    def __str__(self):
        reason = f" ({self.reason.value})" if self.reason else ""
        place = f"pool {self.pool}: " if self.pool else ""
        return f"{place}{self.action}{reason}: {self.detail}"


@attrs.frozen
class Plan:
    """Records to append now, one Explanation a wave, and one a pool in work."""

    records: tuple
    explanations: tuple
    pools: tuple = ()


@attrs.frozen
class _Work:
    """What a wave still has to do in one pool; ``moves`` is {target: VM names}."""

    due: tuple
    moves: dict
    failed: tuple


def plan(state, vm_list):
    """Return the Plan of a state and the platform's VM list (ListedVm objects).

    ``state.time_ms`` is taken as the present log time.
    """
    return Planner().plan(state, vm_list)


class Planner:
    """Plans, and keeps the work of pools that have not changed since."""

    def __init__(self):
        self._bundle = None
        self._owners = {}
        self._known = {}
        self._budgets = {}

    def plan(self, state, vm_list):
        """Return the Plan of a state, as the function ``plan`` does."""
        if state.bundle is None:
            return Plan((), ())
        if state.bundle is not self._bundle:
            self._bundle = state.bundle
            self._owners = _move_owners(state.bundle)
            self._known = {}
            self._budgets = {}
        return _Planning(self, state, _not_live(vm_list)).result()

    def waves(self, state):
        """Yield (wave, pool) of all work that there may be."""
        for pool in state.vms.pools():
            if pool not in self._owners:
                yield MOVES_WAVE, pool
        for wave in self._bundle.waves.values():
            for pool in wave.pools:
                yield wave.name, pool

    def work(self, state, wave, pool):
        """Return the _Work of a wave in a pool."""
        vms = state.vms.pool(pool)
        known = self._known.get((wave, pool))
        if known is not None and known[0] is vms:
            return known[1]
        owner = self._owners.get(pool, MOVES_WAVE)
        work = _find_work(state.bundle, wave, vms, moves=owner == wave)
        self._known[wave, pool] = (vms, work)
        return work

    def budget(self, state, pool, out):
        """Return the Budget of a pool without ``out``, or a Refusal (BUDGET)."""
        vms = state.vms.pool(pool)
        known = self._budgets.get(pool)
        if known is not None and known[0] is vms and known[1] == out:
            return known[2]
        required = state.required.get(pool, 0)
        budget = check_budget(state.bundle, vms, required, out)
        self._budgets[pool] = (vms, out, budget)
        return budget


def _move_owners(bundle):
    """Return {pool: wave} of the wave that moves VMs away from a pool."""
    owners = {}
    for name in sorted(bundle.waves):
        for pool in bundle.waves[name].pools:
            owners.setdefault(pool, name)
    return owners


def _not_live(vm_list):
    return frozenset(item.vm for item in vm_list if item.state != STATE_LIVE)


def _find_work(bundle, wave, vms, moves):
    wave_round = bundle.waves[wave].round if wave != MOVES_WAVE else 0
    due, moving, failed = [], {}, []
    for name, vm in vms.items():
        target = bundle.vms[name].pool
        if target == vm.pool and vm.round_done(wave) >= wave_round:
            continue
        if target != vm.pool and not moves:
            continue
        if vm.failed:
            failed.append(name)
        elif target != vm.pool:
            moving.setdefault(target, []).append(name)
        else:
            due.append(name)
    return _Work(tuple(due), moving, tuple(failed))


class _Planning:
    """One run of a Planner over one state."""

    def __init__(self, planner, state, not_live):
        self._planner = planner
        self._state = state
        self._not_live = not_live
        self._records = []
        self._told = []
        self._room = open_batches_max(len(state.members)) - len(state.batches)
        self._busy = {}
        for batch in state.batches.values():
            self._busy[batch.source] = batch.wave
            if batch.pool:
                self._busy[batch.pool] = batch.wave

    def result(self):
        """Return the Plan."""
        for batch in self._state.batches.values():
            self._drive(batch)
        for wave, pool in self._planner.waves(self._state):
            self._begin(wave, pool)
        return Plan(tuple(self._records), self._by_wave(), tuple(self._told))

    def _tell(self, wave, pool, action, detail, reason=None):
        self._told.append(Explanation(wave, pool, action, reason, detail))

    def _drive(self, batch):
        """Take an open batch one step on."""
        if batch.draining:
            self._reboot(batch)
            return
        stale = _stale(self._state.bundle, batch)
        if stale:
            self._abort(batch, Reason.OUTDATED, stale)
            return
        folded = self._budget(batch.source, batch.vms, guess=False)
        if isinstance(folded, Refusal):
            self._abort(batch, Reason.BUDGET, folded.detail)
            return
        self._drain(batch)

    def _abort(self, batch, reason, detail):
        text = f"{reason.value}: {detail}"
        self._records.append(BatchAborted(batch.offset, text, ""))
        self._tell(batch.wave, batch.source, ACTION_ABORT, detail, reason)

    def _drain(self, batch):
        missing = missing_acks(self._state, batch)
        budget = self._budget(batch.source, batch.vms)
        if missing or not self._state.members:
            detail = "no acknowledgement of " + (_shown(missing) or "any entry")
            reason = Reason.NOT_ACKNOWLEDGED
        elif isinstance(budget, Refusal):
            detail, reason = budget.detail, Reason.BUDGET
        else:
            self._records.append(DrainStarted(batch.offset, ""))
            self._tell(batch.wave, batch.source, ACTION_DRAIN, _shown(batch.vms))
            return
        self._tell(batch.wave, batch.source, ACTION_WAIT, detail, reason)

    def _reboot(self, batch):
        drained = [
            name
            for name in batch.vms
            if self._state.vms[name].phase == "draining"
            and self._state.vms[name].batch == batch.offset
        ]
        valid_ms = reboot_after_ms(self._state, batch)
        if drained and self._state.time_ms < valid_ms:
            missing = missing_confirms(self._state, batch)
            who = _shown(missing) or "former members"
            detail = f"{who} may hold requests; no longer at log time {valid_ms} ms"
            self._tell(
                batch.wave, batch.source, ACTION_WAIT, detail, Reason.NOT_CONFIRMED
            )
            return
        self._records += [RebootOrdered(batch.offset, vm, "") for vm in drained]
        left = [name for name in batch.vms if name not in batch.joined]
        self._tell(batch.wave, batch.source, ACTION_REBOOT, _shown(left))

    def _begin(self, wave, pool):
        """Open the next batch of a wave in a pool, unless it has one."""
        work = self._planner.work(self._state, wave, pool)
        if pool in self._busy:
            if self._busy[pool] != wave and (work.due or work.moves):
                detail = f"wave {self._busy[pool]} has a batch in the pool"
                self._tell(wave, pool, ACTION_WAIT, detail, Reason.BATCH_OPEN)
            return
        moves = sorted(work.moves.items())
        free = [move for move in moves if move[0] not in self._busy]
        if free:
            target, names = free[0]
            self._open_batch(wave, pool, target, names)
        elif work.due:
            self._open_batch(wave, pool, "", work.due)
        elif moves:
            detail = f"pool {moves[0][0]} has an open batch"
            self._tell(wave, pool, ACTION_WAIT, detail, Reason.BATCH_OPEN)
        elif work.failed:
            detail = f"failed: {_shown(work.failed)}"
            self._tell(wave, pool, ACTION_WAIT, detail, Reason.NOT_SERVING)

    def _open_batch(self, wave, pool, target, names):
        if self._room <= 0:
            detail = "as many batches are open as the log may carry"
            self._tell(wave, pool, ACTION_WAIT, detail, Reason.OVERLOADED)
            return
        live = [name for name in names if name not in self._not_live]
        if not live:
            detail = f"listed as not live: {_shown(names)}"
            self._tell(wave, pool, ACTION_WAIT, detail, Reason.NOT_SERVING)
            return
        vms = self._choose(wave, pool, live)
        if isinstance(vms, Refusal):
            self._tell(wave, pool, ACTION_WAIT, vms.detail, vms.reason)
            return
        self._room -= 1
        self._busy.update((name, wave) for name in (pool, target) if name)
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
        goal = f" to pool {target}" if target else ""
        self._tell(wave, pool, ACTION_OPEN, _shown(vms) + goal)

    def _round(self, wave):
        return self._state.bundle.waves[wave].round if wave != MOVES_WAVE else 0

    def _choose(self, wave, pool, names):
        """Return the VMs of the next batch, or the Refusal of the budget."""
        ordered = order_vms(self._state.bundle, wave, names)
        most = self._most(pool, ordered)
        if isinstance(most, Refusal):
            return most
        bundle = self._state.bundle
        size = batch_size(
            len(ordered), most, bundle.weight_rollout, bundle.weight_buffer
        )
        return ordered[:size]

    def _most(self, pool, ordered):
        """Return how many VMs from the front the budget lets go at once."""
        budget = self._budget(pool, ordered[:1])
        if isinstance(budget, Refusal):
            return budget
        if not budget.guarded:
            return 1
        low, high = 1, min(len(ordered), BATCH_VMS_MAX)
        while low < high:
            middle = (low + high + 1) // 2
            if isinstance(self._budget(pool, ordered[:middle]), Refusal):
                high = middle - 1
            else:
                low = middle
        return low

    def _budget(self, pool, out, guess=True):
        """Return the Budget without ``out``; guess that VMs not listed live fail."""
        out = frozenset(out)
        if guess and self._not_live:
            vms = self._state.vms.pool(pool)
            out = out.union(name for name in vms if name in self._not_live)
        return self._planner.budget(self._state, pool, out)

    def _by_wave(self):
        """Return the Explanation of each wave that matters most."""
        chosen = {}
        for item in self._told:
            best = chosen.get(item.wave)
            if best is None or _urgency(item) < _urgency(best):
                chosen[item.wave] = item
        for wave in self._state.bundle.waves.values():
            done = Explanation(wave.name, "", ACTION_DONE, None, f"round {wave.round}")
            chosen.setdefault(wave.name, done)
        return tuple(chosen.values())


def _urgency(item):
    return _ACTIONS.index(item.action)


def _stale(bundle, batch):
    """Return why the bundle in force no longer wants a batch, or an empty text."""
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


def _shown(names):
    names = sorted(names)
    more = len(names) - NAMES_SHOWN_MAX
    text = ", ".join(names[:NAMES_SHOWN_MAX])
    return f"{text} and {more} more" if more > 0 else text
