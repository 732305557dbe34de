"""Inductive invariant of the bundles in force.

The bundle in force of a fold depends only on the offset that the fold has reached.
"""

from itertools import permutations

import attrs
from z3 import And, Implies, Not, Or

from .bundles import NODES


@attrs.frozen
class _Fold:
    """The offset that a fold has reached and the bundle that it has in force."""

    through: object
    bundle: object


def invariant(s):
    """Return the term that holds in every state of every run of the model."""
    folds = [_Fold(s.through[n], s.bundle[n]) for n in NODES]
    folds.append(_Fold(s.snapshot, s.snapshot_bundle))
    return And(
        Not(s.violated),
        s.rolled <= s.tail,
        s.parent <= s.rolled,
        *(_fold_terms(s, fold) for fold in folds),
        *(_pair_terms(one, other) for one, other in permutations(folds, 2)),
        *(term for n in NODES for term in _node_terms(s, n)),
    )


def _fold_terms(s, fold):
    return And(
        fold.bundle <= fold.through,
        fold.through <= s.tail,
        fold.bundle <= s.rolled,
        Implies(fold.through >= s.rolled, fold.bundle == s.rolled),
    )


def _pair_terms(one, other):
    return And(
        Implies(one.through <= other.through, one.bundle <= other.bundle),
        Implies(other.bundle <= one.through, other.bundle <= one.bundle),
    )


def _node_terms(s, n):
    return [
        s.served[n] <= s.rolled,
        Or(Not(s.ready[n]), s.served[n] <= s.bundle[n]),
    ]
