"""Inductive invariant of the drain barrier under replacement.

A running request either is that of a member, or ends within a long deadline after the
last removal, for which the reboot waits.
"""

from z3 import And, Implies, Not, Or

from .members import DRAINING, LONG_DEADLINE_TICKS, NEW, OLD, PROCESSES, REBOOTING


def invariant(s):
    """Return the term that holds in every state of every run of the model."""
    return And(
        Implies(s.same_address, Not(s.alive[OLD])),
        s.seen_live[OLD],
        Or(
            s.successor_started,
            Not(Or(*(field[NEW] for field in _successor_fields(s)))),
        ),
        *(term for p in PROCESSES for term in _process_terms(s, p)),
    )


def _successor_fields(s):
    return (s.alive, s.member, s.seen_live, s.knows_member)


def _process_terms(s, p):
    sees_itself_member = And(s.alive[p], s.knows_member[p])
    ends_in_time = s.running[p] + s.since_removal <= LONG_DEADLINE_TICKS
    return [
        Implies(sees_itself_member, s.member[p]),
        Implies(And(s.alive[p], s.seen_live[p]), s.listed[p]),
        Implies(s.knows_drain[p], s.phase >= DRAINING),
        Implies(s.confirmed[p], And(s.knows_drain[p], s.running[p] == 0)),
        Implies(s.running[p] > 0, Or(s.member[p], ends_in_time)),
        Implies(And(s.phase == REBOOTING, sees_itself_member), s.knows_drain[p]),
        Implies(s.phase == REBOOTING, s.running[p] == 0),
    ]
