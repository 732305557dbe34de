"""A process's copy of the fleet state, folded from the log or from a snapshot."""

import attrs

from .fleet import FleetState, fold
from .records import Snapshot
from .refusal import Reason, Refusal
from .snapshot import restore


@attrs.frozen
class Step:
    """A record, the state after it, and the fold's Refusal or None."""

    logged: object
    state: object
    refusal: object


@attrs.frozen
class Restored:
    """The state was taken from a snapshot through an offset."""

    through: int


class Replica:
    """Folds the fleet stream in offset order.

    After ``lost`` nothing is folded until a whole snapshot was seen from which the
    retained records go on, so that the state never falls behind what it was.
    """

    def __init__(self):
        self.state = FleetState()
        self.waiting = False
        self.since_snapshot = 0
        self.snapshot_offset = -1
        self._from = 0
        self._held = []
        self._sets = {}

    def lost(self, earliest):
        """Begin again at the first retained offset."""
        self.waiting = True
        self._from = earliest
        self._held = []
        self._sets = {}

    def take(self, batch):
        """Fold a list of Logged; return Step and Restored items in order."""
        results = []
        for logged in batch:
            if self.waiting:
                results += self._hold(logged)
            else:
                results.append(self._fold(logged))
        return results

    def _fold(self, logged):
        folded = fold(self.state, logged)
        self.state = folded.state
        if isinstance(logged.record, Snapshot):
            self._collect(logged, keep=False)
        else:
            self.since_snapshot += 1
        return Step(logged, folded.state, folded.refusal)

    def _hold(self, logged):
        self._held.append(logged)
        if not isinstance(logged.record, Snapshot):
            return []
        parts = self._collect(logged, keep=True)
        state = restore(parts) if parts else Refusal(Reason.UNAVAILABLE)
        if not self._continues(state):
            return []
        held, self._held = self._held, []
        self.waiting = False
        self.state = state
        rest = [item for item in held if item.offset >= state.offset]
        self.since_snapshot = 0
        return [Restored(state.offset - 1), *(self._fold(item) for item in rest)]

    def _continues(self, state):
        if isinstance(state, Refusal):
            return False
        return state.offset >= max(self._from, self.state.offset)

    def _collect(self, logged, keep):
        """Return the parts of the snapshot that a record completes, or none."""
        record = logged.record
        key = (record.through, record.digest, record.parts)
        first, parts = self._sets.setdefault(key, (logged.offset, {}))
        parts[record.part] = record if keep else None
        if len(parts) < record.parts:
            return []
        del self._sets[key]
        self.since_snapshot = 0
        self.snapshot_offset = first
        return list(parts.values())
