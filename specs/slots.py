"""The token of an endpoint with one slot: its home, two borrowers, replacements.

Seat 0 is the home, seats 1 and 2 borrow. A message may be late, repeated or lost. Each
seat may crash once, at any time, with its request still running on the endpoint; its
next incarnation starts with nothing. A replaced incarnation is dead. Time is in ticks.
"""

import attrs
from attrs import evolve
from z3 import And, If, Not, Or, Sum

from .checker import Action, blank, down, flag, level, Model, put, up

DEADLINE = 2
HOME = 0
BORROWERS = (1, 2)
SEATS = range(3)


@attrs.frozen
class Rules:
    """The rules of the protocol; a mutation drops one."""

    return_home_only: bool = True
    totals: bool = True
    refuse_replaced: bool = True
    unlock_after_reports: bool = True
    unlock_after_deadline: bool = True
    reclaim_after_deadline: bool = True
    lend_idle: bool = True


@attrs.frozen
class State:
    """What each seat holds, the messages between them, and the running requests.

    Fields of three are by seat; ``lent`` is the seat that the home has lent to or 0.
    ``lend`` and ``back`` are messages; ``old_lend`` and ``old_back`` those of a sender
    that has crashed.
    ``met`` tells whether a borrower knows the home's incarnation, ``known`` whether
    the home knows the borrower's.
    """

    crashed = flag(3)
    has = flag(3)
    running = level(DEADLINE, 3)
    left_over = level(DEADLINE)
    lent = level(2)
    unlocked = flag()
    age = level(DEADLINE, 3)
    lend = flag(3)
    old_lend = flag(3)
    back = flag(3)
    old_back = flag(3)
    passed = flag(3)
    met = flag(3)
    known = flag(3)
    reporting = flag(3)
    reported = flag(3)
    report_held = flag(3)
    report_age = level(DEADLINE, 3)
    reclaim = flag(3)
    reclaim_age = level(DEADLINE, 3)


def slots(rules=None):
    """Return the model of the token under the rules."""
    rules = rules or Rules()
    every, old = (True, True, True), (DEADLINE, DEADLINE, DEADLINE)
    start = blank(
        State,
        has=(True, False, False),
        unlocked=True,
        age=old,
        met=every,
        known=every,
        reported=every,
        report_age=old,
    )
    return Model(
        start,
        lambda s: (
            _seat_actions(s)
            + _home_actions(rules, s)
            + [action for b in BORROWERS for action in _borrower_actions(rules, s, b)]
        ),
        _safe,
    )


def _safe(s):
    return Sum(*(If(n > 0, 1, 0) for n in (*s.running, s.left_over))) <= 1


def _seat_actions(s):
    ticked = evolve(
        s,
        running=tuple(down(item) for item in s.running),
        left_over=down(s.left_over),
        age=tuple(up(item, DEADLINE) for item in s.age),
        report_age=tuple(up(item, DEADLINE) for item in s.report_age),
        reclaim_age=tuple(up(item, DEADLINE) for item in s.reclaim_age),
    )
    runs = [
        Action(
            f"run {n}",
            And(s.has[n], s.running[n] == 0, s.unlocked if n == HOME else True),
            evolve(s, running=put(s.running, n, DEADLINE)),
        )
        for n in SEATS
    ]
    return [Action("tick", True, ticked), *runs]


def _left_over(s, n):
    return If(s.running[n] > s.left_over, s.running[n], s.left_over)


def _home_actions(rules, s):
    none = (False, False, False)
    crashed = evolve(
        s,
        crashed=put(s.crashed, HOME, True),
        has=put(s.has, HOME, False),
        running=put(s.running, HOME, 0),
        left_over=_left_over(s, HOME),
        lent=0,
        unlocked=False,
        age=put(s.age, HOME, 0),
        lend=none,
        old_lend=tuple(Or(s.old_lend[n], s.lend[n]) for n in SEATS),
        back=none,
        old_back=none,
        met=none,
        known=none,
        reporting=none,
        reported=none,
        reclaim=none,
    )
    reports = And(*(s.reported[b] for b in BORROWERS))
    aged = And(
        s.age[HOME] == DEADLINE, *(s.report_age[b] == DEADLINE for b in BORROWERS)
    )
    unlock = And(
        Not(s.unlocked),
        reports if rules.unlock_after_reports else True,
        aged if rules.unlock_after_deadline else True,
    )
    unlocked = evolve(s, unlocked=True, has=put(s.has, HOME, s.lent == 0))
    return [
        Action("crash 0", Not(s.crashed[HOME]), crashed),
        Action("unlock", unlock, unlocked),
    ]


