"""Inductive invariant of a VM's move.

While a VM serves, the platform has carried out its last order, so that no call has a
higher fence than the platform has seen.
"""

from z3 import And, Implies, Not, Or

from .moves import CONTROLS, DRAINING, REBOOTING, SERVING


def invariant(s):
    """Return the term that holds in every state of every run of the model."""
    same_batch = s.seen_batch == s.batch
    drain_started = Or(s.phase == DRAINING, s.phase == REBOOTING)
    knows_drain = And(same_batch, s.seen_phase != SERVING)
    return And(
        Not(s.sent_to_wrong_pool),
        s.order <= s.tail,
        s.fence <= s.order,
        s.listed_fence <= s.fence,
        s.seen_batch <= s.batch,
        Implies(s.phase != REBOOTING, And(s.fence == s.order, Not(s.vm_down))),
        Implies(And(s.listed_up, s.listed_fence == s.fence), Not(s.vm_down)),
        Implies(And(drain_started, same_batch), s.seen_phase != SERVING),
        Implies(And(drain_started, s.confirmed), knows_drain),
        Implies(s.phase == REBOOTING, And(s.confirmed, s.order > 0)),
        Implies(s.seen_phase == SERVING, Or(s.seen_pool == s.pool, drain_started)),
        Implies(And(drain_started, s.seen_phase == SERVING), s.seen_pool == s.pool),
        *(term for c in CONTROLS for term in _control_terms(s, c)),
    )


def _control_terms(s, c):
    return [
        s.call[c] <= s.order,
        s.join[c] <= s.fence,
        Implies(And(s.join[c] > 0, s.join[c] == s.fence), Not(s.vm_down)),
    ]
