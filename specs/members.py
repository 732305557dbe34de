"""Drain barrier of one VM while the entry of a seat is replaced.

Process 0 holds the seat; process 1 is its successor, at the same address or at
another one. Members acknowledge and confirm; acknowledgement, freshness and lost
answers are the matter of ``barrier``. The platform's list lags in both directions
but shows no live VM as ended once it has shown it. Time is in ticks.
"""

import attrs
from attrs import evolve
from z3 import And, If, Not, Or

from .checker import Action, blank, down, flag, level, Model, put, up

NOTICED, DRAINING, REBOOTING = range(3)
LONG_DEADLINE, SHORT_DEADLINE = 3, 1
OLD, NEW = PROCESSES = range(2)


@attrs.frozen
class Rules:
    """The rules of the protocol; a mutation drops one."""

    send_after_join_read: bool = True
    replace_at_same_address: bool = True
    gone_when_seen_before: bool = True
    confirm_by_all: bool = True
    wait_after_removal: bool = True
    longest_of_all_bundles: bool = True


@attrs.frozen
class State:
    """The folded log, the platform, then per process its knowledge and request."""

    phase = level(REBOOTING)
    lowered = flag()
    since_removal = level(LONG_DEADLINE)
    same_address = flag()
    started = flag()
    member = flag(2)
    acked = flag(2)
    confirmed = flag(2)
    alive = flag(2)
    listed = flag(2)
    seen_live = flag(2)
    knows_member = flag(2)
    knows_drain = flag(2)
    knows_lowered = flag(2)
    running = level(LONG_DEADLINE, 2)


def members(rules=None):
    """Return the model of replacement during a drain under the rules."""
    rules = rules or Rules()
    old = (True, False)
    start = blank(
        State,
        since_removal=LONG_DEADLINE,
        member=old,
        alive=old,
        listed=old,
        seen_live=old,
        knows_member=old,
    )
    return Model(
        start,
        lambda s: (
            _log_actions(rules, s)
            + [action for p in PROCESSES for action in _process_actions(rules, s, p)]
        ),
        _safe,
    )


def _safe(s):
    return Or(s.phase != REBOOTING, And(*(item == 0 for item in s.running)))


def _log_actions(rules, s):
    acked = And(*(Or(Not(s.member[p]), s.acked[p]) for p in PROCESSES))
    confirmed = And(*(Or(Not(s.member[p]), s.confirmed[p]) for p in PROCESSES))
    ready = And(
        s.phase == DRAINING,
        confirmed if rules.confirm_by_all else True,
        _waited(rules, s) if rules.wait_after_removal else True,
    )
    ticked = evolve(
        s,
        since_removal=up(s.since_removal, LONG_DEADLINE),
        running=tuple(down(item) for item in s.running),
    )
    started = evolve(s, started=True, alive=put(s.alive, NEW, True))
    same = evolve(started, same_address=True)
    return [
        Action("BundleRolled", True, evolve(s, lowered=True)),
        Action(
            "DrainStarted",
            And(s.phase == NOTICED, acked),
            evolve(s, phase=DRAINING),
        ),
        Action("RebootOrdered", ready, evolve(s, phase=REBOOTING)),
        Action("MemberJoined", And(s.alive[NEW], Not(s.member[NEW])), _join(rules, s)),
        Action("start at the address", And(Not(s.started), Not(s.alive[OLD])), same),
        Action("start elsewhere", Not(s.started), started),
        Action("tick", True, ticked),
    ]


def _waited(rules, s):
    short = And(s.lowered, s.since_removal >= SHORT_DEADLINE)
    waited = s.since_removal >= LONG_DEADLINE
    return waited if rules.longest_of_all_bundles else Or(waited, short)


def _join(rules, s):
    replaces = s.same_address if rules.replace_at_same_address else True
    removed = And(s.member[OLD], replaces)
    return evolve(
        s,
        member=(And(s.member[OLD], Not(removed)), True),
        since_removal=If(removed, 0, s.since_removal),
    )


def _process_actions(rules, s, p):
    absent = And(Not(s.listed[p]), Or(s.seen_live[p], not rules.gone_when_seen_before))
    gone = evolve(s, member=put(s.member, p, False), since_removal=0)
    listing = evolve(
        s,
        listed=put(s.listed, p, s.alive[p]),
        seen_live=put(s.seen_live, p, Or(s.seen_live[p], s.alive[p])),
    )
    reading = evolve(
        s,
        knows_member=put(s.knows_member, p, s.member[p]),
        knows_drain=put(s.knows_drain, p, s.phase >= DRAINING),
        knows_lowered=put(s.knows_lowered, p, s.lowered),
    )
    placed = s.knows_member[p] if rules.send_after_join_read else True
    idle = And(s.knows_drain[p], s.running[p] == 0)
    counted = And(s.alive[p], s.knows_member[p], s.member[p])
    sending = And(s.alive[p], placed, Not(s.knows_drain[p]))
    return [
        Action(f"die {p}", s.alive[p], evolve(s, alive=put(s.alive, p, False))),
        Action(f"list {p}", True, listing),
        Action(f"MemberGone {p}", And(s.member[p], absent), gone),
        Action(f"read {p}", s.alive[p], reading),
        Action(f"BatchAcked {p}", counted, evolve(s, acked=put(s.acked, p, True))),
        Action(
            f"DrainConfirmed {p}",
            And(counted, idle),
            evolve(s, confirmed=put(s.confirmed, p, True)),
        ),
        Action(
            f"send {p}",
            And(sending, Not(s.knows_lowered[p])),
            evolve(s, running=put(s.running, p, LONG_DEADLINE)),
        ),
        Action(
            f"send short {p}",
            And(sending, s.knows_lowered[p]),
            evolve(s, running=put(s.running, p, SHORT_DEADLINE)),
        ),
        Action(
            f"answer {p}",
            s.running[p] > 0,
            evolve(s, running=put(s.running, p, 0)),
        ),
    ]
