"""Which control appends which record: ranks by pool, and intents under way."""

import hashlib

import attrs

RETRY_TICKS = 10


def rank(shard, name, names):
    """Return the place of ``name`` among ``names`` by rendezvous hash of a shard."""

    def score(item):
        return hashlib.sha256(f"{shard}\0{item}".encode()).digest()

    ordered = sorted({name, *names}, key=score)
    return ordered.index(name)


def intent_key(record):
    """Return a record without what differs between planners of the same intent."""
    changes = {"control": ""}
    if hasattr(record, "builds_on"):
        changes["builds_on"] = 0
    return attrs.evolve(record, **changes)


def shard_of(state, record):
    """Return the pool of the VMs that a record concerns, else its subject's name."""
    vm = getattr(record, "vm", "")
    if hasattr(record, "vms"):
        vm = record.vms[0]
    elif not vm and hasattr(record, "batch"):
        batch = state.batches.get(record.batch)
        vm = batch.vms[0] if batch else ""
    if vm in state.vms:
        return state.vms[vm].pool
    return getattr(record, "entry", vm)


class IntentBook:
    """Intents by the tick at which they were first planned, and those appended."""

    def __init__(self):
        self._due = {}
        self._pending = set()

    def due(self, records, tick, rank_of):
        """Return the records to append at ``tick``.

        A record that stays planned is due as many ticks after it was first planned
        as ``rank_of(record)`` tells, and not while its append is under way.
        """
        planned = {intent_key(record): record for record in records}
        self._due = {
            key: self._due[key] if key in self._due else tick + rank_of(record)
            for key, record in planned.items()
        }
        return [
            record
            for key, record in planned.items()
            if key not in self._pending and self._due[key] <= tick
        ]

    def started(self, record):
        """Note that the append of a record is under way."""
        self._pending.add(intent_key(record))

    def settled(self, record, tick):
        """Note an append's outcome; a repeat has to wait for some ticks."""
        key = intent_key(record)
        self._pending.discard(key)
        if key in self._due:
            self._due[key] = tick + RETRY_TICKS
