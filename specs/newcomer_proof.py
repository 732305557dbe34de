"""Inductive invariant of a start during an outage.

While the newcomer may send, its sponsor has not acknowledged a batch that it lacks.
"""

from z3 import And, Implies, Not

from .newcomer import DEADLINE, DRAINING, NOTICED, PROOF, SERVING


def invariant(s):
    """Return the term that holds in every state of every run."""
    trusts = And(s.told_stale, s.told_age <= PROOF)
    unaware = And(trusts, s.newcomer_seen >= s.told_seen, s.newcomer_seen == SERVING)
    soon = s.since_regain <= s.told_age
    ends = s.since_regain + s.running <= PROOF + DEADLINE
    return And(
        s.seen <= s.phase,
        s.newcomer_seen <= s.seen,
        s.told_seen <= s.seen,
        Implies(s.linked, s.was_linked),
        Implies(s.phase >= DRAINING, s.acked),
        Implies(s.acked, s.seen >= NOTICED),
        Implies(unaware, And(s.was_linked, Not(s.acked))),
        Implies(And(unaware, Not(s.stale)), soon),
        Implies(s.running > 0, And(s.was_linked, Not(s.acked))),
        Implies(And(s.running > 0, Not(s.stale)), ends),
    )
