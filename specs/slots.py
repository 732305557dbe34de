"""Model of the token for the only slot of an endpoint, lent between entries.

A seat is a place for an entry, the process that sends requests to the endpoint; an
incarnation is one process in a seat. Seat 0, the home, owns the token and lends it to
the borrowers, seats 1 and 2. A seat runs a request only while it has the token.
Checked by bounded search, so not for longer runs: never more than one request runs
on the endpoint.

Assumptions:

- A message may arrive late, repeatedly or never.
- Each seat may crash once, at any time; its request keeps running on the endpoint.
- The next incarnation of a seat starts without any state. The replaced one is dead.
- A request runs for DEADLINE_TICKS at most.

Time is in ticks.
"""

import attrs
from attrs import evolve
from z3 import And, If, Not, Or, Sum

from .checker import (
    Action,
    bool_field,
    decrement,
    increment,
    int_field,
    make_state,
    Model,
    set_item,
)

DEADLINE_TICKS = 2
HOME = 0
BORROWERS = (1, 2)
SEATS = range(3)


@attrs.frozen
class Rules:
    """The rules of the protocol; each mutation test switches one off.

    return_home_only: a borrower returns the token to the home and does not pass it on
        to the other borrower.
    messages_carry_totals: a message carries totals, not changes, so that a repeated one
        has no effect.
    refuse_replaced: messages of replaced incarnations are refused.
    unlock_after_reports: a restarted home uses its token only once each borrower has
        reported whether it has it.
    unlock_after_deadline: a restarted home uses its token only when the requests of
        all former incarnations have passed their deadlines.
    reclaim_after_deadline: the home reclaims the token of a crashed borrower only when
        the borrower's request has passed its deadline.
    lend_idle: the home lends the token only while it runs no request.
    """

    return_home_only: bool = True
    messages_carry_totals: bool = True
    refuse_replaced: bool = True
    unlock_after_reports: bool = True
    unlock_after_deadline: bool = True
    reclaim_after_deadline: bool = True
    lend_idle: bool = True


@attrs.frozen
class State:
    """The state of each seat, the messages in flight, and the running requests.

    Fields with three items have one for each seat. ``running`` is the longest time in
    ticks that a seat's request may still run, ``orphaned`` that of a crashed seat.
    ``lent_to`` is the seat to which the home has lent the token, or 0. The home may
    use and lend the token while it is ``unlocked``. ``age`` is the time since the
    start of the seat's incarnation.

    Messages: ``lend_sent`` from the home to a borrower; ``return_sent`` from a borrower
    to the home; ``old_lend_sent`` and ``old_return_sent`` are those of a crashed
    sender; ``pass_sent`` from the other borrower; ``report_sent`` tells the home, once
    it has restarted, whether the borrower has the token (``report_held``) and the age
    of its incarnation (``report_age``, which includes the time since the report).

    ``knows_home`` tells whether a borrower knows the incarnation of the home,
    ``known_by_home`` whether the home knows that of the borrower. ``reclaiming`` is set
    while the home waits for the deadline of a crashed borrower that has the token,
    ``reclaim_age`` is the time that it has waited.
    """

    crashed = bool_field(3)
    has_token = bool_field(3)
    running = int_field(DEADLINE_TICKS, 3)
    orphaned = int_field(DEADLINE_TICKS)
    lent_to = int_field(2)
    unlocked = bool_field()
    age = int_field(DEADLINE_TICKS, 3)
    lend_sent = bool_field(3)
    old_lend_sent = bool_field(3)
    return_sent = bool_field(3)
    old_return_sent = bool_field(3)
    pass_sent = bool_field(3)
    knows_home = bool_field(3)
    known_by_home = bool_field(3)
    report_sent = bool_field(3)
    reported = bool_field(3)
    report_held = bool_field(3)
    report_age = int_field(DEADLINE_TICKS, 3)
    reclaiming = bool_field(3)
    reclaim_age = int_field(DEADLINE_TICKS, 3)


