"""How much of the work that waits in a service the limits of customers let start.

Pure state, performs no I/O. Load pattern: a customer submits several times what its
limit lets run. VMs that join a pool for its work would stay idle, and other customers'
jobs would be taken for jobs that wait behind it.
"""

import attrs

from .customers import KINDS


@attrs.define
class WaitingWork:
    """What waits of a customer in a service, as ReadyJob counts it.

    ``amounts``, in the order of KINDS, are what its urgent and late tasks count towards
    the limit.
    """

    urgent_cores_m: int = 0
    late_cores_m: int = 0
    backlog_core_ms: float = 0.0
    amounts: tuple = (0,) * len(KINDS)

    def add(self, other, sign):
        """Add another WaitingWork, or subtract it with a ``sign`` of -1."""
        self.urgent_cores_m += sign * other.urgent_cores_m
        self.late_cores_m += sign * other.late_cores_m
        self.backlog_core_ms += sign * other.backlog_core_ms
        self.amounts = tuple(
            mine + sign * its
            for mine, its in zip(self.amounts, other.amounts, strict=True)
        )


@attrs.frozen
class StartableShare:
    """The parts, 0 to 1, of a service's waiting work that the limits let run."""

    urgent: float = 1.0
    late: float = 1.0
    backlog: float = 1.0


ALL_STARTABLE = StartableShare()


@attrs.define
class HeldBack:
    """The part of a service's waiting work that limits keep from starting."""

    urgent_cores_m: float = 0.0
    late_cores_m: float = 0.0
    backlog_core_ms: float = 0.0

    def add(self, work, share):
        """Add a customer's WaitingWork; a ``share`` of it may start, urgent first."""
        cores_m = work.urgent_cores_m + work.late_cores_m
        held_m = cores_m * (1 - share)
        late_m = min(held_m, work.late_cores_m)
        self.late_cores_m += late_m
        self.urgent_cores_m += held_m - late_m
        self.backlog_core_ms += work.backlog_core_ms * (1 - share)

    def startable(self, ready):
        """Return the StartableShare of the ReadyJobs that this is a part of."""
        return StartableShare(
            _rest(self.urgent_cores_m, ready.urgent_cores_m),
            _rest(self.late_cores_m, ready.late_cores_m),
            _rest(self.backlog_core_ms, ready.backlog_core_ms),
        )


def _rest(held, total):
    return min(1.0, max(0.0, 1 - held / total)) if total else 1.0
