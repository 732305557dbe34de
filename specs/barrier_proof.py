"""Inductive invariant of the drain barrier.

Once a drain has started, an entry knows of it, or its view is as old as the drain.
"""

from z3 import And, Implies, Not, Or

from .barrier import (
    DRAINING,
    ENTRIES,
    LEASE,
    NOTICED,
    PAUSE,
    REBOOTING,
    WAIT,
)


def invariant(s):
    """Return the term that holds in every state of every run."""
    return And(Not(s.late), *(term for e in ENTRIES for term in _facts(s, e)))


def _facts(s, e):
    stopping = Or(s.phase == DRAINING, s.phase == REBOOTING)
    current = s.seen_batch[e] == s.batch
    knows = And(current, Or(*(s.seen_phase[e] == n for n in (DRAINING, REBOOTING))))
    told = And(s.read_batch[e] == s.batch, s.read_phase[e] != NOTICED)
    quiet = And(s.running[e] == 0, s.checked[e] == 0)
    since_check = s.checked[e] - 1
    return [
        _not_after(s, s.seen_batch[e], s.seen_phase[e]),
        _not_after(s, s.read_batch[e], s.read_phase[e]),
        s.bound[e] <= s.seen_batch[e],
        Or(s.ack[e] == 0, s.ack[e] <= s.bound[e]),
        s.confirm[e] <= s.seen_batch[e],
        s.checked[e] <= PAUSE + 1,
        Implies(s.acked[e], And(current, s.bound[e] == s.batch)),
        Implies(s.phase == NOTICED, s.confirm[e] < s.batch),
        Implies(s.phase == NOTICED, Not(s.confirmed[e])),
        Implies(stopping, s.acked[e]),
        Implies(stopping, Or(knows, s.seen_phase[e] == NOTICED)),
        Implies(And(stopping, s.confirmed[e]), And(knows, quiet)),
        Implies(And(stopping, s.confirm[e] == s.batch), And(knows, quiet)),
        Implies(And(stopping, Not(knows)), _old(s, s.age[e])),
        Implies(And(stopping, Not(told)), _old(s, s.read_age[e])),
        Implies(And(stopping, s.checked[e] > 0), s.since_drain - since_check < LEASE),
        Implies(And(stopping, s.running[e] > 0), s.since_drain + s.running[e] < WAIT),
        Implies(s.phase == REBOOTING, Or(s.since_drain >= WAIT, s.confirmed[e])),
    ]


def _old(s, age):
    return Or(age >= LEASE, age >= s.since_drain)


def _not_after(s, batch, phase):
    return Or(batch < s.batch, And(batch == s.batch, phase <= s.phase))
