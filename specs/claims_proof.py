"""Inductive invariant of the claims.

A newcomer's fold either is empty for want of claims, follows a claim that the full
readers refused, or equals theirs.
"""

from itertools import permutations

from z3 import And, Implies, Not, Or

from .claims import DEADLINE, IDLE, MEMORY, NEWCOMER, NOT_RUN, PENDING, REQUESTS, RUN


def invariant(s):
    """Return the term that holds in every state of every run."""
    recent = s.since_run < MEMORY - DEADLINE
    return And(
        Not(s.twice),
        Not(s.untrue),
        s.holder <= s.tail,
        s.short_holder <= s.tail,
        s.short_quiet == s.quiet,
        Or(s.started, And(s.short_holder == 0, s.reading == 0)),
        Implies(s.short_holder == 0, Or(s.holder == 0, s.quiet >= s.reading)),
        Implies(recent, And(s.holder > 0, s.quiet <= s.since_run + DEADLINE)),
        *(term for r in REQUESTS for term in _facts(s, r, recent)),
        *(_distinct(s, r, q) for r, q in permutations(REQUESTS, 2)),
    )


def _facts(s, r, recent):
    may_run = And(s.status[r] == PENDING, s.won[r] > 0, s.left[r] > 0)
    unheld = Or(*(s.status[r] == n for n in (IDLE, PENDING, NOT_RUN)))
    waited = s.reading == MEMORY if r == NEWCOMER else True
    return [
        s.won[r] <= s.tail,
        s.release[r] <= s.tail,
        Or(s.status[r] == IDLE, waited),
        Implies(s.status[r] == IDLE, s.won[r] == 0),
        Or(s.release[r] == 0, s.status[r] > RUN),
        Implies(may_run, And(s.holder == s.won[r], s.quiet + s.left[r] <= DEADLINE)),
        Implies(recent, Or(s.release[r] == 0, s.release[r] != s.holder)),
        Implies(And(recent, unheld), Or(s.won[r] == 0, s.won[r] != s.holder)),
        *(_in_step(s, claim) for claim in (s.won[r], s.release[r])),
    ]


def _in_step(s, claim):
    return Implies(And(claim > 0, claim == s.short_holder), s.holder == claim)


def _distinct(s, r, q):
    return And(
        Or(s.won[r] == 0, s.won[r] != s.won[q]),
        Or(s.release[r] == 0, s.release[r] != s.won[q]),
    )
