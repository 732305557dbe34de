"""Inductive invariant of the drain barrier under replacement.

A request runs for a member, or ends before a reboot after the last removal.
"""

from z3 import And, Implies, Not, Or

from .members import DRAINING, LONG_DEADLINE, NEW, OLD, PROCESSES, REBOOTING


def invariant(s):
    """Return the term that holds in every state of every run."""
    return And(
        Implies(s.same_address, Not(s.alive[OLD])),
        s.seen_live[OLD],
        Or(s.started, Not(Or(*(field[NEW] for field in _fields_of_started(s))))),
        *(term for p in PROCESSES for term in _facts(s, p)),
    )


def _fields_of_started(s):
    return (s.alive, s.member, s.seen_live, s.knows_member)


def _facts(s, p):
    believes = And(s.alive[p], s.knows_member[p])
    ends_in_time = s.running[p] + s.since_removal <= LONG_DEADLINE
    return [
        Implies(believes, s.member[p]),
        Implies(And(s.alive[p], s.seen_live[p]), s.listed[p]),
        Implies(s.knows_drain[p], s.phase >= DRAINING),
        Implies(s.confirmed[p], And(s.knows_drain[p], s.running[p] == 0)),
        Implies(s.running[p] > 0, Or(s.member[p], ends_in_time)),
        Implies(And(s.phase == REBOOTING, believes), s.knows_drain[p]),
        Implies(s.phase == REBOOTING, s.running[p] == 0),
    ]
