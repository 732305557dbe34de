"""Inductive invariant of a start during an outage.

While the newcomer may send, its sponsor has not acknowledged a batch of which the
newcomer does not know.
"""

from z3 import And, Implies, Not

from .newcomer import DEADLINE_TICKS, DRAINING, NOTICED, PROOF_TICKS, SERVING


def invariant(s):
    """Return the term that holds in every state of every run of the model."""
    accepts_heartbeat = And(s.heartbeat_stale, s.heartbeat_age <= PROOF_TICKS)
    may_send = And(
        accepts_heartbeat,
        s.newcomer_seen >= s.heartbeat_seen,
        s.newcomer_seen == SERVING,
    )
    regained_after_heartbeat = s.since_regain <= s.heartbeat_age
    ends_in_time = s.since_regain + s.running <= PROOF_TICKS + DEADLINE_TICKS
    return And(
        s.sponsor_seen <= s.phase,
        s.newcomer_seen <= s.sponsor_seen,
        s.heartbeat_seen <= s.sponsor_seen,
        Implies(s.linked, s.was_linked),
        Implies(s.phase >= DRAINING, s.acked),
        Implies(s.acked, s.sponsor_seen >= NOTICED),
        Implies(may_send, And(s.was_linked, Not(s.acked))),
        Implies(And(may_send, Not(s.sponsor_stale)), regained_after_heartbeat),
        Implies(s.running > 0, And(s.was_linked, Not(s.acked))),
        Implies(And(s.running > 0, Not(s.sponsor_stale)), ends_in_time),
    )
