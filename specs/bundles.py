"""Model of the bundles (configurations) in force at two nodes that read one log.

A bundle comes into force by a record of the log, its roll, and is identified by the
offset of that record. Each node computes the bundle in force by folding records: from
the log up to its tail, forwarded by its peer, or after a restored snapshot. Proved:
the bundle in force never reverts at a node, nodes at the tail agree on the newest
roll, no editor overwrites a roll that it has not seen, and what a node serves never
reverts, even across its replacement.

Assumptions:

- The log drops its oldest records at any time.
- Only the newest snapshot is kept.
- A node may be replaced at any time; the new one starts without any state.
- Any node may be unable to reach the log for any time.
"""

import attrs
from attrs import evolve
from z3 import And, If, Not, Or

from .checker import Action, bool_field, int_field, make_state, Model, set_item

NODES = range(2)


@attrs.frozen
class Rules:
    """The rules of the protocol; each mutation test switches one off.

    roll_names_parent: a roll is refused unless it names the bundle in force as its
        parent, the bundle that was edited.
    snapshot_not_older: a node restores no snapshot older than its fold.
    snapshot_continues: a node restores a snapshot only if the log still has all the
        records after it.
    snapshot_whole: a snapshot holds the bundle in force, rather than the one of the
        snapshot before.
    records_without_gap: a node takes records of its peer only if they begin no later
        than the next one that it needs.
    serve_after_tail: a new node serves only after it has read up to the tail.
    """

    roll_names_parent: bool = True
    snapshot_not_older: bool = True
    snapshot_continues: bool = True
    snapshot_whole: bool = True
    records_without_gap: bool = True
    serve_after_tail: bool = True


@attrs.frozen
class State:
    """The log and its newest snapshot, then for each node its fold and what it served.

    ``tail`` and ``earliest`` are the last and the first offset of the log. ``rolled``
    is the offset of the last accepted roll, ``parent`` the bundle that an editor has
    edited. ``snapshot`` is the offset of the newest snapshot, ``snapshot_bundle`` its
    bundle and ``previous_bundle`` that of the snapshot before. The fold of a node has
    reached the offset ``through`` and has ``bundle`` in force. ``first_kept`` is the
    offset of the first record that the node can forward. ``violated`` is set by a
    transition that breaks the safety property.
    """

    tail = int_field(None)
    earliest = int_field(None)
    rolled = int_field(None)
    parent = int_field(None)
    snapshot = int_field(None)
    snapshot_bundle = int_field(None)
    previous_bundle = int_field(None)
    through = int_field(None, 2)
    bundle = int_field(None, 2)
    first_kept = int_field(None, 2)
    ready = bool_field(2)
    served = int_field(None, 2)
    violated = bool_field()


def bundles(rules=None):
    """Return the model of the bundles under ``rules``, by default all of them."""
    rules = rules or Rules()
    return Model(
        make_state(State, earliest=1, first_kept=(1, 1)),
        lambda s: (
            _log_actions(rules, s)
            + [action for n in NODES for action in _node_actions(rules, s, n)]
        ),
        lambda s: Not(s.violated),
    )


def _log_actions(rules, s):
    appended = evolve(s, tail=s.tail + 1)
    valid = s.parent == s.rolled if rules.roll_names_parent else True
    overwrites = Or(s.violated, s.parent != s.rolled)
    rolled = evolve(appended, rolled=s.tail + 1, violated=overwrites)
    return [
        Action("append", True, appended),
        Action("edit the bundle in force", True, evolve(s, parent=s.rolled)),
        Action("BundleRolled by an editor", valid, rolled),
        Action("BundleRolled by another", True, evolve(appended, rolled=s.tail + 1)),
        Action(
            "drop the oldest record",
            s.earliest <= s.tail,
            evolve(s, earliest=s.earliest + 1),
        ),
    ]


def _advance(s, n, through, bundle, **changes):
    """Return the state after node ``n`` has folded up to the offset ``through``.

    The run is unsafe if the bundle reverts, or differs at the tail from the last roll.
    """
    reverted = bundle < s.bundle[n]
    differs = And(through == s.tail, bundle != s.rolled)
    return evolve(
        s,
        through=set_item(s.through, n, through),
        bundle=set_item(s.bundle, n, bundle),
        violated=Or(s.violated, reverted, differs),
        **changes,
    )


def _node_actions(rules, s, n):
    peer = 1 - n
    retained = s.through[n] + 1 >= s.earliest
    read = _advance(s, n, s.tail, s.rolled, ready=set_item(s.ready, n, True))
    contiguous = s.first_kept[peer] <= s.through[n] + 1
    received = If(s.bundle[peer] >= s.first_kept[peer], s.bundle[peer], s.bundle[n])
    forwarded = _advance(s, n, s.through[peer], received)
    newer = s.snapshot >= s.through[n] if rules.snapshot_not_older else True
    continues = s.snapshot + 1 >= s.earliest if rules.snapshot_continues else True
    bundle = s.snapshot_bundle if rules.snapshot_whole else s.previous_bundle
    restored = _advance(
        s, n, s.snapshot, bundle, first_kept=set_item(s.first_kept, n, s.snapshot + 1)
    )
    resumed = _advance(
        restored, n, s.tail, If(s.rolled >= s.earliest, s.rolled, bundle)
    )
    written = evolve(
        s,
        tail=s.tail + 1,
        snapshot=s.through[n],
        snapshot_bundle=s.bundle[n],
        previous_bundle=s.snapshot_bundle,
    )
    replaced = evolve(
        s,
        through=set_item(s.through, n, 0),
        bundle=set_item(s.bundle, n, 0),
        first_kept=set_item(s.first_kept, n, 1),
        ready=set_item(s.ready, n, False),
    )
    served = evolve(
        s,
        served=set_item(s.served, n, s.bundle[n]),
        violated=Or(s.violated, s.bundle[n] < s.served[n]),
    )
    return [
        Action(f"read {n}", retained, read),
        Action(
            f"forward to {n}",
            And(
                s.through[peer] > s.through[n],
                contiguous if rules.records_without_gap else True,
            ),
            forwarded,
        ),
        Action(f"Snapshot by {n}", s.through[n] > 0, written),
        Action(
            f"restore {n}",
            And(s.snapshot > 0, newer, continues),
            restored if rules.snapshot_continues else resumed,
        ),
        Action(f"replace {n}", True, replaced),
        Action(f"serve {n}", s.ready[n] if rules.serve_after_tail else True, served),
    ]
