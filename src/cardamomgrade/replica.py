"""Local copy of the fleet state, folded from the log or restored from a snapshot."""

import attrs

from .fleet import FleetState, fold
from .records import Snapshot
from .refusal import Reason, Refusal
from .snapshot import restore


@attrs.frozen
class FoldedRecord:
    """A folded record, the state after it, and the fold's Refusal or None."""

    logged: object
    state: object
    refusal: object


@attrs.frozen
class Restored:
    """The state was restored from a snapshot of all records through an offset."""

    through: int


class Replica:
    """Folds the fleet stream in offset order.

    After ``lost``, records are buffered until there is a complete snapshot that reaches
    at least to the first retained record and to the state held before. So the state
    never goes back, and no record after the snapshot is skipped.
    ``records_since_snapshot`` counts the records folded since the last complete
    snapshot, and ``snapshot_offset`` is the offset of its first part, or -1.
    """

    def __init__(self):
        self.state = FleetState()
        self.awaiting_snapshot = False
        self.records_since_snapshot = 0
        self.snapshot_offset = -1
        self._earliest = 0
        self._buffer = []
        self._incomplete = {}

    def lost(self, earliest):
        """Restart at the first retained offset and wait for a snapshot."""
        self.awaiting_snapshot = True
        self._earliest = earliest
        self._buffer = []
        self._incomplete = {}

    def take(self, batch):
        """Fold a list of Logged; return FoldedRecord and Restored items in order."""
        results = []
        for logged in batch:
            if self.awaiting_snapshot:
                results += self._buffer_record(logged)
            else:
                results.append(self._fold(logged))
        return results

    def _fold(self, logged):
        result = fold(self.state, logged)
        self.state = result.state
        if isinstance(logged.record, Snapshot):
            self._collect_part(logged, keep=False)
        else:
            self.records_since_snapshot += 1
        return FoldedRecord(logged, result.state, result.refusal)

    def _buffer_record(self, logged):
        self._buffer.append(logged)
        if not isinstance(logged.record, Snapshot):
            return []
        parts = self._collect_part(logged, keep=True)
        state = restore(parts) if parts else Refusal(Reason.UNAVAILABLE)
        if not self._is_usable(state):
            return []
        buffered, self._buffer = self._buffer, []
        self.awaiting_snapshot = False
        self.state = state
        rest = [item for item in buffered if item.offset >= state.offset]
        self.records_since_snapshot = 0
        return [Restored(state.offset - 1), *(self._fold(item) for item in rest)]

    def _is_usable(self, state):
        if isinstance(state, Refusal):
            return False
        return state.offset >= max(self._earliest, self.state.offset)

    def _collect_part(self, logged, keep):
        """Add a snapshot part; return all parts if it completes a snapshot, else [].

        The parts are None unless ``keep`` is true.
        """
        record = logged.record
        key = (record.through, record.digest, record.parts)
        first_offset, parts = self._incomplete.setdefault(key, (logged.offset, {}))
        parts[record.part] = record if keep else None
        if len(parts) < record.parts:
            return []
        del self._incomplete[key]
        self.records_since_snapshot = 0
        self.snapshot_offset = first_offset
        return list(parts.values())
