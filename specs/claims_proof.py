"""Inductive invariant of the claims.

In the newcomer's fold, the key is either free, because there was no claim since the
newcomer started, or held by a claim that the full readers refused, or held by the same
claim as in their fold.
"""

from itertools import permutations

from z3 import And, Implies, Not, Or

from .claims import (
    DEADLINE_TICKS,
    IDLE,
    MEMORY_TICKS,
    NEWCOMER,
    NOT_RUN,
    PENDING,
    REQUESTS,
    RUN,
)


def invariant(s):
    """Return the term that holds in every state of every run of the model."""
    ran_recently = s.since_run < MEMORY_TICKS - DEADLINE_TICKS
    return And(
        Not(s.ran_twice),
        Not(s.false_not_run),
        s.holder <= s.tail,
        s.newcomer_holder <= s.tail,
        s.newcomer_since_claim == s.since_claim,
        Or(s.newcomer_started, And(s.newcomer_holder == 0, s.reading_ticks == 0)),
        Implies(
            s.newcomer_holder == 0, Or(s.holder == 0, s.since_claim >= s.reading_ticks)
        ),
        Implies(
            ran_recently,
            And(s.holder > 0, s.since_claim <= s.since_run + DEADLINE_TICKS),
        ),
        *(term for r in REQUESTS for term in _request_terms(s, r, ran_recently)),
        *(_distinct_claims(s, r, q) for r, q in permutations(REQUESTS, 2)),
    )


def _request_terms(s, r, ran_recently):
    may_run = And(s.status[r] == PENDING, s.won[r] > 0, s.time_left[r] > 0)
    not_running = Or(*(s.status[r] == n for n in (IDLE, PENDING, NOT_RUN)))
    ready = s.reading_ticks == MEMORY_TICKS if r == NEWCOMER else True
    return [
        s.won[r] <= s.tail,
        s.release[r] <= s.tail,
        Or(s.status[r] == IDLE, ready),
        Implies(s.status[r] == IDLE, s.won[r] == 0),
        Or(s.release[r] == 0, s.status[r] > RUN),
        Implies(
            may_run,
            And(s.holder == s.won[r], s.since_claim + s.time_left[r] <= DEADLINE_TICKS),
        ),
        Implies(ran_recently, Or(s.release[r] == 0, s.release[r] != s.holder)),
        Implies(
            And(ran_recently, not_running), Or(s.won[r] == 0, s.won[r] != s.holder)
        ),
        *(_folds_agree(s, claim) for claim in (s.won[r], s.release[r])),
    ]


def _folds_agree(s, claim):
    return Implies(And(claim > 0, claim == s.newcomer_holder), s.holder == claim)


def _distinct_claims(s, r, q):
    return And(
        Or(s.won[r] == 0, s.won[r] != s.won[q]),
        Or(s.release[r] == 0, s.release[r] != s.won[q]),
    )
