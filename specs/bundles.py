"""Bundles in force at two nodes: the log, its retention, snapshots, hand-on.

A bundle is known by the offset of its roll. A node folds what it reads up to the
tail, up to a peer, or from a snapshot. A replaced node starts with nothing and the
log may be out of reach of any node for any time.
"""

import attrs
from attrs import evolve
from z3 import And, If, Not, Or

from .checker import Action, blank, flag, level, Model, put

NODES = range(2)


@attrs.frozen
class Rules:
    """The rules of the protocol; a mutation drops one."""

    roll_names_parent: bool = True
    snapshot_not_older: bool = True
    snapshot_continues: bool = True
    snapshot_whole: bool = True
    records_without_gap: bool = True
    serve_after_tail: bool = True


@attrs.frozen
class State:
    """The log and its newest snapshot, then per node its fold and what it served.

    ``rolled`` is the offset of the last accepted roll. A fold is through the offset
    ``through`` with the bundle ``force``; ``kept`` is the first record that a node
    can hand on.
    """

    tail = level(None)
    earliest = level(None)
    rolled = level(None)
    taken = level(None)
    snapshot = level(None)
    snapshot_force = level(None)
    last_force = level(None)
    through = level(None, 2)
    force = level(None, 2)
    kept = level(None, 2)
    ready = flag(2)
    served = level(None, 2)
    wrong = flag()


def bundles(rules=None):
    """Return the model of the bundles under the rules."""
    rules = rules or Rules()
    return Model(
        blank(State, earliest=1, kept=(1, 1)),
        lambda s: (
            _log_actions(rules, s)
            + [action for n in NODES for action in _node_actions(rules, s, n)]
        ),
        lambda s: Not(s.wrong),
    )


def _log_actions(rules, s):
    appended = evolve(s, tail=s.tail + 1)
    valid = s.taken == s.rolled if rules.roll_names_parent else True
    overwrites = Or(s.wrong, s.taken != s.rolled)
    rolled = evolve(appended, rolled=s.tail + 1, wrong=overwrites)
    return [
        Action("append", True, appended),
        Action("edit the bundle in force", True, evolve(s, taken=s.rolled)),
        Action("BundleRolled by an editor", valid, rolled),
        Action("BundleRolled by another", True, evolve(appended, rolled=s.tail + 1)),
        Action(
            "drop the oldest record",
            s.earliest <= s.tail,
            evolve(s, earliest=s.earliest + 1),
        ),
    ]


def _move(s, n, through, force, **changes):
    """Return the state after node ``n`` moved on, checked against what it had."""
    lower = force < s.force[n]
    missed = And(through == s.tail, force != s.rolled)
    return evolve(
        s,
        through=put(s.through, n, through),
        force=put(s.force, n, force),
        wrong=Or(s.wrong, lower, missed),
        **changes,
    )


def _node_actions(rules, s, n):
    peer = 1 - n
    retained = s.through[n] + 1 >= s.earliest
    read = _move(s, n, s.tail, s.rolled, ready=put(s.ready, n, True))
    whole = s.kept[peer] <= s.through[n] + 1
    got = If(s.force[peer] >= s.kept[peer], s.force[peer], s.force[n])
    handed = _move(s, n, s.through[peer], got)
    newer = s.snapshot >= s.through[n] if rules.snapshot_not_older else True
    continues = s.snapshot + 1 >= s.earliest if rules.snapshot_continues else True
    force = s.snapshot_force if rules.snapshot_whole else s.last_force
    restored = _move(s, n, s.snapshot, force, kept=put(s.kept, n, s.snapshot + 1))
    resumed = _move(restored, n, s.tail, If(s.rolled >= s.earliest, s.rolled, force))
    written = evolve(
        s,
        tail=s.tail + 1,
        snapshot=s.through[n],
        snapshot_force=s.force[n],
        last_force=s.snapshot_force,
    )
    replaced = evolve(
        s,
        through=put(s.through, n, 0),
        force=put(s.force, n, 0),
        kept=put(s.kept, n, 1),
        ready=put(s.ready, n, False),
    )
    serves = evolve(
        s,
        served=put(s.served, n, s.force[n]),
        wrong=Or(s.wrong, s.force[n] < s.served[n]),
    )
    return [
        Action(f"read {n}", retained, read),
        Action(
            f"hand on to {n}",
            And(
                s.through[peer] > s.through[n],
                whole if rules.records_without_gap else True,
            ),
            handed,
        ),
        Action(f"Snapshot by {n}", s.through[n] > 0, written),
        Action(
            f"restore {n}",
            And(s.snapshot > 0, newer, continues),
            restored if rules.snapshot_continues else resumed,
        ),
        Action(f"replace {n}", True, replaced),
        Action(f"serve {n}", s.ready[n] if rules.serve_after_tail else True, serves),
    ]
