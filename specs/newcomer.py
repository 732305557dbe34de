"""Drain barrier of one VM and a newcomer that starts while its peer has no log.

The sponsor is the last member that has to acknowledge. The newcomer is no member and
follows the sponsor's word by heartbeats that answer its pings. Time is in ticks.
"""

import attrs
from attrs import evolve
from z3 import And, Not, Or

from .checker import Action, blank, down, flag, level, Model, up

SERVING, NOTICED, DRAINING, REBOOTING = range(4)
DEADLINE, HOLD, PROOF = 2, 2, 1


@attrs.frozen
class Rules:
    """The rules of the protocol; a mutation drops one."""

    hold_acks: bool = True
    hold_for_deadline: bool = True
    hold_when_unlinked: bool = True
    proof_ages: bool = True
    newcomer_caught_up: bool = True
    outage_only: bool = True


@attrs.frozen
class State:
    """The log, the sponsor, its last heartbeat, the newcomer and its request."""

    phase = level(REBOOTING)
    acked = flag()
    confirmed = flag()
    seen = level(REBOOTING)
    stale = flag()
    since_regain = level(HOLD + DEADLINE)
    linked = flag()
    was_linked = flag()
    told_stale = flag()
    told_seen = level(REBOOTING)
    told_age = level(PROOF + 1)
    newcomer_seen = level(REBOOTING)
    running = level(DEADLINE)


def newcomer(rules=None):
    """Return the model of a start during an outage under the rules."""
    rules = rules or Rules()
    start = blank(State, since_regain=HOLD + DEADLINE, told_age=PROOF + 1)
    return Model(
        start,
        lambda s: _log_actions(s) + _sponsor_actions(rules, s) + _newcomer(rules, s),
        lambda s: Or(s.phase != REBOOTING, s.running == 0),
    )


def _log_actions(s):
    return [
        Action("BatchOpened", s.phase == SERVING, evolve(s, phase=NOTICED)),
        Action(
            "DrainStarted",
            And(s.phase == NOTICED, s.acked),
            evolve(s, phase=DRAINING),
        ),
        Action(
            "RebootOrdered",
            And(s.phase == DRAINING, s.confirmed),
            evolve(s, phase=REBOOTING),
        ),
    ]


def _sponsor_actions(rules, s):
    regained = evolve(s, stale=False, since_regain=0, seen=s.phase)
    linked = s.was_linked if rules.hold_when_unlinked else s.linked
    long_hold = And(linked, rules.hold_for_deadline)
    held = Or(
        And(s.since_regain < HOLD, rules.hold_acks),
        And(s.since_regain < HOLD + DEADLINE, long_hold, rules.hold_acks),
    )
    fresh = Not(s.stale)
    hold_runs = s.since_regain < HOLD + DEADLINE
    met = Or(s.linked, And(s.was_linked, hold_runs))
    return [
        Action("lose the lease", fresh, evolve(s, stale=True, was_linked=met)),
        Action("regain the lease", s.stale, regained),
        Action("read", fresh, evolve(s, seen=s.phase)),
        Action(
            "BatchAcked",
            And(fresh, s.seen == NOTICED, Not(held)),
            evolve(s, acked=True),
        ),
        Action(
            "DrainConfirmed",
            And(fresh, s.seen == DRAINING),
            evolve(s, confirmed=True),
        ),
    ]


def _newcomer(rules, s):
    told = evolve(s, told_stale=s.stale, told_seen=s.seen, told_age=0)
    caught_up = s.newcomer_seen >= s.told_seen if rules.newcomer_caught_up else True
    proof = And(s.told_stale if rules.outage_only else True, s.told_age <= PROOF)
    ticked = evolve(
        s,
        since_regain=up(s.since_regain, HOLD + DEADLINE),
        told_age=up(s.told_age, PROOF + 1) if rules.proof_ages else s.told_age,
        running=down(s.running),
    )
    return [
        Action("tick", True, ticked),
        Action("link", True, evolve(s, linked=True, was_linked=True)),
        Action("unlink", s.linked, evolve(s, linked=False)),
        Action("heartbeat", s.linked, told),
        Action("pull records", s.linked, evolve(s, newcomer_seen=s.seen)),
        Action(
            "send",
            And(proof, caught_up, s.newcomer_seen == SERVING),
            evolve(s, running=DEADLINE),
        ),
    ]