def slots(rules=None):
    """Return the model of the token under ``rules``, by default all of them."""
    rules = rules or Rules()
    all_true, full_age = (
        (True, True, True),
        (DEADLINE_TICKS, DEADLINE_TICKS, DEADLINE_TICKS),
    )
    start = make_state(
        State,
        has_token=(True, False, False),
        unlocked=True,
        age=full_age,
        knows_home=all_true,
        known_by_home=all_true,
        reported=all_true,
        report_age=full_age,
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
    return Sum(*(If(n > 0, 1, 0) for n in (*s.running, s.orphaned))) <= 1


def _seat_actions(s):
    ticked = evolve(
        s,
        running=tuple(decrement(item) for item in s.running),
        orphaned=decrement(s.orphaned),
        age=tuple(increment(item, DEADLINE_TICKS) for item in s.age),
        report_age=tuple(increment(item, DEADLINE_TICKS) for item in s.report_age),
        reclaim_age=tuple(increment(item, DEADLINE_TICKS) for item in s.reclaim_age),
    )
    run_actions = [
        Action(
            f"run {n}",
            And(s.has_token[n], s.running[n] == 0, s.unlocked if n == HOME else True),
            evolve(s, running=set_item(s.running, n, DEADLINE_TICKS)),
        )
        for n in SEATS
    ]
    return [Action("tick", True, ticked), *run_actions]


def _max_orphaned(s, n):
    return If(s.running[n] > s.orphaned, s.running[n], s.orphaned)


def _home_actions(rules, s):
    no_flags = (False, False, False)
    crashed = evolve(
        s,
        crashed=set_item(s.crashed, HOME, True),
        has_token=set_item(s.has_token, HOME, False),
        running=set_item(s.running, HOME, 0),
        orphaned=_max_orphaned(s, HOME),
        lent_to=0,
        unlocked=False,
        age=set_item(s.age, HOME, 0),
        lend_sent=no_flags,
        old_lend_sent=tuple(Or(s.old_lend_sent[n], s.lend_sent[n]) for n in SEATS),
        return_sent=no_flags,
        old_return_sent=no_flags,
        knows_home=no_flags,
        known_by_home=no_flags,
        report_sent=no_flags,
        reported=no_flags,
        reclaiming=no_flags,
    )
    all_reported = And(*(s.reported[b] for b in BORROWERS))
    deadline_over = And(
        s.age[HOME] == DEADLINE_TICKS,
        *(s.report_age[b] == DEADLINE_TICKS for b in BORROWERS),
    )
    may_unlock = And(
        Not(s.unlocked),
        all_reported if rules.unlock_after_reports else True,
        deadline_over if rules.unlock_after_deadline else True,
    )
    unlocked = evolve(
        s, unlocked=True, has_token=set_item(s.has_token, HOME, s.lent_to == 0)
    )
    return [
        Action("crash 0", Not(s.crashed[HOME]), crashed),
        Action("unlock", may_unlock, unlocked),
    ]


def _borrower_actions(rules, s, b):
    other = 3 - b
    home_idle = And(s.unlocked, s.has_token[HOME], s.running[HOME] == 0)
    idle = And(s.has_token[b], s.running[b] == 0)
    lendable = home_idle if rules.lend_idle else And(s.unlocked, s.has_token[HOME])
    repeatable = Not(rules.messages_carry_totals)
    lent = evolve(
        s,
        has_token=set_item(s.has_token, HOME, False),
        lent_to=b,
        lend_sent=set_item(s.lend_sent, b, True),
    )
    borrowed = evolve(
        s,
        has_token=set_item(s.has_token, b, True),
        lend_sent=set_item(s.lend_sent, b, And(repeatable, s.lend_sent[b])),
    )
    old_borrowed = evolve(
        s,
        has_token=set_item(s.has_token, b, True),
        old_lend_sent=set_item(s.old_lend_sent, b, False),
    )
    returned = evolve(
        s,
        has_token=set_item(s.has_token, b, False),
        return_sent=set_item(s.return_sent, b, True),
    )
    taken_back = evolve(
        s,
        has_token=set_item(s.has_token, HOME, s.unlocked),
        lent_to=0,
        return_sent=set_item(s.return_sent, b, False),
    )
    old_taken_back = evolve(
        taken_back,
        return_sent=s.return_sent,
        old_return_sent=set_item(s.old_return_sent, b, False),
    )
    passed_on = evolve(
        s,
        has_token=set_item(s.has_token, b, False),
        pass_sent=set_item(s.pass_sent, other, True),
    )
    taken_over = evolve(
        s,
        has_token=set_item(s.has_token, b, True),
        pass_sent=set_item(s.pass_sent, b, False),
    )
    pass_on = And(idle, not rules.return_home_only)
    may_borrow_old = Not(s.knows_home[b]) if rules.refuse_replaced else True
    return [
        Action(f"lend {b}", And(lendable, s.known_by_home[b], s.reported[b]), lent),
        Action(f"borrow {b}", And(s.lend_sent[b], s.knows_home[b]), borrowed),
        Action(
            f"borrow from replaced home {b}",
            And(s.old_lend_sent[b], may_borrow_old),
            old_borrowed,
        ),
        Action(f"return {b}", And(idle, s.knows_home[b]), returned),
        Action(f"take back {b}", And(s.return_sent[b], s.reported[b]), taken_back),
        Action(
            f"take back from replaced {b}",
            And(
                s.old_return_sent[b],
                s.reported[b],
                Or(Not(s.known_by_home[b]), not rules.refuse_replaced),
            ),
            old_taken_back,
        ),
        Action(f"pass on {b}", pass_on, passed_on),
        Action(f"take over {b}", s.pass_sent[b], taken_over),
        *_replacement_actions(rules, s, b),
    ]


def _replacement_actions(rules, s, b):
    crashed = evolve(
        s,
        crashed=set_item(s.crashed, b, True),
        has_token=set_item(s.has_token, b, False),
        running=set_item(s.running, b, 0),
        orphaned=_max_orphaned(s, b),
        age=set_item(s.age, b, 0),
        lend_sent=set_item(s.lend_sent, b, False),
        old_lend_sent=set_item(s.old_lend_sent, b, False),
        return_sent=set_item(s.return_sent, b, False),
        old_return_sent=set_item(
            s.old_return_sent, b, Or(s.return_sent[b], s.old_return_sent[b])
        ),
        pass_sent=set_item(s.pass_sent, b, False),
        knows_home=set_item(s.knows_home, b, False),
        known_by_home=set_item(s.known_by_home, b, False),
    )
    home_learned = evolve(
        s,
        knows_home=set_item(s.knows_home, b, True),
        old_lend_sent=set_item(
            s.old_lend_sent, b, And(s.old_lend_sent[b], not rules.refuse_replaced)
        ),
        report_sent=set_item(s.report_sent, b, True),
        report_held=set_item(s.report_held, b, s.has_token[b]),
        report_age=set_item(s.report_age, b, s.age[b]),
    )
    keeps_return = And(s.old_return_sent[b], not rules.refuse_replaced)
    report_received = evolve(
        s,
        known_by_home=set_item(s.known_by_home, b, s.knows_home[b]),
        old_return_sent=set_item(
            s.old_return_sent,
            b,
            And(s.old_return_sent[b], Or(keeps_return, Not(s.knows_home[b]))),
        ),
        reported=set_item(s.reported, b, True),
        lent_to=If(s.report_held[b], s.lent_to * 0 + b, s.lent_to),
    )
    borrower_learned = evolve(
        s,
        known_by_home=set_item(s.known_by_home, b, True),
        old_return_sent=set_item(s.old_return_sent, b, keeps_return),
        reclaiming=set_item(s.reclaiming, b, s.lent_to == b),
        reclaim_age=set_item(s.reclaim_age, b, 0),
    )
    waited = (
        s.reclaim_age[b] == DEADLINE_TICKS if rules.reclaim_after_deadline else True
    )
    reclaimed = evolve(
        s,
        has_token=set_item(s.has_token, HOME, s.unlocked),
        lent_to=0,
        reclaiming=set_item(s.reclaiming, b, False),
    )
    return [
        Action(f"crash {b}", Not(s.crashed[b]), crashed),
        Action(f"learn home {b}", Not(s.knows_home[b]), home_learned),
        Action(
            f"report {b}", And(s.report_sent[b], Not(s.reported[b])), report_received
        ),
        Action(
            f"learn borrower {b}",
            And(s.reported[b], Not(s.known_by_home[b])),
            borrower_learned,
        ),
        Action(f"reclaim {b}", And(s.reclaiming[b], waited), reclaimed),
    ]
