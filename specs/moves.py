"""A VM's move between pools: two controls, the platform's fence, one entry.

Controls may race, pause at any point and repeat a platform call at any later time.
An append lands late or twice; the platform's list lags. Offsets count the appends
of reboot orders. The drain barrier is reduced to one entry's confirmation.
"""

import attrs
from attrs import evolve
from z3 import And, Not, Or

from .checker import Action, blank, flag, level, Model, put

DRAINING, REBOOTING, SERVING = range(3)
CONTROLS = range(2)


@attrs.frozen
class Rules:
    """The rules of the protocol; a mutation drops one."""

    fence: bool = True
    read_back: bool = True
    join_names_last_order: bool = True
    join_when_listed: bool = True
    confirm: bool = True
    pool_set_by_join: bool = True


@attrs.frozen
class State:
    """The folded log, the platform, its list, the controls and the entry's view."""

    tail = level(None)
    phase = level(SERVING)
    batch = level(None)
    order = level(None)
    pool = flag()
    confirmed = flag()
    fence = level(None)
    down = flag()
    listed_fence = level(None)
    listed_up = flag()
    appended = level(None, 2)
    call = level(None, 2)
    join = level(None, 2)
    seen_phase = level(SERVING)
    seen_batch = level(None)
    seen_pool = flag()
    crossed = flag()


def moves(rules=None):
    """Return the model of a VM's moves under the rules."""
    rules = rules or Rules()
    return Model(
        blank(State, phase=SERVING, seen_phase=SERVING),
        lambda s: (
            _platform_actions(rules, s)
            + _entry_actions(s)
            + [action for c in CONTROLS for action in _control_actions(rules, s, c)]
        ),
        _safe,
    )


def _safe(s):
    return And(Or(s.phase != SERVING, Not(s.down)), Not(s.crossed))


def _platform_actions(rules, s):
    actions = [
        Action("boot", s.down, evolve(s, down=False)),
        Action("list", True, evolve(s, listed_fence=s.fence, listed_up=Not(s.down))),
    ]
    if not rules.pool_set_by_join:
        actions.append(Action("BundleRolled", True, evolve(s, pool=Not(s.pool))))
    return actions


def _entry_actions(s):
    view = evolve(s, seen_phase=s.phase, seen_batch=s.batch, seen_pool=s.pool)
    draining = And(s.seen_phase == DRAINING, s.seen_batch == s.batch)
    crossed = And(s.phase == SERVING, s.seen_pool != s.pool)
    return [
        Action("read", True, view),
        Action("DrainConfirmed", draining, evolve(s, confirmed=True)),
        Action(
            "send", s.seen_phase == SERVING, evolve(s, crossed=Or(s.crossed, crossed))
        ),
    ]


def _control_actions(rules, s, c):
    drained = s.confirmed if rules.confirm else True
    may_order = Or(And(s.phase == DRAINING, drained), s.phase == REBOOTING)
    drain = evolve(s, phase=DRAINING, batch=s.batch + 1, confirmed=False)
    refused = evolve(s, tail=s.tail + 1, appended=put(s.appended, c, s.tail + 1))
    ordered = evolve(refused, phase=REBOOTING, order=s.tail + 1)
    right = s.order if rules.read_back else s.appended[c]
    may_call = s.phase == REBOOTING if rules.read_back else True
    higher = s.call[c] > s.fence if rules.fence else True
    reboot = evolve(s, down=True, fence=s.call[c])
    shown = s.listed_fence if rules.join_when_listed else s.order
    up = s.listed_up if rules.join_when_listed else True
    last = s.join[c] == s.order if rules.join_names_last_order else s.join[c] > 0
    joined = evolve(s, phase=SERVING)
    moved = evolve(joined, pool=Not(s.pool))
    joins = And(s.phase == REBOOTING, last)
    return [
        Action(f"DrainStarted {c}", s.phase == SERVING, drain),
        Action(f"RebootOrdered {c}", may_order, ordered),
        Action(f"order refused {c}", Not(may_order), refused),
        Action(f"read back {c}", may_call, evolve(s, call=put(s.call, c, right))),
        Action(f"reboot {c}", And(s.call[c] > 0, higher), reboot),
        Action(f"see live {c}", up, evolve(s, join=put(s.join, c, shown))),
        Action(f"VmJoined {c}", joins, joined),
        Action(f"VmJoined with move {c}", joins, moved),
    ]