def _borrower_actions(rules, s, b):
    other = 3 - b
    home_idle = And(s.unlocked, s.has[HOME], s.running[HOME] == 0)
    idle = And(s.has[b], s.running[b] == 0)
    lendable = home_idle if rules.lend_idle else And(s.unlocked, s.has[HOME])
    kept = Not(rules.totals)
    lent = evolve(s, has=put(s.has, HOME, False), lent=b, lend=put(s.lend, b, True))
    borrowed = evolve(
        s, has=put(s.has, b, True), lend=put(s.lend, b, And(kept, s.lend[b]))
    )
    old_borrowed = evolve(
        s, has=put(s.has, b, True), old_lend=put(s.old_lend, b, False)
    )
    returned = evolve(s, has=put(s.has, b, False), back=put(s.back, b, True))
    home = evolve(
        s, has=put(s.has, HOME, s.unlocked), lent=0, back=put(s.back, b, False)
    )
    old_home = evolve(home, back=s.back, old_back=put(s.old_back, b, False))
    passed = evolve(s, has=put(s.has, b, False), passed=put(s.passed, other, True))
    taken = evolve(s, has=put(s.has, b, True), passed=put(s.passed, b, False))
    pass_on = And(idle, not rules.return_home_only)
    stale = Not(s.met[b]) if rules.refuse_replaced else True
    return [
        Action(f"lend {b}", And(lendable, s.known[b], s.reported[b]), lent),
        Action(f"borrow {b}", And(s.lend[b], s.met[b]), borrowed),
        Action(
            f"borrow from the replaced {b}", And(s.old_lend[b], stale), old_borrowed
        ),
        Action(f"return {b}", And(idle, s.met[b]), returned),
        Action(f"take back {b}", And(s.back[b], s.reported[b]), home),
        Action(
            f"take back from the replaced {b}",
            And(
                s.old_back[b],
                s.reported[b],
                Or(Not(s.known[b]), not rules.refuse_replaced),
            ),
            old_home,
        ),
        Action(f"pass on {b}", pass_on, passed),
        Action(f"take over {b}", s.passed[b], taken),
        *_replacement_actions(rules, s, b),
    ]


def _replacement_actions(rules, s, b):
    crashed = evolve(
        s,
        crashed=put(s.crashed, b, True),
        has=put(s.has, b, False),
        running=put(s.running, b, 0),
        left_over=_left_over(s, b),
        age=put(s.age, b, 0),
        lend=put(s.lend, b, False),
        old_lend=put(s.old_lend, b, False),
        back=put(s.back, b, False),
        old_back=put(s.old_back, b, Or(s.back[b], s.old_back[b])),
        passed=put(s.passed, b, False),
        met=put(s.met, b, False),
        known=put(s.known, b, False),
    )
    meets = evolve(
        s,
        met=put(s.met, b, True),
        old_lend=put(s.old_lend, b, And(s.old_lend[b], not rules.refuse_replaced)),
        reporting=put(s.reporting, b, True),
        report_held=put(s.report_held, b, s.has[b]),
        report_age=put(s.report_age, b, s.age[b]),
    )
    kept_back = And(s.old_back[b], not rules.refuse_replaced)
    hears = evolve(
        s,
        known=put(s.known, b, s.met[b]),
        old_back=put(s.old_back, b, And(s.old_back[b], Or(kept_back, Not(s.met[b])))),
        reported=put(s.reported, b, True),
        lent=If(s.report_held[b], s.lent * 0 + b, s.lent),
    )
    learns = evolve(
        s,
        known=put(s.known, b, True),
        old_back=put(s.old_back, b, kept_back),
        reclaim=put(s.reclaim, b, s.lent == b),
        reclaim_age=put(s.reclaim_age, b, 0),
    )
    waited = s.reclaim_age[b] == DEADLINE if rules.reclaim_after_deadline else True
    reclaimed = evolve(
        s,
        has=put(s.has, HOME, s.unlocked),
        lent=0,
        reclaim=put(s.reclaim, b, False),
    )
    return [
        Action(f"crash {b}", Not(s.crashed[b]), crashed),
        Action(f"meet home {b}", Not(s.met[b]), meets),
        Action(f"report {b}", And(s.reporting[b], Not(s.reported[b])), hears),
        Action(f"learn {b}", And(s.reported[b], Not(s.known[b])), learns),
        Action(f"reclaim {b}", And(s.reclaim[b], waited), reclaimed),
    ]
