"""Model of a VM's move between pools, with two controls and one entry.

A control is a process that drains a VM, appends a reboot order to the log, calls the
platform to reboot the VM, and appends its join, which may move it to another pool. The
offset of the order is the fence of the call. Proved: a serving VM is never down, and
the entry never sends to a serving VM that is in another pool than the entry's view.

Assumptions:

- Controls may race, pause at any point, and repeat a platform call at any later time.
- An append takes effect late or twice; the platform's list of VMs lags.
- Offsets count only the appends of reboot orders.
- The drain barrier (see ``barrier``) is reduced to the confirmation of one entry.
"""

import attrs
from attrs import evolve
from z3 import And, Not, Or

from .checker import Action, bool_field, int_field, make_state, Model, set_item

DRAINING, REBOOTING, SERVING = range(3)
CONTROLS = range(2)


@attrs.frozen
class Rules:
    """The rules of the protocol; each mutation test switches one off.

    fence: the platform refuses a call unless its fence is higher than the last one.
    read_back: a control reads its order back from the log before it calls the
        platform, and uses the offset of the order that was accepted last.
    join_names_last_order: a join is accepted only if it names the last order.
    join_when_listed: a control appends a join only once the platform's list shows the
        VM as up, and names the listed fence.
    confirm: an order needs the confirmation of the entry.
    pool_set_by_join: only a join moves the VM to another pool, not a new bundle.
    """

    fence: bool = True
    read_back: bool = True
    join_names_last_order: bool = True
    join_when_listed: bool = True
    confirm: bool = True
    pool_set_by_join: bool = True


@attrs.frozen
class State:
    """The folded log, the platform, its list, the controls and the entry's view.

    ``order`` is the offset of the last accepted reboot order, 0 for none. ``fence`` is
    the highest fence that the platform has seen, ``listed_*`` its list. Of a control,
    ``appended`` is the offset of its last append, ``call`` the fence of its platform
    call, and ``join`` the order that its join names. ``sent_to_wrong_pool`` records a
    violation.
    """

    tail = int_field(None)
    phase = int_field(SERVING)
    batch = int_field(None)
    order = int_field(None)
    pool = bool_field()
    confirmed = bool_field()
    fence = int_field(None)
    vm_down = bool_field()
    listed_fence = int_field(None)
    listed_up = bool_field()
    appended = int_field(None, 2)
    call = int_field(None, 2)
    join = int_field(None, 2)
    seen_phase = int_field(SERVING)
    seen_batch = int_field(None)
    seen_pool = bool_field()
    sent_to_wrong_pool = bool_field()


def moves(rules=None):
    """Return the model of a VM's moves under ``rules``, by default all of them."""
    rules = rules or Rules()
    return Model(
        make_state(State, phase=SERVING, seen_phase=SERVING),
        lambda s: (
            _platform_actions(rules, s)
            + _entry_actions(s)
            + [action for c in CONTROLS for action in _control_actions(rules, s, c)]
        ),
        _safe,
    )


def _safe(s):
    return And(Or(s.phase != SERVING, Not(s.vm_down)), Not(s.sent_to_wrong_pool))


def _platform_actions(rules, s):
    actions = [
        Action("boot", s.vm_down, evolve(s, vm_down=False)),
        Action("list", True, evolve(s, listed_fence=s.fence, listed_up=Not(s.vm_down))),
    ]
    if not rules.pool_set_by_join:
        actions.append(Action("BundleRolled", True, evolve(s, pool=Not(s.pool))))
    return actions


def _entry_actions(s):
    view = evolve(s, seen_phase=s.phase, seen_batch=s.batch, seen_pool=s.pool)
    draining = And(s.seen_phase == DRAINING, s.seen_batch == s.batch)
    other_pool = And(s.phase == SERVING, s.seen_pool != s.pool)
    return [
        Action("read", True, view),
        Action("DrainConfirmed", draining, evolve(s, confirmed=True)),
        Action(
            "send",
            s.seen_phase == SERVING,
            evolve(s, sent_to_wrong_pool=Or(s.sent_to_wrong_pool, other_pool)),
        ),
    ]


def _control_actions(rules, s, c):
    confirmed = s.confirmed if rules.confirm else True
    may_order = Or(And(s.phase == DRAINING, confirmed), s.phase == REBOOTING)
    drain = evolve(s, phase=DRAINING, batch=s.batch + 1, confirmed=False)
    refused = evolve(s, tail=s.tail + 1, appended=set_item(s.appended, c, s.tail + 1))
    ordered = evolve(refused, phase=REBOOTING, order=s.tail + 1)
    call_fence = s.order if rules.read_back else s.appended[c]
    may_call = s.phase == REBOOTING if rules.read_back else True
    fence_is_higher = s.call[c] > s.fence if rules.fence else True
    reboot = evolve(s, vm_down=True, fence=s.call[c])
    join_fence = s.listed_fence if rules.join_when_listed else s.order
    may_join = s.listed_up if rules.join_when_listed else True
    names_order = s.join[c] == s.order if rules.join_names_last_order else s.join[c] > 0
    joined = evolve(s, phase=SERVING)
    moved = evolve(joined, pool=Not(s.pool))
    joins = And(s.phase == REBOOTING, names_order)
    return [
        Action(f"DrainStarted {c}", s.phase == SERVING, drain),
        Action(f"RebootOrdered {c}", may_order, ordered),
        Action(f"order refused {c}", Not(may_order), refused),
        Action(
            f"read back {c}", may_call, evolve(s, call=set_item(s.call, c, call_fence))
        ),
        Action(f"reboot {c}", And(s.call[c] > 0, fence_is_higher), reboot),
        Action(
            f"see up {c}", may_join, evolve(s, join=set_item(s.join, c, join_fence))
        ),
        Action(f"VmJoined {c}", joins, joined),
        Action(f"VmJoined with move {c}", joins, moved),
    ]
