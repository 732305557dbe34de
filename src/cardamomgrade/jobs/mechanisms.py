"""Mechanisms of scheduling that an operator can switch off, one by one.

None of them is needed to keep a promise: those that are have no switch.
"""

import attrs

from ..errors import SettingsError
from ..journal import event, log_event

MECHANISMS = {
    "admission": "refuses jobs that would end after their callers stop waiting",
    "closing": "closes VMs of pools above their share, for pools that are short",
    "copies": "gives overdue runs of speculative steps a second run",
    "fair-shares": "divides the VMs between pools that need more than there are",
    "growth": "expects an arrival rate that grows to go on growing",
    "learned-durations": "expects run times from past runs of the queue",
    "look-ahead": "reserves an executor for a large task that waits",
    "open-work": "sizes pools by the work that accepted jobs have left",
    "packing": "fills the busiest VM that has room first",
    "probes": "tries quarantined executors out with one task",
    "reuse": "moves idle VMs of other pools before VMs that are off",
    "speeds": "uses executors last on which runs take much longer",
    "upkeep-pacing": "takes VMs down first that callers miss least",
}


@event(656)
class MechanismsDisabled:
    """The program was started with mechanisms switched off."""

    names: list


@attrs.frozen
class Switches:
    """Chooses between the implementations of a mechanism; ``disabled`` are names."""

    disabled: frozenset = frozenset()

    @classmethod
    def parse(cls, names):
        """Return the Switches that disable mechanisms by name; raise SettingsError."""
        for name in names:
            if name not in MECHANISMS:
                known = ", ".join(MECHANISMS)
                raise SettingsError(f"no mechanism {name!r}; there are: {known}")
        return cls(frozenset(names))

    def choose(self, name, enabled, disabled):
        """Return ``enabled`` unless the mechanism ``name`` is switched off."""
        return disabled if name in self.disabled else enabled

    def log(self):
        """Log the names of the mechanisms that are switched off, if any are."""
        if self.disabled:
            log_event(MechanismsDisabled(sorted(self.disabled)))


ALL_ENABLED = Switches()
