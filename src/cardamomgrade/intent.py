"""Decides which control appends a planned record, and when.

An intent is a record that every control plans. The controls are ranked by pool.
"""

import hashlib

import attrs

RETRY_TICKS = 10


def rank(shard, name, names):
    """Return the rank of ``name`` among ``names`` for a shard, from 0.

    Ranks follow a rendezvous hash: a new name leaves the order of the others as it is.
    """

    def score(item):
        return hashlib.sha256(f"{shard}\0{item}".encode()).digest()

    ordered = sorted({name, *names}, key=score)
    return ordered.index(name)


def intent_key(record):
    """Return a record without the fields in which equal intents of controls differ."""
    changes = {"control": ""}
    if hasattr(record, "builds_on"):
        changes["builds_on"] = 0
    return attrs.evolve(record, **changes)


def shard_of(state, record):
    """Return the pool of a record's VMs, by which its controls are ranked.

    Without a pool this is the name of the record's entry, or else of its VM.
    """
    vm = getattr(record, "vm", "")
    if hasattr(record, "vms"):
        vm = record.vms[0]
    elif not vm and hasattr(record, "batch"):
        batch = state.batches.get(record.batch)
        vm = batch.vms[0] if batch else ""
    if vm in state.vms:
        return state.vms[vm].pool
    return getattr(record, "entry", vm)


class IntentSchedule:
    """The ticks at which intents are due, and the intents being appended."""

    def __init__(self):
        self._due_ticks = {}
        self._pending = set()

    def due(self, records, tick, rank_of):
        """Return those of the planned ``records`` to append at ``tick``.

        A record is due ``rank_of(record)`` ticks after it was first planned if it has
        been planned at each tick since, but not while it is being appended.
        """
        planned = {intent_key(record): record for record in records}
        self._due_ticks = {
            key: self._due_ticks[key]
            if key in self._due_ticks
            else tick + rank_of(record)
            for key, record in planned.items()
        }
        return [
            record
            for key, record in planned.items()
            if key not in self._pending and self._due_ticks[key] <= tick
        ]

    def mark_started(self, record):
        """Record that the append of a record has started."""
        self._pending.add(intent_key(record))

    def mark_settled(self, record, tick):
        """Record that an append has an outcome; it is due again after RETRY_TICKS."""
        key = intent_key(record)
        self._pending.discard(key)
        if key in self._due_ticks:
            self._due_ticks[key] = tick + RETRY_TICKS
