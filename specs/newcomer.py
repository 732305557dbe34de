"""Model of the drain barrier of one VM with a newcomer that starts without the log.

The newcomer is an entry that starts during an outage of the log, so that it cannot
become a member. It relies on the heartbeats of a member, its sponsor: while they tell
that the sponsor cannot reach the log either, the sponsor acknowledges no drain, and
the newcomer may send. Proved: no request of the newcomer is running when the reboot
is ordered.

Assumptions:

- The sponsor is the last member that has to acknowledge.
- Heartbeats reply to pings of the newcomer, so that their age is known.
- A request runs for DEADLINE_TICKS at most.

Time is in ticks.
"""

import attrs
from attrs import evolve
from z3 import And, Not, Or

from .checker import (
    Action,
    bool_field,
    decrement,
    increment,
    int_field,
    make_state,
    Model,
)

SERVING, NOTICED, DRAINING, REBOOTING = range(4)
DEADLINE_TICKS, HOLD_TICKS, PROOF_TICKS = 2, 2, 1


@attrs.frozen
class Rules:
    """The rules of the protocol; each mutation test switches one off.

    hold_acks: a sponsor that regains its lease on the log acknowledges nothing for
        HOLD_TICKS.
    hold_for_deadline: it does so for DEADLINE_TICKS more if a newcomer is linked.
    hold_when_unlinked: a newcomer that was linked counts as well.
    proof_ages: a heartbeat proves an outage for PROOF_TICKS only.
    newcomer_caught_up: the newcomer sends only once it has all records that its
        sponsor had at the heartbeat.
    outage_only: the newcomer sends only if its sponsor has lost its lease.
    """

    hold_acks: bool = True
    hold_for_deadline: bool = True
    hold_when_unlinked: bool = True
    proof_ages: bool = True
    newcomer_caught_up: bool = True
    outage_only: bool = True


@attrs.frozen
class State:
    """The log, the sponsor, its last heartbeat, the newcomer and its request.

    ``phase`` to ``confirmed`` are the folded log. ``sponsor_seen`` is the sponsor's
    view of the phase; ``sponsor_stale`` tells that it has lost its lease, and
    ``since_regain`` counts the ticks since it got it back. ``linked`` tells whether the
    newcomer has a connection to the sponsor, ``was_linked`` whether it had one that
    still counts for the hold. ``heartbeat_*`` are the contents of the last heartbeat
    and its age in ticks. ``running`` is the longest time in ticks that the newcomer's
    request may still run.
    """

    phase = int_field(REBOOTING)
    acked = bool_field()
    confirmed = bool_field()
    sponsor_seen = int_field(REBOOTING)
    sponsor_stale = bool_field()
    since_regain = int_field(HOLD_TICKS + DEADLINE_TICKS)
    linked = bool_field()
    was_linked = bool_field()
    heartbeat_stale = bool_field()
    heartbeat_seen = int_field(REBOOTING)
    heartbeat_age = int_field(PROOF_TICKS + 1)
    newcomer_seen = int_field(REBOOTING)
    running = int_field(DEADLINE_TICKS)


def newcomer(rules=None):
    """Return the model of the start under ``rules``, by default all of them."""
    rules = rules or Rules()
    start = make_state(
        State, since_regain=HOLD_TICKS + DEADLINE_TICKS, heartbeat_age=PROOF_TICKS + 1
    )
    return Model(
        start,
        lambda s: (
            _log_actions(s) + _sponsor_actions(rules, s) + _newcomer_actions(rules, s)
        ),
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
    regained = evolve(s, sponsor_stale=False, since_regain=0, sponsor_seen=s.phase)
    linked = s.was_linked if rules.hold_when_unlinked else s.linked
    hold_deadline_too = And(linked, rules.hold_for_deadline)
    acks_held = Or(
        And(s.since_regain < HOLD_TICKS, rules.hold_acks),
        And(
            s.since_regain < HOLD_TICKS + DEADLINE_TICKS,
            hold_deadline_too,
            rules.hold_acks,
        ),
    )
    fresh = Not(s.sponsor_stale)
    within_hold = s.since_regain < HOLD_TICKS + DEADLINE_TICKS
    linked_lately = Or(s.linked, And(s.was_linked, within_hold))
    return [
        Action(
            "lose the lease",
            fresh,
            evolve(s, sponsor_stale=True, was_linked=linked_lately),
        ),
        Action("regain the lease", s.sponsor_stale, regained),
        Action("read", fresh, evolve(s, sponsor_seen=s.phase)),
        Action(
            "BatchAcked",
            And(fresh, s.sponsor_seen == NOTICED, Not(acks_held)),
            evolve(s, acked=True),
        ),
        Action(
            "DrainConfirmed",
            And(fresh, s.sponsor_seen == DRAINING),
            evolve(s, confirmed=True),
        ),
    ]


def _newcomer_actions(rules, s):
    heartbeat_received = evolve(
        s,
        heartbeat_stale=s.sponsor_stale,
        heartbeat_seen=s.sponsor_seen,
        heartbeat_age=0,
    )
    caught_up = (
        s.newcomer_seen >= s.heartbeat_seen if rules.newcomer_caught_up else True
    )
    outage_proved = And(
        s.heartbeat_stale if rules.outage_only else True, s.heartbeat_age <= PROOF_TICKS
    )
    ticked = evolve(
        s,
        since_regain=increment(s.since_regain, HOLD_TICKS + DEADLINE_TICKS),
        heartbeat_age=increment(s.heartbeat_age, PROOF_TICKS + 1)
        if rules.proof_ages
        else s.heartbeat_age,
        running=decrement(s.running),
    )
    return [
        Action("tick", True, ticked),
        Action("link", True, evolve(s, linked=True, was_linked=True)),
        Action("unlink", s.linked, evolve(s, linked=False)),
        Action("heartbeat", s.linked, heartbeat_received),
        Action("pull records", s.linked, evolve(s, newcomer_seen=s.sponsor_seen)),
        Action(
            "send",
            And(outage_proved, caught_up, s.newcomer_seen == SERVING),
            evolve(s, running=DEADLINE_TICKS),
        ),
    ]
