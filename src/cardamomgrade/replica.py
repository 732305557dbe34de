"""A copy of the fleet's state, folded from the log or restored from a snapshot."""

from .fleet import FleetState, fold
from .records import Snapshot
from .snapshot import restore


class Replica:
    """Folds records in offset order; a gap is bridged by a snapshot only."""

    def __init__(self):
        self.state = FleetState()
        self._gap = False
        self._earliest = 0
        self._parts = {}
        self._later = []

    @property
    def whole(self):
        """Whether the state holds every record before its offset."""
        return not self._gap

    def lose(self, earliest):
        """Note that records before ``earliest`` are gone from the log."""
        self._gap = True
        self._earliest = earliest
        self._parts = {}
        self._later = []

    def take(self, batch):
        """Fold a list of Logged; return the Refusals of those that were void."""
        refusals = []
        for logged in batch:
            if self._gap:
                self._collect(logged, refusals)
            else:
                self._fold(logged, refusals)
        return refusals

    def _fold(self, logged, refusals):
        folded = fold(self.state, logged)
        self.state = folded.state
        if folded.refusal is not None:
            refusals.append(folded.refusal)

    def _collect(self, logged, refusals):
        self._later.append(logged)
        if not isinstance(logged.record, Snapshot):
            return
        record = logged.record
        parts = self._parts.setdefault((record.through, record.digest), {})
        parts[record.part] = record
        if len(parts) < record.parts:
            return
        state = restore([parts[index] for index in sorted(parts)])
        if not state or not self._bridges(state):
            return
        later, self._later, self._parts = self._later, [], {}
        self.state, self._gap = state, False
        for item in later:
            if item.offset >= state.offset:
                self._fold(item, refusals)

    def _bridges(self, state):
        return self._earliest <= state.offset and state.offset > self.state.offset
