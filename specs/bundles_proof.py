"""Inductive invariant of the bundles in force.

The bundle of a fold is a function of the offset that it has reached.
"""

from itertools import permutations

import attrs
from z3 import And, Implies, Not, Or

from .bundles import NODES


@attrs.frozen
class _Fold:
    """A fold through an offset and the bundle that it holds in force."""

    through: object
    force: object


def invariant(s):
    """Return the term that holds in every state of every run."""
    folds = [_Fold(s.through[n], s.force[n]) for n in NODES]
    folds.append(_Fold(s.snapshot, s.snapshot_force))
    return And(
        Not(s.wrong),
        s.rolled <= s.tail,
        s.taken <= s.rolled,
        *(_holds(s, fold) for fold in folds),
        *(_agree(one, other) for one, other in permutations(folds, 2)),
        *(term for n in NODES for term in _facts(s, n)),
    )


def _holds(s, fold):
    return And(
        fold.force <= fold.through,
        fold.through <= s.tail,
        fold.force <= s.rolled,
        Implies(fold.through >= s.rolled, fold.force == s.rolled),
    )


def _agree(one, other):
    return And(
        Implies(one.through <= other.through, one.force <= other.force),
        Implies(other.force <= one.through, other.force <= one.force),
    )


def _facts(s, n):
    return [
        s.served[n] <= s.rolled,
        Or(Not(s.ready[n]), s.served[n] <= s.force[n]),
    ]
