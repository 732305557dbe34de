"""Inductive invariant of the drain barrier.

Once a drain has started, each entry either knows of it, or has a view that is at least
as old as the drain or as a lease.
"""

from z3 import And, Implies, Not, Or

from .barrier import (
    DRAINING,
    ENTRIES,
    LEASE_TICKS,
    NOTICED,
    PAUSE_TICKS,
    REBOOTING,
    WAIT_TICKS,
)


def invariant(s):
    """Return the term that holds in every state of every run of the model."""
    return And(
        Not(s.sent_late), *(term for e in ENTRIES for term in _entry_terms(s, e))
    )


def _entry_terms(s, e):
    drain_started = Or(s.phase == DRAINING, s.phase == REBOOTING)
    same_batch = s.seen_batch[e] == s.batch
    knows_drain = And(
        same_batch, Or(*(s.seen_phase[e] == n for n in (DRAINING, REBOOTING)))
    )
    read_drain = And(s.read_batch[e] == s.batch, s.read_phase[e] != NOTICED)
    idle = And(s.running[e] == 0, s.checked[e] == 0)
    since_check = s.checked[e] - 1
    return [
        _not_newer(s, s.seen_batch[e], s.seen_phase[e]),
        _not_newer(s, s.read_batch[e], s.read_phase[e]),
        s.bound_batch[e] <= s.seen_batch[e],
        Or(s.ack[e] == 0, s.ack[e] <= s.bound_batch[e]),
        s.confirm[e] <= s.seen_batch[e],
        s.checked[e] <= PAUSE_TICKS + 1,
        Implies(s.acked[e], And(same_batch, s.bound_batch[e] == s.batch)),
        Implies(s.phase == NOTICED, s.confirm[e] < s.batch),
        Implies(s.phase == NOTICED, Not(s.confirmed[e])),
        Implies(drain_started, s.acked[e]),
        Implies(drain_started, Or(knows_drain, s.seen_phase[e] == NOTICED)),
        Implies(And(drain_started, s.confirmed[e]), And(knows_drain, idle)),
        Implies(And(drain_started, s.confirm[e] == s.batch), And(knows_drain, idle)),
        Implies(And(drain_started, Not(knows_drain)), _is_old(s, s.age[e])),
        Implies(And(drain_started, Not(read_drain)), _is_old(s, s.read_age[e])),
        Implies(
            And(drain_started, s.checked[e] > 0),
            s.since_drain - since_check < LEASE_TICKS,
        ),
        Implies(
            And(drain_started, s.running[e] > 0),
            s.since_drain + s.running[e] < WAIT_TICKS,
        ),
        Implies(s.phase == REBOOTING, Or(s.since_drain >= WAIT_TICKS, s.confirmed[e])),
    ]


def _is_old(s, age):
    return Or(age >= LEASE_TICKS, age >= s.since_drain)


def _not_newer(s, batch, phase):
    return Or(batch < s.batch, And(batch == s.batch, phase <= s.phase))
