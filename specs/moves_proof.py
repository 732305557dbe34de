"""Inductive invariant of a VM's move.

While a VM serves, its last order was carried out, so no call's fence is higher.
"""

from z3 import And, Implies, Not, Or

from .moves import CONTROLS, DRAINING, REBOOTING, SERVING


def invariant(s):
    """Return the term that holds in every state of every run."""
    current = s.seen_batch == s.batch
    stopping = Or(s.phase == DRAINING, s.phase == REBOOTING)
    knows = And(current, s.seen_phase != SERVING)
    return And(
        Not(s.crossed),
        s.order <= s.tail,
        s.fence <= s.order,
        s.listed_fence <= s.fence,
        s.seen_batch <= s.batch,
        Implies(s.phase != REBOOTING, And(s.fence == s.order, Not(s.down))),
        Implies(And(s.listed_up, s.listed_fence == s.fence), Not(s.down)),
        Implies(And(stopping, current), s.seen_phase != SERVING),
        Implies(And(stopping, s.confirmed), knows),
        Implies(s.phase == REBOOTING, And(s.confirmed, s.order > 0)),
        Implies(s.seen_phase == SERVING, Or(s.seen_pool == s.pool, stopping)),
        Implies(And(stopping, s.seen_phase == SERVING), s.seen_pool == s.pool),
        *(term for c in CONTROLS for term in _control_facts(s, c)),
    )


def _control_facts(s, c):
    return [
        s.call[c] <= s.order,
        s.join[c] <= s.fence,
        Implies(And(s.join[c] > 0, s.join[c] == s.fence), Not(s.down)),
    ]
